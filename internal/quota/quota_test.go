package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatyard/internal/fleet"
)

// Figures of a users' deployment: the quota of one workspace and the bound
// that holds over each window.
const (
	perSecond    = 313_000.0
	burst        = 313_000.0
	slack        = 140_000.0
	overrun      = 0.1
	window       = 8 * time.Second
	requestSize  = 12_000.0
	exchangeTime = 150 * time.Millisecond
	// membersKnown is the longest time from a start until the number of instances is known.
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

// testFleet is instances that are asked for tokens of one workspace.
type testFleet struct {
	random  *rand.Rand
	ledgers []*Ledger
	// names are those of the instances' starts.
	names []string
	// sizes are those of the requests, in tokens, drawn with equal chances.
	sizes []float64
	// asked is the sum of all requests, admitted or not.
	asked float64
	// knownAt is when an instance learns the number of instances.
	knownAt []time.Duration
}

var epoch = time.Unix(1_700_000_000, 0)

// newFleet returns instances that have run for ten seconds.
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

// hearing tells whether a message of an instance arrives at another.
type hearing func(from, to int, at time.Duration) bool

func heardByAll(int, int, time.Duration) bool { return true }

// step asks the instances for what demand tokens a second are in one tick, lets
// them exchange messages, and returns what they admitted.
func (f *testFleet) step(demand float64, at time.Duration, hears hearing) (admitted []use) {
	now, w := epoch.Add(at), workspace()
	for i, l := range f.ledgers {
		if at >= f.knownAt[i] {
			l.SetInstances(len(f.ledgers), exchangeTime)
		}
		wanted := demand / float64(len(f.ledgers)) * tick.Seconds()
		for ; wanted > 0; wanted -= requestSize {
			if f.random.Float64() >= wanted/requestSize {
				continue
			}
			size := f.sizes[f.random.IntN(len(f.sizes))]
			f.asked += size
			if _, ok := l.Take(w, size, now); ok {
				admitted = append(admitted, use{now, size})
			}
		}
		if at%exchangeTime != time.Duration(i)*tick {
			continue
		}
		for j, to := range f.ledgers {
			if i != j && hears(i, j, at) {
				to.RecordPeerReport(f.names[i], l.Accounts(now), now)
			}
		}
	}
	return admitted
}

// load asks a fleet for demand tokens a second in all, and returns what it
// admitted. At the times killed all instances start anew.
func load(instances int, demand float64, length time.Duration, killed []time.Duration, hears hearing) []use {
	f := newFleet(instances)
	var admitted []use
	for at := time.Duration(0); at < length; at += tick {
		if slices.Contains(killed, at) {
			for i := range f.ledgers {
				f.restart(i, at)
			}
		}
		admitted = append(admitted, f.step(demand, at, hears)...)
	}
	return admitted
}

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

// bound is the most that the users allow in a window.
func bound() float64 { return (perSecond*window.Seconds()+burst)*(1+overrun) + slack }

// A workspace that asks for many times its quota at all instances: they admit
// against the same level until they hear of each other.
func TestQuotaHoldsOverAllInstancesUnderAHotWorkspace(t *testing.T) {
	tests := map[string]hearing{
		"all hear each other":   heardByAll,
		"none hears another":    func(int, int, time.Duration) bool { return false },
		"one in three is lost":  func(from, to int, at time.Duration) bool { return (from+to+int(at/exchangeTime))%3 != 0 },
		"two halves":            func(from, to int, _ time.Duration) bool { return from%2 == to%2 },
		"one is cut off late":   func(from, to int, at time.Duration) bool { return at < 10*time.Second || (from != 0 && to != 0) },
		"one way only":          func(from, _ int, _ time.Duration) bool { return from != 0 },
		"silent, then together": func(_, _ int, at time.Duration) bool { return at > 6*time.Second },
	}
	for name, hears := range tests {
		t.Run(name, func(t *testing.T) {
			if got := worstWindow(load(6, 8*perSecond, 30*time.Second, nil, hears)); got > bound() {
				t.Errorf("%.0f tokens admitted in a window, bound %.0f", got, bound())
			}
		})
	}
}

// All instances are killed at once while a workspace asks for many times its
// quota: none knows what was used before.
func TestQuotaHoldsWhenAllInstancesRestart(t *testing.T) {
	admitted := load(6, 8*perSecond, 30*time.Second, []time.Duration{12 * time.Second}, heardByAll)
	if got := worstWindow(admitted); got > bound() {
		t.Errorf("%.0f tokens admitted in a window, bound %.0f", got, bound())
	}
}

// All instances are killed twice within a window, and asked for many times the quota.
func TestQuotaHoldsWhenAllInstancesRestartTwice(t *testing.T) {
	for _, apart := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		admitted := load(6, 8*perSecond, 30*time.Second, []time.Duration{12 * time.Second, 12*time.Second + apart}, heardByAll)
		if got := worstWindow(admitted); got > bound() {
			t.Errorf("restarts %v apart: %.0f tokens admitted in a window, bound %.0f", apart, got, bound())
		}
	}
}

