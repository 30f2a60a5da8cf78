package route

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// marks is the number of past readings that an InFlight keeps.
	marks = 32
	// markEvery is the least time between two of them.
	markEvery = 200 * time.Millisecond
)

// InFlight counts the work that this gateway has sent to one server and that
// has not finished. It outlives views and is safe for concurrent use.
type InFlight struct {
	requests atomic.Int64
	tokens   atomic.Int64

	mu      sync.Mutex
	history [marks]mark
	next    int
}

// mark is a reading of the counters.
type mark struct {
	at       time.Time
	requests int
	tokens   int
}

// Add counts a request of the given prompt and output tokens.
func (f *InFlight) Add(tokens int) {
	f.requests.Add(1)
	f.tokens.Add(int64(tokens))
}

// Done undoes an Add.
func (f *InFlight) Done(tokens int) {
	f.requests.Add(-1)
	f.tokens.Add(-int64(tokens))
}

// Requests returns the number of unfinished requests.
func (f *InFlight) Requests() int { return int(f.requests.Load()) }

// Tokens returns the tokens of the unfinished requests.
func (f *InFlight) Tokens() int { return int(f.tokens.Load()) }

// markAt records a reading at now and returns the one closest to at, so that a
// report made at that time can be corrected by what was sent since.
func (f *InFlight) markAt(now, at time.Time) mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := mark{at: now, requests: f.Requests(), tokens: f.Tokens()}
	if last := f.history[(f.next+marks-1)%marks]; now.Sub(last.at) >= markEvery {
		f.history[f.next] = current
		f.next = (f.next + 1) % marks
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
