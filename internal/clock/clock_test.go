package clock

import (
	"testing"
	"time"
)

// now is a time with a monotonic reading.
var now = time.Now()

func TestClockFollowsMonotonicTime(t *testing.T) {
	c := New(now)
	// Add advances the monotonic reading too, as elapsed time does.
	if got := c.Now(now.Add(time.Second)).Sub(now.Round(0)); got != time.Second {
		t.Errorf("one second after the start the clock has advanced by %v, want 1 s", got)
	}
}

// An instance whose time of day is off by seconds at its start uses the median of its
// peers' clocks.
func TestWrongStartTimeIsCorrectedByPeers(t *testing.T) {
	c := New(now)
	truth := now.Round(0).Add(2400 * time.Millisecond)
	for _, name := range []string{"a", "b", "c"} {
		c.RecordPeerTime(name, truth, now)
	}
	if got := c.Now(now).Sub(truth).Abs(); got > time.Millisecond {
		t.Errorf("corrected clock is off by %v, want at most 1 ms", got)
	}
}

func TestSingleWrongPeerClockIsIgnored(t *testing.T) {
	c := New(now)
	for _, name := range []string{"a", "b", "c"} {
		c.RecordPeerTime(name, now.Round(0), now)
	}
	c.RecordPeerTime("d", now.Round(0).Add(-time.Minute), now)
	if got := c.Now(now).Sub(now.Round(0)).Abs(); got > time.Millisecond {
		t.Errorf("clock is off by %v, want at most 1 ms", got)
	}
}

func TestSinglePeerClockIsNotFollowed(t *testing.T) {
	c := New(now)
	c.RecordPeerTime("a", now.Round(0).Add(time.Hour), now)
	if got := c.Now(now).Sub(now.Round(0)).Abs(); got > time.Millisecond {
		t.Errorf("clock is off by %v, want at most 1 ms", got)
	}
}

// Instances exchange their time for minutes, and each message takes a few
// milliseconds: the delays must not accumulate.
func TestMessageDelaysDoNotAccumulate(t *testing.T) {
	const instances, delay, interval = 7, 5 * time.Millisecond, 150 * time.Millisecond
	clocks := make([]*Clock, instances)
	for i := range clocks {
		clocks[i] = New(now)
	}
	at := now
	for range 800 {
		at = at.Add(interval)
		reported := make([]time.Time, instances)
		for i, c := range clocks {
			reported[i] = c.Uncorrected(at)
		}
		for i, c := range clocks {
			for j := range clocks {
				if i != j {
					c.RecordPeerTime(string(rune('a'+j)), reported[j], at.Add(delay))
				}
			}
		}
	}
	for i, c := range clocks {
		if got := c.Now(at).Sub(at.Round(0)).Abs(); got > 50*time.Millisecond {
			t.Errorf("after 2 minutes clock %d is off by %v, want at most 50 ms", i, got)
		}
	}
}
