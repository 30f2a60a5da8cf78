package main

import (
	"runtime"
	"syscall"
	"time"

	"kumquatyard/test/fleet"
)

const bytesPerKiB = 1024

// usage is the CPU time that the process has used at a point in time.
type usage struct {
	at  time.Time
	cpu time.Duration
}

// readUsage returns the current usage of the process.
func readUsage() usage {
	var r syscall.Rusage
	// Getrusage with RUSAGE_SELF does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
}

// liveBytes returns the size of the heap after garbage collection plus the stacks
// in use.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// rates are averages over a window, per second and node unless stated otherwise.
type rates struct {
	// sent and received count bytes to and from other agents: TLS records of
	// heartbeats, digests, summaries and configuration.
	sent, received float64
	// maxSent is the value of sent for the busiest node.
	maxSent float64
	// pollSent and pollReceived count the HTTP bytes of polling servers.
	pollSent, pollReceived float64
	// toGateway counts the bytes of views sent to the gateway, which stay on the
	// node.
	toGateway float64
	// core is the share of a CPU core, including the stand-ins.
	core float64
	// calls is the number of requests answered.
	calls float64
	// kvReads, kvWrites and kvWaiting are of the whole fleet. kvWaiting is the
	// number of open watches at the end of the window.
	kvReads, kvWrites float64
	kvWaiting         int
}

// counters are a fleet's cumulative counts at a point in time. sent, received
// and toGateway have one entry per node.
type counters struct {
	usage
	sent, received, toGateway    []int64
	calls                        int64
	serversReceived, serversSent int64
	kvReads, kvWrites            uint64
}

func readCounters(f *fleet.Fleet) counters {
	kv := f.KV.Counts()
	c := counters{
		usage: readUsage(), serversReceived: f.Servers.Traffic.Received.Load(), serversSent: f.Servers.Traffic.Sent.Load(),
		kvReads: kv.Reads, kvWrites: kv.Writes,
	}
	for _, n := range f.Nodes {
		c.sent = append(c.sent, n.Traffic.Sent.Load())
		c.received = append(c.received, n.Traffic.Received.Load())
		c.toGateway = append(c.toGateway, n.ToGateway.Sent.Load())
		c.calls += n.Calls.Load()
	}
	return c
}

// measureRates returns the rates of a running fleet over a window.
func measureRates(f *fleet.Fleet, window time.Duration) rates {
	before := readCounters(f)
	time.Sleep(window)
	after := readCounters(f)
	seconds := after.at.Sub(before.at).Seconds()
	nodes := float64(len(f.Nodes))
	perNode := func(a, b int64) float64 { return float64(b-a) / seconds / nodes }
	r := rates{
		pollSent:     perNode(before.serversReceived, after.serversReceived),
		pollReceived: perNode(before.serversSent, after.serversSent),
		calls:        perNode(before.calls, after.calls),
		core:         (after.cpu - before.cpu).Seconds() / seconds / nodes,
		kvReads:      float64(after.kvReads-before.kvReads) / seconds,
		kvWrites:     float64(after.kvWrites-before.kvWrites) / seconds,
		kvWaiting:    f.KV.Counts().Waiting,
	}
	for i := range f.Nodes {
		sent := perNode(before.sent[i], after.sent[i])
		r.sent += sent
		r.maxSent = max(r.maxSent, sent*nodes)
		r.received += perNode(before.received[i], after.received[i])
		r.toGateway += perNode(before.toGateway[i], after.toGateway[i])
	}
	return r
}
