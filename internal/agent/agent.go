package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/config"
	"kumquatyard/internal/link"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/member"
	"kumquatyard/internal/observe"
	"kumquatyard/internal/platform"
	pb "kumquatyard/proto/kumquat/v1"
)

// role is the agents' role in messages and in the instance list.
const role = "agent"

// InstanceList is the platform's list of instances, which lags behind reality.
type InstanceList interface {
	List(ctx context.Context) ([]platform.Instance, error)
}

// Notices is the source of the cloud's reclaim notices.
type Notices interface {
	Notices(ctx context.Context) ([]platform.Notice, error)
}

// ConfigSource holds the configuration in force. Its version never decreases.
type ConfigSource interface {
	Bundle() *pb.ConfigBundle
	Config() *config.Config
	Version() uint64
	// Changed returns a channel that receives a value after the version grew.
	Changed() <-chan struct{}
	// RecordPeerVersion records that a peer announced a version.
	RecordPeerVersion(ctx context.Context, peerAddress string, version uint64)
	// SetWatcher sets whether to hold a watch on the key-value service.
	SetWatcher(watcher bool)
}

// Component is a part of the agent that runs beside the agent's own loops, such
// as the configuration replica or the claim shard service.
type Component interface {
	// Run works until ctx is done and then releases the duties and shards that
	// it holds.
	Run(ctx context.Context) error
	// Handle answers a request. It returns a nil response and a nil error for a
	// request that another component must handle.
	Handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error)
}

// DutyReporter is a Component that holds duties.
type DutyReporter interface {
	Duties() []*pb.Duty
}

// Options are the settings and dependencies of an Agent.
type Options struct {
	Settings Settings
	Caller   link.Caller
	List     InstanceList
	// Notices may be nil when there is no cloud API.
	Notices    Notices
	Config     ConfigSource
	Components []Component
	Log        *logrus.Entry
	// Incarnation must grow with each start of the process. The start time in
	// Unix milliseconds meets this.
	Incarnation uint64
}

// Agent is the control process of one entry instance.
type Agent struct {
	settings    Settings
	caller      link.Caller
	list        InstanceList
	notices     Notices
	config      ConfigSource
	components  []Component
	log         *logrus.Entry
	incarnation uint64
	observer    *observer
	gateway     viewState

	// urgentView and urgentDigest request a view or digest without waiting for
	// the interval; urgentHeartbeat requests heartbeats to all peers in scope.
	urgentView, urgentDigest, urgentHeartbeat, configChanged chan struct{}

	mu        sync.Mutex
	table     *member.Table
	publisher *observe.Publisher
	store     *observe.Store
	hints     leavingHints
	summaries map[string]*pb.ZoneSummary
	servers   map[machine.ID]machine.Server
	listBytes int
	// round counts heartbeat rounds.
	round uint64
	// digestSent is the version of the last digest that was sent to all peers.
	digestSent uint64
}

// New returns an Agent that knows no peers and no server states yet.
func New(o Options) *Agent {
	a := &Agent{
		settings: o.Settings, caller: o.Caller, list: o.List, notices: o.Notices, config: o.Config,
		components: o.Components, log: o.Log, incarnation: o.Incarnation,
		urgentView: make(chan struct{}, 1), urgentDigest: make(chan struct{}, 1),
		urgentHeartbeat: make(chan struct{}, 1), configChanged: make(chan struct{}, 1),
		table: member.NewTable(member.Peer{
			ID: o.Settings.ID, Incarnation: o.Incarnation, Zone: o.Settings.Zone,
			Address: o.Settings.Link.Listen, Role: role,
		}, member.DefaultLimits),
		publisher: observe.NewPublisher(o.Settings.ID, o.Incarnation),
		store:     observe.NewStore(),
		hints:     newLeavingHints(),
		summaries: map[string]*pb.ZoneSummary{},
		servers:   map[machine.ID]machine.Server{},
	}
	a.observer = newObserver(a, o.Settings.Intervals.Observe)
	return a
}

