package policy

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kumquatyard/internal/prefix"
	"kumquatyard/internal/route"
)

// Result is what a run measured after its warm-up.
type Result struct {
	scenario *Scenario
	// Offered, Served and Refused count requests; Good are those served with
	// their first token in time.
	Offered, Served, Refused, Good int
	// Goodput is the output tokens a second of good requests.
	Goodput float64
	// Computed, Recomputed and Reused count prompt tokens.
	Computed, Recomputed, Reused int
	// TokensByWorkspace are the tokens served by workspace.
	TokensByWorkspace []int
	// Reasons counts choices.
	Reasons    map[route.Reason]int
	goodTokens int
	resent     int
	firstToken [2]*hdrhistogram.Histogram
	imbalance  []float64
}

const (
	maxFirstToken = 10 * time.Minute
	digits        = 3
)

func newResult(s *Scenario) *Result {
	r := &Result{scenario: s, TokensByWorkspace: make([]int, len(s.Mix.WorkspaceShares)), Reasons: make(map[route.Reason]int)}
	for c := range r.firstToken {
		r.firstToken[c] = hdrhistogram.New(1, maxFirstToken.Microseconds(), digits)
	}
	return r
}

// measured reports whether a time is in the window that is reported.
func (r *Result) measured(at time.Duration) bool {
	return at >= r.scenario.WarmUp && at < r.scenario.Duration-r.scenario.CoolDown
}

func (r *Result) offer(j *job) {
	if r.measured(j.arrived) {
		r.Offered++
	}
}

func (r *Result) refuse(j *job) {
	if r.measured(j.arrived) {
		r.Refused++
	}
}

func (r *Result) first(j *job) {
	if r.measured(j.arrived) {
		_ = r.firstToken[class(j.priority)].RecordValue((j.firstToken - j.arrived).Microseconds())
	}
}

func (r *Result) serve(j *job) {
	if !r.measured(j.arrived) {
		return
	}
	r.Served++
	r.TokensByWorkspace[j.conversation.workspace] += j.tokens()
	if j.firstToken-j.arrived <= j.conversation.kind.Deadline {
		r.Good++
		r.goodTokens += j.outputTokens
	}
}

func (r *Result) compute(at time.Duration, cached, recomputed, prompt int) {
	if !r.measured(at) {
		return
	}
	r.Reused += cached * prefix.BlockTokens
	r.Recomputed += recomputed * prefix.BlockTokens
	r.Computed += prompt - cached*prefix.BlockTokens
}

func (r *Result) choose(at time.Duration, reason route.Reason) {
	if r.measured(at) {
		r.Reasons[reason]++
	}
}

// sampleLoad records how far the most loaded server is over the mean.
func (r *Result) sampleLoad(engines []*engine) {
	total, most, n := 0, 0, 0
	for _, e := range engines {
		if e.gone || e.leaving > 0 || e.slow > 1 {
			continue
		}
		load := len(e.running) + len(e.queue[0]) + len(e.queue[1])
		total += load
		most = max(most, load)
		n++
	}
	if total > 0 && r.measured(engines[0].model.now) {
		r.imbalance = append(r.imbalance, float64(most)*float64(n)/float64(total))
	}
}

func (r *Result) finish() {
	window := r.scenario.Duration - r.scenario.CoolDown - r.scenario.WarmUp
	r.Goodput = float64(r.goodTokens) / window.Seconds()
}

// FirstToken returns a percentile of the time to the first token of
// interactive work.
func (r *Result) FirstToken(percentile float64) time.Duration {
	return time.Duration(r.firstToken[0].ValueAtPercentile(percentile)) * time.Microsecond
}

// Imbalance returns the 95th percentile of the load of the most loaded server
// over the mean.
func (r *Result) Imbalance() float64 {
	if len(r.imbalance) == 0 {
		return math.NaN()
	}
	slices.Sort(r.imbalance)
	return r.imbalance[len(r.imbalance)*95/100]
}
