// Command kumquat-agent runs the control process of an entry instance, beside its
// kumquat-gateway.
package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/agent"
	"kumquatyard/internal/claimshard"
	"kumquatyard/internal/configstore"
	"kumquatyard/internal/link"
	"kumquatyard/internal/placementduty"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/process"
	"kumquatyard/internal/telemetry"
)

const (
	name            = "kumquat-agent"
	platformTimeout = 2 * time.Second
	healthEvery     = 250 * time.Millisecond
)

func main() {
	s := agent.DefaultSettings()
	os.Exit(process.Main(name, "configuration, membership and server observation", &s, func(ctx context.Context) error {
		return run(ctx, s)
	}))
}

func run(ctx context.Context, s agent.Settings) error {
	log := telemetry.NewLogger(name, s.ID, s.Telemetry.LogLevel)
	stopTracing, err := telemetry.StartTracing(ctx, name, s.ID, s.Telemetry)
	if err != nil {
		return err
	}
	defer func() { _ = stopTracing(context.WithoutCancel(ctx)) }()
	linkPool, err := link.NewPool(s.Link, log)
	if err != nil {
		return err
	}
	defer linkPool.Close()
	var a *agent.Agent
	kv := platform.NewKVClient(s.KV, platformTimeout)
	replica := configstore.NewReplica(configstore.Options{
		KV: kv, Caller: linkPool, Log: log,
		Peers: func() []string { return a.PeerAddresses() },
	})
	options := agent.Options{
		Settings: s, Caller: linkPool, Config: replica, Components: []agent.Component{replica}, Log: log,
		List: platform.NewInstanceList(s.InstanceList, platformTimeout), Incarnation: uint64(time.Now().UnixMilli()),
	}
	if s.Cloud != "" {
		options.Notices = platform.NewCloud(s.Cloud, platformTimeout)
	}
	a = agent.New(options)
	a.Add(claimshard.New(claimshard.Options{
		Self: a.Self(), Settings: s.Claims, KV: kv, Caller: linkPool, Live: a.LiveAgents, Log: log,
	}))
	if s.Placement.Enabled {
		a.Add(placementduty.New(placementduty.Options{
			Zone: s.Zone, Holder: s.ID, Settings: s.Placement, Timing: placementduty.DefaultTiming,
			KV: kv, Fleet: a, Sender: placementduty.NewHTTPSender(), Log: log,
		}))
	}
	return serve(ctx, s, a, replica, log)
}

// serve runs the agent and the servers that peers and operators call. The servers
// stop after the agent, which must answer peers until it has left the fleet. A
// server that fails stops the agent.
func serve(ctx context.Context, s agent.Settings, a *agent.Agent, replica *configstore.Replica, log *logrus.Entry) error {
	running, stopAgent := context.WithCancel(ctx)
	defer stopAgent()
	background, stopServers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServers()
	var health telemetry.Health
	servers := pool.New().WithContext(background).WithCancelOnError().WithFirstError()
	for _, server := range []func(context.Context) error{
		func(ctx context.Context) error { return telemetry.Serve(ctx, s.Telemetry.Listen, &health, nil) },
		func(ctx context.Context) error { return link.Serve(ctx, s.Link, a, log) },
		func(ctx context.Context) error { return watchHealth(ctx, &health, replica) },
	} {
		servers.Go(func(ctx context.Context) error {
			defer stopAgent()
			return server(ctx)
		})
	}
	err := a.Run(running)
	stopServers()
	return errors.Join(err, servers.Wait())
}

// watchHealth sets the process's readiness to that of the replica every
// healthEvery.
func watchHealth(ctx context.Context, health *telemetry.Health, replica *configstore.Replica) error {
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	for {
		health.SetReady(replica.Ready())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
