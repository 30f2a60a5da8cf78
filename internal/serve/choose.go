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
	"kumquatyard/internal/rendezvous"
)

const (
	// affinityCachedShare is the fraction of the shared prefix that its affinity server is
	// assumed to have cached when nothing is known.
	affinityCachedShare = 0.85
	// batchPenalty is the cost of one more request at a full batch. Each request that
	// waits for a slot adds a quarter of it.
	batchPenalty = 150 * time.Millisecond
	// batchPower is the exponent with which the cost grows with the occupancy of the
	// batch: a batch with free slots adds hardly any delay.
	batchPower = 4
	// tieBreak bounds the random cost that is added to break ties between servers.
	tieBreak = time.Millisecond
	// reprefillWeight is the cost, per unit of prefill time, of computing a shared
	// prefix that another server has cached. It comes on top of this request's own
	// wait and stands for the time that the server is kept from other requests.
	reprefillWeight = 2
	// otherZonePenalty is the cost of traffic between zones.
	otherZonePenalty = 2 * time.Millisecond
)

// candidate is a server that may receive the request, with its prediction and cost.
type candidate struct {
	server   *fleet.Server
	estimate forecast.Estimate
	cost     time.Duration
	// draw is uniformly distributed.
	draw uint64
}

// placement holds the inputs of a choice of a server.
type placement struct {
	zone        string
	servers     []*fleet.Server
	exclude     []machine.ID
	prompt      *forecast.Prompt
	isSuspected func(machine.ID) bool
	// mayServe reports whether a server's version may serve the request; nil means that all
	// may.
	mayServe func(*fleet.Server) bool
	// isWanted reports whether a server accepts requests; nil means that all do.
	isWanted func(*fleet.Server) bool
	// isLimited reports whether a server has a limit of its request rate; nil means that none
	// has.
	isLimited func(*fleet.Server) bool
	predict   func(id machine.ID, assumed int) forecast.Estimate
	seed      uint64
	// target is the latency target; 0 means none.
	target time.Duration
	// sample is the number of servers to compare, besides the affinity server.
	sample int
	// othersShare is the share of the pool's requests for which other instances choose.
	othersShare float64
}

const (
	// minSample and sampleTotal set how many servers are compared: nearly all with
	// few instances, and few with many.
	minSample   = 3
	sampleTotal = 60
)

// sampleSize returns the number of servers that a choice compares. All instances
// see the same stale load reports: with many instances, all of them would choose the
// best server at once, while the best of a few random ones spreads the load
// (Mitzenmacher, "How useful is old information?", 2000).
func sampleSize(instances int) int { return minSample + sampleTotal/max(instances, 1) }

// choose returns the usable server with the lowest cost, and false when there is
// none. Suspected servers, and those whose lease expired, are used only when there is
// no other. Rendezvous hashing gives requests that share a prompt prefix the same
// affinity server, which has an advantage because it has probably cached the prefix.
func choose(p *placement) (candidate, bool) {
	if best, ok := p.cheapest(false); ok {
		return best, true
	}
	return p.cheapest(true)
}

