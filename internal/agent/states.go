package agent

import (
	"time"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/member"
)

// recordState records a state that a server reported. The second observer of a
// server publishes it only if it is urgent or if the reports of the first
// observer are missing.
func (a *Agent) recordState(s machine.State, first bool) {
	now := time.Now()
	a.mu.Lock()
	known, ok := a.store.State(s.ID)
	stale := !ok || now.Sub(known.Load.At) > staleAfter
	a.store.Observe(s)
	urgent := a.store.TakeUrgent()
	publish := false
	if first || stale || urgent {
		publish = a.publisher.Observe(s)
	}
	a.mu.Unlock()
	a.signalUrgent(urgent, publish)
}

func (a *Agent) recordUnreachable(id machine.ID, first bool) {
	a.mu.Lock()
	s, ok := a.store.State(id)
	a.mu.Unlock()
	if !ok {
		s.ID = id
	}
	s.Unreachable = true
	s.Load.At = time.Now()
	a.recordState(s, first)
}

func (a *Agent) recordCacheEvents(id machine.ID, events cacheEventsResponse, after uint64) {
	added, removed := events.hashes()
	gap := events.First > after+1
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store.ObserveCache(id, added, removed, gap)
	a.publisher.ObserveCache(id, added, removed, gap)
}

// recordLeaving marks a server as leaving because a source other than the server
// says so. The hint applies to the incarnation that was known when the hint first
// arrived, so that a late hint about an old incarnation does not affect a new
// one.
func (a *Agent) recordLeaving(h leavingHint) {
	a.mu.Lock()
	s, known := a.store.State(h.id)
	if !known || s.Incarnation == 0 || !a.hints.applies(h, s.Incarnation) {
		a.mu.Unlock()
		return
	}
	s.Lifecycle = max(s.Lifecycle, machine.Leaving)
	s.ReclaimAt = h.at
	s.Load = machine.Load{}
	a.store.Observe(s)
	urgent := a.store.TakeUrgent()
	publish := urgent && a.publisher.Observe(s)
	a.mu.Unlock()
	if urgent {
		a.log.WithField("server", h.id).WithField("source", h.source).Info("server is leaving; informing the gateway at once")
	}
	a.signalUrgent(urgent, publish)
}

// signalUrgent requests an urgent view for the gateway and an urgent digest for
// the peers in scope.
func (a *Agent) signalUrgent(toGateway, toPeers bool) {
	if toGateway {
		signal(a.urgentView)
	}
	if toPeers {
		signal(a.urgentDigest)
	}
}

// leavingHint says that a server is leaving, according to a source other than the
// server itself.
type leavingHint struct {
	id     machine.ID
	source string
	// at is the time of the reclaim, or zero if unknown.
	at time.Time
}

// leavingHints holds the incarnation that was known when each hint first arrived.
type leavingHints struct{ incarnations map[leavingHint]uint64 }

func newLeavingHints() leavingHints { return leavingHints{incarnations: map[leavingHint]uint64{}} }

// applies reports whether h applies to an incarnation, and records a new hint.
func (l *leavingHints) applies(h leavingHint, incarnation uint64) bool {
	first, known := l.incarnations[h]
	if !known {
		l.incarnations[h] = incarnation
		return true
	}
	return incarnation <= first
}

// withdraw removes a hint that its source no longer reports.
func (l *leavingHints) withdraw(h leavingHint) { delete(l.incarnations, h) }

// isMyTurn reports whether the agent is selected for a job that rotates through
// the live agents in scope in time slots of the given length. With clock skew,
// two agents may be selected at once, or none for a moment.
func (a *Agent) isMyTurn(job string, length time.Duration, now time.Time) bool {
	a.mu.Lock()
	live := a.table.LiveInScope(now)
	a.mu.Unlock()
	slot := now.UnixNano() / int64(length)
	chosen := member.Rendezvous(slotKey(job, slot), live, 1)
	return contains(chosen, a.settings.ID)
}
