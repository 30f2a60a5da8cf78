package admit

import (
	"math/rand/v2"
	"time"
)

const (
	// rateDecay is the weight of the newest sample in the moving averages.
	rateDecay = 0.05
	// rateSamples is the number of samples before the averages are relied on.
	rateSamples = 8
	// Bounds of the time after which a refused caller may come again.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
)

// serviceRate measures how fast the pool serves, as moving averages of the
// work and the latency of finished requests.
type serviceRate struct {
	samples   int
	tokens    float64
	latency   float64
	firstByte float64
}

func (s *serviceRate) observe(tokens int, o Outcome) {
	s.samples++
	decay := max(rateDecay, 1/float64(s.samples))
	s.tokens += decay * (float64(tokens) - s.tokens)
	s.latency += decay * (o.Latency.Seconds() - s.latency)
	s.firstByte += decay * (o.FirstByte.Seconds() - s.firstByte)
}

// drain estimates how long slots take for the given tokens; 0 when nothing has
// been measured.
func (s *serviceRate) drain(tokens, slots int) time.Duration {
	if s.samples < rateSamples || s.latency <= 0 || s.tokens <= 0 || slots <= 0 || tokens <= 0 {
		return 0
	}
	perSecond := float64(slots) * s.tokens / s.latency
	return time.Duration(float64(tokens) / perSecond * float64(time.Second))
}

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
	first := time.Duration(c.rate.firstByte * float64(time.Second))
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
