// Package entry runs an entry instance as a single process, kumquat-entry: it
// follows the store, serves callers, exchanges state with the other instances,
// competes for the duties (the tasks that one elected instance does for all) and
// shuts down gracefully. It does not depend on a platform, whose adapters are passed
// in Options.
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/brittle"
	"kumquatyard/internal/clock"
	"kumquatyard/internal/connlimit"
	"kumquatyard/internal/demand"
	"kumquatyard/internal/fairshare"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/follow"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/handover"
	"kumquatyard/internal/origin"
	"kumquatyard/internal/peers"
	"kumquatyard/internal/quarantine"
	"kumquatyard/internal/quota"
	"kumquatyard/internal/ratelimit"
	"kumquatyard/internal/retry"
	"kumquatyard/internal/rollout"
	"kumquatyard/internal/serve"
	"kumquatyard/internal/store"
	"kumquatyard/internal/telemetry"
	"kumquatyard/internal/usage"
)

// Instance is one entry instance.
type Instance struct {
	Options
	snapshots *snapshotPublisher
	predictor *forecast.Predictor
	ledger    *quota.Ledger
	levels    *quota.Levels
	counter   *usage.Counter
	clock     *clock.Clock
	budget    *retry.PoolBudget
	demand    *demand.Meter
	leaving   leavingNotices
	// quarantine judges requests and parts of prompts by the servers that ended under them.
	quarantine *quarantine.Tracker
	// limits holds the limits of request rates that servers name.
	limits *ratelimit.Tracker
	// brittle shares the room of servers that fall over when they turn requests away.
	brittle *brittle.Tracker
	// origins knows which versions of the servers' software began streams.
	origins *origin.Tracker
	// rollouts says which versions of the servers' software requests may go to.
	rollouts *rollout.Tracker
	// shares divides the room of pools that are short of it among the workspaces.
	shares *fairshare.Tracker
	// helpers knows which other instances may serve requests of this one.
	helpers  *handover.Directory
	core     *serve.Server
	frontend Frontend
	exchange *peers.Exchange
	follower *follow.Follower
	// feed queues the store changes relayed by other instances.
	feed chan follow.Batch
	// relayTime is the time for which the last relayed batch fills the link, in nanoseconds.
	relayTime atomic.Int64

	reloadable  atomic.Pointer[ReloadableSettings]
	startedAt   time.Time
	incarnation uint64
	stopping    atomic.Bool
	// holding is set while this instance holds the duties. holderSeen is when
	// another instance last reported that it holds them, in Unix nanoseconds.
	holding    atomic.Bool
	holderSeen atomic.Int64
	instances  atomic.Int64
}

const (
	// budgetShare is the part of the fleet's retry budget that is used; the rest
	// covers the delay with which instances learn of each other.
	budgetShare = 0.7
	// recordShare is the part of the store's writing calls that records of streams may take.
	recordShare = 0.25
	// maintainInterval is the interval of the checks for expired servers and for
	// changes in the number of instances.
	maintainInterval = 250 * time.Millisecond
)

// New returns an Instance.
func New(o Options) *Instance {
	now := time.Now()
	if o.Guard == nil {
		o.Guard = connlimit.Unlimited(o.Log)
	}
	i := &Instance{
		Options: o, snapshots: newSnapshotPublisher(o.Log), predictor: forecast.NewPredictor(),
		ledger:  quota.New(o.Settings.Reloadable.QuotaTolerance, now),
		levels:  quota.NewLevels(o.Settings.Reloadable.QuotaTolerance, now),
		counter: usage.New(o.Settings.UsageWindow), clock: clock.New(now),
		budget:      retry.NewPoolBudget(0, 0, retryWindow(o.Settings)),
		demand:      demand.New(),
		quarantine:  quarantine.New(o.Log),
		limits:      ratelimit.New(o.Settings.Name, o.Log),
		brittle:     brittle.New(o.Settings.Name, o.Log),
		rollouts:    rollout.New(rollout.Options{Bounds: o.Settings.Rollouts, Log: o.Log}),
		helpers:     handover.NewDirectory(o.Settings.Zone),
		feed:        make(chan follow.Batch, feedBuffer),
		startedAt:   now,
		incarnation: uint64(now.UnixMilli()),
	}
	i.reloadable.Store(&o.Settings.Reloadable)
	i.snapshots.setWithheld(true)
	i.snapshots.onConfig = func(c *fleet.Config) { i.levels.SetQuotas(c.Workspaces) }
	i.origins = origin.New(origin.Options{
		Store: o.Store, Snapshot: i.snapshots.Load, Instances: i.count, WritesLists: i.readsStore,
		WritesPerSecond: recordShare * o.Settings.StoreWritesPerSecond, Log: o.Log,
	})
	i.shares = i.newShares()
	i.core = serve.New(serve.Options{
		Shares: i.shares,
		Zone:   o.Settings.Zone, DrainTime: o.Settings.DrainTime, Snapshot: i.snapshots.Load, Instances: i.count, Backend: o.Backend, Quotas: i.ledger, Usage: correctedUsage{i},
		Predictor: i.predictor, Budget: i.budget, Demand: i.demand, Quarantine: i.quarantine, Limits: i.limits, Brittle: i.brittle, Origins: i.origins, Rollouts: i.rollouts, OtherInstances: i.otherInstances, Helpers: i.helpers, MarkLeaving: i.markLeaving, Log: o.Log,
	})
	i.frontend = o.NewFrontend(i.core, i.snapshots.Load)
	i.exchange = peers.New(peers.Options{
		Self: i.self(), Quotas: i.levels, Collect: i.state, CollectUsage: i.usageCounts,
		Apply: i.apply, ApplyUsage: i.applyUsage, ApplyChanges: i.receiveChanges,
		Evidence: i.quarantine.Evidence, ApplyEvidence: i.quarantine.Merge,
		Limits: i.limits.Messages, ApplyLimits: i.limits.Merge,
		Brittle: i.brittle.Messages, ApplyBrittle: i.brittle.Merge, Log: o.Log,
	})
	i.follower = i.newFollower()
	return i
}

