package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// In any window, the repeats stay within the ratio of the requests of that window
// and the one before it, plus the burst, whatever the order of events.
func TestPoolBudgetHoldsInAnyWindow(t *testing.T) {
	const ratio, burst, window = 0.2, 3.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := NewPoolBudget(ratio, burst, window)
		var requests, repeats []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap_ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				if b.Take("p", now) {
					repeats = append(repeats, now)
				}
				continue
			}
			b.Request("p", now)
			requests = append(requests, now)
		}
		for _, from := range repeats {
			granted := countIn(repeats, from, from.Add(window))
			asked := countIn(requests, from.Add(-window), from.Add(window))
			if float64(granted) > ratio*float64(asked)+burst {
				t.Fatalf("%d repeats in the window from %v, with %d requests", granted, from.Sub(start), asked)
			}
		}
	})
}

func countIn(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// A zone is taken away: the repeats of a whole window are needed within a
// second, after seconds of calm. Many instances have a share of the burst below one.
func TestPoolBudgetServesAWave(t *testing.T) {
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
		t.Errorf("%d of 20 repeats were granted, while 540 requests in the window allow 75", granted)
	}
}

// Pools have budgets of their own, and what was granted counts for a window only.
func TestPoolBudgetByPoolAndTime(t *testing.T) {
	b := NewPoolBudget(0, 1, 10*time.Second)
	if !b.Take("p", start) || b.Take("p", start.Add(9*time.Second)) {
		t.Error("want one repeat in the window")
	}
	if !b.Take("q", start) {
		t.Error("another pool has its own budget")
	}
	if !b.Take("p", start.Add(12*time.Second)) {
		t.Error("a repeat of a window ago counts still")
	}
	if b.Take("p", start.Add(11*time.Second)) {
		t.Error("a clock that steps back grants a repeat anew")
	}
}
