package fairshare

import (
	"os"
	"testing"
	"time"
)

// burstFrom is when the load of a scenario changes.
const burstFrom = 3 * time.Second

// pattern returns a scenario of 16 workspaces in which the learned rate of the servers is too
// high by 30 %.
func pattern(instances int, room float64, factor func(workspace, rank int) float64) scenario {
	return scenario{instances: instances, workspaces: 16, room: room, learnedAs: 1.3, off: withoutShares, sumAge: 300 * time.Millisecond, factor: func(at time.Duration, workspace, rank int) float64 {
		if at < burstFrom || factor == nil {
			return 1
		}
		return factor(workspace, rank)
	}}
}

func oneAt(x float64) func(int, int) float64 {
	return func(workspace, _ int) float64 {
		if workspace == 0 {
			return x
		}
		return 1
	}
}

func allAt(x float64) func(int, int) float64 { return func(int, int) float64 { return x } }

func urgentAt(x float64) func(int, int) float64 {
	return func(_, rank int) float64 {
		if rank == 0 {
			return x
		}
		return 1
	}
}

// withoutShares lets the tests run with the mechanism off, to see that they need it.
var withoutShares = os.Getenv("WITHOUT_SHARES") != ""

// checkFair checks what holds in every scenario: no workspace, rank or size is starved, an
// urgent rank is not served less often than a less urgent one, nothing is refused while nothing
// waits, and the servers do not idle.
func checkFair(t *testing.T, r *result, least float64) {
	t.Helper()
	if got := r.all.part(); got < least {
		t.Errorf("%.2f of the requests are answered in time, want at least %.2f; late: %.2f", got, least, r.all.late/r.all.asked)
	}
	for workspace, w := range r.workspaces {
		if w.part() < r.all.part()/4 {
			t.Errorf("workspace %d is starved: %.2f of its requests are answered in time, %.2f of all", workspace, w.part(), r.all.part())
		}
	}
	if urgent, other := r.ranks[0].part(), r.ranks[1].part(); other < r.all.part()/4 || urgent < other-0.05 {
		t.Errorf("%.2f of the urgent requests are answered in time and %.2f of the others", urgent, other)
	}
	if r.large.part() < 0.5*r.all.part() {
		t.Errorf("%.2f of the largest requests are answered in time, %.2f of all", r.large.part(), r.all.part())
	}
	if r.idleRefusals > 0 {
		t.Errorf("%d requests are refused while nothing waits", r.idleRefusals)
	}
}

// Pattern: one caller in a burst. A workspace asks for five times its usual; the room is enough
// for 1.1 times the usual of all. The 15 others do not notice.
func TestWorkspaceAtFiveTimesItsUsualGivesWay(t *testing.T) {
	for _, instances := range []int{6, 60, 300} {
		r := play(pattern(instances, 1.1, oneAt(5)), 1)
		checkFair(t, r, 0.9)
		for workspace, w := range r.workspaces {
			if workspace != 0 && w.part() < 0.94 {
				t.Errorf("%d instances: %.2f of the requests of calm workspace %d are answered in time, want 0.94", instances, w.part(), workspace)
			}
		}
		if hot := r.workspaces[0].part(); hot > r.all.part() {
			t.Errorf("%d instances: the workspace at five times its usual is served %.2f, all %.2f", instances, hot, r.all.part())
		}
	}
}

// Pattern: large and small callers. A workspace with half of the usual work is not cut for its
// size when a small one bursts.
func TestLargeWorkspaceIsNotCutForItsSize(t *testing.T) {
	s := pattern(60, 1.1, func(workspace, _ int) float64 {
		if workspace == 1 {
			return 8
		}
		return 1
	})
	s.sizes = []float64{0.5}
	for range 15 {
		s.sizes = append(s.sizes, 0.5/15)
	}
	r := play(s, 1)
	checkFair(t, r, 0.9)
	if large := r.workspaces[0].part(); large < 0.94 {
		t.Errorf("%.2f of the requests of the large workspace are answered in time, want 0.94", large)
	}
}

// Pattern: bursts of one kind and of all. Room for two thirds is used for answers in time.
func TestBursts(t *testing.T) {
	for _, instances := range []int{6, 60, 300} {
		for name, s := range map[string]scenario{
			"urgent kind": pattern(instances, 1.1, urgentAt(2)), "all, room for two thirds": pattern(instances, 1.1, allAt(1.65)),
		} {
			r := play(s, 1)
			t.Logf("%s, %d instances: %.2f in time", name, instances, r.all.part())
			checkFair(t, r, 0.6)
		}
	}
}

// Pattern: servers on shared machines. A third of the servers is 2.5 times slower for 0.6 s by
// turns, so that the room is 0.8 of the nominal one for half of the time.
func TestServersSlowByTurns(t *testing.T) {
	for _, instances := range []int{6, 300} {
		s := pattern(instances, 1, nil)
		s.slow = func(at time.Duration) float64 {
			if at/(600*time.Millisecond)%2 == 0 {
				return 0.8
			}
			return 1
		}
		checkFair(t, play(s, 1), 0.85)
	}
}

// Pattern: old sums. At 3 s they are barely used; shares are less exact, but no worse than none.
func TestOldSums(t *testing.T) {
	for _, age := range []time.Duration{2800 * time.Millisecond, 4 * time.Second} {
		s := pattern(60, 1.1, oneAt(5))
		s.sumAge = age
		r := play(s, 1)
		s.off = true
		without := play(s, 1)
		checkFair(t, r, 0.9*without.all.part())
		t.Logf("sums %v old: %.2f in time, %.2f without shares", age, r.all.part(), without.all.part())
	}
}

// Pattern: a calm day. Nothing is refused, and instances send nothing more.
func TestCalmPoolIsUntouched(t *testing.T) {
	r := play(pattern(60, 1.6, nil), 1)
	if r.all.refused > 0 || r.sent > 0 {
		t.Errorf("%.0f requests are refused and %.0f bytes a second sent at 0.6 of the room", r.all.refused, r.sent)
	}
}

// Pattern: an aggregator is lost in the burst. For 1.5 s no sum arrives at a third of the
// instances; the calm workspaces hardly notice.
func TestAggregatorLost(t *testing.T) {
	s := pattern(60, 1.1, oneAt(5))
	s.cut = func(at time.Duration, zone int) bool {
		return zone == 0 && at > 5*time.Second && at < 6500*time.Millisecond
	}
	r := play(s, 1)
	checkFair(t, r, 0.85)
	for workspace, w := range r.workspaces {
		if workspace != 0 && w.part() < 0.85 {
			t.Errorf("%.2f of the requests of calm workspace %d are answered in time, want 0.85", w.part(), workspace)
		}
	}
}

// Pattern: a wave of reclaims. A third of the servers announce that they leave and take no more
// requests; the rest has to do all the work from then on.
func TestWaveOfReclaims(t *testing.T) {
	s := pattern(60, 1.3, nil)
	s.gone = func(at time.Duration) int {
		if at >= 5*time.Second {
			return serverNum / 3
		}
		return 0
	}
	s.leave = s.gone
	checkFair(t, play(s, 1), 0.8)
}

func BenchmarkDecide(b *testing.B) {
	sim := newSimulation(pattern(1, 1, nil), 1)
	m := sim.members[0].tracker
	now := start
	b.ReportAllocs()
	for b.Loop() {
		r := Request{Pool: "p", Workspace: "w1", Route: "0", Tokens: 1000, Pressed: true}
		m.Decide(r)
		m.Record(r, now)
	}
}
