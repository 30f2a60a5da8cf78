// Package member determines which processes of the entry instances are alive and
// assigns work to them. It does no I/O: its inputs are heartbeats, the platform's
// lagging instance list and the time. Safety must not depend on its results;
// they only select which process attempts a task.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Peer is a process's description of itself.
type Peer struct {
	ID string
	// Incarnation grows with each start of the process; 0 is unknown.
	Incarnation uint64
	Zone        string
	Address     string
	Role        string
	// Leaving is set while the process finishes its work before stopping. It is
	// never unset within an incarnation.
	Leaving bool
}

// MergePeer returns the newer of two descriptions of one process. The result is
// leaving if either description of that incarnation is. MergePeer is commutative,
// associative and idempotent.
func MergePeer(a, b Peer) Peer {
	if c := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Role, b.Role)); c < 0 {
		a, b = b, a
	}
	a.Leaving = a.Leaving || (b.Leaving && a.Incarnation == b.Incarnation)
	return a
}

// Status is a member's liveness as seen by the owner of the table.
type Status uint8

const (
	// Unconfirmed members are known only from third parties.
	Unconfirmed Status = iota
	// Alive members sent a message within SuspectAfter.
	Alive
	// Suspect members sent no message for SuspectAfter; they are assigned no
	// work.
	Suspect
	// Dead members sent no message for DeadAfter.
	Dead
	// Leaving members are leaving according to themselves or the instance list.
	Leaving
)

var statusNames = [...]string{"unheard", "alive", "suspect", "dead", "leaving"}

// String returns the status as it is logged.
func (s Status) String() string { return statusNames[s] }

// Limits are the times without messages after which a member's status changes.
type Limits struct {
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// ForgetAfter is when a member that is not in the instance list is removed.
	ForgetAfter time.Duration
	// IndirectLifetime is how long a process of another role stays unconfirmed
	// instead of dead after its agent reported it.
	IndirectLifetime time.Duration
}

// DefaultLimits make a member suspect when its digests and heartbeats are
// missing; these arrive at least every 2.75 s.
var DefaultLimits = Limits{
	SuspectAfter: 4 * time.Second, DeadAfter: 10 * time.Second,
	ForgetAfter: 10 * time.Minute, IndirectLifetime: 2 * time.Minute,
}

// ListedInstance is an entry of the platform's instance list.
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
	// lastContact is when the last message from this incarnation of the process
	// itself arrived, or zero if none has.
	lastContact time.Time
	// learnedAt is when the incarnation became known. Until the first contact,
	// each report renews it.
	learnedAt time.Time
	listed    bool
	// listedLeaving is set while the instance list shows the member as leaving.
	// It is ignored for incarnations later than leavingIncarnation, the one that
	// was known when the list first showed it.
	listedLeaving      bool
	leavingIncarnation uint64
}

// Table holds what one process knows about the others. It is not safe for
// concurrent use.
type Table struct {
	self    Peer
	limits  Limits
	scope   map[string]bool
	records map[string]*record
	// updated holds the ids that TakeUpdates has yet to return.
	updated map[string]bool
}

// NewTable returns a Table that knows only self.
func NewTable(self Peer, limits Limits) *Table {
	return &Table{self: self, limits: limits, scope: map[string]bool{self.Zone: true}, records: map[string]*record{}, updated: map[string]bool{}}
}

// Self returns the process that owns the table.
func (t *Table) Self() Peer { return t.self }

// SetScope sets the zones whose members exchange heartbeats and digests with
// self. Self's own zone is always in scope.
func (t *Table) SetScope(zones []string) {
	t.scope = map[string]bool{t.self.Zone: true}
	for _, zone := range zones {
		t.scope[zone] = true
	}
}

// InScope reports whether the members of zone exchange heartbeats and digests
// with self.
func (t *Table) InScope(zone string) bool { return t.scope[zone] }

// SetLeaving marks self as leaving.
func (t *Table) SetLeaving() { t.self.Leaving = true }

// RecordContact records a message from the peer itself. A peer that resumes
// after a pause is alive again with its old incarnation.
func (t *Table) RecordContact(p Peer, now time.Time) {
	if r := t.merge(p, now); r != nil && p.Incarnation >= r.peer.Incarnation {
		r.lastContact = now
	}
}

