package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
	pb "kumquatyard/proto/kumquat/v1"
	"kumquatyard/test/fleet"
)

const (
	outage = 10 * time.Second
	// reclaimedShare is the part of a zone's servers that is taken at once.
	reclaimedShare = 0.53
)

// startLetterZone returns a settled zone of the letter's size, and its end.
func startLetterZone() (*fleet.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, nil, err
	}
	o := options(1, 1, letterNodes, letterServers)
	o.KeyDir = dir
	f, err := fleet.Start(o)
	if err != nil {
		return nil, nil, errors.Join(err, os.RemoveAll(dir))
	}
	stop := func() {
		f.Stop()
		_ = os.RemoveAll(dir)
	}
	if !f.Await(startLimit, func(n *fleet.Node) bool { return len(n.Agent.States()) >= letterServers }) {
		stop()
		return nil, nil, errors.New("fleet did not get ready")
	}
	time.Sleep(settle)
	return f, stop, nil
}

// events measures a zone of the letter's size while something happens to it.
func events(out io.Writer) error {
	f, stop, err := startLetterZone()
	if err != nil {
		return err
	}
	defer stop()
	t := newTable(out, "event", "sent B/s", "busiest", "received B/s", "calls/s", "KV reads/s", "KV writes/s", "core %")
	row := func(name string, r rates) {
		t.AppendRow(table.Row{
			name, whole(r.sent), whole(r.maxSent), whole(r.received), fmt.Sprintf("%.1f", r.calls),
			fmt.Sprintf("%.1f", r.kvReads), fmt.Sprintf("%.1f", r.kvWrites), fmt.Sprintf("%.2f", 100*r.core),
		})
	}
	row("calm", observeFor(f, window))
	f.KV.ChangeFaults(func(faults *standin.Faults) { faults.Down = true })
	row("key-value service down", observeFor(f, outage))
	f.KV.ChangeFaults(func(faults *standin.Faults) { faults.Down = false })
	for i := range 3 {
		row(fmt.Sprintf("%d to %d s after the outage", i*10, i*10+10), observeFor(f, outage))
	}
	known := make(chan time.Duration, 2)
	go func() { known <- reclaim(f) }()
	row(fmt.Sprintf("%.0f %% of the servers leave at once", 100*reclaimedShare), observeFor(f, window))
	for i := range letterNodes / 2 {
		go f.Nodes[i].Stop()
	}
	row("half of the agents stop at once", observeFor(f, window))
	t.Render()
	fmt.Fprintf(out, "all gateways know that %.0f %% of the servers leave %v after the servers do\n", 100*reclaimedShare, <-known)
	return nil
}

// reclaim marks servers as leaving and returns the time until all gateways
// know all of them.
func reclaim(f *fleet.Fleet) time.Duration {
	begin := time.Now()
	share := reclaimedShare * letterServers
	leaving := int(share)
	for j := range leaving {
		f.Servers.Get(fleet.ServerName(0, j)).Lifecycle.Store("leaving")
	}
	f.Await(startLimit, func(n *fleet.Node) bool {
		return f.Gateways.Read(n, func(g *fleet.GatewayView) bool {
			for j := range leaving {
				if g.Servers[fleet.ServerName(0, j)].GetLifecycle() != pb.Lifecycle_LIFECYCLE_LEAVING {
					return false
				}
			}
			return true
		})
	})
	return time.Since(begin).Round(time.Millisecond)
}

// listNews measures the time from a reclaim notice of the instance list to the
// gateways, which the rotating reads bound.
func listNews(out io.Writer) error {
	var times []time.Duration
	f, stop, err := startLetterZone()
	if err != nil {
		return err
	}
	defer stop()
	for j := range 8 {
		id, begin := fleet.ServerName(0, j), time.Now()
		f.Instances.Put(platform.Instance{ID: id, Kind: "engine", Zone: fleet.ZoneName(0), State: "leaving"})
		f.Await(startLimit, func(n *fleet.Node) bool {
			return f.Gateways.Read(n, func(g *fleet.GatewayView) bool {
				return g.Servers[id].GetLifecycle() == pb.Lifecycle_LIFECYCLE_LEAVING
			})
		})
		times = append(times, time.Since(begin))
	}
	fmt.Fprintf(out, "time from an entry of the instance list that says leaving until all %d gateways know: %s\n", letterNodes, quantiles(times))
	return nil
}
