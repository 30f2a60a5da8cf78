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

// resumeTokenLifetime is how long after an attempt began its stream may be resumed.
const resumeTokenLifetime = time.Hour

// indexBlockBits sizes the index of cached blocks: 2^18 slots of 8 bytes.
const indexBlockBits = 18

// picture is the immutable view that requests read.
type picture struct {
	cfg *config.Config
	// near routes over the servers that the agent observes, far over those of
	// which nothing but the inventory is known. Far is nil when there are none;
	// it is built anew only with the configuration or the observed set.
	near   *route.View
	far    *route.View
	signer *answer.Signer
	states map[machine.ID]machine.State
	// gateways is the number of gateways that share the servers.
	gateways int
	// receivedAt is when the agent last spoke.
	receivedAt time.Time
}

// errResync asks the agent for a full view.
var errResync = errors.New("view does not follow the previous one; send a full one")

// keeper turns the agent's views into pictures. Only the link's goroutines
// write; requests load the current picture.
type keeper struct {
	zone    string
	tracker *tracker
	current atomic.Pointer[picture]

	mu       sync.Mutex
	sequence uint64
	parser   configstore.Parser
	caches   map[machine.ID]*route.CacheBuilder
	index    *route.Index
	detector *outlier.Detector
	changed  func(*picture)

	// far is the last far view, with the configuration and the number of
	// observed servers that it was built from.
	far         *route.View
	farConfig   *config.Config
	farObserved int
}

func newKeeper(zone string, t *tracker, changed func(*picture)) *keeper {
	return &keeper{
		zone:     zone,
		tracker:  t,
		caches:   make(map[machine.ID]*route.CacheBuilder),
		index:    route.NewIndex(indexBlockBits),
		detector: outlier.New(outlier.Settings{}),
		changed:  changed,
	}
}

// load returns the current picture, or nil before the first view.
func (k *keeper) load() *picture { return k.current.Load() }

// apply takes a view. It returns errResync when changes were missed.
func (k *keeper) apply(v *pb.View, now time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.current.Load()
	if !v.GetFull() && (old == nil || v.GetSequence() != k.sequence+1) {
		return &contract.Error{Kind: contract.KindInvalid, Verdict: contract.NotRun, Message: errResync.Error(), Err: errResync}
	}
	next := &picture{receivedAt: now, states: make(map[machine.ID]machine.State)}
	if old != nil {
		next.cfg, next.signer, next.gateways = old.cfg, old.signer, old.gateways
		maps.Copy(next.states, old.states)
	}
	if err := k.takeConfig(next, v.GetConfig()); err != nil {
		return err
	}
	if next.cfg == nil {
		return fmt.Errorf("view carries no configuration: %w", errResync)
	}
	k.takeStates(next, v, now)
	if n := countGateways(v.GetPeers()); n > 0 {
		next.gateways = n
	}
	k.sequence = v.GetSequence()
	k.publish(next, now)
	return nil
}

// takeConfig moves to a newer configuration; an older one is ignored, as an
// accepted version never reverts.
func (k *keeper) takeConfig(next *picture, bundle *pb.ConfigBundle) error {
	if bundle == nil || (next.cfg != nil && bundle.GetVersion() <= next.cfg.Version) {
		return nil
	}
	cfg, err := k.parser.Parse(bundle)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", bundle.GetVersion(), err)
	}
	signer, err := answer.NewSigner(cfg.TokenKeys, resumeTokenLifetime)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", bundle.GetVersion(), err)
	}
	next.cfg, next.signer = cfg, signer
	k.forget(next)
	return nil
}

// forget drops what is known of servers that are no longer configured.
func (k *keeper) forget(next *picture) {
	gone := func(id machine.ID) bool {
		_, configured := next.cfg.Servers[id]
		return !configured
	}
	maps.DeleteFunc(next.states, func(id machine.ID, _ machine.State) bool { return gone(id) })
	maps.DeleteFunc(k.caches, func(id machine.ID, _ *route.CacheBuilder) bool { return gone(id) })
}

