package route

import "time"

// Values assumed of a server that reports none.
const (
	defaultSlots           = 16
	defaultTokensPerSecond = 400
	// leastTokensPerSecond is a running request's rate of generation at the
	// target of 44 ms between tokens.
	leastTokensPerSecond = 1 / 0.044
	// prefillSpeedup is the rate of prompt processing over the rate of generation.
	prefillSpeedup = 10
)

// loadEstimate corrects a server's lagging report by what this gateway sent
// and saw finished since the report was made.
type loadEstimate struct {
	reported float64
	// baseline is this gateway's own share of the report.
	baseline float64
	// scale extrapolates from this gateway's own changes to those of all.
	scale float64
	slots float64
	// tokensPerRequest is the mean work of a request on the server.
	tokensPerRequest float64
	// tokensPerSecond is the rate of generation with full slots.
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
	// The report is of the rate now, which is low while few requests run or
	// prompts are processed, and says nothing of the speed of the server.
	e.tokensPerSecond = max(e.tokensPerSecond, e.slots*leastTokensPerSecond)
	if e.reported > 0 {
		e.tokensPerRequest = float64(l.QueuedTokens) / e.reported
	}
	if s.InFlight != nil {
		e.baseline = float64(s.InFlight.markAt(now, l.At).requests)
	}
	return e
}

// requests estimates the requests on the server now. It never falls below
// this gateway's own.
func (m *member) requests() float64 {
	own := 0.0
	if m.server.InFlight != nil {
		own = float64(m.server.InFlight.Requests())
	}
	return max(m.load.reported+m.load.scale*(own-m.load.baseline), own)
}

const (
	// extrapolation is the part of the other gateways' changes that is taken
	// to be like this gateway's own: prefixes draw all gateways to the same
	// servers, but a single request says little.
	extrapolation = 0.5
	// maxScale bounds the noise that a single request adds where gateways are many.
	maxScale = 3
)

// extrapolate sets the scale of the members from the reported load over this
// gateway's part of it.
func (t *tier) extrapolate() {
	var reported, baseline float64
	for i := range t.members {
		reported += t.members[i].load.reported
		baseline += t.members[i].load.baseline
	}
	scale := 1.0
	if baseline > 0 {
		scale = min(max(extrapolation*reported/baseline, 1), maxScale)
	}
	for i := range t.members {
		t.members[i].load.scale = scale
	}
}

// utilization is the number of requests for each slot.
func (m *member) utilization() float64 { return m.requests() / m.load.slots }

// wait estimates the seconds that a new request is queued on the server, plus
// the slowdown by the requests that it is batched with. Queued tokens are priced
// at the speed of prefill, since most of them are of prompts.
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
	// batchSlowdownSeconds is the delay that a full batch adds to a first token.
	batchSlowdownSeconds = 0.2
	// minTokensPerRequest is the least work assumed of a queued request.
	minTokensPerRequest = 64
)

// prefill estimates the seconds for processing prompt tokens.
func (m *member) prefill(tokens float64) float64 {
	return tokens / (m.load.tokensPerSecond * prefillSpeedup)
}
