package forecast

import (
	"testing"
	"time"

	"kumquatyard/internal/machine"
)

var start = time.Unix(1_700_000_000, 0)

func prompt(tokens int, parts ...uint64) *Prompt {
	p := &Prompt{Tokens: tokens, MaxOutput: 100}
	for _, id := range parts {
		p.Parts = append(p.Parts, Part{ID: id, Tokens: tokens / len(parts)})
	}
	return p
}

func TestWorkAheadDelaysTheFirstToken(t *testing.T) {
	b := NewPredictor()
	p := prompt(8000, 1, 2)
	idle := b.Predict("p", "s", p, 0, start).FirstToken
	job := b.Begin("p", "s", prompt(8000, 3, 4), 0, start)
	busy := b.Predict("p", "s", p, 0, start).FirstToken
	if busy <= idle {
		t.Errorf("predicted %v behind other work, %v without", busy, idle)
	}
	job.Done(start)
	if after := b.Predict("p", "s", p, 0, start).FirstToken; after != idle {
		t.Errorf("predicted %v after the work's end, want %v", after, idle)
	}
}

func TestWorkOfOtherInstancesCountsUntilItIsStale(t *testing.T) {
	b := NewPredictor()
	b.SetPeerWork("i2", map[machine.ID]Work{"s": {Active: 3, Waiting: 1, WaitingTokens: 5000}}, start)
	if got := b.Predict("p", "s", nil, 0, start).Work.Active; got != 3 {
		t.Errorf("%d requests believed active, want 3", got)
	}
	b.SetPeerWork("i2", nil, start)
	if got := b.Predict("p", "s", nil, 0, start).Work.Active; got != 0 {
		t.Errorf("%d requests believed active after they ended, want 0", got)
	}
	b.SetPeerWork("i2", map[machine.ID]Work{"s": {Active: 3}}, start)
	if got := b.Predict("p", "s", nil, 0, start.Add(staleWork+time.Millisecond)).Work.Active; got != 0 {
		t.Errorf("%d requests believed active by a stale report, want 0", got)
	}
}

// Prompts that wait at an engine are read while time passes, those that other
// instances told of as well as the own ones.
func TestWaitingPromptsAreReadMeanwhile(t *testing.T) {
	const tokens = initialRate / 5
	tenth := start.Add(100 * time.Millisecond)
	waiting := func(b *Predictor, at time.Time) int { return b.Predict("p", "s", nil, 0, at).Work.WaitingTokens }
	b := NewPredictor()
	b.SetPeerWork("i2", map[machine.ID]Work{"s": {Active: 1, Waiting: 1, WaitingTokens: tokens}}, start)
	if got := waiting(b, tenth); got != tokens/2 {
		t.Errorf("%d tokens of another instance wait after half of the time to read them, want %d", got, tokens/2)
	}
	b = NewPredictor()
	job := b.Begin("p", "s", prompt(tokens, 1), 0, start)
	if got := waiting(b, tenth); got != tokens/2 {
		t.Errorf("%d own tokens wait after half of the time to read them, want %d", got, tokens/2)
	}
	if got := b.LocalWork(tenth)["s"].WaitingTokens; got != tokens/2 {
		t.Errorf("%d tokens are told to others, want %d", got, tokens/2)
	}
	// Both at once are read side by side.
	b.SetPeerWork("i2", map[machine.ID]Work{"s": {Active: 1, Waiting: 1, WaitingTokens: tokens}}, start)
	if got := waiting(b, tenth); got != tokens*3/2 {
		t.Errorf("%d of %d tokens wait, want %d", got, 2*tokens, tokens*3/2)
	}
	job.Done(tenth)
	if got := b.LocalWork(tenth)["s"]; got.WaitingTokens != 0 {
		t.Errorf("%d tokens wait after the request's end", got.WaitingTokens)
	}
}

