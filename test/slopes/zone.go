package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"kumquatyard/internal/agent"
	"kumquatyard/internal/config"
	"kumquatyard/test/fleet"
)

const (
	settle     = 6 * time.Second
	window     = 6 * time.Second
	startLimit = 40 * time.Second
	// letterNodes and letterServers are a zone's share at the size to design for.
	letterNodes   = 23
	letterServers = 190
)

// run is one fleet and what was measured of it.
type run struct {
	options fleet.Options
	rates   rates
	// memory is bytes per node, the stand-ins' part included.
	memory float64
	// ready is the time until all gateways knew all servers in scope.
	ready time.Duration
	// startReads and startWrites are the key-value calls until then.
	startReads, startWrites uint64
}

func options(zones, regions, nodes, servers int) fleet.Options {
	return fleet.Options{
		Zones: zones, Regions: regions, NodesPerZone: nodes, ServersPerZone: servers,
		Intervals: agent.DefaultSettings().Intervals, HashesPerPoll: 4,
	}
}

// measureFleet starts a fleet, lets it settle and measures it. during, if any,
// is called while the window runs.
func measureFleet(o fleet.Options, during func(f *fleet.Fleet)) (run, error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return run{}, err
	}
	defer os.RemoveAll(dir)
	o.KeyDir = dir
	base := liveBytes()
	begin := time.Now()
	f, err := fleet.Start(o)
	if err != nil {
		return run{}, err
	}
	defer f.Stop()
	writes := f.KV.Counts().Writes
	r := run{options: o}
	if !f.Await(startLimit, func(n *fleet.Node) bool { return len(n.Agent.States()) >= o.ServersPerZone && n.Config.Version() > 0 }) {
		return run{}, fmt.Errorf("fleet %+v did not get ready", o)
	}
	r.ready = time.Since(begin)
	counts := f.KV.Counts()
	r.startReads, r.startWrites = counts.Reads, counts.Writes-writes
	time.Sleep(settle)
	if during != nil {
		go during(f)
	}
	r.rates = observeFor(f, window)
	r.memory = (liveBytes() - base) / float64(len(f.Nodes))
	return r, nil
}

func runTable(out io.Writer, runs map[string]run, order []string) {
	t := newTable(out, "run", "agents", "servers", "sent B/s", "busiest", "received B/s", "poll sent", "poll received",
		"to gateway", "core %", "KiB", "calls/s", "KV reads/s", "KV writes/s", "watches", "ready s", "start KV reads", "start KV writes")
	for _, name := range order {
		r, ok := runs[name]
		if !ok {
			continue
		}
		o := r.options
		t.AppendRow(table.Row{
			name, o.Zones * o.NodesPerZone, o.Zones * o.ServersPerZone,
			whole(r.rates.sent), whole(r.rates.maxSent), whole(r.rates.received), whole(r.rates.pollSent), whole(r.rates.pollReceived),
			whole(r.rates.gateway), fmt.Sprintf("%.2f", 100*r.rates.core), whole(r.memory / kibi), fmt.Sprintf("%.1f", r.rates.calls),
			fmt.Sprintf("%.1f", r.rates.kvReads), fmt.Sprintf("%.1f", r.rates.kvWrites), r.rates.kvWaiting,
			fmt.Sprintf("%.1f", r.ready.Seconds()), r.startReads, r.startWrites,
		})
	}
	t.Render()
}

func whole(v float64) string { return fmt.Sprintf("%.0f", v) }

// fleetFits are the quantities of an agent over one dimension.
type fleetFits struct{ sent, received, pollReceived, core, memory *series }

func newFleetFits(per string) fleetFits {
	s := func(name, unit string) *series { return &series{name: "agent: " + name, unit: unit, per: per} }
	return fleetFits{
		sent: s("sent to agents", "B/s"), received: s("received from agents", "B/s"), pollReceived: s("received from servers", "B/s"),
		core: s("CPU, stand-ins included", "% core"), memory: s("memory, stand-ins included", "KiB"),
	}
}

func (f fleetFits) add(x float64, r run) {
	f.sent.add(x, r.rates.sent)
	f.received.add(x, r.rates.received)
	f.pollReceived.add(x, r.rates.pollReceived)
	f.core.add(x, 100*r.rates.core)
	f.memory.add(x, r.memory/kibi)
}

