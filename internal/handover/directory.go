// Package handover chooses the instance that serves a request in place of one that does not
// reach the servers. It holds what is known of the other instances: which pools each of them has
// announced not to reach, and how each answered when it was offered requests. It does no I/O;
// time and randomness come from its caller.
package handover

import (
	"maps"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"kumquatyard/internal/rollup"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// minPause is how long an instance that declined or was silent is left out; it doubles with
	// each time in a row, up to maxPause.
	minPause = 400 * time.Millisecond
	maxPause = 10 * time.Second
	// vainOffers is the number of offers in a row that no instance of a zone took after which the
	// zone is avoided, for pauses that grow as those of an instance do.
	vainOffers = 3
	// vainBurst and vainPerSecond bound the offers in vain for a pool while others announce what
	// they do not reach: where all of them lose it, each one would ask each other one until that
	// is announced. Beyond the bound only instances are asked that took a request.
	vainBurst     = 30
	vainPerSecond = 20
	// announcementTime is how long an announcement holds that is not repeated.
	announcementTime = 3 * time.Second
)

// Helper is another instance, which may serve requests of this one.
type Helper struct {
	Name string
	Zone string
	// Address is where it takes requests from other instances.
	Address string
}

// Unreached lists, by the rollup.Key of a pool's name, the Keys of the instances that
// announced that they reach no server of it, or few.
type Unreached map[uint32]map[uint32]bool

// DecodeUnreached decodes the list of a message.
func DecodeUnreached(list []*pb.UnreachedPool) Unreached {
	unreached := make(Unreached, len(list))
	for _, p := range list {
		instances := make(map[uint32]bool, len(p.GetInstances()))
		for _, key := range p.GetInstances() {
			instances[key] = true
		}
		unreached[p.GetPool()] = instances
	}
	return unreached
}

// subject is what an instance declines: the requests of a pool, or all of them if pool is empty.
type subject struct{ helper, pool string }

// pause is a time in which an instance is left out.
type pause struct {
	until time.Time
	// length is that of the pause, and of the next one after a single request was offered again.
	length time.Duration
}

// zoneSubject is a pool whose requests an availability zone may not take.
type zoneSubject struct{ zone, pool string }

// zoneRecord is what became of the last offers to the instances of a zone.
type zoneRecord struct {
	vain int
	pause
}

// Directory knows which other instances may serve requests. It is safe for concurrent use.
type Directory struct {
	zone string

	mu     sync.Mutex
	pauses map[subject]pause
	zones  map[zoneSubject]zoneRecord
	// takers holds the instances that took the last request of a pool that they were offered, and
	// vain bounds the offers in vain for each pool.
	takers map[subject]bool
	vain   map[string]*rate.Limiter
	// announced is what was announced, last at announcedAt.
	announced   Unreached
	announcedAt time.Time
}

// NewDirectory returns a Directory of an instance in a zone.
func NewDirectory(zone string) *Directory {
	return &Directory{
		zone: zone, pauses: make(map[subject]pause), zones: make(map[zoneSubject]zoneRecord),
		takers: make(map[subject]bool), vain: make(map[string]*rate.Limiter),
	}
}

// Announce replaces what the instances have announced, and reports whether that changes anything.
// An instance that announced that it does not reach a pool, and does so no more, is offered the
// pool's requests again at once.
func (d *Directory) Announce(unreached Unreached, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.announced
	if maps.EqualFunc(before, unreached, maps.Equal[map[uint32]bool, map[uint32]bool]) {
		d.announcedAt = now
		return false
	}
	d.announced, d.announcedAt = unreached, now
	maps.DeleteFunc(d.pauses, func(s subject, _ pause) bool {
		pool, helper := rollup.Key(s.pool), rollup.Key(s.helper)
		return before[pool][helper] && !unreached[pool][helper]
	})
	return true
}

// Retain drops what is known of instances for which keep is false.
func (d *Directory) Retain(keep func(name string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.pauses, func(s subject, _ pause) bool { return !keep(s.helper) })
	maps.DeleteFunc(d.takers, func(s subject, _ bool) bool { return !keep(s.helper) })
}

// Declined records that an instance did not take a request of a pool.
func (d *Directory) Declined(h Helper, pool string, now time.Time) {
	d.recordVain(subject{h.Name, pool}, zoneSubject{h.Zone, pool}, now)
}

// Silent records that an instance did not answer the offer of a request of a pool.
func (d *Directory) Silent(h Helper, pool string, now time.Time) {
	d.recordVain(subject{h.Name, ""}, zoneSubject{h.Zone, pool}, now)
}

func (d *Directory) recordVain(s subject, z zoneSubject, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pauses[s] = d.pauses[s].next(now)
	zone := d.zones[z]
	zone.vain++
	if zone.vain >= vainOffers {
		zone.pause = zone.next(now)
	}
	d.zones[z] = zone
	delete(d.takers, subject{s.helper, z.pool})
	d.limiter(z.pool).AllowN(now, 1)
}

// limiter returns what bounds the offers in vain for a pool. It is called with mu held.
func (d *Directory) limiter(pool string) *rate.Limiter {
	l := d.vain[pool]
	if l == nil {
		l = rate.NewLimiter(vainPerSecond, vainBurst)
		d.vain[pool] = l
	}
	return l
}

// mayBeInVain reports whether a request of a pool may be offered to an instance of which nothing is
// known. It is called with mu held.
func (d *Directory) mayBeInVain(pool string, now time.Time) bool {
	return now.Sub(d.announcedAt) >= announcementTime || d.limiter(pool).TokensAt(now) >= 1
}

// next returns the pause after another offer in vain.
func (p pause) next(now time.Time) pause {
	length := min(max(2*p.length, minPause), maxPause)
	return pause{until: now.Add(length), length: length}
}

// claimed returns the pause while the outcome of the one offer after it is not known.
func (p pause) claimed(now time.Time) pause { return pause{until: now.Add(p.length), length: p.length} }

// Took records that an instance took a request of a pool.
func (d *Directory) Took(h Helper, pool string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pauses, subject{h.Name, pool})
	delete(d.pauses, subject{h.Name, ""})
	delete(d.zones, zoneSubject{h.Zone, pool})
	d.takers[subject{h.Name, pool}] = true
}

// isOut reports whether an instance is left out for a pool. It is called with mu held.
func (d *Directory) isOut(helper, pool string, now time.Time) bool {
	if now.Before(d.pauses[subject{helper, pool}].until) || now.Before(d.pauses[subject{helper, ""}].until) {
		return true
	}
	return now.Sub(d.announcedAt) < announcementTime && d.announced[rollup.Key(pool)][rollup.Key(helper)]
}

// isAvoided reports whether no instance of a zone took a pool's requests lately. It is called
// with mu held.
func (d *Directory) isAvoided(zone, pool string, now time.Time) bool {
	return now.Before(d.zones[zoneSubject{zone, pool}].until)
}

// claim makes the request at hand the only one that is offered to an instance, or in a zone,
// whose pause has ended, until it is known what becomes of it. It is called with mu held.
func (d *Directory) claim(h Helper, pool string, now time.Time) {
	for _, s := range []subject{{h.Name, pool}, {h.Name, ""}} {
		if known, ok := d.pauses[s]; ok {
			d.pauses[s] = known.claimed(now)
		}
	}
	z := zoneSubject{h.Zone, pool}
	if known, ok := d.zones[z]; ok && known.length > 0 && !now.Before(known.until) {
		known.pause = known.claimed(now)
		d.zones[z] = known
	}
}
