package admit

import (
	"math"
	"time"
)

const (
	// limiterTolerance is the ratio of current to base latency above which the
	// gradient is below 1.
	limiterTolerance = 1.5
	// limiterSmoothing is the weight of the target in the next limit.
	limiterSmoothing = 0.2
	// limiterShortDecay and limiterLongDecay are the weights of the newest value in
	// the moving averages of the current and the base latency.
	limiterShortDecay = 0.1
	limiterLongDecay  = 0.002
	// limiterBackoff is the factor by which a failure lowers the limit.
	limiterBackoff = 0.9
)

// Limiter adapts the concurrency limit of one server to its latency: the limit
// follows the gradient, the ratio of the base latency to the current one. It is
// not safe for concurrent use.
type Limiter struct {
	limit    float64
	min, max float64
	base     float64
	current  float64
}

// NewLimiter returns a Limiter that starts at initial and stays between lower
// and upper.
func NewLimiter(initial, lower, upper int) *Limiter {
	return &Limiter{limit: float64(initial), min: float64(lower), max: float64(upper)}
}

// Limit returns the number of requests that may be in flight at the server.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe updates the limit with a finished request. latency is the request's
// latency for one unit of work, such as the time between tokens; inFlight is
// the number of requests at the server during it.
func (l *Limiter) Observe(latency time.Duration, inFlight int, failed bool) {
	if failed {
		l.set(l.limit * limiterBackoff)
		return
	}
	l.sample(latency.Seconds())
	gradient := min(1, max(0.5, limiterTolerance*l.base/l.current))
	target := l.limit*gradient + math.Sqrt(l.limit)
	if target > l.limit && float64(inFlight) < l.limit/2 {
		return
	}
	l.set((1-limiterSmoothing)*l.limit + limiterSmoothing*target)
}

// sample updates the moving averages. The base drops to a lower current latency
// at once and rises to a higher one slowly.
func (l *Limiter) sample(latency float64) {
	if l.current == 0 {
		l.base, l.current = latency, latency
		return
	}
	l.current += limiterShortDecay * (latency - l.current)
	if l.current < l.base {
		l.base = l.current
		return
	}
	l.base += limiterLongDecay * (l.current - l.base)
}

func (l *Limiter) set(limit float64) { l.limit = min(l.max, max(l.min, limit)) }
