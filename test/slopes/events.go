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
	outageDuration = 10 * time.Second
	// reclaimedShare is the fraction of a zone's servers that are reclaimed at once.
	reclaimedShare = 0.53
)

// startDesignZone starts a zone of the design size, waits until it has settled,
// and returns it with the function that stops it.
func startDesignZone() (*fleet.Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, nil, err
	}
	o := defaultOptions(1, 1, designNodes, designServers)
	o.KeyDir = dir
	f, err := fleet.Start(o)
	if err != nil {
		return nil, nil, errors.Join(err, os.RemoveAll(dir))
	}
	stop := func() {
		f.Stop()
		_ = os.RemoveAll(dir)
	}
	if !f.Await(startTimeout, func(n *fleet.Node) bool { return len(n.Agent.States()) >= designServers }) {
		stop()
		return nil, nil, fmt.Errorf("not every agent has the states of all %d servers after %v", designServers, startTimeout)
	}
	time.Sleep(settleTime)
	return f, stop, nil
}

// eventsSweep measures a zone of the design size without events and during and
// after an outage of the key-value service, a reclaim of servers, and a stop of
// half of the agents.
func eventsSweep(out io.Writer) error {
	f, stop, err := startDesignZone()
	if err != nil {
		return err
	}
	defer stop()
	t := newTable(out, "event", "sent B/s", "busiest", "received B/s", "calls/s", "KV reads/s", "KV writes/s", "core %")
	row := func(name string, r rates) {
		t.AppendRow(table.Row{
			name, formatWhole(r.sent), formatWhole(r.maxSent), formatWhole(r.received), fmt.Sprintf("%.1f", r.calls),
			fmt.Sprintf("%.1f", r.kvReads), fmt.Sprintf("%.1f", r.kvWrites), fmt.Sprintf("%.2f", 100*r.core),
		})
	}
	row("calm", measureRates(f, measureWindow))
	f.KV.ChangeFaults(func(faults *standin.Faults) { faults.Down = true })
	row("key-value service down", measureRates(f, outageDuration))
	f.KV.ChangeFaults(func(faults *standin.Faults) { faults.Down = false })
	for i := range 3 {
		row(fmt.Sprintf("%d to %d s after the outage", i*10, i*10+10), measureRates(f, outageDuration))
	}
	reclaimTime := make(chan time.Duration, 2)
	go func() { reclaimTime <- measureReclaim(f) }()
	row(fmt.Sprintf("%.0f %% of the servers leave at once", 100*reclaimedShare), measureRates(f, measureWindow))
	for i := range designNodes / 2 {
		go f.Nodes[i].Stop()
	}
	row("half of the agents stop at once", measureRates(f, measureWindow))
	t.Render()
	fmt.Fprintf(out, "all gateways know that %.0f %% of the servers leave %v after the servers do\n", 100*reclaimedShare, <-reclaimTime)
	return nil
}

// measureReclaim marks reclaimedShare of the servers as leaving and returns the
// time until all gateways have received that for all of them.
func measureReclaim(f *fleet.Fleet) time.Duration {
	begin := time.Now()
	share := reclaimedShare * designServers
	leaving := int(share)
	for j := range leaving {
		f.Servers.Get(fleet.ServerName(0, j)).Lifecycle.Store("leaving")
	}
	f.Await(startTimeout, func(n *fleet.Node) bool {
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

// instanceListSweep measures the time from a reclaim notice in the instance list
// until all gateways have it. The interval at which the agents take turns
// reading the list bounds this time.
func instanceListSweep(out io.Writer) error {
	var times []time.Duration
	f, stop, err := startDesignZone()
	if err != nil {
		return err
	}
	defer stop()
	for j := range 8 {
		id, begin := fleet.ServerName(0, j), time.Now()
		f.Instances.Put(platform.Instance{ID: id, Kind: "engine", Zone: fleet.ZoneName(0), State: "leaving"})
		f.Await(startTimeout, func(n *fleet.Node) bool {
			return f.Gateways.Read(n, func(g *fleet.GatewayView) bool {
				return g.Servers[id].GetLifecycle() == pb.Lifecycle_LIFECYCLE_LEAVING
			})
		})
		times = append(times, time.Since(begin))
	}
	fmt.Fprintf(out, "time from an entry of the instance list that says leaving until all %d gateways know: %s\n", designNodes, quantiles(times))
	return nil
}
