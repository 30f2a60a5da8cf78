package handover

import (
	"math/rand/v2"
	"time"
)

// Search finds instances for one request, one after the other.
type Search struct {
	directory *Directory
	helpers   []Helper
	pool      string
	random    *rand.Rand
	offered   map[string]bool
	// vain counts the offers by zone; all but the last one were in vain.
	vain    map[string]int
	leftOut int
}

// Search begins a search among helpers for a request of a pool.
func (d *Directory) Search(helpers []Helper, pool string, random *rand.Rand) *Search {
	return &Search{directory: d, helpers: helpers, pool: pool, random: random, offered: make(map[string]bool), vain: make(map[string]int)}
}

// Offers returns the number of helpers that Next returned.
func (s *Search) Offers() int { return len(s.offered) }

// LeftOut returns the number of helpers that the last call of Next left out.
func (s *Search) LeftOut() int { return s.leftOut }

// Next returns the helper to which the request is offered next; ok is false if none is left. A
// helper that was returned before did not take the request.
func (s *Search) Next(now time.Time) (helper Helper, ok bool) {
	d := s.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	near, far := s.candidates(now)
	chosen := far
	if s.prefersNear(len(near), now) || len(far) == 0 {
		chosen = near
	}
	if len(chosen) == 0 {
		return Helper{}, false
	}
	helper = chosen[s.random.IntN(len(chosen))]
	s.offered[helper.Name] = true
	s.vain[helper.Zone]++
	d.claim(helper, s.pool, now)
	return helper, true
}

// candidates returns the helpers that are not left out, those of this zone and those of the best
// of the other zones.
func (s *Search) candidates(now time.Time) (near, far []Helper) {
	s.leftOut = 0
	best := 0
	takersOnly := !s.directory.mayBeInVain(s.pool, now)
	for _, h := range s.helpers {
		if s.offered[h.Name] {
			continue
		}
		if s.directory.isOut(h.Name, s.pool, now) || takersOnly && !s.directory.takers[subject{h.Name, s.pool}] {
			s.leftOut++
			continue
		}
		if h.Zone == s.directory.zone {
			near = append(near, h)
			continue
		}
		reluctance := s.reluctance(h.Zone, now)
		if len(far) == 0 || reluctance < best {
			far, best = far[:0], reluctance
		}
		if reluctance == best {
			far = append(far, h)
		}
	}
	return near, far
}

// reluctance orders zones: zones that are avoided come after the others, and among them those
// with fewer offers of the request in vain come first.
func (s *Search) reluctance(zone string, now time.Time) int {
	vain := s.vain[zone]
	if s.directory.isAvoided(zone, s.pool, now) {
		vain += len(s.helpers)
	}
	return vain
}

// prefersNear reports whether the request goes to one of the available helpers of this zone:
// traffic between zones costs more, but the instances of the zone that are cut must not give the
// others more work than these have by themselves, and an offer in vain is a sign that the zone
// is cut.
func (s *Search) prefersNear(available int, now time.Time) bool {
	if available == 0 || s.reluctance(s.directory.zone, now) > 0 {
		return false
	}
	zone := 1
	for _, h := range s.helpers {
		if h.Zone == s.directory.zone {
			zone++
		}
	}
	cut := zone - available
	return s.random.Float64()*float64(cut) < float64(available)
}
