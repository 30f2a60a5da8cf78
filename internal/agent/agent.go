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

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	List(ctx context.Context) ([]platform.Instance, error)
}

// Notices are the cloud's reclaim notices.
type Notices interface {
	Notices(ctx context.Context) ([]platform.Notice, error)
}

// ConfigSource holds the configuration in force. Its version only grows.
type ConfigSource interface {
	Bundle() *pb.ConfigBundle
	Config() *config.Config
	Version() uint64
	// Changed receives a value after the version grew.
	Changed() <-chan struct{}
	// Seen notes that a peer announced a version.
	Seen(ctx context.Context, peerAddress string, version uint64)
	// SetWatcher says whether to hold a watch on the key-value service.
	SetWatcher(watcher bool)
}

// Component is a part of the agent that runs beside its own loops, such as the
// keeper of the configuration or the owner of claim shards.
type Component interface {
	// Run works until ctx is done and then gives up what it holds.
	Run(ctx context.Context) error
	// Handle answers a request, or returns nil and no error when the request
	// is not its own.
	Handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error)
}

// DutyReporter is a Component that holds duties.
type DutyReporter interface {
	Duties() []*pb.Duty
}

// Options are what an Agent works with.
type Options struct {
	Settings Settings
	Caller   link.Caller
	List     InstanceList
	// Notices may be nil when there is no cloud API.
	Notices    Notices
	Config     ConfigSource
	Components []Component
	Log        *logrus.Entry
	// Incarnation must grow with each start; the start time in Unix
	// milliseconds does.
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

	// viewSoon and digestSoon ask for an urgent view or digest, beatSoon for
	// heartbeats to all peers in scope.
	viewSoon, digestSoon, beatSoon, configChanged chan struct{}

	mu        sync.Mutex
	table     *member.Table
	publisher *observe.Publisher
	store     *observe.Store
	hints     leavingHints
	summaries map[string]*pb.ZoneSummary
	servers   map[machine.ID]machine.Server
	listBytes int
	// round counts the rounds of heartbeats.
	round uint64
	// digestSent is the version that the last digest to all peers brought.
	digestSent uint64
}

// New returns an Agent that knows nothing yet.
func New(o Options) *Agent {
	a := &Agent{
		settings: o.Settings, caller: o.Caller, list: o.List, notices: o.Notices, config: o.Config,
		components: o.Components, log: o.Log, incarnation: o.Incarnation,
		viewSoon: make(chan struct{}, 1), digestSoon: make(chan struct{}, 1),
		beatSoon: make(chan struct{}, 1), configChanged: make(chan struct{}, 1),
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

// Add adds a component that itself needs the agent. It must not be called
// after Run.
func (a *Agent) Add(c Component) { a.components = append(a.components, c) }

// Run works until ctx is done; then it gives up its duties, tells its peers and
// returns nil.
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
	a.leave(background)
	stop()
	if loopErr := loops.Wait(); loopErr != nil && err == nil {
		err = loopErr
	}
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("agent: %w", err)
	}
	return nil
}

func (a *Agent) loops() []func(context.Context) error {
	every := a.settings.Intervals
	return []func(context.Context) error{
		periodic(every.Heartbeat, a.beatSoon, a.heartbeat),
		periodic(every.Digest, a.digestSoon, a.sendDigest),
		periodic(every.View, a.viewSoon, a.pushView),
		periodic(every.Summary, nil, a.sendSummaries),
		periodic(noticeEvery, nil, a.readNotices),
		periodic(every.Heartbeat, a.configChanged, a.follow),
		a.readList,
		a.observer.run,
		a.forwardConfigChanges,
	}
}

// leave tells the peers in scope that this process leaves.
func (a *Agent) leave(ctx context.Context) {
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

// States returns what is known about the servers in scope.
func (a *Agent) States() []machine.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.store.States()
}

func (a *Agent) forwardConfigChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.config.Changed():
			signal(a.configChanged)
			signal(a.viewSoon)
			signal(a.beatSoon)
		}
	}
}

// follow applies the configuration and the membership to the agent's work.
func (a *Agent) follow(context.Context, bool) {
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
	a.forgetServers(now)
	a.config.SetWatcher(contains(member.Watchers(a.settings.Zone, a.table.Live(a.settings.Zone, now)), a.settings.ID))
	a.observer.assign(a.servers, a.table.LiveInScope(now))
}

func (a *Agent) forgetServers(now time.Time) {
	known := func(id machine.ID) bool { _, ok := a.servers[id]; return ok }
	a.store.Retain(known)
	a.store.DropObservers(now.Add(-replicaLifetime))
	for _, id := range a.publisher.Observed() {
		if !known(id) {
			a.publisher.Forget(id)
		}
	}
}

// PeerAddresses returns the addresses of the agents that may be asked for the
// configuration: those in scope, or all while none is known there.
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
