package forecast

import "time"

const (
	// rateStep is the relative change of the learned rate by one observation.
	rateStep = 0.02
	// minRate and maxRate bound the learned rate, in tokens a second.
	minRate = 10_000
	maxRate = 1_000_000
	// minRateTokens is the least work that says something of the rate.
	minRateTokens = 2_500
	// aheadShare bounds the work before a request, as a part of its own, with
	// which it is observed: how long that work took is not known well.
	aheadShare = 0.5
)

// rate is a learned rate of prompt processing: the median of the observations,
// found by stochastic approximation (Robbins and Monro, 1951), so that single
// wrong ones hardly move it.
type rate struct{ perSecond float64 }

func (r *rate) observe(ahead, own int, took time.Duration) {
	if own < minRateTokens || took <= 0 || float64(ahead) > aheadShare*float64(own) {
		return
	}
	if float64(ahead+own)/took.Seconds() > r.perSecond {
		r.perSecond = min(r.perSecond*(1+rateStep), maxRate)
		return
	}
	r.perSecond = max(r.perSecond/(1+rateStep), minRate)
}
