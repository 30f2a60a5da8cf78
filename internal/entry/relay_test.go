package entry

import (
	"testing"
	"time"

	"kumquatyard/internal/follow"
)

// Pattern: the store does not answer anyone. A zone's calls hardly grow with its instances,
// and the two that would be the relay notice the store's return as soon as before.
func TestCallsWhileTheStoreIsAway(t *testing.T) {
	const aggregators = 2
	for _, instances := range []int{1, 2, 3, 6, 20, 62} {
		calls := 0.0
		for n := range instances {
			calls += 1 / maxStoreRetry(instances, n < aggregators).Seconds()
		}
		if calls > 50 {
			t.Errorf("%d instances make %.0f calls a second, want at most 50", instances, calls)
		}
	}
	if got := maxStoreRetry(62, true); got != follow.MinRetry {
		t.Errorf("an aggregator of 62 instances calls each %v, want %v", got, follow.MinRetry)
	}
	if got := maxStoreRetry(0, false); got != follow.MinRetry {
		t.Errorf("an instance that hears no others calls each %v, want %v", got, follow.MinRetry)
	}
	if got := maxStoreRetry(1000, false); got > 1500*time.Millisecond {
		t.Errorf("an instance of 1000 calls each %v, want 1.5 s at most", got)
	}
}
