package clock

import (
	"testing"
	"time"
)

// now is a time with a monotonic reading.
var now = time.Now()

func TestJumpOfTheTimeOfDayIsNotFollowed(t *testing.T) {
	c := New(now)
	// Add keeps the monotonic reading in step, as the passing of time does.
	if got := c.Now(now.Add(time.Second)).Sub(now.Round(0)); got != time.Second {
		t.Errorf("a second later the clock is %v ahead of the start", got)
	}
}

// An instance that starts while its time of day is off by seconds takes the
// median of the others' clocks.
func TestWrongStartIsCorrectedByTheOthers(t *testing.T) {
	c := New(now)
	truth := now.Round(0).Add(2400 * time.Millisecond)
	for _, name := range []string{"a", "b", "c"} {
		c.RecordPeerTime(name, truth, now)
	}
	if got := c.Now(now).Sub(truth).Abs(); got > time.Millisecond {
		t.Errorf("the corrected clock is off by %v", got)
	}
}

func TestOneWrongClockAmongTheOthersDoesNoHarm(t *testing.T) {
	c := New(now)
	for _, name := range []string{"a", "b", "c"} {
		c.RecordPeerTime(name, now.Round(0), now)
	}
	c.RecordPeerTime("d", now.Round(0).Add(-time.Minute), now)
	if got := c.Now(now).Sub(now.Round(0)).Abs(); got > time.Millisecond {
		t.Errorf("the clock is off by %v", got)
	}
}

func TestSingleOtherClockIsNotFollowed(t *testing.T) {
	c := New(now)
	c.RecordPeerTime("a", now.Round(0).Add(time.Hour), now)
	if got := c.Now(now).Sub(now.Round(0)).Abs(); got > time.Millisecond {
		t.Errorf("the clock is off by %v", got)
	}
}

// Instances tell each other their time for minutes, and each message takes a
// few milliseconds: the delays do not add up.
func TestMessagesDoNotSlowTheClocks(t *testing.T) {
	const instances, delay, interval = 7, 5 * time.Millisecond, 150 * time.Millisecond
	clocks := make([]*Clock, instances)
	for i := range clocks {
		clocks[i] = New(now)
	}
	at := now
	for range 800 {
		at = at.Add(interval)
		told := make([]time.Time, instances)
		for i, c := range clocks {
			told[i] = c.Uncorrected(at)
		}
		for i, c := range clocks {
			for j := range clocks {
				if i != j {
					c.RecordPeerTime(string(rune('a'+j)), told[j], at.Add(delay))
				}
			}
		}
	}
	for i, c := range clocks {
		if got := c.Now(at).Sub(at.Round(0)).Abs(); got > 50*time.Millisecond {
			t.Errorf("after 2 minutes clock %d is off by %v", i, got)
		}
	}
}
