package fleet

import (
	"time"

	"kumquatyard/internal/machine"
)

// Server is a backend server as described by its last report.
type Server struct {
	machine.Server
	Lifecycle machine.Lifecycle
	// Version is the version of the server's software; empty when it is unknown. Versions
	// have no order.
	Version string
	// StartedAtMs is the start of this incarnation in Unix milliseconds; 0 when the
	// server does not report it.
	StartedAtMs int64
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	// Slots is the number of requests that run concurrently.
	Slots int
	// LeavesIn is the time from the report until a reclaimed server is gone; 0 when it is
	// unknown.
	LeavesIn time.Duration
	// ReportedAt is when this instance read the report.
	ReportedAt time.Time
	// ExpiryGraceUntil is set while the entry is missing but its lease may have expired
	// only because the store was unavailable. The server is dropped at that time.
	ExpiryGraceUntil time.Time
}

// Usable reports whether new requests may be sent to the server.
func (s *Server) Usable() bool { return s.Lifecycle == machine.Serving }

// LeaseExpired reports whether the server's entry is missing although the server may
// still be alive.
func (s *Server) LeaseExpired() bool { return !s.ExpiryGraceUntil.IsZero() }

// Registry holds the last report of each server. It is not safe for concurrent use;
// Snapshot returns an immutable copy.
type Registry struct {
	servers map[machine.ID]*Server
	// departed holds the servers whose entries were removed lately: a store that is
	// restored from an older copy lists them again.
	departed map[machine.ID]*departure
}

// departure is the last report of a server whose entry was removed.
type departure struct {
	Server
	// mayReturn is set if the entry may have been removed although the server is alive,
	// so that the server may write the same entry again.
	mayReturn bool
	// at is when Expire first saw the departure.
	at time.Time
}

// departureRetention is how long a departure is kept. Copies from which a store is
// restored are seconds old.
const departureRetention = 2 * time.Minute

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{servers: make(map[machine.ID]*Server), departed: make(map[machine.ID]*departure)}
}

// Report records a server's own report. It ignores a report that is older than the last
// one, and a lifecycle that would move an incarnation from leaving back to serving.
func (r *Registry) Report(s Server) {
	old := r.servers[s.ID]
	if old == nil {
		r.reportAbsent(s)
		return
	}
	if !old.LeaseExpired() && older(&s, old) {
		return
	}
	if sameIncarnation(old, &s) {
		s.keepProgress(old)
	}
	r.servers[s.ID] = &s
}

// reportAbsent records the report of a server that has no entry. It ignores a report
// that is not newer than the server's departure.
func (r *Registry) reportAbsent(s Server) {
	if d := r.departed[s.ID]; d != nil {
		if older(&s, &d.Server) {
			return
		}
		if sameIncarnation(&d.Server, &s) {
			if s.StartedAtMs != 0 && s.Sequence <= d.Sequence && !d.mayReturn {
				return
			}
			s.Lifecycle = max(s.Lifecycle, d.Lifecycle)
		}
		delete(r.departed, s.ID)
	}
	r.servers[s.ID] = &s
}

// keepProgress keeps what an earlier report of the same incarnation has that s must not
// undo: its lifecycle, and all of it if s was written before.
func (s *Server) keepProgress(old *Server) {
	lifecycle := max(s.Lifecycle, old.Lifecycle)
	switch {
	case s.StartedAtMs != 0 && s.Sequence < old.Sequence:
		*s = *old
		s.ExpiryGraceUntil = time.Time{}
	case s.Sequence == old.Sequence && s.Lifecycle == old.Lifecycle:
		s.ReportedAt = old.ReportedAt // the same report, read again
	}
	s.Lifecycle = lifecycle
}

// older reports whether a is a report of an earlier incarnation than b.
func older(a, b *Server) bool { return a.StartedAtMs != 0 && a.StartedAtMs < b.StartedAtMs }

// sameIncarnation reports whether a and b are reports of one incarnation.
func sameIncarnation(a, b *Server) bool {
	return a.StartedAtMs == b.StartedAtMs && a.Address == b.Address
}

// MarkLeaving records that an incarnation of a server is leaving, as one of its answers
// said, and reports whether that was new.
func (r *Registry) MarkLeaving(incarnation *Server) bool {
	s := r.servers[incarnation.ID]
	if s == nil || !sameIncarnation(s, incarnation) || s.Lifecycle >= machine.Leaving {
		return false
	}
	s = clone(s)
	s.Lifecycle = machine.Leaving
	r.servers[s.ID] = s
	return true
}

// Remove records that a server's entry was removed. With a non-zero graceUntil, the entry
// may be missing only because its lease expired or a restored store lost it, and a
// serving server is kept until then.
func (r *Registry) Remove(id machine.ID, graceUntil time.Time) {
	s := r.servers[id]
	switch {
	case s == nil:
	case graceUntil.IsZero() || s.Lifecycle != machine.Serving:
		r.drop(s, false)
	case !s.LeaseExpired():
		s = clone(s)
		s.ExpiryGraceUntil = graceUntil
		r.servers[id] = s
	}
}

// drop removes a server and records its departure.
func (r *Registry) drop(s *Server, mayReturn bool) {
	delete(r.servers, s.ID)
	d := &departure{Server: *s, mayReturn: mayReturn}
	d.ExpiryGraceUntil = time.Time{}
	r.departed[s.ID] = d
}

// Resync replaces the servers by a full list. It removes the servers that the list lacks,
// as Remove does, but for those in unreadable: their entries exist.
func (r *Registry) Resync(list []Server, unreadable map[machine.ID]bool, graceUntil time.Time) {
	present := make(map[machine.ID]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		r.Report(s)
	}
	for id := range r.servers {
		if !present[id] && !unreadable[id] {
			r.Remove(id, graceUntil)
		}
	}
}

// Expire drops the servers whose grace period is over, and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for _, s := range r.servers {
		if s.LeaseExpired() && !now.Before(s.ExpiryGraceUntil) {
			r.drop(s, true)
			changed = true
		}
	}
	for id, d := range r.departed {
		if d.at.IsZero() {
			d.at = now
		}
		if now.Sub(d.at) > departureRetention {
			delete(r.departed, id)
		}
	}
	return changed
}

// clone returns a copy, since snapshots share the original.
func clone(s *Server) *Server {
	c := *s
	return &c
}

// Snapshot returns the servers by pool, including leaving ones.
func (r *Registry) Snapshot() map[string][]*Server {
	pools := make(map[string][]*Server)
	for _, s := range r.servers {
		pools[s.Pool] = append(pools[s.Pool], s)
	}
	return pools
}

// Snapshot is the configuration and the servers that requests are served with. It is
// immutable and replaced as a whole.
type Snapshot struct {
	Config *Config
	// Servers holds the servers by pool, including leaving ones.
	Servers map[string][]*Server
}

// Get returns a server, or nil when it is unknown.
func (r *Registry) Get(id machine.ID) *Server { return r.servers[id] }
