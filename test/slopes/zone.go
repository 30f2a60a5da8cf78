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
	settleTime    = 6 * time.Second
	measureWindow = 6 * time.Second
	startTimeout  = 40 * time.Second
	// designNodes and designServers are the nodes and servers of one zone at the
	// size for which the system is designed.
	designNodes   = 23
	designServers = 190
)

// fleetRun holds the options of one fleet and its measurements.
type fleetRun struct {
	options fleet.Options
	rates   rates
	// memory is the number of bytes per node, including the stand-ins.
	memory float64
	// ready is the time until every agent had a configuration and the states of
	// all servers of a zone.
	ready time.Duration
	// startReads and startWrites are the key-value calls until then. startWrites
	// excludes those before fleet.Start returned, such as the first configuration.
	startReads, startWrites uint64
}

// defaultOptions returns the options of a fleet with the agents' default
// intervals.
func defaultOptions(zones, regions, nodes, servers int) fleet.Options {
	return fleet.Options{
		Zones: zones, Regions: regions, NodesPerZone: nodes, ServersPerZone: servers,
		Intervals: agent.DefaultSettings().Intervals, HashesPerPoll: 4,
	}
}

// measureFleet starts a fleet, waits until it has settled and measures it. If
// during is not nil, it runs concurrently with the measurement.
func measureFleet(o fleet.Options, during func(f *fleet.Fleet)) (fleetRun, error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return fleetRun{}, err
	}
	defer os.RemoveAll(dir)
	o.KeyDir = dir
	base := liveBytes()
	begin := time.Now()
	f, err := fleet.Start(o)
	if err != nil {
		return fleetRun{}, err
	}
	defer f.Stop()
	writes := f.KV.Counts().Writes
	r := fleetRun{options: o}
	if !f.Await(startTimeout, func(n *fleet.Node) bool { return len(n.Agent.States()) >= o.ServersPerZone && n.Config.Version() > 0 }) {
		return fleetRun{}, fmt.Errorf("fleet %+v: not every agent has a configuration and the states of %d servers after %v", o, o.ServersPerZone, startTimeout)
	}
	r.ready = time.Since(begin)
	counts := f.KV.Counts()
	r.startReads, r.startWrites = counts.Reads, counts.Writes-writes
	time.Sleep(settleTime)
	if during != nil {
		go during(f)
	}
	r.rates = measureRates(f, measureWindow)
	r.memory = (liveBytes() - base) / float64(len(f.Nodes))
	return r, nil
}

// writeRuns writes a table of the named runs in the given order.
func writeRuns(out io.Writer, runs map[string]fleetRun, order []string) {
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
			formatWhole(r.rates.sent), formatWhole(r.rates.maxSent), formatWhole(r.rates.received), formatWhole(r.rates.pollSent), formatWhole(r.rates.pollReceived),
			formatWhole(r.rates.toGateway), fmt.Sprintf("%.2f", 100*r.rates.core), formatWhole(r.memory / bytesPerKiB), fmt.Sprintf("%.1f", r.rates.calls),
			fmt.Sprintf("%.1f", r.rates.kvReads), fmt.Sprintf("%.1f", r.rates.kvWrites), r.rates.kvWaiting,
			fmt.Sprintf("%.1f", r.ready.Seconds()), r.startReads, r.startWrites,
		})
	}
	t.Render()
}

func formatWhole(v float64) string { return fmt.Sprintf("%.0f", v) }

// fleetFits holds the quantities of an agent along one dimension of the fleet.
type fleetFits struct{ sent, received, pollReceived, core, memory *series }

func newFleetFits(per string) fleetFits {
	s := func(name, unit string) *series { return &series{name: "agent: " + name, unit: unit, per: per} }
	return fleetFits{
		sent: s("sent to agents", "B/s"), received: s("received from agents", "B/s"), pollReceived: s("received from servers", "B/s"),
		core: s("CPU, stand-ins included", "% core"), memory: s("memory, stand-ins included", "KiB"),
	}
}

func (f fleetFits) add(x float64, r fleetRun) {
	f.sent.add(x, r.rates.sent)
	f.received.add(x, r.rates.received)
	f.pollReceived.add(x, r.rates.pollReceived)
	f.core.add(x, 100*r.rates.core)
	f.memory.add(x, r.memory/bytesPerKiB)
}

func (f fleetFits) all() []*series {
	return []*series{f.sent, f.received, f.pollReceived, f.core, f.memory}
}

