package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start = time.Unix(1_000_000, 0)
	rules = Rules{HeadTimeout: 10 * time.Second, IdleTimeout: 20 * time.Second, BodyStall: 15 * time.Second, AnswerStall: 20 * time.Second, Grace: 500 * time.Millisecond}
)

func in(p Phase, since, progress time.Duration) State {
	return State{Phase: p, Since: start.Add(-since), Progress: start.Add(-progress)}
}

// Load: a crowd takes all places. Those without progress give way, oldest first, then idle
// connections; a request that runs and a client that moves never do.
func TestWhoGivesWay(t *testing.T) {
	const long, moving = time.Minute, 100 * time.Millisecond
	tests := map[string]struct {
		states         []State
		answersGiveWay bool
		want           int
	}{
		"nobody": {nil, false, -1},
		"all move or run": {[]State{
			in(Running, long, long), in(ReadingBody, long, moving), in(ReadingHead, long, moving), in(Idle, moving, moving), in(WritingAnswer, long, moving),
		}, false, -1},
		"stalled longest":             {[]State{in(ReadingBody, long, 2*time.Second), in(ReadingHead, long, 3*time.Second), in(ReadingBody, long, time.Second)}, false, 1},
		"stalled before idle":         {[]State{in(Idle, long, long), in(ReadingBody, time.Second, time.Second)}, false, 1},
		"idle longest":                {[]State{in(Idle, time.Second, time.Second), in(Running, long, long), in(Idle, long, long)}, false, 2},
		"an answer that is not read":  {[]State{in(WritingAnswer, long, long)}, false, -1},
		"an answer that may give way": {[]State{in(WritingAnswer, long, long)}, true, 0},
	}
	for name, tt := range tests {
		r := rules
		r.AnswersGiveWay = tt.answersGiveWay
		if got := r.Victim(tt.states, start); got != tt.want {
			t.Errorf("%s: Victim = %d, want %d", name, got, tt.want)
		}
	}
}

// Bounds are on progress: however long a body or an answer takes, it is kept while it moves.
func TestWhoseTimeIsOver(t *testing.T) {
	const day = 24 * time.Hour
	tests := map[string]struct {
		state State
		want  bool
	}{
		"slow body":                     {in(ReadingBody, day, 14*time.Second), false},
		"body without progress":         {in(ReadingBody, day, 16*time.Second), true},
		"slow answer":                   {in(WritingAnswer, day, 19*time.Second), false},
		"answer that is not read":       {in(WritingAnswer, day, 21*time.Second), true},
		"head in time":                  {in(ReadingHead, 9*time.Second, 9*time.Second), false},
		"head that takes too long":      {in(ReadingHead, 11*time.Second, 0), true},
		"idle for four fifths":          {in(Idle, 16*time.Second, 16*time.Second), false},
		"idle for too long":             {in(Idle, 21*time.Second, 21*time.Second), true},
		"request that runs for a day":   {in(Running, day, day), false},
		"body without a bound on stall": {in(ReadingBody, day, day), true},
	}
	for name, tt := range tests {
		if got := rules.Expired(tt.state, start); got != tt.want {
			t.Errorf("%s: Expired = %v, want %v", name, got, tt.want)
		}
	}
	if (Rules{}).Expired(in(ReadingBody, day, day), start) {
		t.Error("rules without bounds end a body")
	}
}

// Whatever the connections do, the victim waits for its client, has made no progress for the
// time of grace, and no other that does so in the middle of a request has waited longer.
func TestVictimMakesTheLeastProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := rapid.SliceOf(rapid.Custom(func(t *rapid.T) State {
			since := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "since"))
			progress := time.Duration(rapid.Int64Range(0, int64(since)).Draw(t, "progress"))
			return in(Phase(rapid.IntRange(int(ReadingHead), int(Idle)).Draw(t, "phase")), since, progress)
		})).Draw(t, "states")
		n := rules.Victim(states, start)
		for m, s := range states {
			gives := s.Phase != Running && s.Phase != WritingAnswer && start.Sub(s.Progress) >= rules.Grace
			if n < 0 && gives {
				t.Fatalf("nobody gives way, though %d does", m)
			}
			if n == m && !gives {
				t.Fatalf("%d gives way though it moves or runs: %+v", m, s)
			}
			if n >= 0 && gives && s.Phase != Idle && (states[n].Phase == Idle || s.Progress.Before(states[n].Progress)) {
				t.Fatalf("%d gives way before %d, which waits for longer", n, m)
			}
		}
	})
}

// The parts of a plan add up to less than the machine, on each size of machine.
func TestPlanStaysWithinTheMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Machine{
			MemoryBytes: rapid.Int64Range(64e6, 4e9).Draw(t, "memory"), Descriptors: rapid.IntRange(400, 100_000).Draw(t, "descriptors"),
		}
		p := NewPlan(m)
		sockets := p.Callers + p.Peers + p.Readiness + p.Metrics + p.Upstream + ownSockets
		if sockets > m.Descriptors-fileDescriptors {
			t.Errorf("%d sockets of %d descriptors", sockets, m.Descriptors)
		}
		bytes := restBytes + int64(p.Callers+p.Peers)*connectionBytes + p.HeadBytes + p.BodyBytes + p.SmallBodyBytes
		if bytes > m.MemoryBytes {
			t.Errorf("%d bytes of %d", bytes, m.MemoryBytes)
		}
		if p.Callers < 1 || p.Peers < 1 || p.Readiness < 1 || p.Metrics < 1 || p.Upstream < 1 {
			t.Errorf("a door without places: %+v", p)
		}
	})
}

// Without limits in the settings, nothing is bounded.
func TestUnknownMachineIsNotBounded(t *testing.T) {
	if p := NewPlan(Machine{}); p != (Plan{}) {
		t.Errorf("NewPlan of an unknown machine = %+v, want no limits", p)
	}
}
