// Command kumquat-entry runs an entry instance on the users' platform in one process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/autoscale"
	"kumquatyard/internal/duty"
	"kumquatyard/internal/entry"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/process"
	"kumquatyard/internal/serve"
	"kumquatyard/internal/telemetry"
	"kumquatyard/internal/upstream"
	"kumquatyard/internal/usage"
	"kumquatyard/platform"
)

const (
	name         = "kumquat-entry"
	storeTimeout = time.Second
	dutyTimeout  = 2 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Flush()
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitFailure
	}
	log := telemetry.NewLoggerTo(out, name, settings.Name, "info")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	instance := newInstance(settings, log)
	go watchSettings(ctx, settings, instance, log)
	if err := instance.Run(ctx); err != nil {
		log.WithError(err).WithField("event", "failed").Error("instance stopped because of an error")
		return process.ExitFailure
	}
	return process.ExitOK
}

func newInstance(s platform.Settings, log *logrus.Entry) *entry.Instance {
	connections := upstream.NewPool(upstream.DefaultSettings)
	client := platform.NewStore(s.StoreAddress, storeTimeout)
	return entry.New(entry.Options{
		Settings: entry.Settings{
			Name: s.Name, Zone: s.Zone, CallersAddress: s.CallersAddress, ReadinessAddress: s.ReadinessAddress,
			PeersAddress: s.PeersAddress, MetricsAddress: s.MetricsAddress,
			RetryWindow: s.RetryWindow, UsageWindow: s.UsageWindow, Reloadable: reloadableSettings(s),
		},
		Store:   client,
		Backend: platform.NewBackend(connections),
		NewFrontend: func(core *serve.Server, snapshot func() *fleet.Snapshot) entry.Frontend {
			return platform.NewIngress(core, snapshot)
		},
		ConfigKey: platform.ConfigKey, ServersPrefix: platform.ServersPrefix,
		DecodeConfig: platform.DecodeConfig, DecodeServer: platform.DecodeServer, ServerID: platform.ServerID,
		RunDuties: func(ctx context.Context, d entry.DutyContext) { runDuties(ctx, s, client, d, log) },
		Sweep:     connections.Sweep,
		Log:       log,
	})
}

// runDuties competes for the duties and does them while they are held.
func runDuties(ctx context.Context, s platform.Settings, client *platform.Store, d entry.DutyContext, log *logrus.Entry) {
	if s.DutiesAddress == "" {
		return
	}
	duties := platform.NewDuties(s.DutiesAddress, s.Name, dutyTimeout)
	job := &duty.Duty{
		Name: "duties", Holder: s.Name, KV: platform.DutyStore{Store: client}, Log: log,
		Settings:  duty.Settings{TTL: s.LeaseTTL, RetryInterval: s.LeaseTTL / 4, FencingEnforced: s.FencingEnforced, UniqueHolder: true},
		Candidate: d.Candidate,
		Perform: func(ctx context.Context, lease *duty.Lease) error {
			d.SetHolding(true)
			defer d.SetHolding(false)
			scaler := &autoscale.Runner{Provisioner: duties, Snapshot: d.Snapshot, Predictor: d.Predictor, Demand: d.Demand, MaxStaleness: d.MaxStaleness, Log: log}
			reporter := &usage.Reporter{
				Counter: d.Usage, Store: client, Sink: duties, ReportDeadline: s.UsageReportDeadline, AllAlive: d.AllAlive, Now: d.Now, Log: log, Incarnation: d.Incarnation,
			}
			var jobs []func(context.Context, uint64, func() error) error
			if s.ReportsUsage {
				jobs = append(jobs, reporter.Run)
			}
			if s.OrdersServers {
				jobs = append(jobs, scaler.Run)
			}
			return runAll(ctx, lease, jobs)
		},
	}
	if err := job.Run(ctx); err != nil {
		log.WithError(err).WithField("event", "duty_failed").Error("duties stopped with an error")
	}
}

// runAll runs the jobs of a duty concurrently. When one fails, it cancels the others.
func runAll(ctx context.Context, lease *duty.Lease, jobs []func(context.Context, uint64, func() error) error) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	for _, job := range jobs {
		group.Go(func(ctx context.Context) error { return job(ctx, lease.FencingToken(), lease.Check) })
	}
	return group.Wait()
}
