package policy

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kumquatyard/internal/prefix"
	"kumquatyard/internal/route"
)

// Result holds the results of a run, without its warm-up and cool-down.
type Result struct {
	scenario *Scenario
	// Offered, Served and Refused count requests. Good counts the served ones whose
	// first token met the deadline.
	Offered, Served, Refused, Good int
	// Goodput is the number of output tokens of good requests per second.
	Goodput float64
	// Computed, Recomputed and Reused count prompt tokens. Recomputed tokens are
	// those that some server had computed before; Reused tokens came from a cache.
	Computed, Recomputed, Reused int
	// TokensByWorkspace is the number of tokens served for each workspace.
	TokensByWorkspace []int
	// Reasons counts routing choices by reason.
	Reasons    map[route.Reason]int
	goodTokens int
	resentJobs int
	// firstToken holds the time to the first token in microseconds, by priority
	// class.
	firstToken [2]*hdrhistogram.Histogram
	imbalance  []float64
}

const (
	maxTimeToFirstToken = 10 * time.Minute
	significantDigits   = 3
)

func newResult(s *Scenario) *Result {
	r := &Result{scenario: s, TokensByWorkspace: make([]int, len(s.Mix.WorkspaceShares)), Reasons: make(map[route.Reason]int)}
	for c := range r.firstToken {
		r.firstToken[c] = hdrhistogram.New(1, maxTimeToFirstToken.Microseconds(), significantDigits)
	}
	return r
}

// inWindow reports whether a time counts in the result: after the warm-up and
// before the cool-down.
func (r *Result) inWindow(at time.Duration) bool {
	return at >= r.scenario.WarmUp && at < r.scenario.Duration-r.scenario.CoolDown
}

func (r *Result) recordOffered(j *job) {
	if r.inWindow(j.arrived) {
		r.Offered++
	}
}

func (r *Result) recordRefused(j *job) {
	if r.inWindow(j.arrived) {
		r.Refused++
	}
}

func (r *Result) recordFirstToken(j *job) {
	if r.inWindow(j.arrived) {
		_ = r.firstToken[priorityClass(j.priority)].RecordValue((j.firstToken - j.arrived).Microseconds())
	}
}

func (r *Result) recordServed(j *job) {
	if !r.inWindow(j.arrived) {
		return
	}
	r.Served++
	r.TokensByWorkspace[j.conversation.workspace] += j.tokens()
	if j.firstToken-j.arrived <= j.conversation.class.Deadline {
		r.Good++
		r.goodTokens += j.outputTokens
	}
}

func (r *Result) recordPrompt(at time.Duration, cached, recomputed, prompt int) {
	if !r.inWindow(at) {
		return
	}
	r.Reused += cached * prefix.BlockTokens
	r.Recomputed += recomputed * prefix.BlockTokens
	r.Computed += prompt - cached*prefix.BlockTokens
}

func (r *Result) recordChoice(at time.Duration, reason route.Reason) {
	if r.inWindow(at) {
		r.Reasons[reason]++
	}
}

// sampleLoad records the ratio of the most loaded server's load to the mean. It
// skips servers that are gone, leaving or slowed down.
func (r *Result) sampleLoad(engines []*engine) {
	total, most, n := 0, 0, 0
	for _, e := range engines {
		if e.gone || e.leavingSince > 0 || e.slowdown > 1 {
			continue
		}
		load := len(e.running) + len(e.queue[0]) + len(e.queue[1])
		total += load
		most = max(most, load)
		n++
	}
	if total > 0 && r.inWindow(engines[0].model.now) {
		r.imbalance = append(r.imbalance, float64(most)*float64(n)/float64(total))
	}
}

func (r *Result) finish() {
	window := r.scenario.Duration - r.scenario.CoolDown - r.scenario.WarmUp
	r.Goodput = float64(r.goodTokens) / window.Seconds()
}

// FirstToken returns a percentile of the time to the first token of interactive
// requests.
func (r *Result) FirstToken(percentile float64) time.Duration {
	return time.Duration(r.firstToken[0].ValueAtPercentile(percentile)) * time.Microsecond
}

// Imbalance returns the 95th percentile of the ratio of the most loaded server's
// load to the mean, or NaN without samples.
func (r *Result) Imbalance() float64 {
	if len(r.imbalance) == 0 {
		return math.NaN()
	}
	slices.Sort(r.imbalance)
	return r.imbalance[len(r.imbalance)*95/100]
}
