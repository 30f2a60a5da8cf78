// Package ratelimit keeps all instances together within the rates of requests that servers
// name in their answers, without a call on a request's path.
//
// A server's rate is divided among a few instances, its holders, whom rendezvous hashing
// over the names of all instances chooses: as many as the rate feeds, since the burst that
// each holder needs to spend a fraction of a request adds up. Each holder has a token bucket
// with its share; all others leave the server alone. The sum therefore holds whatever the
// instances know of each other's requests. They tell each other of limits, so that also
// those obey that got no answer of the server.
package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/gossip"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rendezvous"
)

const (
	// endedRetention is how long the end of a limit is remembered, so that older news of the
	// limit change nothing.
	endedRetention = 30 * time.Second
	// unknownRetention is how long limits of servers are kept that are not in the list of
	// servers yet.
	unknownRetention = 10 * time.Second
	// maxServers bounds the servers of which limits are kept.
	maxServers = 4096
	// maxReturnTime bounds the time after which refused callers may return.
	maxReturnTime = 5 * time.Second
)

var changesTotal = metrics.NewCounter("kumquat_server_limit_changes_total")

// Incarnation identifies a start of a server. A new one starts without a limit.
type Incarnation struct {
	ID          machine.ID
	StartedAtMs int64
	Address     string
}

// IncarnationOf returns the incarnation of a server.
func IncarnationOf(s *fleet.Server) Incarnation { return Incarnation{s.ID, s.StartedAtMs, s.Address} }

func (i Incarnation) hash() uint64 {
	return rendezvous.Mix(xxhash.Sum64String(string(i.ID)+"/"+i.Address) + uint64(i.StartedAtMs))
}

// Observation is what an answer of a server said. The server said it between AskedAt, when
// the request was sent, and AnsweredAt, when the head of the answer arrived.
type Observation struct {
	Limit               Limit
	AskedAt, AnsweredAt time.Time
}

// replaces reports whether o changes what is known from old. Where both overlap in time, it
// is not known which is newer, and the stricter one holds.
func (o Observation) replaces(old Observation) bool {
	if !o.AskedAt.Before(old.AnsweredAt) {
		return true
	}
	return o.AnsweredAt.After(old.AskedAt) && o.Limit.isStricterThan(old.Limit)
}

// Tracker holds the limits that servers named and this instance's shares of them. It is safe
// for concurrent use.
type Tracker struct {
	log *logrus.Entry

	mu      sync.Mutex
	servers map[Incarnation]*limited
	// instances are all instances; none until they are known.
	instances *rendezvous.Members
	// returns holds, for each pool, when the caller may return that was refused last.
	returns map[string]time.Time
	// limits is the number of servers with a limit: without any, requests take no lock.
	limits atomic.Int64
}

// limited is what is known of one server.
type limited struct {
	Observation
	bucket bucket
	// generation is that of the instances by which the bucket has its share.
	generation int
	gossip.Telling
}

// New returns a Tracker of the instance with the given name. It leaves servers with a limit
// alone until SetInstances is called.
func New(self string, log *logrus.Entry) *Tracker {
	return &Tracker{log: log, instances: rendezvous.NewMembers(self), servers: make(map[Incarnation]*limited), returns: make(map[string]time.Time)}
}

// SetInstances sets the names of the listed instances, with or without this one.
func (t *Tracker) SetInstances(names []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances.Set(names, now)
}

// Observe records what an answer of a server said.
func (t *Tracker) Observe(server Incarnation, o Observation) {
	if o.Limit.Kind == Unreadable || o.Limit.Kind == Unlimited && t.limits.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(server, o, "answer", o.AnsweredAt)
}

