package fleet

import (
	"time"

	"kumquatyard/internal/machine"
)

// Server is a backend server as it describes itself.
type Server struct {
	machine.Server
	Lifecycle machine.Lifecycle
	// StartedAtMs is the start of this incarnation in Unix milliseconds; 0 when the
	// server does not say.
	StartedAtMs int64
	// Sequence grows with each report of an incarnation.
	Sequence uint64
	// Slots is the number of requests that run at once.
	Slots int
	// LeavesIn is the time from the report until a reclaimed server is gone; 0
	// when unknown.
	LeavesIn time.Duration
	// ReportedAt is when this instance read the report.
	ReportedAt time.Time
	// ExpiryGraceUntil is set while the entry is missing although the server may
	// live, since the store was away: from then on it is gone.
	ExpiryGraceUntil time.Time
}

// Usable reports whether new work may be sent to the server.
func (s *Server) Usable() bool { return s.Lifecycle == machine.Serving }

// LeaseExpired reports whether the server's entry is missing although it may live.
func (s *Server) LeaseExpired() bool { return !s.ExpiryGraceUntil.IsZero() }

// Registry follows the reports of the servers. It is not safe for concurrent
// use; Snapshot returns an immutable copy.
type Registry struct {
	servers map[machine.ID]*Server
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry { return &Registry{servers: make(map[machine.ID]*Server)} }

// Report records a server's own report. A report of an older incarnation, or
// one that moves an incarnation from leaving back to serving, changes nothing.
func (r *Registry) Report(s Server) {
	old := r.servers[s.ID]
	if old != nil && !old.LeaseExpired() && older(&s, old) {
		return
	}
	if old != nil && sameIncarnation(old, &s) && old.Sequence == s.Sequence && old.Lifecycle == s.Lifecycle {
		s.ReportedAt = old.ReportedAt // the same report, read again
	}
	if old != nil && sameIncarnation(old, &s) {
		s.Lifecycle = max(s.Lifecycle, old.Lifecycle)
	}
	r.servers[s.ID] = &s
}

func older(s, than *Server) bool { return s.StartedAtMs != 0 && s.StartedAtMs < than.StartedAtMs }

func sameIncarnation(a, b *Server) bool {
	return a.StartedAtMs == b.StartedAtMs && a.Address == b.Address
}

// Remove records that a server's entry was removed. With lapsedUntil the entry
// may only have lapsed, and the server is kept until then.
func (r *Registry) Remove(id machine.ID, lapsedUntil time.Time) {
	s := r.servers[id]
	switch {
	case s == nil:
	case lapsedUntil.IsZero() || s.Lifecycle != machine.Serving:
		delete(r.servers, id)
	case !s.LeaseExpired():
		s = copyOf(s)
		s.ExpiryGraceUntil = lapsedUntil
		r.servers[id] = s
	}
}

// Resync replaces the servers by a full list. Servers that it lacks are
// removed.
func (r *Registry) Resync(list []Server, lapsedUntil time.Time) {
	present := make(map[machine.ID]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		r.Report(s)
	}
	for id := range r.servers {
		if !present[id] {
			r.Remove(id, lapsedUntil)
		}
	}
}

// Expire drops the servers that stayed absent, and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for id, s := range r.servers {
		if s.LeaseExpired() && !now.Before(s.ExpiryGraceUntil) {
			delete(r.servers, id)
			changed = true
		}
	}
	return changed
}

func copyOf(s *Server) *Server {
	c := *s
	return &c
}

// Snapshot returns the servers by pool.
func (r *Registry) Snapshot() map[string][]*Server {
	pools := make(map[string][]*Server)
	for _, s := range r.servers {
		pools[s.Pool] = append(pools[s.Pool], s)
	}
	return pools
}

// Snapshot is what requests read: immutable, replaced as a whole.
type Snapshot struct {
	Config *Config
	// Servers by pool, those that are leaving included.
	Servers map[string][]*Server
}

// Get returns a server, nil when it is not known.
func (r *Registry) Get(id machine.ID) *Server { return r.servers[id] }
