package observe

import (
	"maps"
	"slices"
	"time"

	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

// published is an observed state and the versions in which it changed.
type published struct {
	state machine.State
	// changed is the version in which the state last changed, stable the one in
	// which its rarely changing fields did.
	changed, stable uint64
}

// Publisher holds the states that one process observes itself and encodes them
// into digests. It is not safe for concurrent use.
type Publisher struct {
	id          string
	incarnation uint64
	version     uint64
	servers     map[machine.ID]published
	cache       cacheLog
}

// NewPublisher returns a Publisher for the process id.
func NewPublisher(id string, incarnation uint64) *Publisher {
	return &Publisher{id: id, incarnation: incarnation, servers: map[machine.ID]published{}, cache: newCacheLog()}
}

// Version returns a version that grows with every change that digests must
// include.
func (p *Publisher) Version() uint64 { return p.version }

// Observe merges an observation and reports whether it is urgent: a new server,
// or a change of lifecycle, incarnation, reclaim time or reachability, which
// others must learn without delay.
func (p *Publisher) Observe(s machine.State) (urgent bool) {
	old, known := p.servers[s.ID]
	merged := s
	if known {
		merged = machine.Merge(old.state, s)
	}
	resumed := known && old.state.Load.At.IsZero() && !merged.Load.At.IsZero()
	if known && !resumed && !significant(old.state, merged) {
		old.state.Load.At = merged.Load.At
		p.servers[s.ID] = old
		return false
	}
	p.version++
	next := published{state: merged, changed: p.version, stable: old.stable}
	if !known || !sameStable(old.state, merged) {
		next.stable = p.version
	}
	p.servers[s.ID] = next
	return !known || !sameUrgent(old.state, merged)
}

// ObserveCache records cache events of a server; gap means that events before
// them were lost. Cache events count as a change, so that a peer that misses them
// detects a gap.
func (p *Publisher) ObserveCache(id machine.ID, added, removed []uint64, gap bool) {
	if p.cache.add(id, added, removed, gap) {
		p.version++
	}
}

// State returns the observed state of a server.
func (p *Publisher) State(id machine.ID) (machine.State, bool) {
	s, ok := p.servers[id]
	return s.state, ok
}

// Withdraw marks a server as no longer observed by the process. Digests keep its
// lifecycle but no longer report its load.
func (p *Publisher) Withdraw(id machine.ID) {
	s, ok := p.servers[id]
	if !ok || s.state.Load.At.IsZero() {
		return
	}
	s.state.Load.At = time.Time{}
	p.version++
	s.changed = p.version
	p.servers[id] = s
}

// Forget removes a server that is no longer configured.
func (p *Publisher) Forget(id machine.ID) {
	delete(p.servers, id)
	p.cache.take(id, 0)
}

// Observed returns the ordered ids of the observed servers, including withdrawn
// ones.
func (p *Publisher) Observed() []machine.ID { return slices.Sorted(maps.Keys(p.servers)) }

// Delta returns a digest of the changes since version base, with up to hashes
// cache events. It removes all pending cache events, so the caller must send the
// same digest to all peers.
func (p *Publisher) Delta(base uint64, hashes int, now time.Time) *pb.Digest {
	d := p.digest(base)
	for _, id := range p.Observed() {
		s := p.servers[id]
		events := p.cache.take(id, hashes)
		hashes -= len(events.Added) + len(events.Removed)
		if s.changed <= base && events.empty() {
			continue
		}
		d.Servers = append(d.Servers, encodeState(s.state, now, s.stable > base, events))
	}
	return d
}

// Full returns a digest of all states, for a peer that holds none or an old
// version. Cache events are not repeated; the digest marks a gap instead.
func (p *Publisher) Full(now time.Time) *pb.Digest {
	d := p.digest(0)
	for _, id := range p.Observed() {
		d.Servers = append(d.Servers, encodeState(p.servers[id].state, now, true, CacheEvents{Gap: true}))
	}
	return d
}

// digest returns an empty digest that builds on version base.
func (p *Publisher) digest(base uint64) *pb.Digest {
	return &pb.Digest{Observer: p.id, Incarnation: p.incarnation, BaseVersion: base, Version: p.version}
}
