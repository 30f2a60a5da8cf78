// Package brittle keeps all instances together within the room of servers that fall over when
// they have to turn requests away. The slots of such a server are divided among the instances
// without a call on a request's path: rendezvous hashing over the names of all instances says
// who has how many, so that the sum never exceeds the room whatever the instances know of each
// other's requests.
package brittle

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/gossip"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rendezvous"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// beliefTime is how long a pool counts as brittle after the last answer that said so.
	beliefTime = 8 * time.Second
	// turnAwayPause is how long an instance leaves a server alone that has turned one of its
	// requests away for want of room.
	turnAwayPause = time.Second
	// refreshInterval is how often a pool is told to other instances that is still brittle.
	refreshInterval = time.Second
)

// Tracker holds the pools whose servers are brittle, and this instance's requests at each
// server. It is safe for concurrent use.
type Tracker struct {
	log *logrus.Entry
	// inFlight counts the requests at a server (machine.ID → *atomic.Int64).
	inFlight sync.Map
	// count is the number of brittle pools: without any, requests take no lock.
	count atomic.Int64

	mu        sync.Mutex
	instances *rendezvous.Members
	pools     map[string]*pool
	// turnedAway is when a server last turned a request of this instance away.
	turnedAway map[machine.ID]time.Time
	// shares holds this instance's parts of the slots of servers.
	shares map[machine.ID]share
}

// share is this instance's part of a server's slots, and what it follows from.
type share struct {
	room       int64
	address    string
	slots      int
	generation int
}

// pool is what is known of a pool whose servers are or were brittle.
type pool struct {
	isBrittle bool
	// askedAt and answeredAt are when the request was sent whose answer told it, and when that
	// arrived.
	askedAt, answeredAt time.Time
	gossip.Telling
}

// New returns a Tracker of the instance with the given name. It sends nothing to brittle
// servers until SetInstances is called.
func New(self string, log *logrus.Entry) *Tracker {
	return &Tracker{log: log, instances: rendezvous.NewMembers(self), pools: make(map[string]*pool), turnedAway: make(map[machine.ID]time.Time), shares: make(map[machine.ID]share)}
}

// SetInstances sets the names of the listed instances, with or without this one.
func (t *Tracker) SetInstances(names []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances.Set(names, now)
}

// Observe records whether an answer said that its server is brittle. All servers of a pool are,
// or none.
func (t *Tracker) Observe(name string, isBrittle bool, askedAt, answeredAt time.Time) {
	if !isBrittle && t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(name, isBrittle, askedAt, answeredAt, "answer")
}

// record adds what an answer said. It is called with mu held.
func (t *Tracker) record(name string, isBrittle bool, askedAt, answeredAt time.Time, source string) {
	p := t.pools[name]
	switch {
	case p == nil && !isBrittle:
		return
	case p == nil:
		p = &pool{}
		t.pools[name] = p
	case p.isBrittle == isBrittle:
		if answeredAt.After(p.answeredAt) {
			p.askedAt, p.answeredAt = askedAt, answeredAt
		}
		return
	case isBrittle && !answeredAt.After(p.askedAt), !isBrittle && askedAt.Before(p.answeredAt):
		return // older than what is known
	}
	p.askedAt, p.answeredAt = askedAt, answeredAt
	t.change(name, p, isBrittle, source)
}

func (t *Tracker) change(name string, p *pool, isBrittle bool, source string) {
	p.isBrittle = isBrittle
	p.Change()
	if isBrittle {
		t.count.Add(1)
	} else {
		t.count.Add(-1)
	}
	t.log.WithFields(logrus.Fields{"event": "pool_brittle", "pool": name, "brittle": isBrittle, "source": source, "instances": t.instances.Len()}).Info("the servers of the pool are brittle or no longer are; while they are, the instances share their slots")
}

// IsBrittle reports whether the servers of a pool are brittle.
func (t *Tracker) IsBrittle(name string) bool {
	if t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[name]
	return p != nil && p.isBrittle
}

