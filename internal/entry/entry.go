// Package entry runs one entry instance in one process: it follows the store,
// serves callers, exchanges state with the other instances, competes for the
// duties and stops gracefully.
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

	"kumquatyard/internal/clock"
	"kumquatyard/internal/demand"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/follow"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/peers"
	"kumquatyard/internal/quota"
	"kumquatyard/internal/retry"
	"kumquatyard/internal/serve"
	"kumquatyard/internal/store"
	"kumquatyard/internal/telemetry"
	"kumquatyard/internal/usage"
	pb "kumquatyard/proto/kumquat/v1"
)

// Settings are an instance's own.
type Settings struct {
	Name             string
	Zone             string
	CallersAddress   string
	ReadinessAddress string
	PeersAddress     string
	MetricsAddress   string
	RetryWindow      time.Duration
	UsageWindow      time.Duration
	Reloadable       ReloadableSettings
}

// ReloadableSettings are the settings that a running instance takes anew.
type ReloadableSettings struct {
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	// RetryRatio and RetrySlack bound the repeated sends of all instances.
	RetryRatio float64
	RetrySlack float64
	// QuotaTolerance is what is allowed beyond the workspaces' quotas.
	QuotaTolerance quota.Tolerance
}

// Frontend answers callers.
type Frontend interface {
	Serve(l net.Listener) error
	// CloseConnections ends each connection after its next answer.
	CloseConnections()
	// RefuseWork answers new requests as not run.
	RefuseWork()
	// Shutdown closes idle connections and waits for those in use.
	Shutdown(ctx context.Context) error
}

// Options are what an Instance is built from.
type Options struct {
	Settings Settings
	Store    store.Store
	Backend  serve.Backend
	// NewFrontend makes the front end on the core.
	NewFrontend func(core *serve.Server, picture func() *fleet.Snapshot) Frontend

	ConfigKey     string
	ServersPrefix string
	DecodeConfig  func([]byte) (*fleet.Config, error)
	DecodeServer  func(store.Item, time.Time) (fleet.Server, error)
	ServerID      func(key string) machine.ID

	// RunDuties competes for and does the duties until ctx is done; nil has none.
	RunDuties func(ctx context.Context, d DutyContext)
	// Sweep is called about once a second to drop idle connections; may be nil.
	Sweep func(now time.Time)
	Log   *logrus.Entry
}

// DutyContext is what the duties are done with.
type DutyContext struct {
	Usage     *usage.Counter
	Predictor *forecast.Predictor
	Snapshot  func() *fleet.Snapshot
	Now       func() time.Time
	Demand    *demand.Meter
	// Incarnation names this start of this instance in the counts of usage.
	Incarnation string
	// AllAlive reports whether all other instances were heard in the time ago.
	AllAlive func(ago time.Duration) bool
	// PeerReportAge returns how old what instances know of each other may be.
	PeerReportAge func() time.Duration
	// Candidate reports whether this instance should compete for the duties.
	Candidate func() bool
	// SetHolding is told when this instance takes and loses the duties.
	SetHolding func(bool)
}

// Instance is one entry instance.
type Instance struct {
	Options
	keeper   *pictureKeeper
	board    *forecast.Predictor
	ledger   *quota.Ledger
	counter  *usage.Counter
	clock    *clock.Clock
	budget   *retry.PoolBudget
	demand   *demand.Meter
	core     *serve.Server
	front    Frontend
	exchange *peers.Exchange
	follower *follow.Follower
	// feed holds what other instances read of the store.
	feed chan follow.Batch
	// fedBytes is what the last batch for the zone took of the link.
	fedBytes atomic.Int64

	bounds      atomic.Pointer[ReloadableSettings]
	incarnation uint64
	sequence    atomic.Uint64
	stopping    atomic.Bool
	// holding is set while this instance holds the duties; holderHeard is when
	// another was last heard to, in Unix nanoseconds.
	holding     atomic.Bool
	holderHeard atomic.Int64
	holder      atomic.Pointer[string]
	instances   atomic.Int64
}

