package quota

import (
	"slices"
	"testing"
	"time"

	"kumquatyard/internal/fleet"
)

// The quota of one workspace of a users' deployment, and the bound on its use in
// each window.
const (
	perSecond   = 313_000.0
	burst       = 313_000.0
	slack       = 140_000.0
	overrun     = 0.1
	window      = 8 * time.Second
	requestSize = 12_000.0
	// smallInterval is the interval of the messages between few instances.
	smallInterval = 50 * time.Millisecond
)

var tolerance = Tolerance{Slack: slack, Overrun: overrun, Window: window}

func workspace() *fleet.Workspace {
	return &fleet.Workspace{Name: "w", Quota: fleet.Quota{PerSecond: perSecond, Burst: burst, InTokens: true}}
}

// bound returns the maximum use that the tolerance allows in a window.
func bound() float64 { return (perSecond*window.Seconds()+burst)*(1+overrun) + slack }

func smallFleet() *testFleet { return newFleet(6, 3, smallInterval, workspace()) }

// A workspace sends many times its quota to all instances. They all admit against the
// same level until they receive each other's reports.
func TestQuotaHoldsOverAllInstancesUnderAHotWorkspace(t *testing.T) {
	tests := map[string]delivery{
		"all messages arrive":      deliverAll,
		"no message arrives":       func(int, int, time.Duration) bool { return false },
		"one in three is lost":     func(from, to int, at time.Duration) bool { return (from+to+int(at/smallInterval))%3 != 0 },
		"two partitions":           func(from, to int, _ time.Duration) bool { return from%2 == to%2 },
		"zones cut off":            func(from, to int, _ time.Duration) bool { return from%3 == to%3 },
		"one is cut off later":     func(from, to int, at time.Duration) bool { return at < 10*time.Second || (from != 0 && to != 0) },
		"one way only":             func(from, _ int, _ time.Duration) bool { return from != 0 },
		"partitioned, then healed": func(_, _ int, at time.Duration) bool { return at > 6*time.Second },
	}
	for name, delivers := range tests {
		t.Run(name, func(t *testing.T) {
			f := smallFleet()
			checkWindows(t, f.run(f.evenly(8*perSecond), 30*time.Second, delivers, nil), bound())
		})
	}
}

// All instances are killed at the same time while a workspace sends many times its
// quota. None of them knows the use before the restart.
func TestQuotaHoldsWhenAllInstancesRestart(t *testing.T) {
	f := smallFleet()
	admitted := f.run(f.evenly(8*perSecond), 30*time.Second, deliverAll, func(at time.Duration) {
		if at == 12*time.Second {
			f.kill(at, 0, f.all()...)
		}
	})
	checkWindows(t, admitted, bound())
}

// All instances are killed twice within a window while a workspace sends many times its
// quota.
func TestQuotaHoldsWhenAllInstancesRestartTwice(t *testing.T) {
	for _, apart := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		f := smallFleet()
		admitted := f.run(f.evenly(8*perSecond), 30*time.Second, deliverAll, func(at time.Duration) {
			if slices.Contains([]time.Duration{12 * time.Second, 12*time.Second + apart}, at) {
				f.kill(at, 0, f.all()...)
			}
		})
		checkWindows(t, admitted, bound())
	}
}

// mixedSizes are short questions and occasional long documents, with a mean of
// requestSize.
var mixedSizes = []float64{2_400, 2_400, 2_400, 40_800}

// servedAfter restarts the given instances of a fleet under a load that is a fraction of
// the quota, and returns the fraction of the tokens admitted in the 2 s after that.
func servedAfter(fraction float64, restarted ...int) float64 {
	const killed = 12 * time.Second
	f := smallFleet()
	f.sizes = mixedSizes
	requested := 0.0
	admitted := f.run(f.evenly(fraction*perSecond), killed+2*time.Second, deliverAll, func(at time.Duration) {
		if at == killed {
			requested = f.requested["w"]
			f.kill(at, 0, restarted...)
		}
	})
	sum := 0.0
	for _, u := range admitted {
		if !u.at.Before(epoch.Add(killed)) {
			sum += u.amount
		}
	}
	return sum / (f.requested["w"] - requested)
}

// A workspace within its quota is served right after instances were killed, including
// its long documents.
func TestDemandWithinTheQuotaIsServedAfterARestart(t *testing.T) {
	for name, restarted := range map[string][]int{"all": {0, 1, 2, 3, 4, 5}, "half": {0, 2, 4}, "one": {3}} {
		if got := servedAfter(0.7, restarted...); got < 0.97 {
			t.Errorf("%s restarted: %.3f of the tokens admitted in the 2 s after, want at least 0.97", name, got)
		}
	}
}