// record adds an observation. It is called with mu held.
func (t *Tracker) record(server Incarnation, o Observation, source string, now time.Time) {
	s := t.servers[server]
	if s == nil {
		if o.Limit.Kind == Unlimited || len(t.servers) >= maxServers {
			return
		}
		s = &limited{}
		t.servers[server] = s
	} else if o.Limit == s.Limit {
		s.AskedAt, s.AnsweredAt = later(s.AskedAt, o.AskedAt), later(s.AnsweredAt, o.AnsweredAt)
		return
	} else if !o.replaces(s.Observation) {
		return
	}
	t.logChange(server, s.Limit, o, source, now)
	t.update(server, s, now)
	switch {
	case s.Limit.Kind == o.Limit.Kind:
	case o.Limit.Kind == Limited:
		t.limits.Add(1)
		s.bucket = bucket{filledAt: now}
	default:
		t.limits.Add(-1)
	}
	s.Observation, s.generation = o, 0
	s.Change()
	t.update(server, s, now)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// update refills the bucket, and sets its share by the limit and the instances. It is called
// with mu held.
func (t *Tracker) update(server Incarnation, s *limited, now time.Time) {
	s.bucket.refill(now)
	if s.generation != t.instances.Generation() {
		s.generation = t.instances.Generation()
		s.bucket.setShare(shareOf(s.Limit.PerSecond, t.instances.Rank(server.hash()), t.instances.Len()))
	}
}

// Allows reports whether a request may be sent to a server now, as far as its limit goes.
func (t *Tracker) Allows(server Incarnation, now time.Time) bool {
	return t.withLimited(server, now, func(s *limited) bool { return s.bucket.tokens >= 1 })
}

// Take is called right before a request is sent to a server. It charges the request to the
// server's limit, and returns false if it must not be sent.
func (t *Tracker) Take(server Incarnation, now time.Time) bool {
	return t.withLimited(server, now, func(s *limited) bool { return s.bucket.take() })
}

// Refund credits the charge of a request of which nothing was sent.
func (t *Tracker) Refund(server Incarnation, now time.Time) {
	t.withLimited(server, now, func(s *limited) bool {
		s.bucket.add(1)
		return true
	})
}

// withLimited returns the result of f for a server with a limit, and true for any other.
func (t *Tracker) withLimited(server Incarnation, now time.Time, f func(*limited) bool) bool {
	if t.limits.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limited(server)
	if s == nil {
		return true
	}
	t.update(server, s, now)
	return f(s)
}

// limited returns what is known of a server with a limit, nil if it has none. It is called
// with mu held.
func (t *Tracker) limited(server Incarnation) *limited {
	if s := t.servers[server]; s != nil && s.Limit.Kind == Limited {
		return s
	}
	return nil
}

// IsLimited reports whether a server has a limit.
func (t *Tracker) IsLimited(server Incarnation) bool {
	if t.limits.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limited(server) != nil
}

// ReturnIn returns when a caller may return that none of a pool's servers takes, because all
// of them are at their limits: not before this instance may send a request again, and one
// caller after the other, at the rate that the servers take.
func (t *Tracker) ReturnIn(pool string, servers []Incarnation, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond, wait := 0.0, time.Duration(maxReturnTime)
	for _, server := range servers {
		s := t.limited(server)
		if s == nil {
			continue
		}
		t.update(server, s, now)
		perSecond += max(s.Limit.PerSecond, minPerSecond)
		wait = min(wait, s.bucket.wait())
	}
	if perSecond == 0 {
		return maxReturnTime
	}
	interval := time.Duration(float64(max(t.instances.Len(), 1)) / perSecond * float64(time.Second))
	if wait >= maxReturnTime {
		wait = interval // another instance may have a share
	}
	at := later(now.Add(max(wait, interval)), t.returns[pool].Add(interval))
	if at.Sub(now) > maxReturnTime {
		return maxReturnTime
	}
	t.returns[pool] = at
	return at.Sub(now)
}

// Retain drops limits that have ended and, unless they are news, those of servers for which
// known is false. It is called several times a second.
func (t *Tracker) Retain(known func(machine.ID) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances.Expire(now)
	for server, s := range t.servers {
		age := now.Sub(s.AnsweredAt)
		if s.Limit.Kind == Limited && (known(server.ID) || age < unknownRetention) || s.Limit.Kind == Unlimited && age < endedRetention {
			continue
		}
		if s.Limit.Kind == Limited {
			t.limits.Add(-1)
		}
		delete(t.servers, server)
	}
}

// logChange logs a limit that is new, has changed or has ended.
func (t *Tracker) logChange(server Incarnation, before Limit, o Observation, source string, now time.Time) {
	changesTotal.Inc()
	entry := t.log.WithFields(logrus.Fields{
		"event": "server_limit", "server": server.ID, "source": source, "age_ms": now.Sub(o.AnsweredAt).Milliseconds(), "instances": t.instances.Len(),
	})
	if before.Kind == Limited {
		entry = entry.WithField("former_per_s", before.PerSecond)
	}
	if o.Limit.Kind == Unlimited {
		entry.Info("the server names no limit of its request rate any more")
		return
	}
	entry.WithField("per_s", o.Limit.PerSecond).Info("the server names a limit of its request rate; the instances share it")
}
