package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/autoscale"
	"kumquatyard/internal/duty"
	"kumquatyard/internal/entry"
	"kumquatyard/internal/rollout"
	"kumquatyard/internal/usage"
	"kumquatyard/platform"
)

const dutyTimeout = 2 * time.Second

// dutyRunner does the duties while this instance holds them.
type dutyRunner struct {
	settings platform.Settings
	store    *platform.Store
	api      *platform.Duties
	state    entry.DutyContext
	reports  *usage.Reports
	log      *logrus.Entry
}

// runDuties competes for the duties and does them while they are held.
func runDuties(ctx context.Context, s platform.Settings, client *platform.Store, state entry.DutyContext, log *logrus.Entry) {
	if s.DutiesAddress == "" {
		return
	}
	r := &dutyRunner{
		settings: s, store: client, state: state, log: log,
		api: platform.NewDuties(s.DutiesAddress, s.Name, dutyTimeout), reports: usage.NewReports(),
	}
	job := &duty.Duty{
		Name: "duties", Holder: s.Name, KV: platform.DutyStore{Store: client}, Log: log,
		Settings: duty.Settings{
			TTL: s.LeaseTTL, RetryInterval: s.LeaseTTL / 4, FencingEnforced: s.FencingEnforced, KeepUntilExpiry: !s.FencingEnforced, UniqueHolder: true,
		},
		Candidate: func() bool { return state.Candidate(s.LeaseTTL) }, Stopping: state.Stopping, Perform: r.perform,
	}
	if err := job.Run(ctx); err != nil {
		log.WithError(err).WithField("event", "duty_failed").Error("duties stopped with an error")
	}
}

// perform does the duties until ctx is done or the lease is lost.
func (r *dutyRunner) perform(ctx context.Context, lease *duty.Lease) error {
	r.state.SetHolding(true)
	defer r.state.SetHolding(false)
	api := leasedDuties{Duties: r.api, lease: lease}
	var jobs []func(context.Context, uint64, func() error) error
	if r.settings.ReportsUsage {
		jobs = append(jobs, r.reporter(api).Run)
	}
	if r.settings.OrdersServers {
		jobs = append(jobs, r.scaler(api).Run)
	}
	if !r.settings.Rollouts.IsZero() {
		jobs = append(jobs, r.rollouts().Run)
	}
	return runAll(ctx, lease, jobs)
}

func (r *dutyRunner) reporter(api leasedDuties) *usage.Reporter {
	return &usage.Reporter{
		Counter: r.state.Usage, Stored: r.reports, StoreEra: r.state.StoreEra, Store: r.store, Sink: api,
		ReportDeadline: r.settings.UsageReportDeadline, AllReported: r.state.AllReported, Now: r.state.Now, Log: r.log, Incarnation: r.state.Incarnation,
	}
}

func (r *dutyRunner) scaler(api leasedDuties) *autoscale.Runner {
	return &autoscale.Runner{
		Provisioner: api, Snapshot: r.state.Snapshot, Predictor: r.state.Predictor, Demand: r.state.Demand, MaxStaleness: r.state.MaxStaleness,
		Covers: r.state.Covers, OnHold: r.state.Rollouts.InForce, Log: r.log,
	}
}

func (r *dutyRunner) rollouts() *rollout.Runner {
	return &rollout.Runner{
		Tracker: r.state.Rollouts, Store: r.store, Key: platform.RolloutStatusKey, Encode: platform.EncodeRolloutStatus, Decode: platform.DecodeRolloutStatus, Log: r.log,
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

// leasedDuties calls the API for duties only while the lease is valid.
type leasedDuties struct {
	*platform.Duties
	lease *duty.Lease
}

// ReportUsage implements usage.Sink.
func (d leasedDuties) ReportUsage(ctx context.Context, fencingToken uint64, w usage.Window, counts usage.Counts) error {
	return d.lease.Do(ctx, func(ctx context.Context) error { return d.Duties.ReportUsage(ctx, fencingToken, w, counts) })
}

// OrderServers implements autoscale.Provisioner.
func (d leasedDuties) OrderServers(ctx context.Context, fencingToken uint64, o autoscale.Order) error {
	return d.lease.Do(ctx, func(ctx context.Context) error { return d.Duties.OrderServers(ctx, fencingToken, o) })
}
