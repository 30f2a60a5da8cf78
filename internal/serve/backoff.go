package serve

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/ratelimit"
)

// backoffs holds the servers that asked for no further requests, until a time or, when
// they are leaving, for good. A new incarnation of a server starts without.
type backoffs struct{ servers sync.Map } // machine.ID → backoff

type backoff struct {
	// startedAtMs and address identify the incarnation.
	startedAtMs int64
	address     string
	leaving     bool
	until       time.Time
}

// get returns the backoff of a server's incarnation; zero when there is none.
func (b *backoffs) get(server *fleet.Server) backoff {
	found, ok := b.servers.Load(server.ID)
	if !ok {
		return backoff{}
	}
	entry := found.(backoff)
	if entry.startedAtMs != server.StartedAtMs || entry.address != server.Address {
		return backoff{}
	}
	return entry
}

// set changes the backoff of a server's incarnation.
func (b *backoffs) set(server *fleet.Server, change func(*backoff)) {
	entry := b.get(server)
	entry.startedAtMs, entry.address = server.StartedAtMs, server.Address
	change(&entry)
	b.servers.Store(server.ID, entry)
}

// remaining returns how long a server accepts no requests, and false if it will accept
// none because it is leaving.
func (b *backoffs) remaining(server *fleet.Server, now time.Time) (wait time.Duration, returns bool) {
	entry := b.get(server)
	return max(entry.until.Sub(now), 0), !entry.leaving
}

// wanted reports whether a server accepts requests.
func (b *backoffs) wanted(server *fleet.Server, now time.Time) bool {
	wait, returns := b.remaining(server, now)
	return returns && wait == 0
}

// retain drops the servers for which keep is false.
func (b *backoffs) retain(keep func(machine.ID) bool) {
	b.servers.Range(func(id, _ any) bool {
		if !keep(id.(machine.ID)) {
			b.servers.Delete(id)
		}
		return true
	})
}

// accepts reports whether a server accepts a request now.
func (s *Server) accepts(server *fleet.Server, now time.Time) bool {
	return s.backoffs.wanted(server, now) && s.Limits.Allows(ratelimit.IncarnationOf(server), now) && s.Brittle.Allows(server, now)
}

// heed records what an answer says about further requests to its server. askedAt is when
// the request was sent.
func (s *Server) heed(a *Answer, server *fleet.Server, request string, askedAt time.Time) {
	if isOwn := a.Authentic || a.Refused || a.Brittle || a.RateLimit.Kind == ratelimit.Limited; isOwn && !a.Misdirected {
		s.Brittle.Observe(server.Pool, a.Brittle, askedAt, time.Now())
		s.Limits.Observe(ratelimit.IncarnationOf(server), ratelimit.Observation{Limit: a.RateLimit, AskedAt: askedAt, AnsweredAt: time.Now()})
	}
	if a.Refused && !a.Misdirected {
		s.Brittle.TurnedAway(server, time.Now())
	}
	if a.Leaving && !s.backoffs.get(server).leaving {
		s.backoffs.set(server, func(b *backoff) { b.leaving = true })
		s.Log.WithFields(logrus.Fields{"event": "server_leaving", "server": server.ID, "request": request, "born": server.StartedAtMs}).Info("the server's answer says that it is leaving; it gets no more requests")
		if s.MarkLeaving != nil {
			s.MarkLeaving(server)
		}
	}
	if a.RetryAfter > 0 {
		until := time.Now().Add(a.RetryAfter)
		s.backoffs.set(server, func(b *backoff) {
			if until.After(b.until) {
				b.until = until
			}
		})
		s.Log.WithFields(logrus.Fields{"event": "server_backoff", "server": server.ID, "request": request, "retry_after_ms": a.RetryAfter.Milliseconds()}).Info("the server turned the request away and wants no others for a time")
	}
}

// shortestBackoff returns the time until the first of the servers that are serving but
// asked for no requests accepts them again; 0 when one of them accepts requests, or none
// is serving.
func (s *Server) shortestBackoff(servers []*fleet.Server, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, server := range servers {
		wait, returns := s.backoffs.remaining(server, now)
		if !server.Usable() || !returns {
			continue
		}
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// limitedServers returns the servers that accept requests but for the limits of their rates.
func (s *Server) limitedServers(servers []*fleet.Server, now time.Time) []ratelimit.Incarnation {
	var limited []ratelimit.Incarnation
	for _, server := range servers {
		incarnation := ratelimit.IncarnationOf(server)
		if server.Usable() && s.backoffs.wanted(server, now) && s.Limits.IsLimited(incarnation) {
			limited = append(limited, incarnation)
		}
	}
	return limited
}
