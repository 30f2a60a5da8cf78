package gateway

import (
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"kumquatyard/internal/answer"
	"kumquatyard/internal/config"
	"kumquatyard/internal/configstore"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/observe"
	"kumquatyard/internal/outlier"
	"kumquatyard/internal/route"
	pb "kumquatyard/proto/kumquat/v1"
)

// resumeTokenLifetime is how long after the start of an attempt its stream may
// be resumed.
const resumeTokenLifetime = time.Hour

// indexBlockBits sets the size of the index of cached blocks: 2^18 slots of 8
// bytes.
const indexBlockBits = 18

// snapshot is the immutable state that requests are served from.
type snapshot struct {
	cfg *config.Config
	// observed routes over the servers that the agent observes, inventory over
	// those known only from the inventory. inventory is nil when there are none
	// and is rebuilt only when the configuration or the number of observed
	// servers changes.
	observed  *route.View
	inventory *route.View
	signer    *answer.Signer
	states    map[machine.ID]machine.State
	// gateways is the number of gateways that share the servers' capacity.
	gateways int
	// receivedAt is when the agent's last view arrived.
	receivedAt time.Time
}

// errViewGap means that a view does not follow the previous one; the agent must
// send a full view.
var errViewGap = errors.New("view does not follow the previous one; send a full one")

// snapshots builds snapshots from the agent's views and holds the current one.
// Writers hold mu; requests load the current snapshot without locking.
type snapshots struct {
	zone    string
	tracker *tracker
	current atomic.Pointer[snapshot]

	mu       sync.Mutex
	sequence uint64
	parser   configstore.Parser
	caches   map[machine.ID]*route.CacheBuilder
	index    *route.Index
	detector *outlier.Detector
	changed  func(*snapshot)

	// inventory is the last inventory view. It was built from inventoryConfig
	// when inventoryObserved servers were observed.
	inventory         *route.View
	inventoryConfig   *config.Config
	inventoryObserved int
}

func newSnapshots(zone string, t *tracker, changed func(*snapshot)) *snapshots {
	return &snapshots{
		zone:     zone,
		tracker:  t,
		caches:   make(map[machine.ID]*route.CacheBuilder),
		index:    route.NewIndex(indexBlockBits),
		detector: outlier.New(outlier.Settings{}),
		changed:  changed,
	}
}

// load returns the current snapshot, or nil before the first view.
func (st *snapshots) load() *snapshot { return st.current.Load() }

// apply publishes a snapshot updated by a view. It returns errViewGap when
// views were missed.
func (st *snapshots) apply(v *pb.View, now time.Time) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	old := st.current.Load()
	if !v.GetFull() && (old == nil || v.GetSequence() != st.sequence+1) {
		return &contract.Error{Kind: contract.KindInvalid, Verdict: contract.NotRun, Message: errViewGap.Error(), Err: errViewGap}
	}
	next := &snapshot{receivedAt: now, states: make(map[machine.ID]machine.State)}
	if old != nil {
		next.cfg, next.signer, next.gateways = old.cfg, old.signer, old.gateways
		maps.Copy(next.states, old.states)
	}
	if err := st.applyConfig(next, v.GetConfig()); err != nil {
		return err
	}
	if next.cfg == nil {
		return fmt.Errorf("no configuration received yet: %w", errViewGap)
	}
	st.applyStates(next, v, now)
	if n := countGateways(v.GetPeers()); n > 0 {
		next.gateways = n
	}
	st.sequence = v.GetSequence()
	st.publish(next, now)
	return nil
}

// applyConfig installs a newer configuration in next. It ignores an older one,
// because the configuration version never decreases.
func (st *snapshots) applyConfig(next *snapshot, bundle *pb.ConfigBundle) error {
	if bundle == nil || (next.cfg != nil && bundle.GetVersion() <= next.cfg.Version) {
		return nil
	}
	cfg, err := st.parser.Parse(bundle)
	if err != nil {
		return fmt.Errorf("parse configuration version %d: %w", bundle.GetVersion(), err)
	}
	signer, err := answer.NewSigner(cfg.TokenKeys, resumeTokenLifetime)
	if err != nil {
		return fmt.Errorf("use the token keys of configuration version %d: %w", bundle.GetVersion(), err)
	}
	next.cfg, next.signer = cfg, signer
	st.dropUnconfigured(next)
	return nil
}

// dropUnconfigured removes the states and caches of servers that are no longer
// configured.
func (st *snapshots) dropUnconfigured(next *snapshot) {
	unconfigured := func(id machine.ID) bool {
		_, configured := next.cfg.Servers[id]
		return !configured
	}
	maps.DeleteFunc(next.states, func(id machine.ID, _ machine.State) bool { return unconfigured(id) })
	maps.DeleteFunc(st.caches, func(id machine.ID, _ *route.CacheBuilder) bool { return unconfigured(id) })
}

