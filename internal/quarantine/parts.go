package quarantine

import (
	"slices"
	"time"
)

const (
	// momentTime is the time within which ends of servers count as one: a zone that is
	// lost, for example.
	momentTime = 100 * time.Millisecond
	// A part is quarantined after minBegunMoments ends under minBegunRequests requests whose
	// answers had begun, or after minMoments ends under minRequests others; one on which
	// servers have answered before, after minMoments ends under minRequests requests whose
	// answers had begun.
	minBegunMoments  = 3
	minBegunRequests = 2
	minMoments       = 5
	minRequests      = 4
	// suspectMoments is the number of ends from which on requests with a part are not
	// repeated.
	suspectMoments = 2
	// maxQuarantined bounds the quarantined parts.
	maxQuarantined = 16
)

// tally counts what speaks against a part.
type tally struct {
	// answered is set if an answer on the part is known, from before the losses.
	answered bool
	// since is the time of the first loss that counts.
	since time.Time
	// begunMoments and moments are the numbers of times at which servers ended, with
	// answers that had begun and in all; the requests are those that were there.
	begunMoments, begunRequests int
	moments, requests           int
}

// isConclusive reports whether requests with the part must not be sent any more.
func (t tally) isConclusive() bool {
	if t.answered {
		return t.begunMoments >= minMoments && t.begunRequests >= minRequests
	}
	return t.begunMoments >= minBegunMoments && t.begunRequests >= minBegunRequests ||
		t.moments >= minMoments && t.requests >= minRequests
}

// exceeds reports whether t speaks more against its part than o. A part on which no answer
// is known goes first: an answer on one that requests often share may be known late.
func (t tally) exceeds(o tally) bool {
	if t.answered != o.answered && o.moments > 0 {
		return !t.answered
	}
	a := []int{t.begunMoments, t.begunRequests, t.moments, t.requests}
	b := []int{o.begunMoments, o.begunRequests, o.moments, o.requests}
	return slices.Compare(a, b) > 0
}

// count returns the tally of a part. Ends before its last answer do not count, and neither
// do those of the servers in explained, which ended because of another part.
func (e *evidence) count(explained map[uint32]bool) tally {
	all, begun := make(map[uint32]time.Time), make(map[uint32]time.Time)
	var since time.Time
	requests, begunRequests := make(map[uint32]bool), make(map[uint32]bool)
	for key, l := range e.losses {
		if explained[key.server] || !l.at.After(e.answeredAt) {
			continue
		}
		if since.IsZero() || l.at.Before(since) {
			since = l.at
		}
		setEarliest(all, key.server, l.at)
		requests[key.request] = true
		if l.begun {
			setEarliest(begun, key.server, l.at)
			begunRequests[key.request] = true
		}
	}
	return tally{
		answered: !e.answeredAt.IsZero(), since: since, begunMoments: countMoments(begun), begunRequests: len(begunRequests),
		moments: countMoments(all), requests: len(requests),
	}
}

func setEarliest(times map[uint32]time.Time, key uint32, at time.Time) {
	if known, ok := times[key]; !ok || at.Before(known) {
		times[key] = at
	}
}

// countMoments returns the number of moments at which servers ended.
func countMoments(ends map[uint32]time.Time) int {
	times := make([]time.Time, 0, len(ends))
	for _, at := range ends {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var first time.Time
	for _, at := range times {
		if n == 0 || at.Sub(first) > momentTime {
			n++
			first = at
		}
	}
	return n
}

// evaluateParts judges the parts. The part with the most evidence is judged first, and the
// servers that ended under a quarantined part do not speak against the other parts that
// were there: sound requests end with their servers. They are added to explained, which holds
// those that ended because of a request. An answer on a part may be known settleTime later; until then
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
	return judgment{quarantined, suspected, dueAt}
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