// An instance that receives its first request of a workspace long after the others did
// knows how much of the quota remains, and admits neither more nor less.
func TestFirstRequestAfterOthersServedTheWorkspace(t *testing.T) {
	for _, fraction := range []float64{0.6, 8} {
		f := smallFleet()
		const first = 5
		f.run(func(_ string, instance int, _ time.Duration) float64 {
			if instance == first {
				return 0
			}
			return fraction * perSecond / 5
		}, 20*time.Second, deliverAll, nil)
		admitted := 0.0
		for n := range 100 {
			if _, ok := f.instances[first].ledger.Take(workspace(), requestSize, float64(n)/100, epoch.Add(20*time.Second)); ok {
				admitted += requestSize
			}
		}
		if least := burst / 6; fraction < 1 && admitted < least {
			t.Errorf("%.0f tokens admitted at once while others use %.1f of the quota, want at least %.0f", admitted, fraction, least)
		}
		// A sixth of the burst, for use that is not reported yet, plus the overdraft.
		if most := burst/6 + tolerance.overdraft(); fraction > 1 && admitted > most {
			t.Errorf("%.0f tokens admitted at once while others use all of the quota, want at most %.0f", admitted, most)
		}
	}
}

// The instances restart one after the other while a workspace sends many times its
// quota.
func TestQuotaHoldsDuringARollingRestart(t *testing.T) {
	f := smallFleet()
	admitted := f.run(f.evenly(8*perSecond), 30*time.Second, deliverAll, func(at time.Duration) {
		if since := at - 12*time.Second; since >= 0 && since%time.Second == 0 && since < 6*time.Second {
			f.kill(at, 0, int(since/time.Second))
		}
	})
	checkWindows(t, admitted, bound())
}

func TestDemandWithinTheQuotaIsNotRefused(t *testing.T) {
	f := smallFleet()
	demand := 0.8 * perSecond
	sum := 0.0
	for _, u := range f.run(f.evenly(demand), 30*time.Second, deliverAll, nil) {
		sum += u.amount
	}
	if want := 0.93 * demand * 30; sum < want {
		t.Errorf("admitted %.0f tokens, want at least %.0f", sum, want)
	}
}

func TestRefundedAmountCanBeUsedAgain(t *testing.T) {
	w, now := workspace(), time.Unix(1_700_000_000, 0)
	l := New(Tolerance{}, now.Add(-time.Minute))
	l.SetInstances(1, 150*time.Millisecond)
	if _, ok := l.Take(w, burst, 0.99, now); !ok {
		t.Fatal("Take of the burst was refused")
	}
	wait, ok := l.Take(w, requestSize, 0.99, now)
	if ok || wait <= 0 {
		t.Fatalf("Take beyond the burst = %v, %v, want a positive wait and a refusal", wait, ok)
	}
	l.Refund(w, burst, now)
	if _, ok := l.Take(w, requestSize, 0.99, now); !ok {
		t.Error("Take was refused after the refund")
	}
}

func TestWorkspaceWithoutLimitIsNeverRefused(t *testing.T) {
	l := New(Tolerance{}, time.Unix(0, 0))
	for _, w := range []*fleet.Workspace{nil, {Name: "free"}} {
		if _, ok := l.Take(w, 1e12, 0, time.Unix(0, 0)); !ok {
			t.Errorf("Take for the unlimited workspace %v was refused", w)
		}
	}
}

// The levels of a process that has just started are not known until it has had the time to
// hear of those of another aggregator.
func TestLevelsOfANewProcessAreNotKnownAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	levels := NewLevels(Tolerance{}, start)
	levels.Follow(nil, start)
	if levels.Known(false, start.Add(adoptionTime)) {
		t.Error("the levels are known before the quotas are")
	}
	levels.SetQuotas(nil)
	if !levels.Known(false, start) {
		t.Error("the levels are not known although all instances have just started")
	}
	if levels.Known(true, start.Add(adoptionTime/2)) || !levels.Known(true, start.Add(adoptionTime)) || adoptionTime < 500*time.Millisecond {
		t.Error("the levels are known before an interval in which each aggregator sends several sums, or not after it")
	}
	levels.Follow(nil, start)
	if !levels.Known(true, start.Add(time.Millisecond)) {
		t.Error("the levels are not known although those of another aggregator arrived")
	}
}
