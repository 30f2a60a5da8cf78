package quarantine

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

var start = time.Unix(1_000_000, 0)

func newTracker() *Tracker {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(logrus.NewEntry(log))
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func (t *Tracker) holds(part uint64, now time.Time) bool {
	_, _, ok := t.Quarantined([]uint64{part}, now)
	return ok
}

// lose records the end of server n under a request whose answer had begun.
func (t *Tracker) lose(n, ms int, parts ...uint64) {
	t.RecordLoss(Loss{Server: fmt.Sprint("s", n), Request: fmt.Sprint("r", n), Parts: parts, Begun: true}, at(ms))
}

func TestPartUnderWhichServersEndIsQuarantined(t *testing.T) {
	tr := newTracker()
	for n := range minBegunMoments {
		if tr.holds(666, at(200*n)) {
			t.Fatalf("quarantined after %d ends", n)
		}
		tr.lose(n, 200*n, 1, 666)
		tr.RecordAnswer([]uint64{1, 2}, at(200*n+50))
	}
	now := at(1000)
	if !tr.holds(666, now) || tr.holds(1, now) {
		t.Errorf("part 666 is quarantined: %v, its neighbour: %v, want only the first", tr.holds(666, now), tr.holds(1, now))
	}
	if _, left, _ := tr.Quarantined([]uint64{5, 666}, now); left < 9*time.Minute || left > quarantineTime {
		t.Errorf("the quarantine lasts %v more, want about %v", left, quarantineTime)
	}
	tr.Expire(now.Add(quarantineTime / 2))
	if !tr.holds(666, now.Add(quarantineTime/2)) {
		t.Error("released early")
	}
	released := now.Add(quarantineTime)
	tr.Expire(released)
	if tr.holds(666, released) || !tr.Suspected([]uint64{666}) {
		t.Error("still quarantined long after the last end, or not suspected any more")
	}
	tr.RecordLoss(Loss{Server: "another", Request: "r", Parts: []uint64{666}, Begun: true}, released.Add(time.Second))
	if !tr.holds(666, released.Add(time.Second)) {
		t.Error("not quarantined after one more end")
	}
	tr.Expire(released.Add(time.Second + lossRetention))
	if len(tr.parts.evidence) != 0 {
		t.Error("the evidence is kept for ever")
	}
}

// What must not be held against a part.
func TestPartsThatAreNotQuarantined(t *testing.T) {
	tests := map[string]func(tr *Tracker){
		"many servers lost at once": func(tr *Tracker) {
			for n := range 30 {
				tr.lose(n, n%20, 7)
			}
		},
		"answered in between": func(tr *Tracker) {
			for n := range 30 {
				tr.lose(n, 300*n, 7)
				tr.RecordAnswer([]uint64{7}, at(300*n+200))
			}
		},
		"one server": func(tr *Tracker) {
			for n := range 10 {
				tr.RecordLoss(Loss{Server: "s", Request: fmt.Sprint(n), Parts: []uint64{7}, Begun: true}, at(300*n))
			}
		},
		"one request": func(tr *Tracker) {
			for n := range 4 {
				tr.RecordLoss(Loss{Server: fmt.Sprint(n), Request: "r", Parts: []uint64{7}, Begun: true}, at(300*n))
			}
		},
		"answers that had not begun": func(tr *Tracker) {
			for n := range minMoments - 1 {
				tr.RecordLoss(Loss{Server: fmt.Sprint(n), Request: fmt.Sprint(n), Parts: []uint64{7}}, at(300*n))
			}
		},
		"long ago": func(tr *Tracker) {
			for n := range 10 {
				now := at(n * int(lossRetention.Milliseconds()) / 2)
				tr.Expire(now)
				tr.lose(n, n*int(lossRetention.Milliseconds())/2, 7)
			}
		},
		"another part explains the ends": func(tr *Tracker) {
			for n := range 10 {
				tr.lose(n, 300*n, 666)
				if n > 0 {
					tr.RecordLoss(Loss{Server: fmt.Sprint("s", n), Request: fmt.Sprint("v", n), Parts: []uint64{7}, Begun: true}, at(300*n))
				}
			}
		},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			tr := newTracker()
			f(tr)
			if tr.holds(7, at(10_000)) {
				t.Error("the part is quarantined")
			}
		})
	}
}

// Where servers end before they send the head of an answer, more ends are needed.
func TestEndsBeforeTheAnswerBegins(t *testing.T) {
	tr := newTracker()
	for n := range minMoments {
		tr.RecordLoss(Loss{Server: fmt.Sprint(n), Request: fmt.Sprint(n), Parts: []uint64{666}}, at(200*n))
	}
	if !tr.holds(666, at(2000)) {
		t.Error("not quarantined")
	}
}

// A part that was wrongly quarantined is released by an answer that was on its way.
func TestAnswerEndsTheQuarantine(t *testing.T) {
	tr := newTracker()
	for n := range 5 {
		tr.lose(n, 200*n, 7)
	}
	if !tr.holds(7, at(1000)) {
		t.Fatal("not quarantined")
	}
	tr.RecordAnswer([]uint64{7}, at(1100))
	if tr.holds(7, at(1100)) || tr.Suspected([]uint64{7}) {
		t.Error("still quarantined or suspected after an answer")
	}
}