// room returns how many requests this instance may have at a server. It is called with mu held.
func (t *Tracker) room(s *fleet.Server, now time.Time) int64 {
	if t.instances.Len() == 0 || now.Sub(t.turnedAway[s.ID]) < turnAwayPause {
		return 0
	}
	known, ok := t.shares[s.ID]
	if !ok || known.address != s.Address || known.slots != s.Slots || known.generation != t.instances.Generation() {
		known = t.shareOf(s)
		t.shares[s.ID] = known
	}
	return known.room
}

// shareOf returns this instance's part of a server's slots. There must be instances.
func (t *Tracker) shareOf(s *fleet.Server) share {
	n := t.instances.Len()
	room := s.Slots / n
	if t.instances.Rank(xxhash.Sum64String(string(s.ID)+"/"+s.Address)) < s.Slots%n {
		room++
	}
	return share{int64(room), s.Address, s.Slots, t.instances.Generation()}
}

// Allows reports whether this instance has room for a request at a server.
func (t *Tracker) Allows(s *fleet.Server, now time.Time) bool {
	if !t.IsBrittle(s.Pool) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counter(s.ID).Load() < t.room(s, now)
}

// Take is called right before a request is sent to a server. It returns false if there is no
// room for it; otherwise Release has to be called.
func (t *Tracker) Take(s *fleet.Server, now time.Time) bool {
	counter := t.counter(s.ID)
	if !t.IsBrittle(s.Pool) {
		counter.Add(1)
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if counter.Load() >= t.room(s, now) {
		return false
	}
	counter.Add(1)
	return true
}

// Release records that a request that Take has admitted is no longer at its server.
func (t *Tracker) Release(s *fleet.Server) { t.counter(s.ID).Add(-1) }

func (t *Tracker) counter(id machine.ID) *atomic.Int64 {
	found, ok := t.inFlight.Load(id)
	if !ok {
		found, _ = t.inFlight.LoadOrStore(id, new(atomic.Int64))
	}
	return found.(*atomic.Int64)
}

// TurnedAway records that a server turned a request of this instance away for want of room.
func (t *Tracker) TurnedAway(s *fleet.Server, now time.Time) {
	if !t.IsBrittle(s.Pool) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turnedAway[s.ID] = now
}

// Retain drops what is old, and servers for which known is false. It is called several times a
// second.
func (t *Tracker) Retain(known func(machine.ID) bool, now time.Time) {
	t.inFlight.Range(func(id, counter any) bool {
		if !known(id.(machine.ID)) && counter.(*atomic.Int64).Load() == 0 {
			t.inFlight.Delete(id)
		}
		return true
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances.Expire(now)
	maps.DeleteFunc(t.shares, func(id machine.ID, _ share) bool { return !known(id) })
	maps.DeleteFunc(t.turnedAway, func(_ machine.ID, at time.Time) bool { return now.Sub(at) >= turnAwayPause })
	for name, p := range t.pools {
		switch {
		case now.Sub(p.answeredAt) < beliefTime:
		case p.isBrittle:
			t.change(name, p, false, "age")
		default:
			delete(t.pools, name)
		}
	}
}

// Messages returns what the other instances are to be told: what is news and, now and then, the
// pools that are brittle.
func (t *Tracker) Messages(now time.Time) []*pb.BrittlePool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*pb.BrittlePool
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		p := t.pools[name]
		if !p.IsNews() && (!p.isBrittle || !p.IsDue(refreshInterval, now)) {
			continue
		}
		p.Told(now)
		list = append(list, &pb.BrittlePool{
			Pool: name, Brittle: p.isBrittle, AskedAgeMs: gossip.AgeMs(p.askedAt, now), AnsweredAgeMs: gossip.AgeMs(p.answeredAt, now),
		})
	}
	return list
}

// Merge adds what another instance knows.
func (t *Tracker) Merge(list []*pb.BrittlePool, now time.Time) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range list {
		age := gossip.Age(m.GetAnsweredAgeMs())
		if age >= beliefTime {
			continue
		}
		t.record(m.GetPool(), m.GetBrittle(), now.Add(-gossip.Age(m.GetAskedAgeMs())), now.Add(-age), "instance")
	}
}
