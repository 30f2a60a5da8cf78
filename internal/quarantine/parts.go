package quarantine

import (
	"cmp"
	"maps"
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
	// answers that had begun and in all; the requests are those with the part that were there.
	begunMoments, moments, requests int
	// requestsNeeded is the least number of requests that explain these ends if each of them
	// ends servers by itself, at most minRequestsNeeded.
	requestsNeeded int
	// momentsLeft is the number of moments that the strongest request with a conclusive tally
	// of its own does not explain.
	momentsLeft int
}

// isConclusive reports whether requests with the part must not be sent any more.
func (t tally) isConclusive() bool {
	if t.requestsNeeded < minRequestsNeeded || t.momentsLeft < minMomentsLeft {
		return false
	}
	return t.moments >= minMoments || !t.answered && t.begunMoments >= minBegunMoments
}

// exceeds reports whether t speaks more against its part than o. A part on which no answer
// is known goes first: an answer on one that requests often share may be known late.
func (t tally) exceeds(o tally) bool {
	if t.answered != o.answered && o.moments > 0 {
		return !t.answered
	}
	a := []int{t.begunMoments, t.moments, t.requests}
	b := []int{o.begunMoments, o.moments, o.requests}
	return slices.Compare(a, b) > 0
}

// count returns the tally of a part. Ends before its last answer do not count, and neither
// do those of the servers in explained, which ended because of another part. conclusive holds
// the requests whose own tallies are conclusive, by the servers that ended under them.
func (e *evidence) count(explained map[uint32]bool, conclusive map[uint32][]uint32) tally {
	moments, since := e.moments(explained)
	t := tally{answered: !e.answeredAt.IsZero(), since: since, moments: len(moments), momentsLeft: len(moments)}
	withPart := make(map[uint32]bool)
	var own requestCounts
	for _, m := range moments {
		if m.begun {
			t.begunMoments++
		}
		maps.Copy(withPart, m.requests)
		suspects := make(map[uint32]bool)
		for server := range m.servers {
			for _, request := range conclusive[server] {
				suspects[request] = true
			}
		}
		own.add(suspects)
		maps.Copy(m.requests, suspects)
	}
	t.requests = len(withPart)
	t.requestsNeeded = requestsNeeded(moments)
	_, most := own.most()
	t.momentsLeft -= most
	return t
}

// moment is a time at which servers ended under a part, with the requests that may have ended
// them.
type moment struct {
	servers, requests map[uint32]bool
	// begun is set if an answer had begun.
	begun bool
}

// moments returns the moments at which servers ended under a part that count, and the time of
// the first one.
func (e *evidence) moments(explained map[uint32]bool) ([]moment, time.Time) {
	ends := make(map[uint32]time.Time)
	for key, l := range e.losses {
		if !explained[key.server] && l.at.After(e.answeredAt) {
			setEarliest(ends, key.server, l.at)
		}
	}
	if len(ends) == 0 {
		return nil, time.Time{}
	}
	servers := slices.SortedFunc(maps.Keys(ends), func(a, b uint32) int {
		return cmp.Or(ends[a].Compare(ends[b]), cmp.Compare(a, b))
	})
	var list []moment
	of := make(map[uint32]int, len(ends))
	var first time.Time
	for _, server := range servers {
		if len(list) == 0 || ends[server].Sub(first) > momentTime {
			list = append(list, moment{servers: make(map[uint32]bool), requests: make(map[uint32]bool)})
			first = ends[server]
		}
		of[server] = len(list) - 1
		list[len(list)-1].servers[server] = true
	}
	for key, l := range e.losses {
		if n, ok := of[key.server]; ok && l.at.After(e.answeredAt) {
			list[n].requests[key.request] = true
			list[n].begun = list[n].begun || l.begun
		}
	}
	return list, ends[servers[0]]
}

func setEarliest(times map[uint32]time.Time, key uint32, at time.Time) {
	if known, ok := times[key]; !ok || at.Before(known) {
		times[key] = at
	}
}

// requestCounts counts the moments at which each request was there.
type requestCounts map[uint32]int

func (c *requestCounts) add(requests map[uint32]bool) {
	if *c == nil {
		*c = make(requestCounts)
	}
	for request := range requests {
		(*c)[request]++
	}
}

// most returns the request that was there at most moments, and how many; 0 and 0 if there is
// none.
func (c requestCounts) most() (request uint32, n int) {
	for r, count := range c {
		if count > n || count == n && r < request {
			request, n = r, count
		}
	}
	return request, n
}

// requestsNeeded returns about the least number of requests of which one was there at each
// moment, at most minRequestsNeeded: the request that was there most often is taken first.
func requestsNeeded(moments []moment) int {
	left := slices.Clone(moments)
	for n := range minRequestsNeeded {
		if len(left) == 0 {
			return n
		}
		var counts requestCounts
		for _, m := range left {
			counts.add(m.requests)
		}
		request, _ := counts.most()
		left = slices.DeleteFunc(left, func(m moment) bool { return m.requests[request] })
	}
	return minRequestsNeeded
}

// evaluateParts judges the parts. The part with the most evidence is judged first, and the
// servers that ended under a quarantined part do not speak against the other parts that
// were there: sound requests end with their servers. conclusive holds the requests whose own
// tallies are conclusive, by the servers that ended under them. An answer on a part may be known
// settleTime later; until then no part is quarantined. A quarantine ends quarantineTime after the
// last end, but what is known is kept, so that one more end renews it.
func evaluateParts(parts map[uint64]*evidence, conclusive map[uint32][]uint32, settleTime time.Duration, now time.Time) partJudgment {
	j := partJudgment{judgment: judgment{quarantined: make(map[uint64]bool), suspected: make(map[uint64]bool)}, explained: make(map[uint32]bool), conclusive: conclusive}
	suspects, judged := make(map[uint64]*evidence), make(map[uint64]bool)
	for id, e := range parts {
		if len(e.losses) >= suspectMoments && e.lastLossAt.After(e.answeredAt) {
			suspects[id] = e
		}
	}
	for len(judged) < maxQuarantined {
		id, most := j.strongest(suspects, judged)
		if !most.isConclusive() {
			break
		}
		if settled := most.since.Add(settleTime); settled.After(now) && !suspects[id].quarantined {
			j.setDue(settled)
			break
		}
		j.hold(id, parts[id], now)
		judged[id] = true
	}
	for id, e := range suspects {
		if !judged[id] && e.count(j.explained, conclusive).momentsLeft >= suspectMoments {
			j.suspected[id] = true
		}
	}
	return j
}

// partJudgment is what follows from the evidence on parts.
type partJudgment struct {
	judgment
	// explained holds the servers that ended because of a quarantined part, and conclusive the
	// requests whose own tallies are conclusive, by the servers that ended under them.
	explained  map[uint32]bool
	conclusive map[uint32][]uint32
}

// hold holds a part responsible for the ends under it.
func (j *partJudgment) hold(id uint64, e *evidence, now time.Time) {
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

// strongest returns the part with the most evidence against it among those that are not
// judged and for which the evidence is conclusive; 0 if there is none.
func (j *partJudgment) strongest(parts map[uint64]*evidence, judged map[uint64]bool) (uint64, tally) {
	var best uint64
	var most tally
	for id, e := range parts {
		if judged[id] {
			continue
		}
		t := e.count(j.explained, j.conclusive)
		if !t.isConclusive() {
			continue
		}
		if best == 0 || t.exceeds(most) || !most.exceeds(t) && id < best {
			best, most = id, t
		}
	}
	return best, most
}