func TestSuspectedAfterTwoEnds(t *testing.T) {
	tr := newTracker()
	tr.lose(0, 0, 7)
	if tr.Suspected([]uint64{7}) {
		t.Error("suspected after one end")
	}
	tr.lose(1, 200, 7)
	if !tr.Suspected([]uint64{3, 7}) || tr.Suspected([]uint64{3}) {
		t.Error("not suspected after two ends, or another part is")
	}
}

// While nothing is answered any more, the part that sound requests share with the deadly
// ones has as much against it; it was answered before, and is not held back.
func TestKnownPartIsNotHeldBackForANewOne(t *testing.T) {
	tr := newTracker()
	tr.RecordAnswer([]uint64{1}, at(-5000))
	for n := range 20 {
		tr.lose(n, 150*n, 1, 666)
		tr.lose(n, 150*n+1, 1)
	}
	if !tr.holds(666, at(4000)) || tr.holds(1, at(4000)) {
		t.Errorf("the deadly part is held back: %v, the known one: %v, want only the first", tr.holds(666, at(4000)), tr.holds(1, at(4000)))
	}
}

// A part that servers have answered on may turn deadly.
func TestKnownPartThatTurnsDeadlyIsQuarantined(t *testing.T) {
	tr := newTracker()
	tr.RecordAnswer([]uint64{7}, at(-100))
	for n := range minMoments {
		tr.lose(n, 150*n, 7)
	}
	if !tr.holds(7, at(4000)) {
		t.Error("not quarantined")
	}
}

// Memory and messages are bounded with many parts seen.
func TestManyPartsAreBounded(t *testing.T) {
	tr := newTracker()
	for n := range minBegunMoments {
		tr.lose(n, 200*n, 666)
	}
	const parts = maxParts + 20
	for n := range uint64(parts) {
		for m := range maxLosses + 2 {
			tr.RecordLoss(Loss{Server: fmt.Sprint(m), Request: fmt.Sprint(n, m), Parts: []uint64{1000 + n}}, at(1000+m))
		}
		if got := len(tr.Evidence(true, at(1000))); got > maxMessageParts {
			t.Fatalf("%d parts in a message", got)
		}
	}
	if len(tr.parts.evidence) > maxParts || len(tr.parts.evidence[1000+parts-1].losses) > maxLosses {
		t.Errorf("%d parts are kept", len(tr.parts.evidence))
	}
	if !tr.holds(666, at(2000)) {
		t.Error("the quarantined part was dropped")
	}
}

// An answer at another instance may be known only later: a part is not held back before, and
// the answer clears it.
func TestPartIsJudgedWhenAnswersAreKnown(t *testing.T) {
	for name, isAnswered := range map[string]bool{"answered": true, "not answered": false} {
		t.Run(name, func(t *testing.T) {
			tr := newTracker()
			tr.SetInstances(6, time.Second)
			for n := range 4 {
				tr.lose(n, 200*n, 7)
			}
			tr.Expire(at(980))
			if tr.holds(7, at(980)) {
				t.Error("held before the time to settle")
			}
			if isAnswered {
				tr.RecordAnswer([]uint64{7}, at(990))
			}
			tr.Expire(at(1010))
			if held := tr.holds(7, at(1010)); held == isAnswered {
				t.Errorf("held after the time to settle: %v", held)
			}
		})
	}
}

// Guards against the sixth end of TestPartThatEndsServersIsRefused: evidence that comes shortly
// after a judgment is judged once the least time between two has passed, whatever comes next.
func TestDeferredJudgmentIsCarriedOut(t *testing.T) {
	tests := map[string]func(tr *Tracker){
		"a loss": func(tr *Tracker) { tr.lose(2, 403, 1, 666) },
		"another instance's losses": func(tr *Tracker) {
			other := newTracker()
			other.lose(2, 403, 666)
			tr.Merge(other.Evidence(false, at(403)), at(403))
		},
	}
	for name, third := range tests {
		tr := newTracker()
		var deferred []time.Duration
		tr.DeferJudgments(func(after time.Duration) { deferred = append(deferred, after) })
		for n := range 2 {
			tr.RecordAnswer([]uint64{1, 2}, at(200*n))
			tr.lose(n, 200*n+50, 1, 666)
		}
		tr.RecordAnswer([]uint64{1, 2}, at(400))
		third(tr)
		third(tr)
		if len(deferred) != 1 || deferred[0] != 7*time.Millisecond {
			t.Errorf("%s: judgments deferred by %v, want one by 7ms", name, deferred)
			continue
		}
		tr.Judge(at(403).Add(deferred[0]))
		if !tr.holds(666, at(411)) || tr.holds(1, at(411)) {
			t.Errorf("%s: the part is held: %v, its neighbour: %v, want only the first", name, tr.holds(666, at(411)), tr.holds(1, at(411)))
		}
		tr.lose(3, 412, 1, 666)
		if len(deferred) != 2 {
			t.Errorf("%s: %d judgments deferred after the next end, want 2", name, len(deferred))
		}
	}
}
