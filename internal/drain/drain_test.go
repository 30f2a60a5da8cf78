package drain

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// The steps of a stop follow each other, with time for the last answers, whatever the grace period.
func TestStepsOfAStop(t *testing.T) {
	for s := 1; s <= 30; s++ {
		grace := time.Duration(s) * time.Second
		p := NewPlan(start, grace)
		steps := []time.Time{start, p.CloseConnections(), p.Refuse(), p.Abort(), p.End(), start.Add(grace)}
		for n := range steps[1:] {
			if !steps[n].Before(steps[n+1]) {
				t.Errorf("grace %v: step %d at %v is not before the next at %v", grace, n, steps[n].Sub(start), steps[n+1].Sub(start))
			}
		}
		if left := p.End().Sub(p.Abort()); left < minAnswerTime {
			t.Errorf("grace %v: %v are left for the last answers", grace, left)
		}
		if p.Refuse().Sub(start) > refuseDelay || p.CloseConnections().Sub(start) > balancerDelay {
			t.Errorf("grace %v: requests are taken until %v", grace, p.Refuse().Sub(start))
		}
	}
}

// Guards against requests that are cut at the end of a planned stop (issue 36, LOST): requests of every
// length arrive all the time. Of those that must not be repeated and take no longer than the
// longest before, none is taken that is cut; short ones are taken until all are refused.
func TestRequestsThatAreTakenEnd(t *testing.T) {
	for s := 1; s <= 30; s++ {
		for _, mean := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("grace %d s, mean %v", s, mean), func(t *testing.T) {
				playStop(t, time.Duration(s)*time.Second, mean, rand.New(rand.NewPCG(uint64(s), uint64(mean))))
			})
		}
	}
}

func playStop(t *testing.T, grace, mean time.Duration, r *rand.Rand) {
	const timeout = 30 * time.Second
	var d Durations
	plan := NewPlan(start, grace)
	longest := time.Duration(0)
	draw := func() time.Duration { return time.Duration((0.5 + r.Float64()) * float64(mean)) }
	for range kept {
		took := draw()
		longest = max(longest, took)
		d.Record("r", took)
	}
	for at := start; at.Before(plan.End()); at = at.Add(grace / 200) {
		took := min(draw(), longest)
		taken := plan.Takes(d.Need("r", true, timeout), at)
		if taken && at.Add(took).After(plan.Abort()) {
			t.Errorf("a request that takes %v is taken %v after the signal and cut", took, at.Sub(start))
		}
		if !taken && at.Before(plan.Refuse()) && at.Add(time.Duration(margin*float64(longest))).Before(plan.Abort()) {
			t.Errorf("a request of at most %v is refused %v after the signal", longest, at.Sub(start))
		}
	}
}

// Little is known of a route: a request may take all the time that it has. One that must end is judged
// by the longest of the others, with a margin, any other by most of them.
func TestNeedOfARequest(t *testing.T) {
	var d Durations
	const limit = 5 * time.Second
	for n := range known {
		if got := d.Need("r", false, limit); got != limit {
			t.Fatalf("need %v after %d requests, want the limit %v", got, n, limit)
		}
		d.Record("r", 100*time.Millisecond)
	}
	d.Record("r", 2*time.Second)
	if got := d.Need("r", false, limit); got != 100*time.Millisecond {
		t.Errorf("a request that may be cut needs %v, want 100ms", got)
	}
	if got := d.Need("r", true, limit); got != 3*time.Second {
		t.Errorf("a request that must end needs %v, want 3s", got)
	}
	if got := d.Need("r", true, time.Second); got != time.Second {
		t.Errorf("need %v, want no more than the time that the request has", got)
	}
	d.Retain(func(string) bool { return false })
	if got := d.Need("r", false, limit); got != limit {
		t.Errorf("need %v of a route that was dropped, want the limit", got)
	}
}
