package route

import (
	"math/bits"

	"kumquatyard/internal/prefix"
)

const (
	// levels is the number of prefix depths whose homes are considered.
	levels = 4
	// homes is the number of servers considered at each depth.
	homes = 2
	// samples is the number of servers compared by load alone.
	samples = 2
	// maxCandidates bounds the servers whose cost is computed.
	maxCandidates = levels*(homes+1) + samples

	// reusePrecision is the part of a cached prefix that may go unnoticed.
	reusePrecision = 8
	// coldSeconds is the cost of a model that has to be loaded first.
	coldSeconds = 10
	// suspectShare is the part of a suspect cache that is counted on.
	suspectShare = 0.8
	// homeShare is the part of a prompt that its home may hold unreported.
	homeShare = 0.3
	// reclaimsPerSecond is the assumed rate at which a reclaimable server is reclaimed.
	reclaimsPerSecond = 1.0 / (4 * 3600)
)

// Choose returns the server for r, and false when none may take it.
func (v *View) Choose(r *Request) (Choice, bool) {
	g := v.groups[groupKey{pool: r.Pool, model: r.Model}]
	if g == nil {
		return Choice{}, false
	}
	for i := range g.tiers {
		if choice, ok := v.chooseFrom(&g.tiers[i], r); ok {
			return choice, true
		}
	}
	return Choice{}, false
}

func (v *View) chooseFrom(t *tier, r *Request) (Choice, bool) {
	if len(t.members) == 0 {
		return Choice{}, false
	}
	switch v.policy {
	case policyRoundRobin:
		return chooseRoundRobin(t, r)
	case policyLeastOutstanding:
		return chooseLeastOutstanding(t, r)
	case policyPrefixHash:
		return choosePrefixHash(t, r)
	default:
		return v.chooseKumquat(t, r)
	}
}

// candidate is a server whose cost is compared.
type candidate struct {
	member *member
	// home is true for the first choice at the deepest level.
	home bool
	// cached are the prompt tokens believed to be cached.
	cached int
}

// candidates is a set of distinct candidates of fixed size.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

func (c *candidates) add(m *member, home bool) {
	for i := range c.n {
		if c.list[i].member == m {
			return
		}
	}
	c.list[c.n] = candidate{member: m, home: home}
	c.n++
}

// chooseKumquat compares the estimated time to the first token, priced with
// the risk of losing it, over few candidates: the rendezvous homes of the
// prompt at depths that double, which later prompts with the same beginning
// share, the last known holders of these blocks, and servers sampled at random
// for prompts that no one holds.
func (v *View) chooseKumquat(t *tier, r *Request) (Choice, bool) {
	var set candidates
	set.addHomes(t, r, v.index)
	set.addSamples(t, r)
	if set.n == 0 {
		return Choice{}, false
	}
	best, preferred := set.cheapest(r, v.loadLimit(&set))
	choice := Choice{Server: best.member.server, Reason: best.reason(), ReusableTokens: best.cached}
	if preferred != best && (preferred.cached > 0 || preferred.home) {
		choice.Reason = BoundedLoad
	}
	return choice, true
}

// cheapest returns the candidate of the least cost among those within the
// limit of utilization, or among all when none is, and the candidate with the
// most cached tokens.
func (c *candidates) cheapest(r *Request, limit float64) (best, preferred *candidate) {
	var bestCost float64
	var bestOver bool
	for i := range c.n {
		next := &c.list[i]
		next.cached = next.reusable(r)
		if preferred == nil || next.cached > preferred.cached {
			preferred = next
		}
		cost := next.cost(r)
		over := next.member.utilization() > limit
		if best == nil || (bestOver && !over) || (bestOver == over && cost < bestCost) {
			best, bestCost, bestOver = next, cost, over
		}
	}
	return best, preferred
}

