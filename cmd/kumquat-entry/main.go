// Command kumquat-entry runs an entry instance on the users' platform in one process.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/entry"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/process"
	"kumquatyard/internal/serve"
	"kumquatyard/internal/telemetry"
	"kumquatyard/internal/upstream"
	"kumquatyard/platform"
)

const (
	name         = "kumquat-entry"
	storeTimeout = time.Second
)

func main() { os.Exit(run()) }

func run() int {
	signals := process.HandleSignals()
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Flush()
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitFailure
	}
	log := telemetry.NewLoggerTo(out, name, settings.Name, "info")
	limitMemory(settings.MemoryBytes, log)
	instance := newInstance(settings, log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchSettings(ctx, signals.Reload, settings, instance, log)
	if err := instance.Run(signals.Stop); err != nil {
		log.WithError(err).WithField("event", "failed").Error("instance stopped because of an error")
		return process.ExitFailure
	}
	return process.ExitOK
}

func newInstance(s platform.Settings, log *logrus.Entry) *entry.Instance {
	connections := upstream.NewPool(upstreamSettings(s))
	client := platform.NewStore(s.StoreAddress, storeTimeout, answersBudget(s.MemoryBytes))
	var limits operatorLimits
	guard := platform.NewGuard(s, limits.current, log)
	return entry.New(entry.Options{
		Settings: entry.Settings{
			Name: s.Name, Zone: s.Zone, CallersAddress: s.CallersAddress, ReadinessAddress: s.ReadinessAddress,
			PeersAddress: s.PeersAddress, MetricsAddress: s.MetricsAddress, LinkMbps: s.LinkMbps, ShareRoom: s.ShareRoom, StoreWritesPerSecond: s.StoreWritesPerSecond,
			DrainTime: s.DrainTime, RetryWindow: s.RetryWindow, UsageWindow: s.UsageWindow, Rollouts: s.Rollouts, Reloadable: reloadableSettings(s),
		},
		Store:   client,
		Backend: platform.NewBackend(connections, log),
		NewFrontend: func(core *serve.Server, snapshot func() *fleet.Snapshot) entry.Frontend {
			limits.snapshot.Store(&snapshot)
			ingress := platform.NewIngress(core, snapshot, nil)
			ingress.Limit(guard)
			return ingress
		},
		ConfigKey: platform.ConfigKey, ServersPrefix: platform.ServersPrefix,
		DecodeConfig: platform.DecodeConfig, DecodeServer: platform.DecodeServer, ServerID: platform.ServerID,
		RolloutOrdersPrefix: platform.RolloutOrdersPrefix, RolloutStatusPrefix: platform.RolloutStatusPrefix,
		DecodeRolloutOrder: platform.DecodeRolloutOrder, DecodeRolloutStatus: platform.DecodeRolloutStatus,
		RunDuties: func(ctx context.Context, d entry.DutyContext) { runDuties(ctx, s, client, d, log) },
		Guard:     guard,
		Sweep:     connections.Sweep,
		Log:       log,
	})
}
