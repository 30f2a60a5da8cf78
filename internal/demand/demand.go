// Package demand measures the work that callers request from each pool of model
// engines, including refused requests, and sums it over the instances.
// internal/autoscale plans the number of servers from it.
package demand

import (
	"sync"
	"time"

	"kumquatyard/internal/rollup"
)

const (
	// slot is the resolution of a series, and slots the number of slots in it.
	slot  = 250 * time.Millisecond
	slots = 24
	// recentSlots is the number of slots of the recent rate, in which a burst shows first.
	recentSlots = 6
	// staleAfter is the age after which the other instances' rates count as unknown.
	staleAfter = 3 * time.Second
)

// Meter holds the rates of this instance and of the others. It is safe for concurrent
// use.
type Meter struct {
	mu    sync.Mutex
	pools map[string]*series
	// others are the rates of all other instances by the Key of the pool, as of othersAt.
	others   map[uint32]float64
	othersAt time.Time
}

// series is a ring of sums per slot. first and last are the numbers of the first and of
// the current slot.
type series struct {
	tokens [slots]float64
	last   int64
	first  int64
}

// New returns an empty Meter.
func New() *Meter {
	return &Meter{pools: make(map[string]*series)}
}

// slotOf returns the number of the slot that contains t.
func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slot) }

// refusedShare is the share of a refused request that counts as demand: many of them are
// the same callers again, who were told when to come back.
const refusedShare = 0.5

// AddRefused records tokens of work that was requested from a pool and refused. The caller
// may come back, and is then recorded again.
func (m *Meter) AddRefused(pool string, tokens float64, now time.Time) {
	m.Add(pool, refusedShare*tokens, now)
}

// Add records tokens of work requested from a pool.
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

// advance moves the current slot forward and clears the slots that it enters.
func (s *series) advance(to int64) {
	if to-s.last > slots {
		s.last = to - slots
	}
	for s.last < to {
		s.last++
		s.tokens[s.last%slots] = 0
	}
}

// rate returns the larger of the mean over recentSlots and the mean over all slots, in
// tokens per second. The current slot is left out unless it is the only one.
func (s *series) rate(now time.Time) float64 {
	s.advance(slotOf(now))
	complete := min(s.last-s.first, slots-1)
	if complete == 0 {
		return s.tokens[s.last%slots] / slot.Seconds()
	}
	return max(s.mean(min(recentSlots, complete)), s.mean(complete))
}

// mean returns the mean over the last n complete slots, in tokens per second.
func (s *series) mean(n int64) float64 {
	sum := 0.0
	for i := int64(1); i <= n; i++ {
		sum += s.tokens[((s.last-i)%slots+slots)%slots]
	}
	return sum / (float64(n) * slot.Seconds())
}

// LocalRates returns this instance's rates by pool, in tokens per second.
func (m *Meter) LocalRates(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates := make(map[string]float64, len(m.pools))
	for pool, s := range m.pools {
		rates[pool] = s.rate(now)
	}
	return rates
}

// RecordOthers records the rates of all other instances by the Key of the pool, as of a
// time. It replaces what was recorded before.
func (m *Meter) RecordOthers(rates map[uint32]float64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others, m.othersAt = rates, at
}

// Total returns the rate of a pool summed over all instances, in tokens per second.
func (m *Meter) Total(pool string, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0.0
	if s := m.pools[pool]; s != nil {
		total = s.rate(now)
	}
	if now.Sub(m.othersAt) <= staleAfter {
		total += m.others[rollup.Key(pool)]
	}
	return total
}

// minObservation is how long a pool's traffic has to be observed before its rate is
// considered known.
const minObservation = 4 * time.Second

// Known reports whether this instance has observed a pool's traffic for at least
// minObservation.
func (m *Meter) Known(pool string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.pools[pool]
	return s != nil && time.Duration(slotOf(now)-s.first)*slot >= minObservation
}
