package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatyard/internal/fleet"
)

// The quota of one workspace of a users' deployment, and the bound on its use in
// each window.
const (
	perSecond    = 313_000.0
	burst        = 313_000.0
	slack        = 140_000.0
	overrun      = 0.1
	window       = 8 * time.Second
	requestSize  = 12_000.0
	exchangeTime = 150 * time.Millisecond
	// membersKnown is the maximum time from a start until the number of instances is known.
	membersKnown = 500 * time.Millisecond
	tick         = 10 * time.Millisecond
)

var tolerance = Tolerance{Slack: slack, Overrun: overrun, Window: window}

func workspace() *fleet.Workspace {
	return &fleet.Workspace{Name: "w", Quota: fleet.Quota{PerSecond: perSecond, Burst: burst, InTokens: true}}
}

// use is an admitted request.
type use struct {
	at     time.Time
	amount float64
}

// testFleet is a group of instances that serve requests of one workspace.
type testFleet struct {
	random  *rand.Rand
	ledgers []*Ledger
	// names identify the current start of each instance.
	names []string
	// sizes are the request sizes in tokens, drawn with equal probability.
	sizes []float64
	// requested is the sum of all requests in tokens, admitted or not.
	requested float64
	// knownAt is when each instance learns the number of instances.
	knownAt []time.Duration
}

var epoch = time.Unix(1_700_000_000, 0)

// newFleet returns a fleet whose instances have run for ten seconds.
func newFleet(instances int) *testFleet {
	f := &testFleet{
		random: rand.New(rand.NewPCG(1, 2)), ledgers: make([]*Ledger, instances),
		names: make([]string, instances), sizes: []float64{requestSize}, knownAt: make([]time.Duration, instances),
	}
	for i := range instances {
		f.restart(i, -10*time.Second)
	}
	return f
}

func (f *testFleet) restart(i int, at time.Duration) {
	f.ledgers[i] = New(tolerance, epoch.Add(at))
	w := workspace()
	f.ledgers[i].SetQuotas(map[string]*fleet.Workspace{w.Name: w}, epoch.Add(at))
	f.names[i] = fmt.Sprint(i, at)
	f.knownAt[i] = at + membersKnown
}

// delivery reports whether a message of one instance arrives at another.
type delivery func(from, to int, at time.Duration) bool

func deliverAll(int, int, time.Duration) bool { return true }

// step sends the instances the requests of one tick at demand tokens per second, lets
// them exchange messages, and returns the admitted requests.
func (f *testFleet) step(demand float64, at time.Duration, delivers delivery) (admitted []use) {
	now, w := epoch.Add(at), workspace()
	for i, l := range f.ledgers {
		if at >= f.knownAt[i] {
			l.SetInstances(len(f.ledgers), exchangeTime)
		}
		remaining := demand / float64(len(f.ledgers)) * tick.Seconds()
		for ; remaining > 0; remaining -= requestSize {
			if f.random.Float64() >= remaining/requestSize {
				continue
			}
			size := f.sizes[f.random.IntN(len(f.sizes))]
			f.requested += size
			if _, ok := l.Take(w, size, now); ok {
				admitted = append(admitted, use{now, size})
			}
		}
		if at%exchangeTime != time.Duration(i)*tick {
			continue
		}
		for j, to := range f.ledgers {
			if i != j && delivers(i, j, at) {
				to.RecordPeerReport(f.names[i], l.Accounts(now), now)
			}
		}
	}
	return admitted
}

// load sends demand tokens per second to a fleet in total, and returns the admitted
// requests. All instances restart at each of the times in killed.
func load(instances int, demand float64, length time.Duration, killed []time.Duration, delivers delivery) []use {
	f := newFleet(instances)
	var admitted []use
	for at := time.Duration(0); at < length; at += tick {
		if slices.Contains(killed, at) {
			for i := range f.ledgers {
				f.restart(i, at)
			}
		}
		admitted = append(admitted, f.step(demand, at, delivers)...)
	}
	return admitted
}