// mixedSizes are short questions and now and then a long document, with the mean
// of requestSize.
var mixedSizes = []float64{2_400, 2_400, 2_400, 40_800}

// servedAfter restarts the named instances of a fleet that is asked for a part of
// the quota, and returns the part of the tokens of the 2 s after that was admitted.
func servedAfter(part float64, restarted ...int) float64 {
	const killed = 12 * time.Second
	f := newFleet(6)
	f.sizes = mixedSizes
	admitted, asked := 0.0, 0.0
	for at := time.Duration(0); at < killed+2*time.Second; at += tick {
		if at == killed {
			asked = f.asked
			for _, i := range restarted {
				f.restart(i, at)
			}
		}
		for _, u := range f.step(part*perSecond, at, heardByAll) {
			if at >= killed {
				admitted += u.amount
			}
		}
	}
	return admitted / (f.asked - asked)
}

// A workspace within its quota is served right after instances were killed, also
// its long documents.
func TestDemandWithinTheQuotaIsServedAfterARestart(t *testing.T) {
	for name, restarted := range map[string][]int{"all": {0, 1, 2, 3, 4, 5}, "half": {0, 2, 4}, "one": {3}} {
		if got := servedAfter(0.7, restarted...); got < 0.97 {
			t.Errorf("%s restarted: %.3f of the tokens admitted in the 2 s after, want 0.97", name, got)
		}
	}
}

// An instance that gets its first request of a workspace after the others have served
// it for long knows what they left, and no less.
func TestWorkspaceThatOthersServedFirst(t *testing.T) {
	for _, part := range []float64{0.6, 8} {
		f := newFleet(6)
		first := f.ledgers[5]
		for _, l := range f.ledgers {
			l.SetInstances(len(f.ledgers), exchangeTime)
		}
		for at := time.Duration(0); at < 20*time.Second; at += tick {
			now := epoch.Add(at)
			for i, l := range f.ledgers {
				if l != first && f.random.Float64() < part*perSecond/5*tick.Seconds()/requestSize {
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
		if least := burst / 6; part < 1 && admitted < least {
			t.Errorf("%.0f tokens admitted at once beside others that use %.1f of the quota, want %.0f", admitted, part, least)
		}
		// A sixth of the burst for what is not heard yet, and the overdraft.
		if most := burst/6 + tolerance.overdraft(); part > 1 && admitted > most {
			t.Errorf("%.0f tokens admitted at once beside others that use all of the quota, want at most %.0f", admitted, most)
		}
	}
}

// One instance after the other is restarted, as in a rolling restart, under many
// times the quota.
func TestQuotaHoldsInARollingRestart(t *testing.T) {
	f := newFleet(6)
	var admitted []use
	for at := time.Duration(0); at < 30*time.Second; at += tick {
		if since := at - 12*time.Second; since >= 0 && since%time.Second == 0 && since < 6*time.Second {
			f.restart(int(since/time.Second), at)
		}
		admitted = append(admitted, f.step(8*perSecond, at, heardByAll)...)
	}
	if got := worstWindow(admitted); got > bound() {
		t.Errorf("%.0f tokens admitted in a window, bound %.0f", got, bound())
	}
}

func TestDemandWithinTheQuotaIsNotRefused(t *testing.T) {
	demand := 0.8 * perSecond
	admitted := load(6, demand, 30*time.Second, nil, heardByAll)
	sum := 0.0
	for _, u := range admitted {
		sum += u.amount
	}
	if want := 0.93 * demand * 30; sum < want {
		t.Errorf("admitted %.0f tokens, want at least %.0f", sum, want)
	}
}

func TestRefundMakesRoom(t *testing.T) {
	w, now := workspace(), time.Unix(1_700_000_000, 0)
	l := New(Tolerance{}, now.Add(-time.Minute))
	l.SetInstances(1, 150*time.Millisecond)
	if _, ok := l.Take(w, burst, now); !ok {
		t.Fatal("the burst was refused")
	}
	wait, ok := l.Take(w, requestSize, now)
	if ok || wait <= 0 {
		t.Fatalf("Take over the burst = %v, %v, want a wait", wait, ok)
	}
	l.Refund(w, burst, now)
	if _, ok := l.Take(w, requestSize, now); !ok {
		t.Error("refused after the refund")
	}
}

func TestNoLimitMeansNoRefusal(t *testing.T) {
	l := New(Tolerance{}, time.Unix(0, 0))
	for _, w := range []*fleet.Workspace{nil, {Name: "free"}} {
		if _, ok := l.Take(w, 1e12, time.Unix(0, 0)); !ok {
			t.Errorf("workspace %v was refused", w)
		}
	}
}
