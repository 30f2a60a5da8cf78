package observe

import (
	"errors"
	"maps"
	"slices"
	"time"

	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

// ErrGap means that a digest builds on a version that the receiver does not hold;
// the sender responds with a full digest.
var ErrGap = errors.New("digest builds on a version that is not held")

// ownReplica is the key of the replica with the process's own observations. No
// observer has an empty id.
const ownReplica = ""

// replica holds the states received from one observer.
type replica struct {
	incarnation uint64
	version     uint64
	servers     map[machine.ID]machine.State
	// lastDigestAt is when the observer's last digest arrived.
	lastDigestAt time.Time
	// dropped replicas are ignored when states are merged.
	dropped bool
}

// Store merges the states of all observers. Within one incarnation of a server,
// its lifecycle never moves backwards, regardless of the order in which digests
// arrive. Store is not safe for concurrent use.
type Store struct {
	replicas map[string]*replica
	merged   map[machine.ID]machine.State
	// dirty holds the servers that TakeChanged has yet to return.
	dirty map[machine.ID]bool
	// holders are the replicas that hold a state of a server.
	holders map[machine.ID][]*replica
	cache   cacheLog
	urgent  bool
}

// NewStore returns an empty Store.
func NewStore() *Store {
	own := &replica{servers: map[machine.ID]machine.State{}}
	return &Store{
		replicas: map[string]*replica{ownReplica: own}, merged: map[machine.ID]machine.State{},
		dirty: map[machine.ID]bool{}, holders: map[machine.ID][]*replica{}, cache: newCacheLog(),
	}
}

// HeldVersion returns the version of the last digest applied from an incarnation
// of observer, or 0 if there is none.
func (s *Store) HeldVersion(observer string, incarnation uint64) uint64 {
	r, ok := s.replicas[observer]
	if !ok || r.incarnation != incarnation {
		return 0
	}
	return r.version
}

// Apply applies an observer's digest. Outdated and repeated digests change
// nothing. ErrGap means that the observer must send a full digest.
func (s *Store) Apply(d *pb.Digest, now time.Time) error {
	if d.GetObserver() == ownReplica {
		return nil
	}
	r, ok := s.replicas[d.GetObserver()]
	if ok && d.GetIncarnation() < r.incarnation {
		return nil
	}
	if !ok || d.GetIncarnation() > r.incarnation {
		if ok {
			r.dropped = true
		}
		r = &replica{incarnation: d.GetIncarnation(), servers: map[machine.ID]machine.State{}}
	}
	if d.GetVersion() < r.version {
		return nil
	}
	if d.GetBaseVersion() > r.version || !r.canDecode(d) {
		return ErrGap
	}
	s.replicas[d.GetObserver()] = r
	s.applyTo(r, d, now)
	return nil
}

// canDecode reports whether r holds the states that d's deltas build on.
func (r *replica) canDecode(d *pb.Digest) bool {
	for _, in := range d.GetServers() {
		if _, held := r.servers[machine.ID(in.GetId())]; !held && len(in.GetAdapters()) == 0 {
			return false
		}
	}
	return true
}

func (s *Store) applyTo(r *replica, d *pb.Digest, now time.Time) {
	r.confirm(now)
	newer := d.GetVersion() > r.version
	for _, in := range d.GetServers() {
		id := machine.ID(in.GetId())
		if _, held := r.servers[id]; newer || !held {
			s.setState(r, id, decodeState(in, r.servers[id], now))
		}
		if newer {
			s.ObserveCache(id, in.GetCacheAdded(), in.GetCacheRemoved(), in.GetCacheGap())
		}
	}
	for id := range r.servers {
		s.merge(id)
	}
	r.version = d.GetVersion()
}

// confirm moves the observation times of all loads forward, because a digest
// confirms that the states that it omits are unchanged.
func (r *replica) confirm(now time.Time) {
	if !r.lastDigestAt.IsZero() {
		elapsed := now.Sub(r.lastDigestAt)
		for id, state := range r.servers {
			state.Load.At = state.Load.At.Add(elapsed)
			r.servers[id] = state
		}
	}
	r.lastDigestAt = now
}

// Observe merges a state that the process observed itself and reports whether
// this changed the server's urgent fields.
func (s *Store) Observe(state machine.State) (urgent bool) {
	own := s.replicas[ownReplica]
	if old, known := own.servers[state.ID]; known {
		state = machine.Merge(old, state)
	}
	s.setState(own, state.ID, state)
	return s.merge(state.ID)
}

// setState sets r's state of a server.
func (s *Store) setState(r *replica, id machine.ID, state machine.State) {
	if _, held := r.servers[id]; !held {
		current := slices.DeleteFunc(s.holders[id], func(r *replica) bool { return r.dropped })
		s.holders[id] = append(current, r)
	}
	r.servers[id] = state
}

// merge recomputes a server's state from the last state of each observer and
// reports whether its urgent fields changed. The load is taken from the replicas
// only and not from the previous merged state: message delay makes an old load
// look new, and only the observer's next digest corrects it.
func (s *Store) merge(id machine.ID) (urgent bool) {
	old, known := s.merged[id]
	merged := old
	merged.Load = machine.Load{}
	for _, r := range s.holders[id] {
		state := r.servers[id]
		switch {
		case r.dropped:
		case merged.ID == "":
			merged = state
		default:
			merged = machine.Merge(merged, state)
		}
	}
	s.merged[id] = merged
	urgent = !known || !sameUrgent(old, merged)
	s.urgent = s.urgent || urgent
	if urgent || !merged.Load.At.Equal(old.Load.At) {
		s.dirty[id] = true
	}
	return urgent
}

// ObserveCache records cache events of a server; gap means that events before
// them were lost.
func (s *Store) ObserveCache(id machine.ID, added, removed []uint64, gap bool) {
	if s.cache.add(id, added, removed, gap) {
		s.dirty[id] = true
	}
}

// TakeUrgent reports whether urgent fields changed since the last call.
func (s *Store) TakeUrgent() bool {
	urgent := s.urgent
	s.urgent = false
	return urgent
}

// State returns the merged state of a server.
func (s *Store) State(id machine.ID) (machine.State, bool) {
	state, ok := s.merged[id]
	return state, ok
}

// States returns the merged states of all servers, ordered by id.
func (s *Store) States() []machine.State {
	out := make([]machine.State, 0, len(s.merged))
	for _, id := range slices.Sorted(maps.Keys(s.merged)) {
		out = append(out, s.merged[id])
	}
	return out
}

// TakeChanged returns the states that changed or were confirmed since the last
// call, with their cache events, for a gateway.
func (s *Store) TakeChanged(now time.Time) []*pb.ServerState {
	out := make([]*pb.ServerState, 0, len(s.dirty))
	for _, id := range slices.Sorted(maps.Keys(s.dirty)) {
		if state, ok := s.merged[id]; ok {
			out = append(out, EncodeState(state, s.cache.take(id, 2*maxPendingHashes), now))
		}
	}
	clear(s.dirty)
	return out
}

// All returns all states, for a gateway that needs a full view. Pending cache
// events are dropped and each state is marked with a gap.
func (s *Store) All(now time.Time) []*pb.ServerState {
	out := make([]*pb.ServerState, 0, len(s.merged))
	for _, state := range s.States() {
		s.cache.take(state.ID, 0)
		out = append(out, EncodeState(state, CacheEvents{Gap: true}, now))
	}
	clear(s.dirty)
	return out
}

// Retain removes the servers for which keep returns false.
func (s *Store) Retain(keep func(machine.ID) bool) {
	for id := range s.merged {
		if !keep(id) {
			delete(s.merged, id)
			delete(s.dirty, id)
			delete(s.holders, id)
			s.cache.take(id, 0)
		}
	}
	for _, r := range s.replicas {
		maps.DeleteFunc(r.servers, func(id machine.ID, _ machine.State) bool { return !keep(id) })
	}
}

// DropObservers removes the replicas of observers whose last digest arrived
// before the given time.
func (s *Store) DropObservers(before time.Time) {
	maps.DeleteFunc(s.replicas, func(id string, r *replica) bool {
		r.dropped = id != ownReplica && r.lastDigestAt.Before(before)
		return r.dropped
	})
}
