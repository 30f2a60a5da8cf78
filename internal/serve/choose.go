package serve

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
)

const (
	// homeShare is the part of the shared prompt that its home is assumed to keep
	// when nothing is known.
	homeShare = 0.85
	// batchPenalty is what one more request costs at a full batch; a quarter of it
	// is counted for each request that waits for a slot.
	batchPenalty = 150 * time.Millisecond
	// batchPower is the power of the batch's occupation by which the cost grows: a
	// batch with free slots delays hardly any.
	batchPower = 4
	// tieBreak bounds the random cost by which equal servers are told apart.
	tieBreak = time.Millisecond
	// rereadWeight is what reading a shared part of a prompt that another server
	// keeps costs beside the time that this request waits for it: the time that
	// the server is kept from other requests.
	rereadWeight = 2
	// otherZonePenalty prices bytes between zones.
	otherZonePenalty = 2 * time.Millisecond
)

// candidate is a server that may take a request, with its prediction.
type candidate struct {
	server   *fleet.Server
	estimate forecast.Estimate
	cost     time.Duration
}

// placement is what a choice depends on.
type placement struct {
	zone      string
	servers   []*fleet.Server
	exclude   []machine.ID
	prompt    *forecast.Prompt
	suspected func(machine.ID) bool
	predict   func(id machine.ID, assumed int) forecast.Estimate
	seed      uint64
	// target is the latency target; 0 is none.
	target time.Duration
	// sample is the number of servers that are compared, beside the home.
	sample int
}

const (
	// leastSample and sampleForAll set how many servers are compared: nearly all
	// where there are few instances, and few where there are many.
	leastSample  = 3
	sampleForAll = 60
)

// sampleSize is the number of servers that a choice compares. What is known of
// them is old, and the same at all instances: with many instances the
// best of all would be chosen by all at once, while the best of a few drawn at
// random is not (Mitzenmacher, "How useful is old information?", 2000).
func sampleSize(instances int) int { return leastSample + sampleForAll/max(instances, 1) }

// choose returns the cheapest usable server, and false when there is none.
// Suspected servers, and those whose entries lapsed, are used only when there is
// no other. Requests that share
// the beginning of a prompt are drawn to one server, its home, by rendezvous hashing.
func choose(p *placement) (candidate, bool) {
	if best, ok := p.cheapest(false); ok {
		return best, true
	}
	return p.cheapest(true)
}

func (p *placement) cheapest(suspects bool) (candidate, bool) {
	var best candidate
	found := false
	home := p.home(suspects)
	draw := p.seed
	usable := make([]*fleet.Server, 0, len(p.servers))
	for _, s := range p.servers {
		if p.usable(s, suspects) {
			usable = append(usable, s)
		}
	}
	for _, s := range p.sampled(usable, home) {
		c := p.candidate(s, s == home)
		p.price(&c)
		draw = mix(draw + 1)
		c.cost += time.Duration(draw % uint64(tieBreak))
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

// sampled draws the servers to compare, and the home.
func (p *placement) sampled(usable []*fleet.Server, home *fleet.Server) []*fleet.Server {
	if len(usable) <= p.sample {
		return usable
	}
	random := rand.New(rand.NewPCG(p.seed, 0))
	random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	drawn := usable[:p.sample]
	if home != nil && !slices.Contains(drawn, home) {
		drawn = append(drawn, home)
	}
	return drawn
}

func (p *placement) usable(s *fleet.Server, suspects bool) bool {
	if !s.Usable() || (p.suspected(s.ID) || s.LeaseExpired()) != suspects {
		return false
	}
	for _, id := range p.exclude {
		if id == s.ID {
			return false
		}
	}
	return true
}

// home is the server that the shared part of the prompt hashes to.
func (p *placement) home(suspects bool) *fleet.Server {
	if p.prompt == nil || len(p.prompt.Parts) < 2 {
		return nil
	}
	key := p.prompt.Parts[len(p.prompt.Parts)-2].ID
	var best *fleet.Server
	var high uint64
	for _, s := range p.servers {
		if !p.usable(s, suspects) {
			continue
		}
		if score := mix(xxhash.Sum64String(string(s.ID)) ^ key); best == nil || score > high {
			best, high = s, score
		}
	}
	return best
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (p *placement) candidate(s *fleet.Server, home bool) candidate {
	assumed := 0
	if home {
		assumed = int(homeShare * float64(p.prompt.SharedTokens()))
	}
	return candidate{server: s, estimate: p.predict(s.ID, assumed)}
}

// price sets what the candidate costs: the wait, the reading of shared parts, a
// batch that fills up, and another zone.
func (p *placement) price(c *candidate) {
	c.cost = p.waitCost(c.estimate.FirstToken) + batchCost(c)
	if p.prompt != nil {
		missing := max(p.prompt.SharedTokens()-c.estimate.Cached, 0)
		c.cost += rereadWeight * c.estimate.PrefillTime(missing)
	}
	if c.server.Zone != p.zone {
		c.cost += otherZonePenalty
	}
}

// waitCost grows with the square of the wait, and equals it at the latency
// target: far below the target a longer wait does no harm.
func (p *placement) waitCost(wait time.Duration) time.Duration {
	if p.target <= 0 {
		return wait
	}
	return time.Duration(float64(wait) * float64(wait) / float64(p.target))
}

func batchCost(c *candidate) time.Duration {
	slots, active := max(c.server.Slots, 1), c.estimate.Work.Active
	if active >= slots {
		return batchPenalty + time.Duration(active-slots+1)*batchPenalty/4
	}
	return time.Duration(float64(batchPenalty) * math.Pow(float64(active)/float64(slots), batchPower))
}
