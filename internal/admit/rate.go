package admit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// rateDecay is the weight of the newest sample in the moving averages.
	rateDecay = 0.05
	// rateSamples is the number of samples before the averages are relied on.
	rateSamples = 8
	// firstByteDeviations is the allowance for first bytes slower than the mean.
	firstByteDeviations = 1
	// Bounds of the time after which a refused caller may come again.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
)

// serviceRate measures how fast the pool serves, as moving averages of the
// work and the latency of finished requests.
type serviceRate struct {
	samples int
	tokens  float64
	latency float64
	// first is the time from admission to the first byte, by class.
	first [2]average
}

// average is a moving average and mean deviation.
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

// firstByte is the time that an admitted request of a class is given for its
// first byte: the mean and a multiple of the deviation.
func (s *serviceRate) firstByte(class int) time.Duration {
	a := &s.first[class]
	if a.samples < rateSamples {
		return 0
	}
	return seconds(a.mean + firstByteDeviations*a.deviation)
}

// drain estimates how long slots take for the given tokens; 0 when nothing has
// been measured.
func (s *serviceRate) drain(tokens, slots int) time.Duration {
	if s.samples < rateSamples || s.latency <= 0 || s.tokens <= 0 || slots <= 0 || tokens <= 0 {
		return 0
	}
	perSecond := float64(slots) * s.tokens / s.latency
	return seconds(float64(tokens) / perSecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// lateness estimates by how much a request that is queued now would miss its
// deadline; 0 when it can be met or nothing is known.
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

// ahead estimates the tokens that start before a request that is queued now.
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

// ahead estimates the tokens of the class that start before a new request of a
// flow: all that the flow has queued, and of each other flow what it may start
// in the same virtual time.
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

// retryAfter bounds a wait and spreads callers that are refused together over
// half of it, by their id.
func retryAfter(id uint64, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	random := rand.New(rand.NewPCG(id, 0))
	return wait + time.Duration(random.Int64N(int64(wait/2)))
}
