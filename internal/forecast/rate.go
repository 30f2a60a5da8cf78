package forecast

import (
	"math"
	"time"
)

const (
	// initialRate is the prefill rate before any observation, in tokens per second.
	initialRate = 80_000
	// initialBase is the base latency of a first token before any observation.
	initialBase = 50 * time.Millisecond
	// fasterStep and slowerStep are the relative changes of a learned value by one
	// observation. With their ratio the value converges to the upper quartile of the
	// speeds: answers are slow for many reasons that are unknown here, but fast for none.
	fasterStep = 0.03
	slowerStep = 0.01
	// minRate and maxRate bound the learned rate, in tokens per second, and minBase
	// and maxBase the learned base latency.
	minRate = 10_000
	maxRate = 1_000_000
	minBase = 5 * time.Millisecond
	maxBase = 500 * time.Millisecond
	// The base latency is learned from prompts of at most shortTokens, and the rate
	// from those of at least longTokens.
	shortTokens = 1_200
	longTokens  = 4_000
	// maxAheadShare is the maximum work ahead of a request, as a fraction of its own
	// work, for which its latency is observed: the time for the work ahead is uncertain.
	maxAheadShare = 0.5
)

// speed is the learned speed of the engines of a pool: the time to a first token is
// base plus the tokens to prefill divided by the rate. Both are quantiles of the
// observations, estimated by stochastic approximation (Robbins and Monro, 1951), so
// that single outliers hardly change them.
type speed struct {
	tokensPerSecond float64
	base            time.Duration
	// arrivalRate is the work that arrives at each server, in tokens per second.
	arrivalRate float64
	// lag is how much later than predicted recent first tokens arrived, as of lagAt.
	lag   time.Duration
	lagAt time.Time
	poolSpeed
}

const (
	// lagWeight is the weight of one answer in the lag, and lagDecay the time constant
	// with which the lag decays between answers.
	lagWeight = 0.2
	lagDecay  = 3 * time.Second
	maxLag    = 5 * time.Second
)

// observeLag records how much later than predicted from the known work a first token
// arrived. Under overload, much of the work is unknown to this instance.
func (s *speed) observeLag(late time.Duration, now time.Time) {
	current := s.decayedLag(now)
	s.lag = min(max(current+time.Duration(lagWeight*float64(late-current)), 0), maxLag)
	s.lagAt = now
}

// decayedLag returns the lag, decayed to now.
func (s *speed) decayedLag(now time.Time) time.Duration {
	passed := max(now.Sub(s.lagAt), 0)
	return time.Duration(float64(s.lag) * math.Exp(-passed.Seconds()/lagDecay.Seconds()))
}

// netDrainRate returns the rate at which the waiting work at a server shrinks, in
// tokens per second: the prefill rate less the arrival rate of work that is not known
// here yet.
func (s *speed) netDrainRate() float64 { return max(s.tokensPerSecond-s.arrivalRate, 0) }

func newSpeed() *speed { return &speed{tokensPerSecond: initialRate, base: initialBase} }

// firstToken returns the predicted time to a first token after the prefill of tokens.
func (s *speed) firstToken(tokens int) time.Duration {
	return s.base + time.Duration(float64(tokens)/s.tokensPerSecond*float64(time.Second))
}

// observe updates the learned values by the time to the first token of a request with
// ownTokens to prefill after tokensAhead.
func (s *speed) observe(tokensAhead, ownTokens int, took time.Duration) {
	if took <= 0 || float64(tokensAhead) > maxAheadShare*float64(max(ownTokens, shortTokens)) {
		return
	}
	faster := took < s.firstToken(tokensAhead+ownTokens)
	switch {
	case ownTokens >= longTokens && faster:
		s.tokensPerSecond = min(s.tokensPerSecond*(1+fasterStep), maxRate)
	case ownTokens >= longTokens:
		s.tokensPerSecond = max(s.tokensPerSecond/(1+slowerStep), minRate)
	case ownTokens <= shortTokens && faster:
		s.base = max(time.Duration(float64(s.base)/(1+fasterStep)), minBase)
	case ownTokens <= shortTokens:
		s.base = min(time.Duration(float64(s.base)*(1+slowerStep)), maxBase)
	}
}
