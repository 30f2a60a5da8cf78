package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// momentTime is the time within which ends of servers count as one: a zone that is
	// lost, for example.
	momentTime = 100 * time.Millisecond
	// A part is quarantined after minMoments ends, or after minBegunMoments ends under answers
	// that had begun if servers have never answered on it.
	minBegunMoments = 3
	minMoments      = 5
	// minRequestsNeeded is the number of requests that would have to end servers by themselves
	// to explain the ends in place of the part: one or two such requests are as likely.
	minRequestsNeeded = 3
	// minMomentsLeft is the number of ends that the strongest single request must leave
	// unexplained.
	minMomentsLeft = 3
	// A part is also quarantined after the ends of minEndedServers servers of which
	// minServersLeft ended at other moments than most of them, under as many requests: servers
	// that start again together end together.
	minEndedServers = 5
	minServersLeft  = 3
	// suspectMoments is the number of ends from which on requests with a part are not
	// repeated.
	suspectMoments = 2
	// maxQuarantined bounds the quarantined parts, and maxTallied those with more than two losses
	// that are judged.
	maxQuarantined = 16
	maxTallied     = 128
)

// evaluateParts judges the parts. The part with the most evidence is judged first, and the
// servers that ended under a quarantined part do not alone speak against the other parts that
// were there: sound requests end with their servers. conclusive holds the requests whose own
// tallies are conclusive, by the servers that ended under them. An answer on a part may be known
// settleTime later; until then no part is quarantined. A quarantine ends quarantineTime after the
// last end, but what is known is kept, so that one more end renews it.
func evaluateParts(parts map[uint64]*evidence, conclusive map[uint32][]uint32, settleTime time.Duration, now time.Time) partJudgment {
	j := partJudgment{
		judgment: judgment{quarantined: make(map[uint64]bool), suspected: make(map[uint64]bool)}, judged: make(map[uint64]bool),
		explained: make(map[uint32]bool), conclusive: conclusive,
	}
	suspects := partSuspects(parts)
	candidates := make(map[uint64]tally)
	for _, id := range suspects {
		if len(parts[id].losses) < minBegunMoments {
			break
		}
		if t := parts[id].count(nil, conclusive); t.isConclusive() {
			candidates[id] = t
		}
	}
	for len(j.judged) < maxQuarantined {
		id := j.strongest(parts, candidates)
		if id == 0 {
			break
		}
		if settled := candidates[id].since.Add(settleTime); settled.After(now) && !parts[id].quarantined {
			j.setDue(settled)
			break
		}
		j.hold(id, parts[id], now)
	}
	for _, id := range suspects {
		if !j.judged[id] && parts[id].isSuspected(j.explained, conclusive) {
			j.suspected[id] = true
		}
	}
	return j
}

// partSuspects returns the parts under which servers ended since their last answer, those with
// most losses first: all with two losses, and maxTallied with more, which take longer to judge.
func partSuspects(parts map[uint64]*evidence) []uint64 {
	var pairs, more []uint64
	for id, e := range parts {
		switch {
		case len(e.losses) < suspectMoments || !e.lastLossAt.After(e.answeredAt):
		case len(e.losses) == suspectMoments:
			pairs = append(pairs, id)
		default:
			more = append(more, id)
		}
	}
	slices.SortFunc(more, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(len(parts[b].losses), len(parts[a].losses)), cmp.Compare(a, b))
	})
	return append(more[:min(len(more), maxTallied)], pairs...)
}

// isSuspected reports whether servers ended at several moments that neither another part nor a
// single request explains.
func (e *evidence) isSuspected(explained map[uint32]bool, conclusive map[uint32][]uint32) bool {
	if len(e.losses) > suspectMoments {
		return e.count(explained, conclusive).momentsLeft >= suspectMoments
	}
	// Most parts have two losses at most, and there may be many of them.
	var first, last time.Time
	servers := make(map[uint32]bool, suspectMoments)
	for key, l := range e.losses {
		servers[key.server] = true
		if explained[key.server] || len(conclusive[key.server]) > 0 || !l.at.After(e.answeredAt) {
			return false
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
	}
	return len(servers) == suspectMoments && last.Sub(first) > momentTime
}

// partJudgment is what follows from the evidence on parts.
type partJudgment struct {
	judgment
	// judged holds the parts that are held responsible for the ends under them.
	judged map[uint64]bool
	// explained holds the servers that ended because of a quarantined part, and conclusive the
	// requests whose own tallies are conclusive, by the servers that ended under them.
	explained  map[uint32]bool
	conclusive map[uint32][]uint32
}

// hold holds a part responsible for the ends under it.
func (j *partJudgment) hold(id uint64, e *evidence, now time.Time) {
	j.judged[id] = true
	until := e.lastLossAt.Add(quarantineTime)
	if until.After(now) {
		j.quarantined[id] = true
		j.setDue(until)
	} else {
		j.suspected[id] = true
	}
	for key := range e.losses {
		j.explained[key.server] = true
	}
}

// strongest returns the candidate with the most evidence against it that is not judged; 0 if there
// is none. Two parts may each end servers at which requests with the other one are, so that what
// another part explains counts as long as some other ends need an explanation as well.
func (j *partJudgment) strongest(parts map[uint64]*evidence, candidates map[uint64]tally) uint64 {
	var best uint64
	var most tally
	for id, own := range candidates {
		if j.judged[id] {
			continue
		}
		if len(j.explained) > 0 {
			own = parts[id].count(j.explained, j.conclusive)
		}
		if !own.needsRequests() {
			continue
		}
		if best == 0 || own.exceeds(most) || !most.exceeds(own) && id < best {
			best, most = id, own
		}
	}
	return best
}
