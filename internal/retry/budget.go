package retry

import (
	"sync"
	"sync/atomic"

	"kumquatyard/internal/machine"
)

const (
	// creditUnit is the fixed-point credit of one retry.
	creditUnit = 1000
	// burst is the number of retries that a new or idle bucket allows at once.
	burst = 10
	// serverRatio is the maximum number of retries per request to a server.
	serverRatio = 0.2
)

// Budget is a retry budget. It bounds retries and hedges to a ratio of the requests,
// per workspace and per destination server, so that failures cannot multiply the load.
// A workspace or server is never granted more than ratio × requests + burst retries.
// Budget is safe for concurrent use. It keeps a bucket for each workspace, and for each
// server until Forget.
type Budget struct {
	ratio      func(workspace string) float64
	workspaces buckets[string]
	servers    buckets[machine.ID]
}

// NewBudget returns a Budget. ratio returns a workspace's retries per request, 0 to 1.
func NewBudget(ratio func(workspace string) float64) *Budget {
	return &Budget{ratio: ratio}
}

// Request records a first attempt.
func (b *Budget) Request(workspace string, server machine.ID) {
	b.workspaces.get(workspace).deposit(b.ratio(workspace))
	b.servers.get(server).deposit(serverRatio)
}

// Take withdraws a retry or hedge to the server. It returns false when the budget of
// the workspace or of the server is spent; a workspace whose ratio is 0 has none.
func (b *Budget) Take(workspace string, server machine.ID) bool {
	if b.ratio(workspace) <= 0 {
		return false
	}
	w := b.workspaces.get(workspace)
	if !w.withdraw() {
		return false
	}
	if !b.servers.get(server).withdraw() {
		w.deposit(1)
		return false
	}
	return true
}

// Forget drops the bucket of a removed server.
func (b *Budget) Forget(server machine.ID) { b.servers.m.Delete(server) }

// buckets holds credit buckets by key.
type buckets[K comparable] struct{ m sync.Map }

// get returns the bucket of a key and creates a full one on first use.
func (b *buckets[K]) get(key K) *bucket {
	if found, ok := b.m.Load(key); ok {
		return found.(*bucket)
	}
	fresh := &bucket{}
	fresh.credit.Store(burst * creditUnit)
	found, _ := b.m.LoadOrStore(key, fresh)
	return found.(*bucket)
}

// bucket holds the credit of 0 to burst retries.
type bucket struct{ credit atomic.Int64 }

func (b *bucket) deposit(retries float64) {
	b.depositUpTo(int64(retries*creditUnit), burst*creditUnit)
}

// depositUpTo adds amount to the credit, up to limit. Both are in fixed-point credit.
func (b *bucket) depositUpTo(amount, limit int64) {
	for {
		old := b.credit.Load()
		if b.credit.CompareAndSwap(old, min(old+amount, max(limit, 0))) {
			return
		}
	}
}

func (b *bucket) withdraw() bool {
	for {
		old := b.credit.Load()
		if old < creditUnit {
			return false
		}
		if b.credit.CompareAndSwap(old, old-creditUnit) {
			return true
		}
	}
}
