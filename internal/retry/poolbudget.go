package retry

import (
	"sync"
	"time"
)

// budgetSlices is the number of slices into which a PoolBudget divides its window.
const budgetSlices = 8

// PoolBudget is a retry budget per pool. In any window it bounds the retries to a ratio
// of the requests of about that window, plus a burst. Each instance has its own
// PoolBudget, so that the sum over all instances stays within the fleet's budget
// without coordination. PoolBudget is safe for concurrent use.
type PoolBudget struct {
	window time.Duration

	mu    sync.Mutex
	ratio float64
	burst float64
	pools map[string]*poolCounts
}

// poolCounts holds the requests and retries of a pool by slice. It has one slice more
// than the window, since the oldest one lies partly in the window.
type poolCounts struct {
	slices [budgetSlices + 1]sliceCounts
	// newest is the number of the current slice, counted from the Unix epoch.
	newest int64
}

type sliceCounts struct{ requests, retries int }

// NewPoolBudget returns a budget of ratio retries per request plus burst retries, in
// each window.
func NewPoolBudget(ratio, burst float64, window time.Duration) *PoolBudget {
	return &PoolBudget{window: window, ratio: ratio, burst: burst, pools: make(map[string]*poolCounts)}
}

// Set changes the ratio and the burst.
func (b *PoolBudget) Set(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
}

// Request records a first attempt.
func (b *PoolBudget) Request(pool string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(pool, now).requests++
}

// Take records a retry, or returns false when the budget is spent.
func (b *PoolBudget) Take(pool string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current(pool, now)
	requests, retries := b.pools[pool].sums()
	if float64(retries+1) > b.ratio*float64(requests)+b.burst {
		return false
	}
	current.retries++
	return true
}

// current returns the counts of the slice that contains now. When the clock steps back,
// it returns the newest slice.
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

// sums returns the requests of at most one window and the retries of at least one.
func (c *poolCounts) sums() (requests, retries int) {
	oldest := (c.newest + 1) % (budgetSlices + 1)
	for i, s := range c.slices {
		retries += s.retries
		if int64(i) != oldest {
			requests += s.requests
		}
	}
	return requests, retries
}
