package gossip

import (
	"testing"
	"time"
)

func TestTelling(t *testing.T) {
	now := time.Unix(1000, 0)
	var told Telling
	for range NewsSends {
		if !told.IsNews() || !told.IsDue(time.Second, now) {
			t.Fatalf("after %d messages it is no news", told.Sends)
		}
		told.Told(now)
	}
	if told.IsNews() || told.IsDue(time.Second, now.Add(time.Second-1)) || !told.IsDue(time.Second, now.Add(time.Second)) {
		t.Error("what is no news is not told again after an interval")
	}
	told.Change()
	if !told.IsNews() {
		t.Error("a change is no news")
	}
}

func TestAges(t *testing.T) {
	now := time.Unix(1000, 0)
	if got := AgeMs(now.Add(-1500*time.Millisecond), now); Age(got) != 1500*time.Millisecond {
		t.Errorf("age %v, want 1.5s", Age(got))
	}
	if got := AgeMs(now.Add(time.Second), now); got != 0 {
		t.Errorf("age %d of a time to come, want 0", got)
	}
}
