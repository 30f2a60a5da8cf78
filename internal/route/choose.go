package route

import (
	"math/bits"

	"kumquatyard/internal/prefix"
)

const (
	// prefixLevels is the number of prefix depths that contribute candidates.
	prefixLevels = 4
	// rendezvousPerLevel is the number of rendezvous choices at each depth.
	rendezvousPerLevel = 2
	// randomSamples is the number of candidates drawn at random.
	randomSamples = 2
	// maxCandidates bounds the candidates: rendezvous choices and one indexed holder for each
	// level, and the random samples.
	maxCandidates = prefixLevels*(rendezvousPerLevel+1) + randomSamples

	// reusePrecision sets how closely reusable estimates the length of a cached
	// prefix: it may miss up to 1/reusePrecision of it.
	reusePrecision = 8
	// coldStartSeconds is the added cost of a model that has to be loaded first.
	coldStartSeconds = 10
	// staleCredit is the fraction of the cached tokens that is counted when the
	// server's CacheView is stale.
	staleCredit = 0.8
	// affinityCredit is the fraction of a prompt assumed to be cached, though not
	// reported, on the prompt's affinity server.
	affinityCredit = 0.3
	// reclaimsPerSecond is the assumed rate at which a reclaimable server is reclaimed.
	reclaimsPerSecond = 1.0 / (4 * 3600)
)

// Choose returns the server for r, or false when no server may receive it.
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
		return v.chooseLeastCost(t, r)
	}
}

// candidate is a server that is compared with others by cost.
type candidate struct {
	member *member
	// affinity is true for the prompt's affinity server: the first rendezvous choice
	// at the deepest level.
	affinity bool
	// cached is the estimated number of prompt tokens cached on the server.
	cached int
}

// candidates is a set of distinct candidates. Its array avoids allocations.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

func (c *candidates) add(m *member, affinity bool) {
	for i := range c.n {
		if c.list[i].member == m {
			return
		}
	}
	c.list[c.n] = candidate{member: m, affinity: affinity}
	c.n++
}

// chooseLeastCost returns the cheapest of a few candidates by estimated time to
// the first token plus the expected loss from a reclaim. Candidates are
//   - the first rendezvous choices for the prompt's prefixes of doubling length,
//     because later prompts that share such a prefix get the same servers,
//   - the indexed holders of these prefixes, and
//   - random servers, for prompts that no server has cached.
func (v *View) chooseLeastCost(t *tier, r *Request) (Choice, bool) {
	var set candidates
	set.addRendezvous(t, r, v.index)
	set.addSamples(t, r)
	if set.n == 0 {
		return Choice{}, false
	}
	best, preferred := set.cheapest(r, v.loadLimit(&set))
	choice := Choice{Server: best.member.server, Reason: best.reason(), ReusableTokens: best.cached}
	if preferred != best && (preferred.cached > 0 || preferred.affinity) {
		choice.Reason = BoundedLoad
	}
	return choice, true
}

// cheapest returns the candidate with the least cost among those whose
// utilization is within limit, or among all when none is. preferred is the
// candidate with the most cached tokens.
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

// addRendezvous adds, for the depths n, n/2, n/4, …, the first rendezvous choices
// and the indexed holder of the prefix. n is the deepest level of the prefix.
func (c *candidates) addRendezvous(t *tier, r *Request, index *Index) {
	if len(r.Prefix) == 0 {
		return
	}
	deepest := deepestLevel(r.Prefix)
	for depth := deepest; depth > deepest>>prefixLevels; depth /= 2 {
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

// holder returns the member that index has for block, or nil when there is none
// or r excludes it.
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

// rendezvous returns the two members with the highest rendezvous scores for
// key, without those that r excludes; nil where there are fewer.
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

// addSamples adds members drawn at random. Where r excludes the drawn member,
// the next one in order that it does not exclude is added.
func (c *candidates) addSamples(t *tier, r *Request) {
	draw := r.Seed
	for range randomSamples {
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

// loadLimit returns the utilization above which a candidate is only chosen when
// all are above it: the load bound times the mean, at least 1.
func (v *View) loadLimit(c *candidates) float64 {
	sum := 0.0
	for i := range c.n {
		sum += c.list[i].member.utilization()
	}
	return max(1, v.bound*sum/float64(max(c.n, 1)))
}

// reusable estimates the number of prompt tokens cached on the candidate. It
// takes the deepest level whose block is known and refines it towards the next
// level by bisection, to within 1/reusePrecision of the length. It assumes that
// a cache with a block also has all blocks before it.
func (c *candidate) reusable(r *Request) int {
	view := c.member.server.PrefixCache
	if view == nil || len(r.Prefix) == 0 {
		return 0
	}
	low, high := 0, len(r.Prefix)
	deepest := deepestLevel(r.Prefix)
	for depth := deepest; depth > deepest>>prefixLevels; depth /= 2 {
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

// deepestLevel returns the largest power of two that is not above len(chain).
func deepestLevel(chain []uint64) int { return 1 << (bits.Len(uint(len(chain))) - 1) }

// cost returns the estimated seconds to the first token plus the expected
// seconds of work lost to a reclaim of the server.
func (c *candidate) cost(r *Request) float64 {
	m := c.member
	credit := float64(c.cached)
	if c.cached > 0 && m.server.PrefixCache.Stale() {
		credit *= staleCredit
	}
	if c.affinity {
		credit = max(credit, affinityCredit*float64(r.PromptTokens))
	}
	cost := m.wait() + m.prefill(float64(r.PromptTokens)-credit) + m.delay.Seconds()
	if m.cold {
		cost += coldStartSeconds
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
	case c.affinity:
		return PrefixAffinity
	default:
		return LeastLoaded
	}
}