// applyStates merges the server states and cache events of a view into next.
func (st *snapshots) applyStates(next *snapshot, v *pb.View, now time.Time) {
	for _, s := range v.GetServers() {
		id := machine.ID(s.GetId())
		state := observe.DecodeState(s, now)
		if old := next.states[id]; old.Incarnation != 0 && old.Incarnation < state.Incarnation && st.caches[id] != nil {
			st.caches[id].Reset()
		}
		next.states[id] = machine.Merge(next.states[id], state)
		cache, ok := st.caches[id]
		if !ok {
			cache = route.NewCacheBuilder(id, st.index)
			st.caches[id] = cache
		}
		if s.GetCacheGap() {
			cache.Gap()
		}
		cache.Added(s.GetCacheAdded()...)
		cache.Removed(s.GetCacheRemoved()...)
	}
}

// publish builds the routing views and makes next the current snapshot. The
// cost of the observed view grows with the observed servers and is paid on every
// publish; that of the inventory view grows with the fleet and is paid only when
// the view changes.
func (st *snapshots) publish(next *snapshot, now time.Time) {
	st.tracker.applyLeaving(next.states)
	st.tracker.drainSamples(st.detector.Observe)
	observed := observedServers(next)
	ejected := st.detector.Update(now, outlierMembers(observed))
	servers := make([]route.Server, 0, len(observed))
	for _, s := range observed {
		servers = append(servers, st.routeServer(s, next.state(s.ID), ejected[s.ID]))
	}
	next.observed = st.newView(next, servers, now)
	if st.inventoryConfig != next.cfg || st.inventoryObserved != len(observed) {
		st.inventory = st.newInventoryView(next, now)
		st.inventoryConfig, st.inventoryObserved = next.cfg, len(observed)
	}
	next.inventory = st.inventory
	st.current.Store(next)
	st.changed(next)
}

// state returns the known state of a server. A server that the configuration
// drains counts as leaving.
func (snap *snapshot) state(id machine.ID) machine.State {
	s := snap.states[id]
	if snap.cfg.Drained[id] {
		s.Lifecycle = max(s.Lifecycle, machine.Leaving)
	}
	return s
}

// observedServers returns the configured servers whose state is known.
func observedServers(snap *snapshot) []machine.Server {
	out := make([]machine.Server, 0, len(snap.states))
	for id := range snap.states {
		if s, ok := snap.cfg.Servers[id]; ok {
			out = append(out, s)
		}
	}
	return out
}

// routeServer returns the routing view's entry for a server.
func (st *snapshots) routeServer(s machine.Server, state machine.State, ejected bool) route.Server {
	stats := st.tracker.server(s.ID)
	out := route.Server{Server: s, State: state, Ejected: ejected, InFlight: stats.inFlight}
	if cache, ok := st.caches[s.ID]; ok {
		for _, prefix := range stats.takePrefixes() {
			cache.Added(prefix...)
		}
		out.PrefixCache = cache.View()
	}
	return out
}

func (st *snapshots) newView(snap *snapshot, servers []route.Server, now time.Time) *route.View {
	return route.NewView(route.Input{
		Zone: st.zone, Zones: snap.cfg.Zones, Servers: servers, Routing: snap.cfg.Routing, Now: now, Index: st.index,
	})
}

func (st *snapshots) newInventoryView(snap *snapshot, now time.Time) *route.View {
	var servers []route.Server
	for id, s := range snap.cfg.Servers {
		if _, known := snap.states[id]; !known {
			servers = append(servers, st.routeServer(s, snap.state(id), false))
		}
	}
	if len(servers) == 0 {
		return nil
	}
	return st.newView(snap, servers, now)
}

// choose returns an observed server for r, or one known only from the inventory
// when no observed server is eligible.
func (snap *snapshot) choose(r *route.Request) (route.Choice, bool) {
	if choice, ok := snap.observed.Choose(r); ok || snap.inventory == nil {
		return choice, ok
	}
	return snap.inventory.Choose(r)
}

// server returns the server with the given id, or nil.
func (snap *snapshot) server(id machine.ID) *route.Server {
	if s := snap.observed.Server(id); s != nil || snap.inventory == nil {
		return s
	}
	return snap.inventory.Server(id)
}

func outlierMembers(servers []machine.Server) []outlier.Member {
	out := make([]outlier.Member, 0, len(servers))
	for _, s := range servers {
		out = append(out, outlier.Member{ID: s.ID, Zone: s.Zone, Pool: s.Pool})
	}
	return out
}

// rebuild publishes the current snapshot again, updated with the gateway's own
// observations of the servers.
func (st *snapshots) rebuild(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old := st.current.Load()
	if old == nil {
		return
	}
	next := *old
	next.states = maps.Clone(old.states)
	st.publish(&next, now)
}

func countGateways(peers []*pb.Peer) int {
	n := 0
	for _, p := range peers {
		if p.GetRole() == "gateway" && !p.GetLeaving() {
			n++
		}
	}
	return n
}
