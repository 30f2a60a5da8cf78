package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the failures that a stand-in simulates and the body of
// POST /_faults. A field that is absent from the request keeps its value.
type Faults struct {
	// Down drops every call before it takes effect.
	Down bool `json:"down" yaml:"down"`
	// LatencyMS delays every call.
	LatencyMS int `json:"latency_ms" yaml:"latency_ms"`
	// LoseAnswers is the share of writes that take effect but get no response.
	LoseAnswers float64 `json:"lose_answers" yaml:"lose_answers"`
	// Silent blackholes the connections that are open when it is set. It is an
	// event, not a state, and reads as false.
	Silent bool `json:"silent" yaml:"silent"`
	// LagMS is the lag of load reports, cache events and instance lists.
	LagMS int `json:"lag_ms" yaml:"lag_ms"`
	// DropEvents is the share of cache events that are lost.
	DropEvents float64 `json:"drop_events" yaml:"drop_events"`
	// RefuseStarts refuses to start instances.
	RefuseStarts bool `json:"refuse_starts" yaml:"refuse_starts"`
	// LateStartMS is added to the time until an accepted instance is live.
	LateStartMS int `json:"late_start_ms" yaml:"late_start_ms"`
	// SlowFactor multiplies the duration of work; 0 means 1.
	SlowFactor float64 `json:"slow_factor" yaml:"slow_factor"`
}

// faultState guards the faults that the calls of a stand-in share.
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

// change applies update and returns the new faults. It then resets Silent.
func (s *faultState) change(update func(*Faults)) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.current)
	after := s.current
	s.current.Silent = false
	return after
}

// occurs reports true with the given probability.
func (s *faultState) occurs(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < probability
}

func (f Faults) lag() time.Duration { return time.Duration(f.LagMS) * time.Millisecond }

func (f Faults) slowFactor() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}
