package fairshare

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/rollup"
)

// staleAfter is the age after which the other instances' sums count as unknown. There are
// no shares then.
const staleAfter = 3 * time.Second

// Options configure a Tracker. A nil function makes it inactive: it admits all requests.
type Options struct {
	// Instances returns the number of instances.
	Instances func() int
	// Demand returns the work that all instances are asked for, and Rate what one server of a
	// pool processes, in tokens per second.
	Demand func(pool string, now time.Time) float64
	Rate   func(pool string) float64
	// Random returns numbers that are uniformly distributed over 0 to 1; nil means those of
	// math/rand.
	Random func() float64
	Log    *logrus.Entry
}

func (o *Options) active() bool { return o.Instances != nil && o.Demand != nil && o.Rate != nil }

// Tracker counts what callers ask of pools and decides which requests are over their share
// of a pool that is short of room. It is safe for concurrent use.
type Tracker struct {
	options Options
	// shares holds the shares of the pools that are short of room.
	shares atomic.Pointer[map[string]*poolShares]

	mu    sync.Mutex
	pools map[string]*pool
	// others are the rooms of all other instances as of othersAt.
	others   rollup.Rooms
	othersAt time.Time
}

// pool is what this instance counted of a pool.
type pool struct {
	// since is when this instance first counted a request: meters of groups are as old, so
	// that the first request of a group is not taken for a high rate.
	since   time.Time
	offered map[rollup.GroupKey]*meter
	pressed *meter
	served  *meter
	// servers holds the number of usable servers per update, as a sum per slot, and updates
	// the number of updates.
	servers, updates *meter
	shortness        shortness
	// near is set while the pool is short, or nearly so, for this instance; told is set while
	// the other instances are told of it.
	near, told bool
}

// poolShares are the shares of a pool that is short of room.
type poolShares struct {
	groups map[rollup.GroupKey]Share
	mu     sync.Mutex
	// credits holds the credit of the requests of a group and route: each adds the group's
	// part to it, and takes one from it when it is inside the share.
	credits map[creditKey]float64
}

type creditKey struct {
	group rollup.GroupKey
	route string
}

// New returns a Tracker.
func New(o Options) *Tracker {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	t := &Tracker{options: o, pools: make(map[string]*pool)}
	t.shares.Store(&map[string]*poolShares{})
	return t
}

// Request is a request to a pool.
type Request struct {
	Pool, Workspace, Route string
	// Rank is 0 for the most urgent requests.
	Rank int
	// Tokens is the work that the request needs.
	Tokens float64
	// Pressed is set if the pool's servers have no spare room.
	Pressed bool
}

func (r *Request) group() rollup.GroupKey {
	return rollup.GroupKey{Workspace: rollup.Key(r.Workspace), Rank: r.Rank}
}

// Verdict is the decision about a request.
type Verdict struct {
	// Refused is set if the request is over its group's share while there is no spare room;
	// it may come again after RetryAfter.
	Refused    bool
	RetryAfter time.Duration
	// Share is that of the group; zero while the pool is not short of room.
	Share Share
}

// Decide decides about a request.
func (t *Tracker) Decide(r Request) Verdict {
	shares := (*t.shares.Load())[r.Pool]
	if shares == nil || !r.Pressed {
		return Verdict{}
	}
	key := r.group()
	share, ok := shares.groups[key]
	if !ok || share.Part() >= 1 {
		return Verdict{Share: share}
	}
	if shares.draw(creditKey{key, r.Route}, share.Part(), t.options.Random) {
		insideTotal.Inc()
		return Verdict{Share: share}
	}
	refusedTotal.Inc()
	return Verdict{Refused: true, RetryAfter: retryAfter(share), Share: share}
}

// draw reports whether a request is inside a share of which it is told the part.
func (s *poolShares) draw(key creditKey, part float64, random func() float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	credit, ok := s.credits[key]
	if !ok {
		credit = random() // so that the instances do not all refuse the first one
	}
	credit += part
	inside := credit >= 1
	if inside {
		credit--
	}
	s.credits[key] = credit
	return inside
}

// Record counts a request, which may have been refused for whatever reason.
func (t *Tracker) Record(r Request, now time.Time) {
	if !t.options.active() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(r.Pool, now)
	offered := p.offered[r.group()]
	if offered == nil {
		offered = newMeter(p.since)
		p.offered[r.group()] = offered
	}
	offered.add(r.Tokens, now)
	if r.Pressed {
		p.pressed.add(r.Tokens, now)
	}
}

// RecordServed counts the work of a request whose answer began.
func (t *Tracker) RecordServed(pool string, tokens float64, now time.Time) {
	if !t.options.active() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool(pool, now).served.add(tokens, now)
}

// pool returns the state of a pool and creates it on first use. It is called with mu held.
func (t *Tracker) pool(name string, now time.Time) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{since: now, offered: make(map[rollup.GroupKey]*meter), pressed: newMeter(now), served: newMeter(now), servers: newMeter(now), updates: newMeter(now)}
		t.pools[name] = p
	}
	return p
}

// RecordOthers records the rooms of all other instances, as of a time. It replaces what was
// recorded before.
func (t *Tracker) RecordOthers(rooms rollup.Rooms, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others, t.othersAt = rooms, at
}

// LocalRooms returns what this instance counted of the pools that are short of room, or
// nearly so, to report it to the other instances.
func (t *Tracker) LocalRooms(now time.Time) rollup.Rooms {
	t.mu.Lock()
	defer t.mu.Unlock()
	rooms := make(rollup.Rooms)
	for name, p := range t.pools {
		if p.told {
			rooms[rollup.Key(name)] = p.local(now)
		}
	}
	return rooms
}

// local returns what this instance counted.
func (p *pool) local(now time.Time) rollup.Room {
	room := rollup.Room{
		Pressed: p.pressed.rate(recentSlots, now), Served: p.served.rate(allSlots, now), Offered: make(map[rollup.GroupKey]float64, len(p.offered)),
	}
	if p.near {
		room.Near = 1
	}
	for key, offered := range p.offered {
		if offered.idle(now) {
			delete(p.offered, key)
			continue
		}
		room.Offered[key] = offered.rate(recentSlots, now)
	}
	return room
}

// weightsOf returns the weights of the workspaces by their Key: the rates of their quotas. They
// are nil if the quotas do not all count the same.
func weightsOf(c *fleet.Config) map[uint32]float64 {
	weights := make(map[uint32]float64, len(c.Workspaces))
	inTokens, known := false, false
	for name, w := range c.Workspaces {
		if w.Quota.PerSecond <= 0 {
			continue
		}
		if known && inTokens != w.Quota.InTokens {
			return nil
		}
		inTokens, known = w.Quota.InTokens, true
		weights[rollup.Key(name)] = w.Quota.PerSecond
	}
	return weights
}
