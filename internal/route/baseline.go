package route

import "math/bits"

// excluded reports whether r excludes m.
func (r *Request) excluded(m *member) bool {
	for _, id := range r.Exclude {
		if id == m.server.ID {
			return true
		}
	}
	return false
}

// chooseRoundRobin returns the first server that r does not exclude, starting at
// index r.Seed modulo the number of servers. The caller increments r.Seed.
func chooseRoundRobin(t *tier, r *Request) (Choice, bool) {
	for i := range t.members {
		m := &t.members[(r.Seed+uint64(i))%uint64(len(t.members))]
		if !r.excluded(m) {
			return Choice{Server: m.server, Reason: RoundRobin}, true
		}
	}
	return Choice{}, false
}

// chooseLeastOutstanding returns the server with the fewest requests in flight
// from this gateway. Ties are broken at random.
func chooseLeastOutstanding(t *tier, r *Request) (Choice, bool) {
	var best *member
	var bestCount int
	var bestTie uint64
	for i := range t.members {
		m := &t.members[i]
		if r.excluded(m) {
			continue
		}
		count := 0
		if m.server.InFlight != nil {
			count = m.server.InFlight.Requests()
		}
		tie := mix(m.hash, r.Seed)
		if best == nil || count < bestCount || (count == bestCount && tie < bestTie) {
			best, bestCount, bestTie = m, count, tie
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Server: best.server, Reason: LeastLoaded}, true
}

// prefixHashBlocks is the number of leading blocks whose hash choosePrefixHash uses.
const prefixHashBlocks = 16

// choosePrefixHash returns the server with the highest rendezvous score for
// the prompt's leading blocks, or for r.Seed when the prompt has no full block.
func choosePrefixHash(t *tier, r *Request) (Choice, bool) {
	key := r.Seed
	if n := min(len(r.Prefix), prefixHashBlocks); n > 0 {
		key = r.Prefix[n-1]
	}
	best, _ := t.rendezvous(r, key)
	if best == nil {
		return Choice{}, false
	}
	return Choice{Server: best.server, Reason: PrefixAffinity}, true
}

// mix hashes two words: it multiplies their exclusive or by an odd constant and
// folds the 128-bit product, as wyhash does.
func mix(a, b uint64) uint64 {
	high, low := bits.Mul64(a^b, 0x9e3779b97f4a7c15)
	return high ^ low
}
