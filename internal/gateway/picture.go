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
	cfg    *config.Config
	view   *route.View
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
	return nil
}

func (k *keeper) takeStates(next *picture, v *pb.View, now time.Time) {
	for _, s := range v.GetServers() {
		id := machine.ID(s.GetId())
		state := stateFromProto(s, now)
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

// publish builds the routing view and makes next current.
func (k *keeper) publish(next *picture, now time.Time) {
	k.tracker.override(next.states)
	k.tracker.drainSamples(k.detector.Observe)
	ejected := k.detector.Update(now, members(next.cfg.Servers))
	servers := make([]route.Server, 0, len(next.cfg.Servers))
	for id, s := range next.cfg.Servers {
		server := route.Server{
			Server:   s,
			State:    next.states[id],
			Ejected:  ejected[id],
			InFlight: k.tracker.server(id).inFlight,
		}
		if cache, ok := k.caches[id]; ok {
			for _, prefix := range k.tracker.server(id).takePrefixes() {
				cache.Added(prefix...)
			}
			server.CachePrefixes = cache.View()
		}
		servers = append(servers, server)
	}
	next.view = route.NewView(route.Input{
		Zone: k.zone, Zones: next.cfg.Zones, Servers: servers, Routing: next.cfg.Routing, Now: now, Index: k.index,
	})
	k.current.Store(next)
	k.changed(next)
}

func members(servers map[machine.ID]machine.Server) []outlier.Member {
	out := make([]outlier.Member, 0, len(servers))
	for id, s := range servers {
		out = append(out, outlier.Member{ID: id, Zone: s.Zone, Pool: s.Pool})
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