// Under full load other work comes while the work that is known of is read: a report
// that is half a second old says how much waits.
func TestWaitingWorkIsReplacedUnderLoad(t *testing.T) {
	const tokens = 30_000
	report := map[machine.ID]Work{"s": {Active: 5, Waiting: 3, WaitingTokens: tokens}}
	for load, want := range map[float64]int{0.5: tokens - initialRate/4, 1: tokens, 1.5: tokens} {
		b := NewPredictor()
		b.SetArrivalRate("p", load*initialRate)
		b.SetPeerWork("i2", report, start)
		if got := b.Predict("p", "s", nil, 0, start.Add(500*time.Millisecond)).Work.WaitingTokens; got != want {
			t.Errorf("load %.1f: %d tokens wait half a second after %d were reported, want %d", load, got, tokens, want)
		}
	}
}

// First tokens come half a second later than the known work explains, as when other
// instances overload the engines: predictions follow within some answers, and
// forget it when it is over.
func TestPredictionsFollowAnOverload(t *testing.T) {
	const late = 500 * time.Millisecond
	b := NewPredictor()
	p := prompt(2000, 1, 2)
	now := start
	calm := b.Predict("p", "s", p, 0, now).FirstToken
	answer := func(late time.Duration) {
		job := b.Begin("p", "s", p, 0, now.Add(-calm-late))
		job.FirstToken(now)
		job.Done(now)
		now = now.Add(100 * time.Millisecond)
	}
	for range 60 {
		answer(late)
	}
	if got := b.Predict("p", "s", p, 0, now).FirstToken; got < calm+late/2 {
		t.Errorf("predicted %v under an overload of %v, %v before", got, late, calm)
	}
	now = now.Add(10 * time.Second)
	if got := b.Predict("p", "s", p, 0, now).FirstToken; got > calm+late/20 {
		t.Errorf("predicted %v ten seconds after the overload, %v before", got, calm)
	}
}

func TestPartsThatWereSentCountAsCached(t *testing.T) {
	b := NewPredictor()
	b.Begin("p", "s", prompt(6000, 1, 2, 3), 0, start).Done(start)
	if got := b.Predict("p", "s", prompt(6000, 1, 2, 9), 0, start).Cached; got != 4000 {
		t.Errorf("%d tokens believed cached, want 4000", got)
	}
	if got := b.Predict("p", "s", prompt(6000, 7, 2, 3), 0, start).Cached; got != 0 {
		t.Errorf("%d tokens believed cached behind an unknown part, want 0", got)
	}
}

// The rate settles at that of the engine, although a tenth of the answers are
// far too late or too early.
func TestRateIsLearned(t *testing.T) {
	const truthBase = 26 * time.Millisecond
	for _, truth := range []float64{30_000, 157_000} {
		b := NewPredictor()
		now := start
		for i := range 2000 {
			tokens := 8000
			if i%3 == 0 {
				tokens = 800
			}
			job := b.Begin("p", "s", prompt(tokens, uint64(2*i), uint64(2*i+1)), 0, now)
			took := truthBase + time.Duration(float64(tokens)/truth*float64(time.Second))
			switch i % 20 {
			case 0:
				took *= 20
			case 1:
				took /= 20
			}
			now = now.Add(took)
			job.FirstToken(now)
			job.Done(start)
		}
		if got := b.Rate("p"); got < 0.9*truth || got > 1.1*truth {
			t.Errorf("learned %.0f tokens/s, want about %.0f", got, truth)
		}
	}
}

// Requests that waited behind much other work say nothing of the rate.
func TestRateIsNotLearnedUnderOverload(t *testing.T) {
	b := NewPredictor()
	for range 500 {
		b.Begin("p", "s", prompt(8000, 1), 0, start)
	}
	before := b.Rate("p")
	for i := range 200 {
		job := b.Begin("p", "s", prompt(8000, uint64(i)), 0, start)
		job.FirstToken(start.Add(100 * time.Millisecond))
	}
	if after := b.Rate("p"); after != before {
		t.Errorf("the rate went from %.0f to %.0f tokens/s", before, after)
	}
}

func TestForgetKeepsServersWithOwnWork(t *testing.T) {
	b := NewPredictor()
	job := b.Begin("p", "s", nil, 0, start)
	b.Retain(func(machine.ID) bool { return false })
	if got := b.Running([]machine.ID{"s"}, start); got != 1 {
		t.Errorf("%d requests running, want 1", got)
	}
	job.Done(start)
	if got := b.Running([]machine.ID{"s"}, start); got != 0 {
		t.Errorf("%d requests running, want 0", got)
	}
}