func (f fleetFits) all() []*series {
	return []*series{f.sent, f.received, f.pollReceived, f.core, f.memory}
}

// sweep measures a fleet at several sizes of one dimension.
func sweep(out io.Writer, per string, sizes []int, make func(size int) fleet.Options) error {
	fits := newFleetFits(per)
	runs, order := map[string]run{}, []string{}
	for _, size := range sizes {
		r, err := measureFleet(make(size), nil)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%d %ss", size, per)
		runs[name], order = r, append(order, name)
		fits.add(float64(size), r)
	}
	runTable(out, runs, order)
	writeFits(out, fits.all()...)
	return nil
}

func nodesSweep(out io.Writer) error {
	return sweep(out, "node of the zone", []int{4, 8, 16, 23}, func(n int) fleet.Options { return options(1, 1, n, letterServers) })
}

func serversSweep(out io.Writer) error {
	return sweep(out, "server of the zone", []int{48, 96, 190}, func(n int) fleet.Options { return options(1, 1, letterNodes, n) })
}

func zonesSweep(out io.Writer) error {
	return sweep(out, "zone", []int{2, 6, 18}, func(n int) fleet.Options { return options(n, n, 4, 8) })
}

// sizes are the two deployments of today, the letter's zone with variants of
// the digests, and the largest fleet for one machine.
func sizes(out io.Writer) error {
	variant := func(change func(o *fleet.Options)) fleet.Options {
		o := options(1, 1, letterNodes, letterServers)
		change(&o)
		return o
	}
	cases := []struct {
		name string
		o    fleet.Options
	}{
		{"13 servers, 3 zones", options(3, 1, 2, 4)},
		{"23 servers, 3 zones", options(3, 1, 2, 8)},
		{"letter's zone", options(1, 1, letterNodes, letterServers)},
		{"digest every 1 s", variant(func(o *fleet.Options) { o.Intervals.Digest = time.Second })},
		{"no cache events", variant(func(o *fleet.Options) { o.HashesPerPoll = 0 })},
		{"steady loads", variant(func(o *fleet.Options) { o.ConstantLoad = true; o.HashesPerPoll = 0 })},
		{"summaries every 5 s", options(18, 18, 4, 8)},
		{"summaries every 20 s", options(18, 18, 4, 8)},
		{"138 agents, 6 zones", options(6, 6, letterNodes, 100)},
	}
	for i := range cases {
		if cases[i].name == "summaries every 5 s" {
			cases[i].o.Intervals.Summary = 5 * time.Second
		}
	}
	runs, order := map[string]run{}, []string{}
	for _, c := range cases {
		r, err := measureFleet(c.o, nil)
		if err != nil {
			return err
		}
		runs[c.name], order = r, append(order, c.name)
	}
	runTable(out, runs, order)
	return nil
}

// changesSweep measures bytes and the time to be in force against the rate of
// configuration changes.
func changesSweep(out io.Writer) error {
	fits := newFleetFits("change a second")
	var spread []time.Duration
	for _, rate := range []float64{0, 1, 2, 4} {
		r, err := measureFleet(options(1, 1, letterNodes, letterServers), func(f *fleet.Fleet) {
			spread = append(spread, applyChanges(f, rate)...)
		})
		if err != nil {
			return err
		}
		fits.add(rate, r)
	}
	writeFits(out, fits.all()...)
	fmt.Fprintf(out, "time from acceptance until all %d agents hold the version: %s\n", letterNodes, quantiles(spread))
	return nil
}

func applyChanges(f *fleet.Fleet, rate float64) (spread []time.Duration) {
	if rate == 0 {
		return nil
	}
	gap := time.Duration(float64(time.Second) / rate)
	for i := range int(rate * window.Seconds() * 0.9) {
		begin := time.Now()
		name := "overrides/" + fleet.ServerName(0, i%letterServers)
		err := f.Apply(config.Change{ID: fmt.Sprintf("c%d", i), Puts: map[string][]byte{name: []byte(fmt.Sprintf("note: change %d\n", i))}})
		if err != nil {
			return spread
		}
		accepted := time.Now()
		want := uint64(i + 2)
		f.Await(startLimit, func(n *fleet.Node) bool { return n.Config.Version() >= want })
		spread = append(spread, time.Since(accepted))
		time.Sleep(max(0, gap-time.Since(begin)))
	}
	return spread
}
