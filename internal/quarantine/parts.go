package quarantine

import "time"

// judgment is what follows from the evidence on parts or on requests.
type judgment struct {
	quarantined, suspected map[uint64]bool
	// explained holds the servers that ended because of what is quarantined.
	explained map[uint32]bool
	// dueAt is when the evidence has to be judged again although nothing was added; zero if
	// it need not be.
	dueAt time.Time
}

// evaluateParts judges the parts. The part with the most evidence is judged first, and the
// servers that ended under a quarantined part do not speak against the other parts that
// were there: sound requests end with their servers. Neither do those in explained, which
// ended because of a request. An answer on a part may be known settleTime later; until then
// no part is quarantined.
func evaluateParts(parts map[uint64]*evidence, explained map[uint32]bool, settleTime time.Duration, now time.Time) judgment {
	quarantined, suspected := make(map[uint64]bool), make(map[uint64]bool)
	var dueAt time.Time
	suspects := make(map[uint64]*evidence)
	for id, e := range parts {
		if len(e.losses) >= suspectMoments && e.lastLossAt.After(e.answeredAt) {
			suspects[id] = e
		}
	}
	for len(quarantined) < maxQuarantined {
		id, most := strongest(suspects, quarantined, explained)
		if !most.isConclusive() {
			break
		}
		if settled := most.since.Add(settleTime); settled.After(now) && !suspects[id].quarantined {
			dueAt = settled
			break
		}
		quarantined[id] = true
		for key := range parts[id].losses {
			explained[key.server] = true
		}
	}
	for id, e := range suspects {
		if !quarantined[id] && e.count(explained).moments >= suspectMoments {
			suspected[id] = true
		}
	}
	return judgment{quarantined, suspected, explained, dueAt}
}

// strongest returns the part with the most evidence against it among those that are not
// quarantined and for which the evidence is conclusive; 0 if there is none.
func strongest(parts map[uint64]*evidence, quarantined map[uint64]bool, explained map[uint32]bool) (uint64, tally) {
	var best uint64
	var most tally
	for id, e := range parts {
		if quarantined[id] {
			continue
		}
		t := e.count(explained)
		if !t.isConclusive() {
			continue
		}
		if best == 0 || t.exceeds(most) || !most.exceeds(t) && id < best {
			best, most = id, t
		}
	}
	return best, most
}
