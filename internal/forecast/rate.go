package forecast

import "time"

const (
	// rateDecay is the weight of one observation.
	rateDecay = 0.02
	// minRate and maxRate bound the learned rate, in tokens a second.
	minRate = 10_000
	maxRate = 500_000
	// minRateTokens is the least work that says something of the rate.
	minRateTokens = 3_000
	// riseShare weighs observations above the estimate more than those below,
	// since work of others that was not known makes an engine look slow.
	riseShare = 3
)

// rate is a learned rate of prompt processing.
type rate struct{ perSecond float64 }

func (r *rate) observe(tokens int, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	seen := min(max(float64(tokens)/took.Seconds(), minRate), maxRate)
	weight := rateDecay
	if seen > r.perSecond {
		weight *= riseShare
	}
	r.perSecond += weight * (seen - r.perSecond)
}
