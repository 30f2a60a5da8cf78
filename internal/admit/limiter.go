package admit

import (
	"math"
	"time"
)

const (
	// limiterTolerance is the latency over the base at which a limit stops growing.
	limiterTolerance = 1.5
	// limiterSmoothing is the weight of a new limit against the last one.
	limiterSmoothing = 0.2
	// limiterShortDecay and limiterLongDecay are the weights of a sample in
	// the averages of the current and the base latency.
	limiterShortDecay = 0.1
	limiterLongDecay  = 0.002
	// limiterBackoff is the factor on a limit after a failure.
	limiterBackoff = 0.9
)

// Limiter adapts the number of requests that one server works on at once to
// its latency, by the gradient of the base latency over the current one. It
// is not safe for concurrent use.
type Limiter struct {
	limit    float64
	min, max float64
	base     float64
	current  float64
}

// NewLimiter returns a Limiter that starts at initial and stays within bounds.
func NewLimiter(initial, lower, upper int) *Limiter {
	return &Limiter{limit: float64(initial), min: float64(lower), max: float64(upper)}
}

// Limit returns the number of requests that may be at the server.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe takes a finished request into account: its latency for one unit of
// work, such as the time between tokens, and the requests at the server then.
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

// sample updates the averages. The base follows a lower latency at once and a
// higher one slowly.
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
