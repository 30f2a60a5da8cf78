package route

import "time"

const (
	// defaultSlots and defaultTokensPerSecond are used for a server that does
	// not report them.
	defaultSlots           = 16
	defaultTokensPerSecond = 400
	// minTokensPerSecond is the generation rate of a running request at the
	// target of 44 ms between tokens.
	minTokensPerSecond = 1 / 0.044
	// prefillSpeedup is the ratio of the prompt processing rate to the generation
	// rate.
	prefillSpeedup = 10
)

// loadEstimate corrects a server's load report, which lags, by the requests that
// this gateway has sent and seen finish since the report was made.
type loadEstimate struct {
	// reported is the number of running and queued requests in the report.
	reported float64
	// baseline is the number of this gateway's requests at the time of the report.
	baseline float64
	// scale extrapolates the change in this gateway's requests to all gateways.
	scale float64
	slots float64
	// tokensPerRequest is the mean work of a request on the server.
	tokensPerRequest float64
	// tokensPerSecond is the generation rate with all slots busy.
	tokensPerSecond float64
}

func newLoadEstimate(s *Server, now time.Time) loadEstimate {
	l := &s.State.Load
	e := loadEstimate{
		reported:        float64(l.Running + l.Queued),
		scale:           1,
		slots:           float64(l.Slots),
		tokensPerSecond: float64(l.TokensPerSecond),
	}
	if e.slots <= 0 {
		e.slots = defaultSlots
	}
	if e.tokensPerSecond <= 0 {
		e.tokensPerSecond = defaultTokensPerSecond
	}
	// The reported rate is the current one. It is low while few requests run or
	// prompts are processed, and does not show how fast the server can be.
	e.tokensPerSecond = max(e.tokensPerSecond, e.slots*minTokensPerSecond)
	if e.reported > 0 {
		e.tokensPerRequest = float64(l.QueuedTokens) / e.reported
	}
	if s.InFlight != nil {
		e.baseline = float64(s.InFlight.readingAt(now, l.At).requests)
	}
	return e
}

// requests estimates the number of requests now on the server. It is at least
// the number of this gateway's own.
func (m *member) requests() float64 {
	own := 0.0
	if m.server.InFlight != nil {
		own = float64(m.server.InFlight.Requests())
	}
	return max(m.load.reported+m.load.scale*(own-m.load.baseline), own)
}

const (
	// extrapolationFactor is the fraction of the other gateways' changes that is
	// assumed to match this gateway's own: shared prefixes send all gateways to
	// the same servers, but a single request is weak evidence.
	extrapolationFactor = 0.5
	// maxScale bounds the noise that a single request adds when there are many
	// gateways.
	maxScale = 3
)

// extrapolate sets the scale of all members from the ratio of the reported
// requests to this gateway's own.
func (t *tier) extrapolate() {
	var reported, baseline float64
	for i := range t.members {
		reported += t.members[i].load.reported
		baseline += t.members[i].load.baseline
	}
	scale := 1.0
	if baseline > 0 {
		scale = min(max(extrapolationFactor*reported/baseline, 1), maxScale)
	}
	for i := range t.members {
		t.members[i].load.scale = scale
	}
}

// utilization returns the estimated number of requests per slot.
func (m *member) utilization() float64 { return m.requests() / m.load.slots }

// wait estimates the seconds that a new request is queued on the server, plus
// the slowdown from the requests in the same batch. Queued tokens are assumed
// to be processed at the prefill rate, since most of them belong to prompts.
func (m *member) wait() float64 {
	n := m.requests()
	over := n + 1 - m.load.slots
	slowdown := batchSlowdownSeconds * min(n/m.load.slots, 1)
	if over <= 0 {
		return slowdown
	}
	tokens := max(m.load.tokensPerRequest, minTokensPerRequest)
	return slowdown + m.prefill(over*tokens)
}

const (
	// batchSlowdownSeconds is the delay of the first token in a full batch.
	batchSlowdownSeconds = 0.2
	// minTokensPerRequest is the minimum work assumed for a queued request.
	minTokensPerRequest = 64
)

// prefill estimates the seconds to process the given number of prompt tokens.
func (m *member) prefill(tokens float64) float64 {
	return tokens / (m.load.tokensPerSecond * prefillSpeedup)
}
