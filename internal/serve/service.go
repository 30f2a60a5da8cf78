package serve

import (
	"math"
	"time"
)

const (
	// defaultServiceTime is assumed while the time to an answer of a plain service is unknown.
	defaultServiceTime = 50 * time.Millisecond
	// sheddingRounds is the number of waiting requests per slot from which a server is about to
	// turn requests away.
	sheddingRounds = 1
	// sheddingPenalty is the cost of a server that is about to turn requests away: it is used only
	// when all are.
	sheddingPenalty = time.Minute
	// unknownAge is the age from which what is known of the other instances' requests is worth
	// nothing.
	unknownAge = 3 * time.Second
)

// priceService sets the cost of a candidate of a plain service whose servers report their
// slowdown: the expected time to the answer, with the work ahead over the server's slots.
//
// What is known of the servers is older than an answer takes, and all instances see the same.
// So the cost is multiplied by a random factor, and the more so the more of the requests other
// instances place: if they place nearly all, a server is chosen with a probability in proportion
// to 1 over its expected time (by the properties of the exponential distribution), and if there
// are none, the server with the lowest expected time.
func (p *placement) priceService(c *candidate) {
	service := c.estimate.ServiceTime
	if service <= 0 {
		service = defaultServiceTime
	}
	slots := float64(max(c.server.Slots, 1))
	ahead := float64(c.estimate.Work.Active)
	if c.estimate.Queue >= 1 {
		ahead = max(ahead, slots+c.estimate.Queue)
	}
	expected := service.Seconds() * c.estimate.Ratio() * (1 + ahead/slots)
	if c.server.Zone != p.zone {
		expected += otherZonePenalty.Seconds()
	}
	c.cost = time.Duration(expected * math.Pow(exponential(c.draw), p.othersShare) * float64(time.Second))
	if c.estimate.Queue >= sheddingRounds*slots {
		c.cost += sheddingPenalty
	}
}

// spread multiplies the cost of a server by a random factor, and the more so the older what is
// known of the other instances' requests: the servers that are faster than others are the same
// for all instances, which would fill them beyond what they can do.
func (p *placement) spread(cost, age time.Duration, draw uint64) time.Duration {
	unknown := min(max(age.Seconds()/unknownAge.Seconds(), 0), 1)
	return time.Duration(float64(cost) * math.Pow(exponential(draw), p.othersShare*unknown))
}

// exponential returns the exponentially distributed number with mean 1 of a uniform draw.
func exponential(draw uint64) float64 {
	const bits = 53
	return -math.Log((float64(draw>>(64-bits)) + 0.5) / (1 << bits))
}
