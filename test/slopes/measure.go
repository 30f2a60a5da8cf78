package main

import (
	"runtime"
	"syscall"
	"time"

	"kumquatyard/test/fleet"
)

const kibi = 1024

// usage is what the process has used at one moment.
type usage struct {
	at  time.Time
	cpu time.Duration
}

func now() usage {
	var r syscall.Rusage
	// Getrusage of the process itself does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
}

// liveBytes returns the heap after a collection and the stacks in use.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// rates are averages per node and second over a window.
type rates struct {
	// sent and received count bytes to and from other agents: TLS records of
	// heartbeats, digests, summaries and configuration.
	sent, received float64
	// maxSent is the busiest node's.
	maxSent float64
	// pollSent and pollReceived count HTTP bytes of observing servers.
	pollSent, pollReceived float64
	// gateway counts bytes of views, which stay on the node.
	gateway float64
	// core is the share of a core; it includes the stand-ins' part.
	core float64
	// calls is the number of requests answered.
	calls float64
	// kvReads and kvWrites are of the whole fleet.
	kvReads, kvWrites float64
	kvWaiting         int
}

type counters struct {
	usage
	sent, received, gateway []int64
	calls                   int64
	pollIn, pollOut         int64
	kvReads, kvWrites       uint64
}

func count(f *fleet.Fleet) counters {
	kv := f.KV.Counts()
	c := counters{
		usage: now(), pollIn: f.Servers.Traffic.Received.Load(), pollOut: f.Servers.Traffic.Sent.Load(),
		kvReads: kv.Reads, kvWrites: kv.Writes,
	}
	for _, n := range f.Nodes {
		c.sent = append(c.sent, n.Traffic.Sent.Load())
		c.received = append(c.received, n.Traffic.Received.Load())
		c.gateway = append(c.gateway, n.ToGateway.Sent.Load())
		c.calls += n.Calls.Load()
	}
	return c
}

// observeFor measures a running fleet for a window.
func observeFor(f *fleet.Fleet, window time.Duration) rates {
	before := count(f)
	time.Sleep(window)
	after := count(f)
	seconds := after.at.Sub(before.at).Seconds()
	nodes := float64(len(f.Nodes))
	each := func(a, b int64) float64 { return float64(b-a) / seconds / nodes }
	r := rates{
		pollSent:     each(before.pollIn, after.pollIn),
		pollReceived: each(before.pollOut, after.pollOut),
		calls:        each(before.calls, after.calls),
		core:         (after.cpu - before.cpu).Seconds() / seconds / nodes,
		kvReads:      float64(after.kvReads-before.kvReads) / seconds,
		kvWrites:     float64(after.kvWrites-before.kvWrites) / seconds,
		kvWaiting:    f.KV.Counts().Waiting,
	}
	for i := range f.Nodes {
		sent := each(before.sent[i], after.sent[i])
		r.sent += sent
		r.maxSent = max(r.maxSent, sent*nodes)
		r.received += each(before.received[i], after.received[i])
		r.gateway += each(before.gateway[i], after.gateway[i])
	}
	return r
}
