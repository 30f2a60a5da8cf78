package forecast

import (
	"math"
	"testing"
	"time"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/rollup"
)

// answers lets a server answer prompts, each some times later than usual in the pool.
func answers(pred *Predictor, id machine.ID, n int, slowdown float64, now time.Time) time.Time {
	const tokens = 8000
	took := time.Duration(slowdown * float64(initialBase+tokens*time.Second/initialRate))
	for i := range n {
		job := pred.Begin("p", id, prompt(tokens, uint64(i)), 0, now)
		now = now.Add(took)
		job.FirstToken(now)
		job.Done(now)
	}
	return now
}

func ratio(pred *Predictor, id machine.ID, now time.Time) float64 {
	return pred.Predict("p", id, nil, 0, now).Ratio()
}

// What one instance learns of a server serves another, which never saw it; a start of the server
// ends it.
func TestSpeedIsLearnedFromOthersAnswers(t *testing.T) {
	one, two := NewPredictor(), NewPredictor()
	now := start
	for range 10 {
		now = answers(one, "slow", 3, 2, now)
		now = answers(one, "fast", 3, 0.8, now)
	}
	two.RecordOthers(one.LocalWork(now), now)
	for _, id := range []machine.ID{"slow", "fast"} {
		two.SetIncarnation(id, 1)
		ratio(two, id, now)
	}
	now = now.Add(refreshInterval)
	slow, fast := ratio(two, "slow", now), ratio(two, "fast", now)
	if slow < 1.5*fast {
		t.Errorf("the other instance takes the servers to be %.2f and %.2f times slower than usual, want the first far slower", slow, fast)
	}
	const lost = speedMemory / 2
	if later := now.Add(lost); ratio(two, "slow", later) < 1.3*ratio(two, "fast", later) {
		t.Errorf("%v after the last sum the servers count as %.2f and %.2f times slower than usual, want the first slower still", lost, ratio(two, "slow", later), ratio(two, "fast", later))
	}
	for range 2 {
		one.SetIncarnation("slow", 1)
		one.SetIncarnation("slow", 2)
	}
	if w := one.LocalWork(now)[rollup.Key("slow")]; w.Speed != (rollup.SpeedSum{}) {
		t.Errorf("%+v is told of a server that has started again, want nothing", w.Speed)
	}
}

// A server that works as usual again is soon taken as such, without any further report.
func TestReportedSlowdownFades(t *testing.T) {
	pred := NewPredictor()
	pred.RecordServerReport("p", "s", Report{Active: 1, Slowdown: 2.5}, start)
	at := func(after time.Duration) float64 { return ratio(pred, "s", start.Add(after)) }
	usual := math.Exp(usualWeight * math.Log(2.5))
	if got := at(0); math.Abs(got-2.5) > 0.01 {
		t.Errorf("slowdown of %.2f by a report of now, want 2.5", got)
	}
	if got := at(reportMemory); got > 1.6 || got < 1.2 {
		t.Errorf("slowdown of %.2f by a report a while old, want between usual and the report", got)
	}
	if got := at(3 * time.Second); math.Abs(got-usual) > 0.01 {
		t.Errorf("slowdown of %.2f long after the report, want the usual %.2f", got, usual)
	}
}

// Servers without a figure of their slowdown, or with one of nonsense, change nothing.
func TestReportsWithoutSlowdownChangeNothing(t *testing.T) {
	pred := NewPredictor()
	for _, slowdown := range []float64{0, -1, math.NaN()} {
		pred.RecordServerReport("p", "s", Report{Active: 4, Waiting: 2, Slowdown: slowdown}, start)
		if e := pred.Predict("p", "s", nil, 0, start); e.Ratio() != 1 || e.Reports || e.Uneven || e.Work.Active != 4 {
			t.Errorf("slowdown %v: estimate %+v, want the active requests alone", slowdown, e)
		}
	}
}

// The rate of a pool is the mean of its servers' and not that of the fast ones.
func TestRateIsTheMeanOfUnequalServers(t *testing.T) {
	pred := NewPredictor()
	now := start
	for range 100 {
		for id, slowdown := range map[machine.ID]float64{"a": 0.7, "b": 0.7, "c": 1.7} {
			now = answers(pred, id, 1, slowdown, now)
		}
	}
	ratio(pred, "a", now)
	sum := 0.
	for _, id := range []machine.ID{"a", "b", "c"} {
		sum += pred.Predict("p", id, prompt(8000, 1), 0, now).TokensPerSecond
	}
	if got, want := pred.Rate("p"), sum/3; math.Abs(got/want-1) > 0.02 {
		t.Errorf("a rate of %.0f tokens/s, want the mean %.0f", got, want)
	}
	if a, c := ratio(pred, "a", now), ratio(pred, "c", now); c/a < 1.8 || c/a > 3 {
		t.Errorf("the slow server takes %.2f times as long as a fast one, want about 2.4", c/a)
	}
}
