package route

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// historySize is the number of past readings that an InFlight keeps.
	historySize = 32
	// historyInterval is the minimum time between two readings.
	historyInterval = 200 * time.Millisecond
)

// InFlight counts the unfinished work that this gateway has sent to one server.
// Successive views share it. It is safe for concurrent use.
type InFlight struct {
	requests atomic.Int64
	tokens   atomic.Int64

	mu      sync.Mutex
	history [historySize]reading
	next    int
}

// reading is the value of the counters at a point in time.
type reading struct {
	at       time.Time
	requests int
	tokens   int
}

// Add counts one more request. tokens are its prompt and output tokens.
func (f *InFlight) Add(tokens int) {
	f.requests.Add(1)
	f.tokens.Add(int64(tokens))
}

// Done counts one request less. tokens must be those passed to Add.
func (f *InFlight) Done(tokens int) {
	f.requests.Add(-1)
	f.tokens.Add(-int64(tokens))
}

// Requests returns the number of unfinished requests.
func (f *InFlight) Requests() int { return int(f.requests.Load()) }

// Tokens returns the total tokens of the unfinished requests.
func (f *InFlight) Tokens() int { return int(f.tokens.Load()) }

// readingAt records a reading at now and returns the reading closest to at. With
// it, a load report made at that time is corrected by the requests sent since.
func (f *InFlight) readingAt(now, at time.Time) reading {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := reading{at: now, requests: f.Requests(), tokens: f.Tokens()}
	if last := f.history[(f.next+historySize-1)%historySize]; now.Sub(last.at) >= historyInterval {
		f.history[f.next] = current
		f.next = (f.next + 1) % historySize
	}
	best := current
	for _, m := range f.history {
		if m.at.IsZero() {
			continue
		}
		if m.at.Sub(at).Abs() < best.at.Sub(at).Abs() {
			best = m
		}
	}
	return best
}