// addHomes adds the first rendezvous choices at the depths n, n/2, n/4, … where
// n is the largest power of two that the prefix reaches, and the servers that
// the index knows to hold a prefix of these depths.
func (c *candidates) addHomes(t *tier, r *Request, index *Index) {
	if len(r.Prefix) == 0 {
		return
	}
	deepest := deepestLevel(r.Prefix)
	for depth := deepest; depth > deepest>>levels; depth /= 2 {
		key := r.Prefix[depth-1]
		first, second := t.rendezvous(r, key)
		if first != nil {
			c.add(first, depth == deepest)
		}
		if second != nil {
			c.add(second, false)
		}
		if holder := t.holder(r, index, key); holder != nil {
			c.add(holder, false)
		}
	}
}

// holder returns the server that the index has for a block, or nil.
func (t *tier) holder(r *Request, index *Index, block uint64) *member {
	if index == nil {
		return nil
	}
	hash, ok := index.holder(block)
	if !ok {
		return nil
	}
	i, ok := t.byHash[hash]
	if !ok || r.excluded(&t.members[i]) {
		return nil
	}
	return &t.members[i]
}

// rendezvous returns the two servers with the highest hashes of id and key.
func (t *tier) rendezvous(r *Request, key uint64) (first, second *member) {
	var high, next uint64
	for i, hash := range t.hashes {
		score := mix(hash, key)
		if score <= next {
			continue
		}
		m := &t.members[i]
		if r.excluded(m) {
			continue
		}
		if score > high {
			first, second = m, first
			high, next = score, high
		} else {
			second, next = m, score
		}
	}
	return first, second
}

// addSamples adds servers drawn at random; a draw that hits an excluded server
// takes the next one.
func (c *candidates) addSamples(t *tier, r *Request) {
	draw := r.Seed
	for range samples {
		draw = mix(draw, 0x9e3779b97f4a7c15)
		start := draw % uint64(len(t.members))
		for i := range uint64(len(t.members)) {
			m := &t.members[(start+i)%uint64(len(t.members))]
			if !r.excluded(m) {
				c.add(m, false)
				break
			}
		}
	}
}

// loadLimit is the utilization over which a candidate is passed over.
func (v *View) loadLimit(c *candidates) float64 {
	sum := 0.0
	for i := range c.n {
		sum += c.list[i].member.utilization()
	}
	return max(1, v.bound*sum/float64(max(c.n, 1)))
}

// reusable estimates the prompt tokens cached on the candidate: the deepest of
// the levels that is known, refined by bisection up to the next one to a part of
// its length. It assumes that a cache holding a block holds the blocks before it.
func (c *candidate) reusable(r *Request) int {
	view := c.member.server.PrefixCache
	if view == nil || len(r.Prefix) == 0 {
		return 0
	}
	low, high := 0, len(r.Prefix)
	deepest := deepestLevel(r.Prefix)
	for depth := deepest; depth > deepest>>levels; depth /= 2 {
		if view.Known(r.Prefix[depth-1]) {
			low = depth
			break
		}
		high = depth - 1
	}
	if low == 0 {
		return 0
	}
	for high-low > low/reusePrecision {
		middle := (low + high + 1) / 2
		if view.Known(r.Prefix[middle-1]) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return min(low*prefix.BlockTokens, r.PromptTokens)
}

// deepestLevel is the largest power of two that the prefix reaches.
func deepestLevel(chain []uint64) int { return 1 << (bits.Len(uint(len(chain))) - 1) }

// cost estimates the seconds to the first token, and adds the expected seconds
// of work lost when the server is reclaimed.
func (c *candidate) cost(r *Request) float64 {
	m := c.member
	credit := float64(c.cached)
	if c.cached > 0 && m.server.PrefixCache.Stale() {
		credit *= suspectShare
	}
	if c.home {
		credit = max(credit, homeShare*float64(r.PromptTokens))
	}
	cost := m.wait() + m.prefill(float64(r.PromptTokens)-credit) + m.delay.Seconds()
	if m.cold {
		cost += coldSeconds
	}
	if m.server.Reclaimable {
		atStake := m.prefill(float64(r.PromptTokens))
		running := atStake + float64(r.MaxTokens)*m.load.slots/m.load.tokensPerSecond
		cost += reclaimsPerSecond * running * (atStake + running/2)
	}
	return cost
}

func (c *candidate) reason() Reason {
	switch {
	case c.cached > 0:
		return PrefixHit
	case c.home:
		return PrefixAffinity
	default:
		return LeastLoaded
	}
}
