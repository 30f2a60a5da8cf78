package standin

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHistoryReturnsNewestValueOfAtLeastLag compares at with a search of all
// values, including those that add has dropped.
func TestHistoryReturnsNewestValueOfAtLeastLag(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep = 10 * time.Second
		var l valueHistory[int]
		var all []timed[int]
		now := time.Unix(100, 0)
		for i := range rapid.IntRange(1, 40).Draw(t, "values") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			l.add(now, i, keep)
			all = append(all, timed[int]{at: now, value: i})
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "later")) * time.Millisecond)
		lag := time.Duration(rapid.IntRange(0, int(keep.Milliseconds())).Draw(t, "lag")) * time.Millisecond
		want := all[0].value
		for _, v := range all {
			if now.Sub(v.at) >= lag {
				want = v.value
			}
		}
		if got, _ := l.at(now, lag); got != want {
			t.Fatalf("got value %d, want %d", got, want)
		}
	})
}

func TestEventLogLagsAndShowsGaps(t *testing.T) {
	var log eventLog
	start := time.Unix(0, 0)
	log.add(start, []uint64{0xa}, nil, false)
	log.add(start.Add(time.Second), []uint64{0xb}, nil, true)
	log.add(start.Add(2*time.Second), nil, []uint64{0xa}, false)
	log.add(start.Add(3*time.Second), nil, nil, false)
	now := start.Add(2 * time.Second)
	if got := log.since(0, now, time.Second); got.First != 1 || got.Last != 1 || len(got.Events) != 1 {
		t.Errorf("with a lag of 1 s: %+v", got)
	}
	// The lost event is number 2.
	if got := log.since(1, now, 0); got.First != 3 || got.Last != 3 || got.Events[0].Removed[0] != "a" {
		t.Errorf("after event 1: %+v", got)
	}
	if got := log.since(3, now, 0); got.First != 0 || got.Last != 3 || len(got.Events) != 0 {
		t.Errorf("after the last event: %+v", got)
	}
}
