package fleet

import (
	"time"

	"kumquatyard/internal/machine"
)

// Server is a backend server as it describes itself.
type Server struct {
	machine.Server
	Lifecycle machine.Lifecycle
	// Born is the start of this incarnation in Unix milliseconds; 0 when the
	// server does not say.
	Born int64
	// Sequence grows with each report of an incarnation.
	Sequence uint64
	// Slots is the number of requests that run at once.
	Slots int
	// LeavesIn is the time from the report until a reclaimed server is gone; 0
	// when unknown.
	LeavesIn time.Duration
	// ReportedAt is when this instance read the report.
	ReportedAt time.Time
	// AbsentSince is set while the entry is missing although the server may
	// live: it lapsed while the store was away.
	AbsentSince time.Time
}

// Usable reports whether new work may be sent to the server.
func (s *Server) Usable() bool { return s.Lifecycle == machine.Serving }

// LapseGrace is how long after the store's return a missing entry may still be
// written again by a server that lives.
const LapseGrace = 2 * time.Second

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
	if old != nil && old.AbsentSince.IsZero() && older(&s, old) {
		return
	}
	if old != nil && sameIncarnation(old, &s) {
		s.Lifecycle = max(s.Lifecycle, old.Lifecycle)
	}
	r.servers[s.ID] = &s
}

func older(s, than *Server) bool { return s.Born != 0 && s.Born < than.Born }

func sameIncarnation(a, b *Server) bool { return a.Born == b.Born && a.Address == b.Address }

// Remove records that a server's entry was removed while the store served.
func (r *Registry) Remove(id machine.ID) { delete(r.servers, id) }

// Resync replaces the servers by a full list. Servers that it lacks are
// gone; after an outage of the store they stay for LapseGrace, since
// entries may have lapsed meanwhile.
func (r *Registry) Resync(list []Server, now time.Time, afterOutage bool) {
	present := make(map[machine.ID]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		r.Report(s)
	}
	for id, s := range r.servers {
		switch {
		case present[id]:
		case !afterOutage || s.Lifecycle != machine.Serving:
			delete(r.servers, id)
		case s.AbsentSince.IsZero():
			s = copyOf(s)
			s.AbsentSince = now
			r.servers[id] = s
		}
	}
}

// Expire drops the servers that stayed absent, and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for id, s := range r.servers {
		if !s.AbsentSince.IsZero() && now.Sub(s.AbsentSince) >= LapseGrace {
			delete(r.servers, id)
			changed = true
		}
	}
	return changed
}

// Leave marks one incarnation as leaving, as its own answer said.
func (r *Registry) Leave(id machine.ID, born int64) {
	if s := r.servers[id]; s != nil && s.Born == born && s.Lifecycle < machine.Leaving {
		s = copyOf(s)
		s.Lifecycle = machine.Leaving
		r.servers[id] = s
	}
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

// Picture is what requests read: immutable, replaced as a whole.
type Picture struct {
	Config *Config
	// Servers by pool, those that are leaving included.
	Servers map[string][]*Server
	// Instances is the number of entry instances believed alive, this one included.
	Instances int
}

// Get returns a server, nil when it is not known.
func (r *Registry) Get(id machine.ID) *Server { return r.servers[id] }

// Lapse records that a server's entry is missing although it may live.
func (r *Registry) Lapse(id machine.ID, now time.Time) {
	s := r.servers[id]
	if s == nil {
		return
	}
	if s.Lifecycle != machine.Serving {
		r.Remove(id)
		return
	}
	if s.AbsentSince.IsZero() {
		s = copyOf(s)
		s.AbsentSince = now
		r.servers[id] = s
	}
}
