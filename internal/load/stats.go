package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// newHistogram returns a histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// quantile returns the value of h at a percentile from 0 to 100.
func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Stats holds the statistics of a group of requests at one target.
type Stats struct {
	// FirstToken holds the times to the first token, or to the response of a call.
	FirstToken *hdrhistogram.Histogram
	Gaps       *hdrhistogram.Histogram
	// Refusal holds the times from arrival to the refusal.
	Refusal *hdrhistogram.Histogram
	Results map[Result]int
	// Verdicts counts refusals by "VERDICT TYPE".
	Verdicts map[string]int
	Tokens   int
	Resumes  int
}

func newStats() *Stats {
	return &Stats{
		FirstToken: newHistogram(),
		Gaps:       newHistogram(),
		Refusal:    newHistogram(),
		Results:    make(map[Result]int),
		Verdicts:   make(map[string]int),
	}
}

func (s *Stats) add(o *Outcome) {
	s.Results[o.Result]++
	s.Resumes += o.Resumes
	s.Tokens += o.Tokens
	if o.Result == Refused {
		s.Verdicts[o.Verdict+" "+o.ErrorType]++
		record(s.Refusal, o.Total)
	}
	if o.FirstToken > 0 && o.Result != Refused {
		record(s.FirstToken, o.FirstToken)
	}
	for _, gap := range o.Gaps {
		record(s.Gaps, gap)
	}
}

// count returns the number of requests.
func (s *Stats) count() int {
	n := 0
	for _, c := range s.Results {
		n += c
	}
	return n
}

// TargetResult holds the results of a scenario for one target over all rounds.
type TargetResult struct {
	Target      *Target
	ByClass     map[string]*Stats
	ByWorkspace map[string]*Stats
	// GroundTruth holds what the stand-ins counted.
	GroundTruth groundTruth
	// IdealPromptTokens is the number of prompt tokens that a single server with
	// unlimited memory would compute for the answered requests.
	IdealPromptTokens int
	SendDelay         *hdrhistogram.Histogram
	Violations        []Violation
	Elapsed           time.Duration
	// Cost is in the currency of the scenario's prices.
	Cost float64
}

func newTargetResult(t *Target) *TargetResult {
	return &TargetResult{
		Target:      t,
		ByClass:     make(map[string]*Stats),
		ByWorkspace: make(map[string]*Stats),
		SendDelay:   newHistogram(),
	}
}

func (r *TargetResult) add(o *Outcome) {
	statsOf(r.ByClass, o.Request.Class.Name).add(o)
	statsOf(r.ByWorkspace, o.Request.Workspace.Name).add(o)
	record(r.SendDelay, o.SendDelay)
}

func statsOf(group map[string]*Stats, name string) *Stats {
	if group[name] == nil {
		group[name] = newStats()
	}
	return group[name]
}

// goodput returns the number of complete, correct answers per second.
func (r *TargetResult) goodput() float64 {
	ok := 0
	for _, s := range r.ByClass {
		ok += s.Results[OK]
	}
	return float64(ok) / r.Elapsed.Seconds()
}
