// Package member decides who the live processes of the entry instances are
// and which of them does what. It is pure: heartbeats, the platform's lagging
// instance list and the time come in, members and choices go out. Nothing that
// must be safe rests on its answers; they choose who tries.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Peer is what a process says about itself.
type Peer struct {
	ID string
	// Incarnation grows with each start of the process; 0 is unknown.
	Incarnation uint64
	Zone        string
	Address     string
	Role        string
	// Leaving processes finish what they have; it stays set for an incarnation.
	Leaving bool
}

// MergePeer returns the later of two descriptions of one process. It is
// commutative, associative and idempotent.
func MergePeer(a, b Peer) Peer {
	if c := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Role, b.Role)); c < 0 {
		a, b = b, a
	}
	a.Leaving = a.Leaving || (b.Leaving && a.Incarnation == b.Incarnation)
	return a
}

// Status is a member's condition as one observer sees it.
type Status uint8

const (
	// Unconfirmed members are known from others only.
	Unconfirmed Status = iota
	// Alive members were heard within SuspectAfter.
	Alive
	// Suspect members were silent for longer; they are passed over.
	Suspect
	// Dead members were silent for DeadAfter.
	Dead
	// Leaving members said so, or the instance list does.
	Leaving
)

var statusNames = [...]string{"unheard", "alive", "suspect", "dead", "leaving"}

// String returns the status as it is logged.
func (s Status) String() string { return statusNames[s] }

// Limits are the times after which silence changes a member's status.
type Limits struct {
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// ForgetAfter removes dead members that the instance list lacks.
	ForgetAfter time.Duration
	// IndirectLifetime is how long a process of another role counts after its
	// agent told of it.
	IndirectLifetime time.Duration
}

// DefaultLimits suspect a member that missed its digests and heartbeats, which
// come at least every 2.75 s.
var DefaultLimits = Limits{
	SuspectAfter: 4 * time.Second, DeadAfter: 10 * time.Second,
	ForgetAfter: 10 * time.Minute, IndirectLifetime: 2 * time.Minute,
}

// ListedInstance is an entry of the instance list.
type ListedInstance struct {
	ID      string
	Zone    string
	Address string
	Role    string
	Leaving bool
}

// Member is a peer and its status.
type Member struct {
	Peer
	Status Status
}

type record struct {
	peer Peer
	// heard is when the process itself was last heard, zero for never.
	heard time.Time
	// learned is when the incarnation became known.
	learned time.Time
	listed  bool
	// listedLeaving is the list's word; ignored for incarnations that started
	// after the list said it first.
	listedLeaving     bool
	leavingAtRevision uint64
}

// Table is what one process knows about the others. It is not safe for
// concurrent use.
type Table struct {
	self    Peer
	limits  Limits
	scope   map[string]bool
	records map[string]*record
	news    map[string]bool
}

// NewTable returns a Table that knows only self.
func NewTable(self Peer, limits Limits) *Table {
	return &Table{self: self, limits: limits, scope: map[string]bool{self.Zone: true}, records: map[string]*record{}, news: map[string]bool{}}
}

// Self returns the process that owns the table.
func (t *Table) Self() Peer { return t.self }

// SetScope sets the zones whose members share heartbeats and digests with
// self; its own zone always does.
func (t *Table) SetScope(zones []string) {
	t.scope = map[string]bool{t.self.Zone: true}
	for _, zone := range zones {
		t.scope[zone] = true
	}
}

// InScope reports whether zone shares heartbeats and digests with self.
func (t *Table) InScope(zone string) bool { return t.scope[zone] }

// SetLeaving marks the process itself as leaving.
func (t *Table) SetLeaving() { t.self.Leaving = true }

// RecordContact records a message from the peer itself. A peer that paused and returns
// is alive again with its old incarnation.
func (t *Table) RecordContact(p Peer, now time.Time) {
	if r := t.learn(p, now); r != nil && p.Incarnation >= r.peer.Incarnation {
		r.heard = now
	}
}

// RecordContactByID is Heard for a message that carries only the sender's id; a sender
// that is not known yet is left to its heartbeat.
func (t *Table) RecordContactByID(id string, incarnation uint64, now time.Time) {
	if r, known := t.records[id]; known && incarnation >= r.peer.Incarnation {
		p := r.peer
		p.Incarnation = incarnation
		t.RecordContact(p, now)
	}
}