// newShares returns the shares of short room, inactive ones unless the settings enable them.
func (i *Instance) newShares() *fairshare.Tracker {
	if !i.Settings.ShareRoom {
		return fairshare.New(fairshare.Options{})
	}
	return fairshare.New(fairshare.Options{Instances: i.count, Demand: i.demand.Total, Rate: i.predictor.Rate, Log: i.Log})
}

// defaultRetryWindow is used if the settings have no retry window.
const defaultRetryWindow = 10 * time.Second

func retryWindow(s Settings) time.Duration {
	if s.RetryWindow <= 0 {
		return defaultRetryWindow
	}
	return s.RetryWindow
}

// correctedUsage counts requests in the window of the corrected time of day.
type correctedUsage struct{ i *Instance }

// RecordStart implements serve.Usage.
func (u correctedUsage) RecordStart(workspace string, now time.Time) {
	u.i.counter.RecordStart(workspace, u.i.clock.Now(now))
}

// now returns the corrected time of day.
func (i *Instance) now() time.Time { return i.clock.Now(time.Now()) }

// Run serves until ctx is done, then shuts down gracefully.
func (i *Instance) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", i.Settings.CallersAddress)
	if err != nil {
		return fmt.Errorf("open listener for callers: %w", err)
	}
	// Requests that are handed over arrive by TCP where messages arrive by UDP.
	handovers, err := net.Listen("tcp", i.Settings.PeersAddress)
	if err != nil {
		return fmt.Errorf("open listener for requests of other instances: %w", err)
	}
	readiness, err := net.Listen("tcp", i.Settings.ReadinessAddress)
	if err != nil {
		return fmt.Errorf("open listener for readiness checks: %w", err)
	}
	i.Log.WithFields(logrus.Fields{"event": "started", "zone": i.Settings.Zone, "incarnation": i.incarnation}).Info("instance started")
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	failures := make(chan error, 5)
	start := func(f func(context.Context) error) {
		wg.Go(func() {
			if err := f(background); err != nil && background.Err() == nil {
				failures <- err
			}
		})
	}
	start(func(context.Context) error { return i.frontend.Serve(callers) })
	start(func(context.Context) error { return i.frontend.ServeHandovers(handovers) })
	start(func(context.Context) error { return i.serveReadiness(background, readiness) })
	start(func(ctx context.Context) error {
		return telemetry.ServeAt(ctx, i.Guard.Metrics, i.Settings.MetricsAddress, nil, map[string]http.Handler{"GET " + configPath: http.HandlerFunc(i.serveConfig)})
	})
	start(i.exchange.Run)
	start(func(ctx context.Context) error { i.follower.Run(ctx); return nil })
	start(func(context.Context) error { i.register(ctx, background); return nil })
	start(func(ctx context.Context) error { i.maintain(ctx); return nil })
	start(i.newConfigKeeper().run)
	start(func(ctx context.Context) error {
		i.origins.Run(ctx, func() uint64 { return i.follower.Era().Number })
		return nil
	})
	if i.RunDuties != nil {
		start(func(background context.Context) error { i.RunDuties(background, i.dutyContext(ctx.Done())); return nil })
	}
	select {
	case err = <-failures:
	case <-ctx.Done():
		i.stop()
	}
	cancel()
	_ = readiness.Close()
	_ = callers.Close()
	_ = handovers.Close()
	wg.Wait()
	i.Log.WithFields(logrus.Fields{"event": "stopped"}).Info("instance stopped")
	return err
}

