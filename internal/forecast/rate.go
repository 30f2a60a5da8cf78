package forecast

import (
	"math"
	"time"
)

const (
	// initialRate is the rate of prompt processing assumed at first, in tokens a second.
	initialRate = 80_000
	// initialBase is the least time to a first token assumed at first.
	initialBase = 50 * time.Millisecond
	// fasterStep and slowerStep are the relative changes of a learned value by one
	// observation. Their ratio makes it the upper quartile of the speeds: answers
	// are slow for many reasons that are not known here, and fast for none.
	fasterStep = 0.03
	slowerStep = 0.01
	// minRate and maxRate bound the learned rate, in tokens a second, and minBase
	// and maxBase the learned least time.
	minRate = 10_000
	maxRate = 1_000_000
	minBase = 5 * time.Millisecond
	maxBase = 500 * time.Millisecond
	// shortTokens and longTokens tell prompts from which the least time is
	// learned from those from which the rate is.
	shortTokens = 1_200
	longTokens  = 4_000
	// aheadShare bounds the work before a request, as a part of its own, with
	// which it is observed: how long that work took is not known well.
	aheadShare = 0.5
)

// speed is what is learned of the engines of a pool: the time to a first token
// is base, plus the tokens to read over the rate. Both are quantiles of the
// observations, found by stochastic approximation (Robbins and Monro, 1951), so
// that single wrong ones hardly move them.
type speed struct {
	perSecond float64
	base      time.Duration
	// arriving is the work that comes to each server, in tokens a second.
	arriving float64
	// lag is how much later than predicted first tokens came, lately at lagAt.
	lag   time.Duration
	lagAt time.Time
}

const (
	// lagWeight is the weight of one answer in the lag, and lagDecay the time
	// over which the lag is forgotten without answers.
	lagWeight = 0.2
	lagDecay  = 3 * time.Second
	maxLag    = 5 * time.Second
)

// observeLag takes how much later than by the known work alone a first token came:
// under overload much of the work is not known of.
func (s *speed) observeLag(late time.Duration, now time.Time) {
	current := s.lagNow(now)
	s.lag = min(max(current+time.Duration(lagWeight*float64(late-current)), 0), maxLag)
	s.lagAt = now
}

// lagNow is the lag, decayed to now.
func (s *speed) lagNow(now time.Time) time.Duration {
	passed := max(now.Sub(s.lagAt), 0)
	return time.Duration(float64(s.lag) * math.Exp(-passed.Seconds()/lagDecay.Seconds()))
}

// draining is the rate at which the work that is known of at a server shrinks, in
// tokens a second: while it is read, other work comes that is not known of yet.
func (s *speed) draining() float64 { return max(s.perSecond-s.arriving, 0) }

func newSpeed() *speed { return &speed{perSecond: initialRate, base: initialBase} }

// firstToken predicts the time to a first token behind tokens to be read.
func (s *speed) firstToken(tokens int) time.Duration {
	return s.base + time.Duration(float64(tokens)/s.perSecond*float64(time.Second))
}

// observe takes the time to the first token of a request with own tokens to
// read, behind those ahead.
func (s *speed) observe(ahead, own int, took time.Duration) {
	if took <= 0 || float64(ahead) > aheadShare*float64(max(own, shortTokens)) {
		return
	}
	faster := took < s.firstToken(ahead+own)
	switch {
	case own >= longTokens && faster:
		s.perSecond = min(s.perSecond*(1+fasterStep), maxRate)
	case own >= longTokens:
		s.perSecond = max(s.perSecond/(1+slowerStep), minRate)
	case own <= shortTokens && faster:
		s.base = max(time.Duration(float64(s.base)/(1+fasterStep)), minBase)
	case own <= shortTokens:
		s.base = min(time.Duration(float64(s.base)*(1+slowerStep)), maxBase)
	}
}