const (
	// budgetShare is the part of the fleet's retry budget that is used; the rest
	// covers what instances learn late of each other.
	budgetShare = 0.7
	// maintainInterval is the time between looks at servers and instances.
	maintainInterval = 250 * time.Millisecond
)

// New returns an Instance.
func New(o Options) *Instance {
	now := time.Now()
	i := &Instance{
		Options: o, keeper: newPictureKeeper(o.Log), board: forecast.NewPredictor(),
		ledger:  quota.New(o.Settings.Reloadable.QuotaTolerance, now),
		counter: usage.New(o.Settings.UsageWindow), clock: clock.New(now),
		budget:      retry.NewPoolBudget(0, 0, retryWindow(o.Settings)),
		demand:      demand.New(),
		feed:        make(chan follow.Batch, feedBuffer),
		incarnation: uint64(now.UnixMilli()),
	}
	i.bounds.Store(&o.Settings.Reloadable)
	i.keeper.configured = func(c *fleet.Config) { i.ledger.SetQuotas(c.Workspaces, time.Now()) }
	i.core = serve.New(serve.Options{
		Zone: o.Settings.Zone, Snapshot: i.keeper.Load, Instances: i.count, Backend: o.Backend, Quotas: i.ledger, Usage: usageByClock{i},
		Predictor: i.board, Budget: i.budget, Demand: i.demand, Log: o.Log,
	})
	i.front = o.NewFrontend(i.core, i.keeper.Load)
	i.exchange = peers.New(peers.Options{
		Listen: o.Settings.PeersAddress, Name: o.Settings.Name, Zone: o.Settings.Zone,
		Collect: i.state, NeedsFull: i.toHolder, Apply: i.apply, ApplyChanges: i.takeChanges, Log: o.Log,
	})
	i.follower = i.newFollower()
	return i
}

// defaultRetryWindow is used where the settings name none.
const defaultRetryWindow = 10 * time.Second

func retryWindow(s Settings) time.Duration {
	if s.RetryWindow <= 0 {
		return defaultRetryWindow
	}
	return s.RetryWindow
}

// usageByClock counts requests by the corrected time of day.
type usageByClock struct{ i *Instance }

// RecordStart implements serve.Usage.
func (u usageByClock) RecordStart(workspace string, now time.Time) {
	u.i.counter.RecordStart(workspace, u.i.clock.Now(now))
}

// now is the corrected time of day.
func (i *Instance) now() time.Time { return i.clock.Now(time.Now()) }

// Run serves until ctx is done, then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", i.Settings.CallersAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readiness, err := net.Listen("tcp", i.Settings.ReadinessAddress)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	i.Log.WithFields(logrus.Fields{"event": "started", "zone": i.Settings.Zone, "incarnation": i.incarnation}).Info("instance started")
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	failures := make(chan error, 4)
	start := func(f func(context.Context) error) {
		wg.Go(func() {
			if err := f(background); err != nil && background.Err() == nil {
				failures <- err
			}
		})
	}
	start(func(context.Context) error { return i.front.Serve(callers) })
	start(func(context.Context) error { return i.serveReadiness(background, readiness) })
	start(func(ctx context.Context) error {
		return telemetry.Serve(ctx, i.Settings.MetricsAddress, nil, nil)
	})
	start(i.exchange.Run)
	start(func(ctx context.Context) error { i.follower.Run(ctx); return nil })
	start(func(context.Context) error { i.register(ctx, background); return nil })
	start(func(ctx context.Context) error { i.maintain(ctx); return nil })
	if i.RunDuties != nil {
		start(func(context.Context) error { i.RunDuties(ctx, i.dutyContext()); return nil })
	}
	select {
	case err = <-failures:
	case <-ctx.Done():
		i.stop()
	}
	cancel()
	_ = readiness.Close()
	_ = callers.Close()
	wg.Wait()
	i.Log.WithFields(logrus.Fields{"event": "stopped"}).Info("instance stopped")
	return err
}

