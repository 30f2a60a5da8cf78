package admit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// rateDecay is the weight of the newest sample in the moving averages.
	rateDecay = 0.05
	// minRateSamples is the number of samples from which the averages are used.
	minRateSamples = 8
	// firstByteDeviations is the allowance, in mean deviations, for first bytes
	// that are slower than the mean.
	firstByteDeviations = 1
	// minRetryAfter and maxRetryAfter bound the wait before a refused caller's
	// retry, without the jitter.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
)

// serviceRate tracks the pool's throughput as moving averages of the work and
// the latency of finished requests.
type serviceRate struct {
	samples int
	tokens  float64
	latency float64
	// first is the time in seconds from admission to the first byte, by class.
	first [2]average
}

// average is a moving average with the mean absolute deviation.
type average struct {
	samples         int
	mean, deviation float64
}

func (a *average) observe(value float64) {
	a.samples++
	weight := max(rateDecay, 1/float64(a.samples))
	a.deviation += weight * (math.Abs(value-a.mean) - a.deviation)
	a.mean += weight * (value - a.mean)
}

func (s *serviceRate) observe(class, tokens int, o Outcome) {
	s.samples++
	weight := max(rateDecay, 1/float64(s.samples))
	s.tokens += weight * (float64(tokens) - s.tokens)
	s.latency += weight * (o.Latency.Seconds() - s.latency)
	if o.FirstByte > 0 {
		s.first[class].observe(o.FirstByte.Seconds())
	}
}

// firstByte estimates the time from admission to the first byte of a request of
// the class: the mean plus firstByteDeviations deviations. It returns 0 when
// there are too few samples.
func (s *serviceRate) firstByte(class int) time.Duration {
	a := &s.first[class]
	if a.samples < minRateSamples {
		return 0
	}
	return seconds(a.mean + firstByteDeviations*a.deviation)
}

// drain estimates how long the given number of slots takes to serve tokens. It
// returns 0 when there are too few samples.
func (s *serviceRate) drain(tokens, slots int) time.Duration {
	if s.samples < minRateSamples || s.latency <= 0 || s.tokens <= 0 || slots <= 0 || tokens <= 0 {
		return 0
	}
	perSecond := float64(slots) * s.tokens / s.latency
	return seconds(float64(tokens) / perSecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// lateness estimates by how much r would miss its deadline if it were queued
// now. It returns 0 when r can meet the deadline, has none, or there is no
// estimate.
func (c *Controller) lateness(now time.Time, r *Request) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	if !r.Deadline.After(now) {
		return max(c.rate.drain(c.tokens, c.slots), minRetryAfter)
	}
	wait := c.rate.drain(c.ahead(r), c.slots)
	first := c.rate.firstByte(classOf(r.Priority))
	return max(0, now.Add(wait+first).Sub(r.Deadline))
}

// ahead estimates the tokens that would start before r if it were queued now.
func (c *Controller) ahead(r *Request) int {
	class := classOf(r.Priority)
	same := c.classes[class].ahead(r.Workspace, c.weight(r.Workspace), r.Tokens)
	if class == interactive {
		if c.classes[deferrable].requests == 0 {
			return int(same)
		}
		return int(same / (1 - deferrableShare))
	}
	return int(min(same+float64(c.classes[interactive].tokens), same/deferrableShare))
}

// ahead estimates the tokens of the class that would start before a new request
// of the workspace: all queued tokens of its own flow, and of each other flow
// the tokens that may start in the same virtual time.
func (c *class) ahead(workspace string, weight float64, tokens int) float64 {
	own := 0.0
	if f := c.flows[workspace]; f != nil {
		own = float64(f.tokens)
	}
	span := (own + float64(tokens)) / weight
	sum := own
	for name, f := range c.flows {
		if name != workspace {
			sum += min(float64(f.tokens), span*f.weight)
		}
	}
	return sum
}

// retryAfter bounds wait and adds jitter of up to half of it, derived from id,
// so that callers refused at the same time do not retry at the same time.
func retryAfter(id uint64, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	random := rand.New(rand.NewPCG(id, 0))
	return wait + time.Duration(random.Int64N(int64(wait/2)))
}
