package agent

import (
	"time"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/member"
)

// observed takes a server's own report. The second observer of a server keeps
// a load to itself while the first one's reports arrive.
func (a *Agent) observed(s machine.State, first bool) {
	now := time.Now()
	a.mu.Lock()
	known, ok := a.store.State(s.ID)
	stale := !ok || now.Sub(known.Load.At) > staleAfter
	a.store.Observe(s)
	urgent := a.store.TakeUrgent()
	told := false
	if first || stale || urgent {
		told = a.publisher.Observe(s)
	}
	a.mu.Unlock()
	a.spread(urgent, told)
}

func (a *Agent) observedUnreachable(id machine.ID, first bool) {
	a.mu.Lock()
	s, ok := a.store.State(id)
	a.mu.Unlock()
	if !ok {
		s.ID = id
	}
	s.Unreachable = true
	s.Load.At = time.Now()
	a.observed(s, first)
}

func (a *Agent) observedCache(id machine.ID, events cacheAnswer, after uint64) {
	added, removed := events.hashes()
	gap := events.First > after+1
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store.ObserveCache(id, added, removed, gap)
	a.publisher.ObserveCache(id, added, removed, gap)
}

// heardLeaving takes word from elsewhere that a server leaves. It counts for
// the incarnation that is known when the word first comes, so that late news
// about an old incarnation do not stop a new one.
func (a *Agent) heardLeaving(h hint) {
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
	told := urgent && a.publisher.Observe(s)
	a.mu.Unlock()
	if urgent {
		a.log.WithField("server", h.id).WithField("source", h.source).Info("server is leaving")
	}
	a.spread(urgent, told)
}

// spread pushes urgent news to the gateway and to the peers in scope.
func (a *Agent) spread(toGateway, toPeers bool) {
	if toGateway {
		signal(a.viewSoon)
	}
	if toPeers {
		signal(a.digestSoon)
	}
}

// hint is word from a source other than a server that the server leaves.
type hint struct {
	id     machine.ID
	source string
	// at is the time of the reclaim, zero when unknown.
	at time.Time
}

// leavingHints remembers the incarnation that each hint was first heard for.
type leavingHints struct{ incarnations map[hint]uint64 }

func newLeavingHints() leavingHints { return leavingHints{incarnations: map[hint]uint64{}} }

func (l *leavingHints) applies(h hint, incarnation uint64) bool {
	first, known := l.incarnations[h]
	if !known {
		l.incarnations[h] = incarnation
		return true
	}
	return incarnation <= first
}

// withdraw forgets a hint whose source no longer gives it.
func (l *leavingHints) withdraw(h hint) { delete(l.incarnations, h) }

// isMyTurn reports whether the agent does a job that rotates through the scope
// in slots of length; agents whose clocks differ may both do it, or none for a
// moment.
func (a *Agent) isMyTurn(job string, length time.Duration, now time.Time) bool {
	a.mu.Lock()
	live := a.table.LiveInScope(now)
	a.mu.Unlock()
	slot := now.UnixNano() / int64(length)
	chosen := member.Rendezvous(slotKey(job, slot), live, 1)
	return contains(chosen, a.settings.ID)
}
