package quarantine

import (
	"testing"
	"time"
)

// Guards against BUDGET of issue 33: instances tell each other of an answer, whose time came out a
// little later with each message, until it was later than the ends that followed it.
func TestAnswerIsNotToldLaterAndLater(t *testing.T) {
	one, other := newTracker(), newTracker()
	one.RecordAnswer([]uint64{666}, at(0))
	for n := range 6 {
		one.lose(n, 1000+500*n, 666)
	}
	const delay = 20 * time.Millisecond
	for now := at(3600); now.Before(at(60_000)); now = now.Add(2 * delay) {
		other.Merge(one.Evidence(true, now), now.Add(delay))
		one.Merge(other.Evidence(true, now.Add(delay)), now.Add(2*delay))
	}
	if now := at(60_000); !one.holds(666, now) || !other.holds(666, now) {
		t.Errorf("held: %v and %v, want both", one.holds(666, now), other.holds(666, now))
	}
}