// Add adds a component that needs the agent for its own construction. It must
// not be called after Run.
func (a *Agent) Add(c Component) { a.components = append(a.components, c) }

// Run runs the agent until ctx is done. Then it stops the components, which
// release their duties, announces to its peers that it is leaving and returns
// nil.
func (a *Agent) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loops := pool.New().WithContext(background).WithCancelOnError()
	for _, loop := range a.loops() {
		loops.Go(loop)
	}
	components := pool.New().WithContext(ctx).WithCancelOnError()
	for _, c := range a.components {
		components.Go(c.Run)
	}
	components.Go(func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-background.Done():
		}
		return nil
	})
	err := components.Wait()
	a.announceLeaving(background)
	stop()
	if loopErr := loops.Wait(); loopErr != nil && err == nil {
		err = loopErr
	}
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("run the agent: %w", err)
	}
	return nil
}

func (a *Agent) loops() []func(context.Context) error {
	intervals := a.settings.Intervals
	return []func(context.Context) error{
		periodic(intervals.Heartbeat, a.urgentHeartbeat, a.heartbeat),
		periodic(intervals.Digest, a.urgentDigest, a.sendDigest),
		periodic(intervals.View, a.urgentView, a.pushView),
		periodic(intervals.Summary, nil, a.sendSummaries),
		periodic(noticeInterval, nil, a.readNotices),
		periodic(intervals.Heartbeat, a.configChanged, a.reconcile),
		a.readList,
		a.observer.run,
		a.forwardConfigChanges,
	}
}

// announceLeaving informs the peers in scope that this process is leaving.
func (a *Agent) announceLeaving(ctx context.Context) {
	a.mu.Lock()
	a.table.SetLeaving()
	a.mu.Unlock()
	a.announce(ctx)
	a.log.Info("leaving")
}

// Peers returns the known processes of other entry instances.
func (a *Agent) Peers() []member.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Members(time.Now())
}

// Live returns the ids of the live agents of the agent's zone, itself included.
func (a *Agent) Live() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Live(a.settings.Zone, time.Now())
}

// States returns the known states of the servers in scope.
func (a *Agent) States() []machine.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.store.States()
}

// forwardConfigChanges signals the loops that depend on the configuration
// whenever it changes.
func (a *Agent) forwardConfigChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.config.Changed():
			signal(a.configChanged)
			signal(a.urgentView)
			signal(a.urgentHeartbeat)
		}
	}
}

// reconcile updates the agent's scope, servers, watch and observation targets to
// the current configuration and membership.
func (a *Agent) reconcile(context.Context, bool) {
	cfg := a.config.Config()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Tick(now)
	a.table.SetScope(scopeOf(cfg, a.settings.Zone))
	a.servers = make(map[machine.ID]machine.Server, len(a.servers))
	for id, server := range cfg.Servers {
		if a.table.InScope(server.Zone) {
			a.servers[id] = server
		}
	}
	a.dropUnconfigured(now)
	a.config.SetWatcher(contains(member.Watchers(a.settings.Zone, a.table.Live(a.settings.Zone, now)), a.settings.ID))
	a.observer.assign(a.servers, a.table.LiveInScope(now))
}

// dropUnconfigured forgets servers that are no longer configured and the digests
// of observers without contact for replicaLifetime. The mutex is held.
func (a *Agent) dropUnconfigured(now time.Time) {
	known := func(id machine.ID) bool { _, ok := a.servers[id]; return ok }
	a.store.Retain(known)
	a.store.DropObservers(now.Add(-replicaLifetime))
	for _, id := range a.publisher.Observed() {
		if !known(id) {
			a.publisher.Forget(id)
		}
	}
}

// PeerAddresses returns the addresses of the agents to pull the configuration
// from: those in scope, or all others if none in scope is known.
func (a *Agent) PeerAddresses() []string {
	var near, far []string
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.table.Members(time.Now()) {
		switch {
		case m.Role != role || m.Address == "" || m.Status == member.Dead:
		case a.table.InScope(m.Zone):
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	if len(near) == 0 {
		return far
	}
	return near
}
