package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/duty"
	"kumquatyard/internal/gateway"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
	pb "kumquatyard/proto/kumquat/v1"
	"kumquatyard/test/fleet"
)

// viewsSweep measures the memory of a gateway and its CPU time per view at
// several sizes of the fleet.
func viewsSweep(out io.Writer) error {
	memory := &series{name: "gateway: configuration and view held", unit: "KiB", per: "server"}
	cpu := &series{name: "gateway: CPU of a view of 190 states", unit: "us", per: "server"}
	for _, servers := range []int{190, 850, 1700, 3400} {
		if err := measureViews(servers, memory, cpu); err != nil {
			return err
		}
	}
	writeFits(out, memory, cpu)
	return nil
}

func measureViews(servers int, memory, cpu *series) error {
	bundle, err := newConfigBundle(servers)
	if err != nil {
		return err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := gateway.DefaultSettings()
	s.ID, s.Zone = "g", fleet.ZoneName(0)
	base := liveBytes()
	g := gateway.New(s, nil, logrus.NewEntry(logger))
	ctx := context.Background()
	view := &pb.View{Sequence: 1, Full: true, Config: bundle, Servers: servingStates(designServers)}
	if _, err := g.Handle(ctx, "agent", &pb.Request{Body: &pb.Request_View{View: view}}); err != nil {
		return err
	}
	memory.add(float64(servers), (liveBytes()-base)/bytesPerKiB)
	const rounds = 50
	before := readUsage()
	for i := range rounds {
		view := &pb.View{Sequence: uint64(i + 2), Servers: servingStates(designServers)}
		if _, err := g.Handle(ctx, "agent", &pb.Request{Body: &pb.Request_View{View: view}}); err != nil {
			return err
		}
	}
	cpu.add(float64(servers), (readUsage().cpu-before.cpu).Seconds()*1e6/rounds)
	runtime.KeepAlive(g)
	return nil
}

// servingStates returns the states of n serving servers of the first zone.
func servingStates(n int) []*pb.ServerState {
	out := make([]*pb.ServerState, 0, n)
	for j := range n {
		out = append(out, &pb.ServerState{
			Id: fleet.ServerName(0, j), Incarnation: 1, Lifecycle: pb.Lifecycle_LIFECYCLE_SERVING, Slots: 32,
			Running: uint32(j % 32), TokensPerSecond: 700, Adapters: []string{"base-70b-v3", "adapter-pt-0007"},
		})
	}
	return out
}

// dutiesSweep measures several numbers of duties, each with two candidates.
func dutiesSweep(out io.Writer) error {
	reads := &series{name: "duties: key-value reads", unit: "1/s", per: "duty"}
	writes := &series{name: "duties: key-value writes", unit: "1/s", per: "duty"}
	core := &series{name: "duties: CPU, key-value stand-in included", unit: "% core", per: "duty"}
	memory := &series{name: "duties: memory of both candidates", unit: "KiB", per: "duty"}
	for _, duties := range []int{10, 20, 40} {
		if err := measureDuties(duties, reads, writes, core, memory); err != nil {
			return err
		}
	}
	writeFits(out, reads, writes, core, memory)
	return nil
}

func measureDuties(duties int, reads, writes, core, memory *series) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	kv := standin.NewKV(standin.KVOptions{Seed: 1})
	var running conc.WaitGroup
	running.Go(func() { _ = kv.Serve(listener) })
	defer running.Wait()
	defer kv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var candidates conc.WaitGroup
	defer candidates.Wait()
	defer cancel()
	base := liveBytes()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for i := range 2 * duties {
		d := &duty.Duty{
			Name: fmt.Sprintf("duty-%d", i/2), Holder: fmt.Sprintf("n%d", i%2), Settings: duty.DefaultSettings,
			KV: platform.NewKVClient(listener.Addr().String(), time.Second), Log: logrus.NewEntry(logger),
			Perform: func(ctx context.Context, _ *duty.Lease) error { <-ctx.Done(); return nil },
		}
		candidates.Go(func() { _ = d.Run(ctx) })
	}
	time.Sleep(2 * duty.DefaultSettings.RetryInterval)
	before, kvBefore := readUsage(), kv.Counts()
	time.Sleep(2 * measureWindow)
	after, kvAfter := readUsage(), kv.Counts()
	seconds, x := after.at.Sub(before.at).Seconds(), float64(duties)
	reads.add(x, float64(kvAfter.Reads-kvBefore.Reads)/seconds)
	writes.add(x, float64(kvAfter.Writes-kvBefore.Writes)/seconds)
	core.add(x, 100*(after.cpu-before.cpu).Seconds()/seconds)
	memory.add(x, (liveBytes()-base)/bytesPerKiB)
	return nil
}

// newConfigBundle returns a configuration with the given number of servers, in
// zones of the design size.
func newConfigBundle(servers int) (*pb.ConfigBundle, error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	o := defaultOptions(max(1, servers/designServers), 1, 0, min(servers, designServers))
	o.KeyDir = dir
	f, err := fleet.Start(o)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	return f.Bundle()
}
