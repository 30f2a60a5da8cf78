package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the failures that a stand-in shows, as POST /_faults takes them.
// A member that is absent from the request keeps its value.
type Faults struct {
	// Down drops every call before it has any effect.
	Down bool `json:"down" yaml:"down"`
	// LatencyMS delays every call.
	LatencyMS int `json:"latency_ms" yaml:"latency_ms"`
	// LoseAnswers is the share of writes that take effect and are not answered.
	LoseAnswers float64 `json:"lose_answers" yaml:"lose_answers"`
	// Silent stops the answers on the connections that are open when it is
	// set. It is an event, not a state, and reads as false.
	Silent bool `json:"silent" yaml:"silent"`
	// LagMS is the age of the load reports, cache events and lists given out.
	LagMS int `json:"lag_ms" yaml:"lag_ms"`
	// DropEvents is the share of cache events that are lost.
	DropEvents float64 `json:"drop_events" yaml:"drop_events"`
	// RefuseStarts refuses new instances.
	RefuseStarts bool `json:"refuse_starts" yaml:"refuse_starts"`
	// LateStartMS delays the time at which an accepted instance becomes live.
	LateStartMS int `json:"late_start_ms" yaml:"late_start_ms"`
	// SlowFactor multiplies the time that work takes; 0 is 1.
	SlowFactor float64 `json:"slow_factor" yaml:"slow_factor"`
}

// faultState shares the faults between the calls of a stand-in.
type faultState struct {
	mu      sync.Mutex
	current Faults
	rng     *rand.Rand
}

func newFaultState(seed uint64) *faultState {
	return &faultState{rng: rand.New(rand.NewPCG(seed, seed))}
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// change applies update and returns the new faults.
func (s *faultState) change(update func(*Faults)) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.current)
	after := s.current
	s.current.Silent = false
	return after
}

// hit draws a member of a share of events.
func (s *faultState) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < share
}

func (f Faults) lag() time.Duration { return time.Duration(f.LagMS) * time.Millisecond }

func (f Faults) slowFactor() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}
