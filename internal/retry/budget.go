package retry

import (
	"sync"
	"sync/atomic"

	"kumquatyard/internal/machine"
)

const (
	// creditUnit is one retry in the fixed-point credit of a bucket.
	creditUnit = 1000
	// burst is the number of retries that a new or idle bucket allows.
	burst = 10
	// serverRatio is the share of a server's requests that may be retries.
	serverRatio = 0.2
)

// Budget bounds retries and hedges to a ratio of the requests, by workspace
// and by the server that is sent to, so that failures cannot multiply load.
// Over any run, the retries that it grants a key are at most ratio × requests
// + burst. It is safe for concurrent use; it holds a bucket for each workspace
// and server that it has seen until Forget.
type Budget struct {
	ratio      func(workspace string) float64
	workspaces buckets[string]
	servers    buckets[machine.ID]
}

// NewBudget returns a Budget. ratio gives a workspace's retries for each
// request, 0 to 1.
func NewBudget(ratio func(workspace string) float64) *Budget {
	return &Budget{ratio: ratio}
}

// Request counts a first attempt.
func (b *Budget) Request(workspace string, server machine.ID) {
	b.workspaces.of(workspace).deposit(b.ratio(workspace))
	b.servers.of(server).deposit(serverRatio)
}

// Take withdraws a retry or hedge to the server, and reports false when the
// budget of the workspace or of the server is spent. A workspace whose ratio
// is 0 gets none.
func (b *Budget) Take(workspace string, server machine.ID) bool {
	if b.ratio(workspace) <= 0 {
		return false
	}
	w := b.workspaces.of(workspace)
	if !w.withdraw() {
		return false
	}
	if !b.servers.of(server).withdraw() {
		w.deposit(1)
		return false
	}
	return true
}

// Forget drops the bucket of a server that is gone.
func (b *Budget) Forget(server machine.ID) { b.servers.m.Delete(server) }

// buckets is a set of credit buckets.
type buckets[K comparable] struct{ m sync.Map }

func (b *buckets[K]) of(key K) *bucket {
	if found, ok := b.m.Load(key); ok {
		return found.(*bucket)
	}
	fresh := &bucket{}
	fresh.credit.Store(burst * creditUnit)
	found, _ := b.m.LoadOrStore(key, fresh)
	return found.(*bucket)
}

// bucket holds credit between 0 and burst retries.
type bucket struct{ credit atomic.Int64 }

func (b *bucket) deposit(retries float64) {
	b.depositUpTo(int64(retries*creditUnit), burst*creditUnit)
}

// depositUpTo adds credit up to a limit; both are in units of credit.
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
