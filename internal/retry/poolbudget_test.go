package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// For any order of events, the retries in any window stay within the ratio of the
// requests of that window and the one before it, plus the burst.
func TestPoolBudgetHoldsInAnyWindow(t *testing.T) {
	const ratio, burst, window = 0.2, 3.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := NewPoolBudget(ratio, burst, window)
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap_ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				if b.Take("p", now) {
					retries = append(retries, now)
				}
				continue
			}
			b.Request("p", now)
			requests = append(requests, now)
		}
		for _, from := range retries {
			granted := countIn(retries, from, from.Add(window))
			requested := countIn(requests, from.Add(-window), from.Add(window))
			if float64(granted) > ratio*float64(requested)+burst {
				t.Fatalf("%d retries in the window from %v exceed the budget of %d requests", granted, from.Sub(start), requested)
			}
		}
	})
}

// countIn returns the number of times in the interval [from, to).
func countIn(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// When a zone is lost, the retries of a whole window are needed within a second, after
// seconds without any. With many instances, the share of the burst of each may be below
// one.
func TestPoolBudgetGrantsABurstAfterAQuietWindow(t *testing.T) {
	b := NewPoolBudget(0.14, 1.7, 10*time.Second)
	now := start
	for range 540 {
		now = now.Add(10 * time.Second / 540)
		b.Request("p", now)
	}
	granted := 0
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		if b.Take("p", now) {
			granted++
		}
	}
	if granted < 20 {
		t.Errorf("%d of 20 retries were granted, want all: 540 requests in the window allow 75", granted)
	}
}

// Each pool has its own budget, and a granted retry counts for one window only.
func TestPoolBudgetIsPerPoolAndWindow(t *testing.T) {
	b := NewPoolBudget(0, 1, 10*time.Second)
	if !b.Take("p", start) || b.Take("p", start.Add(9*time.Second)) {
		t.Error("pool p was not granted exactly one retry in the window")
	}
	if !b.Take("q", start) {
		t.Error("pool q was refused a retry after one of pool p")
	}
	if !b.Take("p", start.Add(12*time.Second)) {
		t.Error("a retry from more than a window ago still counts")
	}
	if b.Take("p", start.Add(11*time.Second)) {
		t.Error("a second retry was granted after the clock stepped back")
	}
}