// worstWindow returns the largest number of tokens admitted in any window.
func worstWindow(admitted []use) float64 {
	worst, sum, first := 0.0, 0.0, 0
	for _, u := range admitted {
		sum += u.amount
		for u.at.Sub(admitted[first].at) >= window {
			sum -= admitted[first].amount
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

// bound returns the maximum use that the tolerance allows in a window.
func bound() float64 { return (perSecond*window.Seconds()+burst)*(1+overrun) + slack }

// A workspace sends many times its quota to all instances. They all admit against the
// same level until they receive each other's reports.
func TestQuotaHoldsOverAllInstancesUnderAHotWorkspace(t *testing.T) {
	tests := map[string]delivery{
		"all messages arrive":      deliverAll,
		"no message arrives":       func(int, int, time.Duration) bool { return false },
		"one in three is lost":     func(from, to int, at time.Duration) bool { return (from+to+int(at/exchangeTime))%3 != 0 },
		"two partitions":           func(from, to int, _ time.Duration) bool { return from%2 == to%2 },
		"one is cut off later":     func(from, to int, at time.Duration) bool { return at < 10*time.Second || (from != 0 && to != 0) },
		"one way only":             func(from, _ int, _ time.Duration) bool { return from != 0 },
		"partitioned, then healed": func(_, _ int, at time.Duration) bool { return at > 6*time.Second },
	}
	for name, delivers := range tests {
		t.Run(name, func(t *testing.T) {
			if got := worstWindow(load(6, 8*perSecond, 30*time.Second, nil, delivers)); got > bound() {
				t.Errorf("%.0f tokens admitted in a window, want at most %.0f", got, bound())
			}
		})
	}
}

// All instances are killed at the same time while a workspace sends many times its
// quota. None of them knows the use before the restart.
func TestQuotaHoldsWhenAllInstancesRestart(t *testing.T) {
	admitted := load(6, 8*perSecond, 30*time.Second, []time.Duration{12 * time.Second}, deliverAll)
	if got := worstWindow(admitted); got > bound() {
		t.Errorf("%.0f tokens admitted in a window, want at most %.0f", got, bound())
	}
}

// All instances are killed twice within a window while a workspace sends many times its
// quota.
func TestQuotaHoldsWhenAllInstancesRestartTwice(t *testing.T) {
	for _, apart := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		admitted := load(6, 8*perSecond, 30*time.Second, []time.Duration{12 * time.Second, 12*time.Second + apart}, deliverAll)
		if got := worstWindow(admitted); got > bound() {
			t.Errorf("restarts %v apart: %.0f tokens admitted in a window, want at most %.0f", apart, got, bound())
		}
	}
}

// mixedSizes are short questions and occasional long documents, with a mean of
// requestSize.
var mixedSizes = []float64{2_400, 2_400, 2_400, 40_800}

// servedAfter restarts the given instances of a fleet under a load that is a fraction of
// the quota, and returns the fraction of the tokens admitted in the 2 s after that.
func servedAfter(fraction float64, restarted ...int) float64 {
	const killed = 12 * time.Second
	f := newFleet(6)
	f.sizes = mixedSizes
	admitted, requested := 0.0, 0.0
	for at := time.Duration(0); at < killed+2*time.Second; at += tick {
		if at == killed {
			requested = f.requested
			for _, i := range restarted {
				f.restart(i, at)
			}
		}
		for _, u := range f.step(fraction*perSecond, at, deliverAll) {
			if at >= killed {
				admitted += u.amount
			}
		}
	}
	return admitted / (f.requested - requested)
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
		f := newFleet(6)
		first := f.ledgers[5]
		for _, l := range f.ledgers {
			l.SetInstances(len(f.ledgers), exchangeTime)
		}
		for at := time.Duration(0); at < 20*time.Second; at += tick {
			now := epoch.Add(at)
			for i, l := range f.ledgers {
				if l != first && f.random.Float64() < fraction*perSecond/5*tick.Seconds()/requestSize {
					l.Take(workspace(), requestSize, now)
				}
				if at%exchangeTime == time.Duration(i)*tick {
					for j, to := range f.ledgers {
						if j != i {
							to.RecordPeerReport(f.names[i], l.Accounts(now), now)
						}
					}
				}
			}
		}
		admitted := 0.0
		for range 100 {
			if _, ok := first.Take(workspace(), requestSize, epoch.Add(20*time.Second)); ok {
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
	f := newFleet(6)
	var admitted []use
	for at := time.Duration(0); at < 30*time.Second; at += tick {
		if since := at - 12*time.Second; since >= 0 && since%time.Second == 0 && since < 6*time.Second {
			f.restart(int(since/time.Second), at)
		}
		admitted = append(admitted, f.step(8*perSecond, at, deliverAll)...)
	}
	if got := worstWindow(admitted); got > bound() {
		t.Errorf("%.0f tokens admitted in a window, want at most %.0f", got, bound())
	}
}

func TestDemandWithinTheQuotaIsNotRefused(t *testing.T) {
	demand := 0.8 * perSecond
	admitted := load(6, demand, 30*time.Second, nil, deliverAll)
	sum := 0.0
	for _, u := range admitted {
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
	if _, ok := l.Take(w, burst, now); !ok {
		t.Fatal("Take of the burst was refused")
	}
	wait, ok := l.Take(w, requestSize, now)
	if ok || wait <= 0 {
		t.Fatalf("Take beyond the burst = %v, %v, want a positive wait and a refusal", wait, ok)
	}
	l.Refund(w, burst, now)
	if _, ok := l.Take(w, requestSize, now); !ok {
		t.Error("Take was refused after the refund")
	}
}

func TestWorkspaceWithoutLimitIsNeverRefused(t *testing.T) {
	l := New(Tolerance{}, time.Unix(0, 0))
	for _, w := range []*fleet.Workspace{nil, {Name: "free"}} {
		if _, ok := l.Take(w, 1e12, time.Unix(0, 0)); !ok {
			t.Errorf("Take for the unlimited workspace %v was refused", w)
		}
	}
}