func (i *Instance) dutyContext() DutyContext {
	return DutyContext{
		Incarnation: incarnationOf(i.self()), Usage: i.counter, Predictor: i.board, Snapshot: i.keeper.Load, Now: i.now, Demand: i.demand,
		AllAlive: i.exchange.AllAlive, PeerReportAge: i.newsAge, Candidate: i.mayTakeDuties, SetHolding: i.holding.Store,
	}
}

// newsAge is the longest time between two messages of another instance.
func (i *Instance) newsAge() time.Duration {
	_, far := i.exchange.Intervals()
	return far
}

func (i *Instance) newFollower() *follow.Follower {
	return &follow.Follower{
		Store: i.Store, Log: i.Log, Pause: i.watchPause,
		Role: i.storeRole, Feed: i.feed, Publish: i.publishChanges,
		ReplayFrom: func() uint64 { return i.exchange.ReplayFrom(time.Now()) },
		Subscriptions: []follow.Subscription{
			{Prefix: i.ConfigKey, Handler: &configHandler{key: i.ConfigKey, decode: i.DecodeConfig, keeper: i.keeper, log: i.Log}},
			{Prefix: i.ServersPrefix, Handler: &serverHandler{decode: i.DecodeServer, id: i.ServerID, keeper: i.keeper, log: i.Log}},
			{Prefix: membersPrefix, Handler: &memberHandler{changed: i.setMembers, log: i.Log}},
		},
	}
}

const (
	// watchPauseBase and watchPausePerInstance are the time between two reads of
	// changes: all instances together make a bounded number of calls. The limit
	// leaves time to act on a change within the platform's two seconds.
	watchPauseBase        = 250 * time.Millisecond
	watchPausePerInstance = 16 * time.Millisecond
	maxWatchPause         = 1300 * time.Millisecond
)

func (i *Instance) watchPause() time.Duration {
	if i.storeRole() == follow.Relay {
		return i.feedPause()
	}
	return min(watchPauseBase+time.Duration(i.count())*watchPausePerInstance, maxWatchPause)
}

// count returns the number of instances.
func (i *Instance) count() int { return int(i.instances.Load()) }

// Ready reports whether the instance takes new connections.
func (i *Instance) Ready() bool {
	p := i.keeper.Load()
	return p != nil && !i.stopping.Load()
}

func (i *Instance) serveReadiness(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		ReadHeaderTimeout: readinessTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !i.Ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.WriteHeader(http.StatusOK)
		}),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(l)
}

const readinessTimeout = 5 * time.Second

// maintain refreshes what depends on time alone.
func (i *Instance) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.keeper.expire(now)
			i.core.Maintain(now)
			if i.keeper.Load() != nil {
				i.setInstances(i.exchange.Count(now))
			}
			if i.Sweep != nil {
				i.Sweep(now)
			}
		}
	}
}

// setMembers takes the store's list of instances.
func (i *Instance) setMembers(members []*pb.Instance) {
	i.exchange.SetMembers(members)
	i.setInstances(i.exchange.Count(time.Now()))
}

// setInstances shares quotas and the retry budget among n instances.
func (i *Instance) setInstances(n int) {
	before := i.instances.Swap(int64(n))
	if int64(n) == before {
		return
	}
	i.Log.WithFields(logrus.Fields{"event": "instances_changed", "before": before, "now": n}).Info("number of instances changed")
	i.ledger.SetInstances(n, i.newsAge())
	i.shareRetries()
}

// shareRetries sets this instance's part of the retry budget.
func (i *Instance) shareRetries() {
	b := i.bounds.Load()
	i.budget.Set(budgetShare*b.RetryRatio, budgetShare*b.RetrySlack/float64(max(i.count(), 1)))
}

// Reload puts changed settings in force.
func (i *Instance) Reload(b ReloadableSettings) {
	i.bounds.Store(&b)
	i.ledger.SetTolerance(b.QuotaTolerance)
	i.shareRetries()
}