// RecordContactByID records a message that carries only the sender's id and
// incarnation. It ignores unknown senders, which become known by their heartbeat.
func (t *Table) RecordContactByID(id string, incarnation uint64, now time.Time) {
	if r, known := t.records[id]; known && incarnation >= r.peer.Incarnation {
		p := r.peer
		p.Incarnation = incarnation
		t.RecordContact(p, now)
	}
}

// RecordReport records a third party's description of p.
func (t *Table) RecordReport(p Peer, now time.Time) { t.merge(p, now) }

// merge adds a description of a peer and returns the peer's record, or nil for
// self.
func (t *Table) merge(p Peer, now time.Time) *record {
	if p.ID == "" || p.ID == t.self.ID {
		return nil
	}
	r, known := t.records[p.ID]
	if !known {
		r = &record{peer: p, learnedAt: now}
		t.records[p.ID] = r
		t.updated[p.ID] = true
		return r
	}
	if r.lastContact.IsZero() {
		r.learnedAt = now
	}
	merged := MergePeer(r.peer, p)
	if merged.Incarnation != r.peer.Incarnation {
		r.learnedAt, r.lastContact = now, time.Time{}
	}
	if merged != r.peer {
		r.peer = merged
		t.updated[p.ID] = true
	}
	return r
}

// ApplyInstanceList applies a read of the instance list. Because the list lags,
// members that it lacks are kept until ForgetAfter without contact.
func (t *Table) ApplyInstanceList(entries []ListedInstance, now time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		t.applyListed(entry, now)
	}
	for id, r := range t.records {
		r.listed = listed[id]
	}
}

func (t *Table) applyListed(entry ListedInstance, now time.Time) {
	r := t.merge(Peer{ID: entry.ID, Zone: entry.Zone, Address: entry.Address, Role: entry.Role}, now)
	if r == nil {
		return
	}
	if entry.Leaving && !r.listedLeaving {
		r.leavingIncarnation = r.peer.Incarnation
	}
	r.listedLeaving = entry.Leaving
}

// Tick removes members that are not in the instance list and had no contact for
// ForgetAfter.
func (t *Table) Tick(now time.Time) {
	for id, r := range t.records {
		if !r.listed && now.Sub(r.contactBasis()) > t.limits.ForgetAfter {
			delete(t.records, id)
			delete(t.updated, id)
		}
	}
}

// contactBasis returns the time of the last contact with the member, or when its
// incarnation became known if there was no contact.
func (r *record) contactBasis() time.Time {
	if r.lastContact.IsZero() {
		return r.learnedAt
	}
	return r.lastContact
}

func (t *Table) status(r *record, now time.Time) Status {
	if r.peer.Leaving || (r.listedLeaving && r.peer.Incarnation <= r.leavingIncarnation) {
		return Leaving
	}
	sinceContact := now.Sub(r.contactBasis())
	switch {
	case r.lastContact.IsZero() && (r.listed || sinceContact <= t.indirectLimit(r)):
		return Unconfirmed
	case sinceContact <= t.limits.SuspectAfter:
		return Alive
	case sinceContact <= t.limits.DeadAfter:
		return Suspect
	default:
		return Dead
	}
}

// indirectLimit returns how long a member that is neither listed nor contacted
// counts as unconfirmed.
func (t *Table) indirectLimit(r *record) time.Duration {
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

// TakeUpdates returns the peers to report to others: up to limit peers whose
// description changed since TakeUpdates last returned them, and all processes of
// other roles that had direct contact and are not dead. Indirect knowledge is
// passed on only once, so that reports do not keep dead processes alive.
func (t *Table) TakeUpdates(limit int, now time.Time) []Peer {
	ids := slices.Sorted(maps.Keys(t.updated))
	ids = ids[:min(limit, len(ids))]
	out := make([]Peer, 0, len(ids)+1)
	for _, id := range ids {
		out = append(out, t.records[id].peer)
	}
	for id, r := range t.records {
		if r.peer.Role != t.self.Role && !r.lastContact.IsZero() && t.status(r, now) != Dead && !slices.Contains(ids, id) {
			out = append(out, r.peer)
		}
	}
	for _, id := range ids {
		delete(t.updated, id)
	}
	return out
}
