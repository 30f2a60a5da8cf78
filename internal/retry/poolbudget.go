package retry

import "sync/atomic"

// PoolBudget bounds the repeated sends to each pool to a ratio of its requests
// plus a burst. Each instance keeps its own, so that the sum over all
// instances stays within the fleet's budget without asking anyone. It is safe
// for concurrent use.
type PoolBudget struct {
	pools buckets[string]
	ratio atomic.Int64
	burst atomic.Int64
}

// NewPoolBudget returns a budget of burst repeats beside ratio repeats for
// each request.
func NewPoolBudget(ratio, burst float64) *PoolBudget {
	b := &PoolBudget{}
	b.Set(ratio, burst)
	return b
}

// Set changes the bounds.
func (b *PoolBudget) Set(ratio, burst float64) {
	b.ratio.Store(int64(ratio * creditUnit))
	b.burst.Store(int64(burst * creditUnit))
}

// Request counts a first send.
func (b *PoolBudget) Request(pool string) {
	b.of(pool).depositUpTo(b.ratio.Load(), b.burst.Load())
}

// Take withdraws a repeat, and reports false when the budget is spent.
func (b *PoolBudget) Take(pool string) bool { return b.of(pool).withdraw() }

func (b *PoolBudget) of(pool string) *bucket {
	if found, ok := b.pools.m.Load(pool); ok {
		return found.(*bucket)
	}
	fresh := &bucket{}
	fresh.credit.Store(b.burst.Load())
	found, _ := b.pools.m.LoadOrStore(pool, fresh)
	return found.(*bucket)
}