// cheapest returns the candidate with the lowest cost, among either the suspected
// servers or the others.
func (p *placement) cheapest(onlySuspected bool) (candidate, bool) {
	var best candidate
	found := false
	affinity := p.affinityServer(onlySuspected)
	draw := p.seed
	usable := make([]*fleet.Server, 0, len(p.servers))
	for _, s := range p.servers {
		if p.usable(s, onlySuspected) {
			usable = append(usable, s)
		}
	}
	for _, s := range p.sampleServers(usable, affinity) {
		c := p.candidate(s, s == affinity)
		draw = rendezvous.Mix(draw + 1)
		c.draw = draw
		p.price(&c)
		c.cost += time.Duration(draw % uint64(tieBreak))
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

// sampleServers returns a random sample of the usable servers, plus the affinity server and
// those with a limit of their rate: few instances may use that.
func (p *placement) sampleServers(usable []*fleet.Server, affinity *fleet.Server) []*fleet.Server {
	if len(usable) <= p.sample {
		return usable
	}
	random := rand.New(rand.NewPCG(p.seed, 0))
	random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	drawn := slices.Clip(usable[:p.sample])
	if affinity != nil && !slices.Contains(drawn, affinity) {
		drawn = append(drawn, affinity)
	}
	for _, s := range usable[p.sample:] {
		if p.isLimited != nil && p.isLimited(s) && s != affinity {
			drawn = append(drawn, s)
		}
	}
	return drawn
}

// usable reports whether s may be chosen. With onlySuspected, only suspected servers and
// those whose lease expired are usable, and otherwise only the others.
func (p *placement) usable(s *fleet.Server, onlySuspected bool) bool {
	if !s.Usable() || (p.isSuspected(s.ID) || s.LeaseExpired()) != onlySuspected {
		return false
	}
	if p.mayServe != nil && !p.mayServe(s) {
		return false
	}
	if p.isWanted != nil && !p.isWanted(s) {
		return false
	}
	for _, id := range p.exclude {
		if id == s.ID {
			return false
		}
	}
	return true
}

// affinityServer returns the server with the highest rendezvous hash for the shared
// prefix of the prompt, nil without a shared prefix.
func (p *placement) affinityServer(onlySuspected bool) *fleet.Server {
	if p.prompt == nil || len(p.prompt.Parts) < 2 {
		return nil
	}
	key := p.prompt.Parts[len(p.prompt.Parts)-2].ID
	var best *fleet.Server
	var high uint64
	for _, s := range p.servers {
		if !p.usable(s, onlySuspected) {
			continue
		}
		if score := rendezvous.Score(xxhash.Sum64String(string(s.ID)), key); best == nil || score > high {
			best, high = s, score
		}
	}
	return best
}

// candidate returns the server with its prediction; affinity is true for the affinity
// server.
func (p *placement) candidate(s *fleet.Server, affinity bool) candidate {
	assumed := 0
	if affinity {
		assumed = int(affinityCachedShare * float64(p.prompt.SharedTokens()))
	}
	return candidate{server: s, estimate: p.predict(s.ID, assumed)}
}

// price sets the cost of a candidate: the wait for the first token, the prefill of
// shared tokens that are not cached, the occupancy of the batch, and traffic to
// another zone.
func (p *placement) price(c *candidate) {
	if p.prompt == nil && c.estimate.Reports {
		p.priceService(c)
		return
	}
	c.cost = p.waitCost(c.estimate.FirstToken) + batchCost(c)
	if p.prompt != nil {
		missing := max(p.prompt.SharedTokens()-c.estimate.Cached, 0)
		c.cost += reprefillWeight * c.estimate.PrefillTime(missing)
	}
	if c.server.Zone != p.zone {
		c.cost += otherZonePenalty
	}
	if c.estimate.Uneven {
		c.cost = p.spread(c.cost, c.estimate.OthersAge, c.draw)
	}
}

// waitCost returns the cost of a wait. It grows with the square of the wait and
// equals the wait at the latency target, since a longer wait does no harm far below
// the target.
func (p *placement) waitCost(wait time.Duration) time.Duration {
	if p.target <= 0 {
		return wait
	}
	return time.Duration(float64(wait) * float64(wait) / float64(p.target))
}

// batchCost returns the cost of adding a request to the server's batch. The slower the server,
// the more it delays the requests of its batch.
func batchCost(c *candidate) time.Duration {
	slots, active := max(c.server.Slots, 1), c.estimate.Work.Active
	penalty := float64(batchPenalty) * c.estimate.Ratio()
	if active >= slots {
		return time.Duration(penalty + float64(active-slots+1)*penalty/4)
	}
	return time.Duration(penalty * math.Pow(float64(active)/float64(slots), batchPower))
}
