// Package demand measures the work that callers ask of each pool of model
// engines, refused requests included, and sums it over the instances.
package demand

import (
	"sync"
	"time"
)

const (
	// slot is the resolution of the record and slots its length.
	slot  = 250 * time.Millisecond
	slots = 24
	// shortSlots are those of the recent rate; a burst shows there first.
	shortSlots = 6
	// staleAfter is the age after which another instance's rate is forgotten.
	staleAfter = 3 * time.Second
)

// Meter is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	pools  map[string]*series
	others map[string]otherRates
}

type otherRates struct {
	at    time.Time
	rates map[string]float64
}

// series is a ring of sums, each of one slot of time.
type series struct {
	tokens [slots]float64
	last   int64
	first  int64
}

// New returns an empty Meter.
func New() *Meter {
	return &Meter{pools: make(map[string]*series), others: make(map[string]otherRates)}
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slot) }

// Add records tokens of work asked of a pool.
func (m *Meter) Add(pool string, tokens float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.pools[pool]
	if s == nil {
		s = &series{first: slotOf(now), last: slotOf(now)}
		m.pools[pool] = s
	}
	s.advance(slotOf(now))
	s.tokens[s.last%slots] += tokens
}

func (s *series) advance(to int64) {
	if to-s.last > slots {
		s.last = to - slots
	}
	for s.last < to {
		s.last++
		s.tokens[s.last%slots] = 0
	}
}

// rate is the larger of the recent and the longer mean, in tokens a second. The
// slot that has begun does not count, but for the very first.
func (s *series) rate(now time.Time) float64 {
	s.advance(slotOf(now))
	whole := min(s.last-s.first, slots-1)
	if whole == 0 {
		return s.tokens[s.last%slots] / slot.Seconds()
	}
	return max(s.mean(min(shortSlots, whole)), s.mean(whole))
}

// mean is that of the last n whole slots.
func (s *series) mean(n int64) float64 {
	sum := 0.0
	for i := int64(1); i <= n; i++ {
		sum += s.tokens[((s.last-i)%slots+slots)%slots]
	}
	return sum / (float64(n) * slot.Seconds())
}

// LocalRates returns this instance's rates by pool, in tokens a second.
func (m *Meter) LocalRates(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates := make(map[string]float64, len(m.pools))
	for pool, s := range m.pools {
		rates[pool] = s.rate(now)
	}
	return rates
}

// RecordPeerReport records another instance's rates.
func (m *Meter) RecordPeerReport(from string, rates map[string]float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others[from] = otherRates{at: now, rates: rates}
}

// Total returns the rate asked of a pool at all instances.
func (m *Meter) Total(pool string, now time.Time) float64 {
	own := m.LocalRates(now)[pool]
	m.mu.Lock()
	defer m.mu.Unlock()
	for from, o := range m.others {
		if now.Sub(o.at) > staleAfter {
			delete(m.others, from)
			continue
		}
		own += o.rates[pool]
	}
	return own
}

// knownAfter is how long traffic has to be seen before it can be judged.
const knownAfter = 4 * time.Second

// Known reports whether this instance has seen a pool's traffic for long enough.
func (m *Meter) Known(pool string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.pools[pool]
	return s != nil && time.Duration(slotOf(now)-s.first)*slot >= knownAfter
}
