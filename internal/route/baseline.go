package route

// Choose returns the server for r, and false when none may take it.
func (v *View) Choose(r *Request) (Choice, bool) {
	g := v.groups[groupKey{pool: r.Pool, model: r.Model}]
	if g == nil {
		return Choice{}, false
	}
	for _, members := range &g.tiers {
		if choice, ok := v.chooseFrom(members, r); ok {
			return choice, true
		}
	}
	return Choice{}, false
}

func (v *View) chooseFrom(members []member, r *Request) (Choice, bool) {
	if len(members) == 0 {
		return Choice{}, false
	}
	switch v.policy {
	case policyRoundRobin:
		return chooseRoundRobin(members, r)
	case policyLeastOutstanding:
		return chooseLeastOutstanding(members, r)
	case policyPrefixHash:
		return choosePrefixHash(members, r)
	default:
		return v.chooseKumquat(members, r)
	}
}

// excluded reports whether m was tried already.
func (r *Request) excluded(m *member) bool {
	for _, id := range r.Exclude {
		if id == m.server.ID {
			return true
		}
	}
	return false
}

// chooseRoundRobin takes the servers in turn; the caller's Seed is the turn.
func chooseRoundRobin(members []member, r *Request) (Choice, bool) {
	for i := range members {
		m := &members[(r.Seed+uint64(i))%uint64(len(members))]
		if !r.excluded(m) {
			return Choice{Server: m.server, Reason: RoundRobin}, true
		}
	}
	return Choice{}, false
}

// chooseLeastOutstanding takes the server with the fewest requests of this
// gateway in flight, ties at random.
func chooseLeastOutstanding(members []member, r *Request) (Choice, bool) {
	var best *member
	var bestCount int
	var bestTie uint64
	for i := range members {
		m := &members[i]
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

// prefixHashBlocks is the number of leading blocks that the plain prefix hash covers.
const prefixHashBlocks = 4

// choosePrefixHash takes the rendezvous home of the first blocks.
func choosePrefixHash(members []member, r *Request) (Choice, bool) {
	key := r.Seed
	if n := min(len(r.Prefix), prefixHashBlocks); n > 0 {
		key = r.Prefix[n-1]
	}
	var best *member
	var bestScore uint64
	for i := range members {
		m := &members[i]
		score := mix(m.hash, key)
		if (best == nil || score > bestScore) && !r.excluded(m) {
			best, bestScore = m, score
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Server: best.server, Reason: PrefixHome}, true
}

// mix is the finalizer of a 64-bit hash over the exclusive or of its
// arguments (Stafford's variant 13, as used by SplitMix64).
func mix(a, b uint64) uint64 {
	z := a ^ b
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