func (i *Instance) dutyContext(stopping <-chan struct{}) DutyContext {
	return DutyContext{
		Incarnation: incarnationOf(i.self()), Usage: i.counter, Predictor: i.predictor, Snapshot: i.snapshots.Load, Now: i.now, Demand: i.demand, Rollouts: i.rollouts,
		AllReported: i.exchange.AllReported, MaxStaleness: i.exchange.MaxAge, Covers: i.exchange.Covers, Candidate: i.mayCompeteForDuties, SetHolding: i.holding.Store,
		StoreEra: i.storeEra, Stopping: stopping,
	}
}

// storeEra returns the store's era and when this instance first read the store in it, by
// the corrected time of day.
func (i *Instance) storeEra() (era uint64, since time.Time) {
	e := i.follower.Era()
	return e.Number, i.clock.Now(e.Since)
}

func (i *Instance) newFollower() *follow.Follower {
	return &follow.Follower{
		Store: i.Store, Log: i.Log, Pause: i.watchPause,
		MaxRetry: func() time.Duration {
			return maxStoreRetry(i.exchange.ZoneSize(time.Now()), i.exchange.IsAggregator(time.Now()))
		},
		Role: i.storeRole, Feed: i.feed, Publish: i.publishChanges,
		ReplayFrom: func(era uint64) store.Revision { return i.exchange.ReplayFrom(era, time.Now()) },
		Subscriptions: append([]follow.Subscription{
			// First, so that the quotas are divided before requests are served.
			{Prefix: membersPrefix, Handler: &memberHandler{changed: i.setMembers, log: i.Log}},
			{Prefix: i.ConfigKey, Handler: &configHandler{key: i.ConfigKey, decode: i.DecodeConfig, snapshots: i.snapshots, log: i.Log}},
			{Prefix: i.ServersPrefix, Handler: &serverHandler{decode: i.DecodeServer, id: i.ServerID, snapshots: i.snapshots, log: i.Log}},
			// After the servers, so that a version that the list lacks is not taken for one that
			// it has lost.
			{Prefix: origin.VersionsPrefix, Handler: i.origins},
		}, i.rolloutSubscriptions()...),
	}
}

// rolloutSubscriptions returns the subscriptions for roll-outs. They are listed after the servers, so that
// no server of a new version is known before its order.
func (i *Instance) rolloutSubscriptions() []follow.Subscription {
	if i.Settings.Rollouts.IsZero() || i.RolloutOrdersPrefix == "" {
		return nil
	}
	return []follow.Subscription{
		{Prefix: i.RolloutOrdersPrefix, Handler: i.rollouts.Orders(i.RolloutOrdersPrefix, i.DecodeRolloutOrder)},
		{Prefix: i.RolloutStatusPrefix, Handler: i.rollouts.Statuses(i.RolloutStatusPrefix, i.DecodeRolloutStatus)},
	}
}

const (
	// watchPauseBase and watchPausePerInstance give the time between two reads of
	// changes. It grows with the number of instances, which bounds the calls of all
	// instances together. maxWatchPause leaves time to act on a change within the
	// platform's two seconds.
	watchPauseBase        = 250 * time.Millisecond
	watchPausePerInstance = 16 * time.Millisecond
	maxWatchPause         = 1300 * time.Millisecond
)

// watchPause returns the time between two reads of the store's changes.
func (i *Instance) watchPause() time.Duration {
	if i.storeRole() == follow.Relay {
		return i.relayPause()
	}
	return min(watchPauseBase+time.Duration(i.count())*watchPausePerInstance, maxWatchPause)
}

// count returns the number of instances.
func (i *Instance) count() int { return int(i.instances.Load()) }

// Ready reports whether the instance accepts new connections.
func (i *Instance) Ready() bool {
	p := i.snapshots.Load()
	return p != nil && !i.stopping.Load()
}

func (i *Instance) serveReadiness(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		ReadHeaderTimeout: readinessTimeout, MaxHeaderBytes: readinessHeaderBytes,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !i.Ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.WriteHeader(http.StatusOK)
		}),
	}
	i.Guard.Readiness.Configure(server)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(i.Guard.Readiness.Listen(l))
}

const (
	readinessTimeout = 5 * time.Second
	// readinessHeaderBytes bounds the heads of readiness checks, to which net/http adds 4 KiB.
	readinessHeaderBytes = 1 << 10
)

// maintain does the periodic work: it expires servers, counts the instances and
// sweeps idle connections, until ctx is done.
func (i *Instance) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.snapshots.expire(now)
			i.core.Maintain(now)
			if p := i.snapshots.Load(); p != nil {
				i.rollouts.Maintain(p, i.count(), now)
				i.setInstances(i.exchange.InstanceCount(now))
			}
			i.Guard.Sweep(now)
			if i.Sweep != nil {
				i.Sweep(now)
			}
		}
	}
}