// RecordReport records what another process said about p.
func (t *Table) RecordReport(p Peer, now time.Time) { t.learn(p, now) }

func (t *Table) learn(p Peer, now time.Time) *record {
	if p.ID == "" || p.ID == t.self.ID {
		return nil
	}
	r, known := t.records[p.ID]
	if !known {
		r = &record{peer: p, learned: now}
		t.records[p.ID] = r
		t.news[p.ID] = true
		return r
	}
	if r.heard.IsZero() {
		r.learned = now
	}
	merged := MergePeer(r.peer, p)
	if merged.Incarnation != r.peer.Incarnation {
		r.learned, r.heard = now, time.Time{}
	}
	if merged != r.peer {
		r.peer = merged
		t.news[p.ID] = true
	}
	return r
}

// ApplyInstanceList takes a read of the instance list. Members that it lacks stay while
// they are heard, because the list lags.
func (t *Table) ApplyInstanceList(entries []ListedInstance, now time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		t.listOne(entry, now)
	}
	for id, r := range t.records {
		r.listed = listed[id]
	}
}

func (t *Table) listOne(entry ListedInstance, now time.Time) {
	r := t.learn(Peer{ID: entry.ID, Zone: entry.Zone, Address: entry.Address, Role: entry.Role}, now)
	if r == nil {
		return
	}
	if entry.Leaving && !r.listedLeaving {
		r.leavingAtRevision = r.peer.Incarnation
	}
	r.listedLeaving = entry.Leaving
}

// Tick forgets members that have long been silent and are not listed.
func (t *Table) Tick(now time.Time) {
	for id, r := range t.records {
		if !r.listed && now.Sub(r.since()) > t.limits.ForgetAfter {
			delete(t.records, id)
			delete(t.news, id)
		}
	}
}

// since returns the start of the member's silence.
func (r *record) since() time.Time {
	if r.heard.IsZero() {
		return r.learned
	}
	return r.heard
}

func (t *Table) status(r *record, now time.Time) Status {
	if r.peer.Leaving || (r.listedLeaving && r.peer.Incarnation <= r.leavingAtRevision) {
		return Leaving
	}
	silence := now.Sub(r.since())
	switch {
	case r.heard.IsZero() && (r.listed || silence <= t.hearsayLimit(r)):
		return Unconfirmed
	case silence <= t.limits.SuspectAfter:
		return Alive
	case silence <= t.limits.DeadAfter:
		return Suspect
	default:
		return Dead
	}
}

func (t *Table) hearsayLimit(r *record) time.Duration {
	if r.peer.Role == t.self.Role {
		return t.limits.DeadAfter
	}
	return t.limits.IndirectLifetime
}

// Members returns all known members but self, ordered by id.
func (t *Table) Members(now time.Time) []Member {
	out := make([]Member, 0, len(t.records))
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[id]
		out = append(out, Member{Peer: r.peer, Status: t.status(r, now)})
	}
	return out
}

// Get returns the member with the given id.
func (t *Table) Get(id string, now time.Time) (Member, bool) {
	r, ok := t.records[id]
	if !ok {
		return Member{}, false
	}
	return Member{Peer: r.peer, Status: t.status(r, now)}, true
}

// TakeUpdates returns up to limit peers whose description changed since they were
// last taken, to be told to others, and the processes of other roles that were
// heard themselves. Hearsay is told once, so that nobody keeps the dead alive.
func (t *Table) TakeUpdates(limit int, now time.Time) []Peer {
	ids := slices.Sorted(maps.Keys(t.news))
	ids = ids[:min(limit, len(ids))]
	out := make([]Peer, 0, len(ids)+1)
	for _, id := range ids {
		out = append(out, t.records[id].peer)
	}
	for id, r := range t.records {
		if r.peer.Role != t.self.Role && !r.heard.IsZero() && t.status(r, now) != Dead && !slices.Contains(ids, id) {
			out = append(out, r.peer)
		}
	}
	for _, id := range ids {
		delete(t.news, id)
	}
	return out
}