// sweep measures a fleet at several sizes of one dimension. per names the unit
// of the dimension.
func sweep(out io.Writer, per string, sizes []int, optionsFor func(size int) fleet.Options) error {
	fits := newFleetFits(per)
	runs, order := map[string]fleetRun{}, []string{}
	for _, size := range sizes {
		r, err := measureFleet(optionsFor(size), nil)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%d %ss", size, per)
		runs[name], order = r, append(order, name)
		fits.add(float64(size), r)
	}
	writeRuns(out, runs, order)
	writeFits(out, fits.all()...)
	return nil
}

func nodesSweep(out io.Writer) error {
	return sweep(out, "node of the zone", []int{4, 8, 16, 23}, func(n int) fleet.Options { return defaultOptions(1, 1, n, designServers) })
}

func serversSweep(out io.Writer) error {
	return sweep(out, "server of the zone", []int{48, 96, 190}, func(n int) fleet.Options { return defaultOptions(1, 1, designNodes, n) })
}

func zonesSweep(out io.Writer) error {
	return sweep(out, "zone", []int{2, 6, 18}, func(n int) fleet.Options { return defaultOptions(n, n, 4, 8) })
}

// deploymentsSweep measures the two present deployments, a zone of the design
// size and variants of its digests, two summary intervals, and the largest fleet
// that fits on one machine.
func deploymentsSweep(out io.Writer) error {
	variant := func(change func(o *fleet.Options)) fleet.Options {
		o := defaultOptions(1, 1, designNodes, designServers)
		change(&o)
		return o
	}
	cases := []struct {
		name    string
		options fleet.Options
	}{
		{"13 servers, 3 zones", defaultOptions(3, 1, 2, 4)},
		{"23 servers, 3 zones", defaultOptions(3, 1, 2, 8)},
		{"letter's zone", defaultOptions(1, 1, designNodes, designServers)},
		{"digest every 1 s", variant(func(o *fleet.Options) { o.Intervals.Digest = time.Second })},
		{"no cache events", variant(func(o *fleet.Options) { o.HashesPerPoll = 0 })},
		{"steady loads", variant(func(o *fleet.Options) { o.ConstantLoad = true; o.HashesPerPoll = 0 })},
		{"summaries every 5 s", defaultOptions(18, 18, 4, 8)},
		{"summaries every 20 s", defaultOptions(18, 18, 4, 8)},
		{"138 agents, 6 zones", defaultOptions(6, 6, designNodes, 100)},
	}
	for i := range cases {
		if cases[i].name == "summaries every 5 s" {
			cases[i].options.Intervals.Summary = 5 * time.Second
		}
	}
	runs, order := map[string]fleetRun{}, []string{}
	for _, c := range cases {
		r, err := measureFleet(c.options, nil)
		if err != nil {
			return err
		}
		runs[c.name], order = r, append(order, c.name)
	}
	writeRuns(out, runs, order)
	return nil
}

// changesSweep measures an agent's resource use, and the time until a change is in
// force, at several rates of configuration changes.
func changesSweep(out io.Writer) error {
	fits := newFleetFits("change a second")
	var delays []time.Duration
	for _, rate := range []float64{0, 1, 2, 4} {
		r, err := measureFleet(defaultOptions(1, 1, designNodes, designServers), func(f *fleet.Fleet) {
			delays = append(delays, applyChanges(f, rate)...)
		})
		if err != nil {
			return err
		}
		fits.add(rate, r)
	}
	writeFits(out, fits.all()...)
	fmt.Fprintf(out, "time from acceptance until all %d agents hold the version: %s\n", designNodes, quantiles(delays))
	return nil
}

// applyChanges applies configuration changes at the given rate per second. It
// returns, for each, the time from its acceptance until all agents have it.
func applyChanges(f *fleet.Fleet, rate float64) (delays []time.Duration) {
	if rate == 0 {
		return nil
	}
	gap := time.Duration(float64(time.Second) / rate)
	for i := range int(rate * measureWindow.Seconds() * 0.9) {
		begin := time.Now()
		name := "overrides/" + fleet.ServerName(0, i%designServers)
		err := f.Apply(config.Change{ID: fmt.Sprintf("c%d", i), Puts: map[string][]byte{name: []byte(fmt.Sprintf("note: change %d\n", i))}})
		if err != nil {
			return delays
		}
		accepted := time.Now()
		want := uint64(i + 2)
		f.Await(startTimeout, func(n *fleet.Node) bool { return n.Config.Version() >= want })
		delays = append(delays, time.Since(accepted))
		time.Sleep(max(0, gap-time.Since(begin)))
	}
	return delays
}
