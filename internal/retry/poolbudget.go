package retry

import (
	"sync"
	"time"
)

// budgetSlices is the number of slices in which a PoolBudget counts its window.
const budgetSlices = 8

// PoolBudget bounds the repeated sends to each pool, over any window, to a ratio
// of the requests of about that time plus a burst. Each instance keeps its own,
// so that the sum over all instances stays within the fleet's budget without
// asking anyone. It is safe for concurrent use.
type PoolBudget struct {
	window time.Duration

	mu    sync.Mutex
	ratio float64
	burst float64
	pools map[string]*poolCounts
}

// poolCounts are the sends to a pool by slice. One slice more than the window is
// kept, since the oldest is partly in it.
type poolCounts struct {
	slices [budgetSlices + 1]sliceCounts
	// newest is the number of the slice that is being counted, since 1970.
	newest int64
}

type sliceCounts struct{ requests, repeats int }

// NewPoolBudget returns a budget of burst repeats beside ratio repeats for
// each request, in each window.
func NewPoolBudget(ratio, burst float64, window time.Duration) *PoolBudget {
	return &PoolBudget{window: window, ratio: ratio, burst: burst, pools: make(map[string]*poolCounts)}
}

// Set changes the bounds.
func (b *PoolBudget) Set(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
}

// Request counts a first send.
func (b *PoolBudget) Request(pool string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(pool, now).requests++
}

// Take counts a repeat, and reports false when the budget is spent.
func (b *PoolBudget) Take(pool string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current(pool, now)
	requests, repeats := b.pools[pool].sums()
	if float64(repeats+1) > b.ratio*float64(requests)+b.burst {
		return false
	}
	current.repeats++
	return true
}

// current returns the counts of the slice of now. A clock that steps back goes
// on in the newest slice.
func (b *PoolBudget) current(pool string, now time.Time) *sliceCounts {
	c := b.pools[pool]
	if c == nil {
		c = &poolCounts{}
		b.pools[pool] = c
	}
	slice := now.UnixNano() / int64(b.window/budgetSlices)
	for n := max(c.newest+1, slice-budgetSlices); n <= slice; n++ {
		c.slices[n%(budgetSlices+1)] = sliceCounts{}
	}
	c.newest = max(c.newest, slice)
	return &c.slices[c.newest%(budgetSlices+1)]
}

// sums returns the requests of at most a window and the repeats of at least one.
func (c *poolCounts) sums() (requests, repeats int) {
	oldest := (c.newest + 1) % (budgetSlices + 1)
	for i, s := range c.slices {
		repeats += s.repeats
		if int64(i) != oldest {
			requests += s.requests
		}
	}
	return requests, repeats
}