func (k *keeper) takeStates(next *picture, v *pb.View, now time.Time) {
	for _, s := range v.GetServers() {
		id := machine.ID(s.GetId())
		state := observe.DecodeView(s, now)
		if old := next.states[id]; old.Incarnation != 0 && old.Incarnation < state.Incarnation && k.caches[id] != nil {
			k.caches[id].Reset()
		}
		next.states[id] = machine.Merge(next.states[id], state)
		cache, ok := k.caches[id]
		if !ok {
			cache = route.NewCacheBuilder(id, k.index)
			k.caches[id] = cache
		}
		if s.GetCacheGap() {
			cache.Gap()
		}
		cache.Added(s.GetCacheAdded()...)
		cache.Removed(s.GetCacheRemoved()...)
	}
}

// publish builds the routing views and makes next current. The near view costs
// time for each observed server at each view, the far one for each server of
// the fleet at each change only.
func (k *keeper) publish(next *picture, now time.Time) {
	k.tracker.override(next.states)
	k.tracker.drainSamples(k.detector.Observe)
	near := observed(next)
	ejected := k.detector.Update(now, members(near))
	servers := make([]route.Server, 0, len(near))
	for _, s := range near {
		servers = append(servers, k.routed(s, next.state(s.ID), ejected[s.ID]))
	}
	next.near = k.newView(next, servers, now)
	if k.farConfig != next.cfg || k.farObserved != len(near) {
		k.far = k.newFarView(next, now)
		k.farConfig, k.farObserved = next.cfg, len(near)
	}
	next.far = k.far
	k.current.Store(next)
	k.changed(next)
}

// state returns what is known of a server. One that operators drained counts
// as leaving for as long as the configuration says so.
func (p *picture) state(id machine.ID) machine.State {
	s := p.states[id]
	if p.cfg.Drained[id] {
		s.Lifecycle = max(s.Lifecycle, machine.Leaving)
	}
	return s
}

// observed returns the configured servers whose state is known.
func observed(p *picture) []machine.Server {
	out := make([]machine.Server, 0, len(p.states))
	for id := range p.states {
		if s, ok := p.cfg.Servers[id]; ok {
			out = append(out, s)
		}
	}
	return out
}

// routed returns what routing needs of a server.
func (k *keeper) routed(s machine.Server, state machine.State, ejected bool) route.Server {
	track := k.tracker.server(s.ID)
	out := route.Server{Server: s, State: state, Ejected: ejected, InFlight: track.inFlight}
	if cache, ok := k.caches[s.ID]; ok {
		for _, prefix := range track.takePrefixes() {
			cache.Added(prefix...)
		}
		out.PrefixCache = cache.View()
	}
	return out
}

func (k *keeper) newView(p *picture, servers []route.Server, now time.Time) *route.View {
	return route.NewView(route.Input{
		Zone: k.zone, Zones: p.cfg.Zones, Servers: servers, Routing: p.cfg.Routing, Now: now, Index: k.index,
	})
}

func (k *keeper) newFarView(p *picture, now time.Time) *route.View {
	var servers []route.Server
	for id, s := range p.cfg.Servers {
		if _, known := p.states[id]; !known {
			servers = append(servers, k.routed(s, p.state(id), false))
		}
	}
	if len(servers) == 0 {
		return nil
	}
	return k.newView(p, servers, now)
}

// choose returns an observed server for r, or one of the others when none of
// the observed may take it.
func (p *picture) choose(r *route.Request) (route.Choice, bool) {
	if choice, ok := p.near.Choose(r); ok || p.far == nil {
		return choice, ok
	}
	return p.far.Choose(r)
}

// server returns the server with the given id, or nil.
func (p *picture) server(id machine.ID) *route.Server {
	if s := p.near.Server(id); s != nil || p.far == nil {
		return s
	}
	return p.far.Server(id)
}

func members(servers []machine.Server) []outlier.Member {
	out := make([]outlier.Member, 0, len(servers))
	for _, s := range servers {
		out = append(out, outlier.Member{ID: s.ID, Zone: s.Zone, Pool: s.Pool})
	}
	return out
}

// rebuild publishes the current picture again with what the gateway itself
// learned about the servers since.
func (k *keeper) rebuild(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.current.Load()
	if old == nil {
		return
	}
	next := *old
	next.states = maps.Clone(old.states)
	k.publish(&next, now)
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
