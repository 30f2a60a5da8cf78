package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
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
	// servers is the number of ended servers, and serversLeft, at most minServersLeft, that of
	// the requests that are needed to explain those outside the moment with most of them, and
	// which the strongest conclusive request does not explain.
	servers, serversLeft int
}

// needsRequests reports whether the ends, if not under the part, are under more requests than are
// likely to end servers by themselves at the same time.
func (t tally) needsRequests() bool {
	return t.requestsNeeded >= minRequestsNeeded || t.serversLeft >= minServersLeft
}

// isConclusive reports whether requests with the part must not be sent any more.
func (t tally) isConclusive() bool {
	if t.servers >= minEndedServers && t.serversLeft >= minServersLeft {
		return true
	}
	if !t.needsRequests() || t.momentsLeft < minMomentsLeft {
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
	ends := e.serverEnds(explained, conclusive)
	if len(ends) == 0 {
		return tally{answered: !e.answeredAt.IsZero()}
	}
	moments := momentsOf(ends)
	t := tally{answered: !e.answeredAt.IsZero(), since: ends[0].at, moments: len(moments), servers: len(ends)}
	withPart := make(map[uint32]bool)
	var suspects []map[uint32]bool
	for _, m := range moments {
		if m.isBegun() {
			t.begunMoments++
		}
		suspects = append(suspects, m.all(func(end *serverEnd) map[uint32]bool { return end.suspects }))
		maps.Copy(withPart, m.all(func(end *serverEnd) map[uint32]bool { return end.withPart }))
	}
	t.requests = len(withPart)
	t.requestsNeeded = requestsNeeded(moments)
	strongest, left := withoutMost(suspects)
	t.momentsLeft = len(left)
	t.serversLeft = requestsNeeded(outsideLargest(moments, strongest))
	return t
}

// serverEnd is the end of a server under a part.
type serverEnd struct {
	server uint32
	at     time.Time
	// withPart are the requests with the part that were there, and suspects those of all that
	// were there whose own tallies are conclusive.
	withPart, suspects map[uint32]bool
	// begun is set if an answer to one of them had begun.
	begun bool
}

// serverEnds returns the ends of servers under a part that count, in order.
func (e *evidence) serverEnds(explained map[uint32]bool, conclusive map[uint32][]uint32) []*serverEnd {
	of := make(map[uint32]*serverEnd)
	for key, l := range e.losses {
		if explained[key.server] || !l.at.After(e.answeredAt) {
			continue
		}
		end := of[key.server]
		if end == nil {
			end = &serverEnd{server: key.server, at: l.at, withPart: make(map[uint32]bool), suspects: make(map[uint32]bool)}
			of[key.server] = end
			for _, request := range conclusive[key.server] {
				end.suspects[request] = true
			}
		}
		if l.at.Before(end.at) {
			end.at = l.at
		}
		end.withPart[key.request] = true
		end.begun = end.begun || l.begun
	}
	return slices.SortedFunc(maps.Values(of), func(a, b *serverEnd) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.server, b.server))
	})
}

// moment is a time at which servers ended under a part.
type moment []*serverEnd

// momentsOf returns the moments of ends, which are in order.
func momentsOf(ends []*serverEnd) []moment {
	var list []moment
	for _, end := range ends {
		if last := len(list) - 1; last >= 0 && end.at.Sub(list[last][0].at) <= momentTime {
			list[last] = append(list[last], end)
			continue
		}
		list = append(list, moment{end})
	}
	return list
}

func (m moment) isBegun() bool {
	return slices.ContainsFunc(m, func(end *serverEnd) bool { return end.begun })
}

// all returns the requests of all ends.
func (m moment) all(requests func(*serverEnd) map[uint32]bool) map[uint32]bool {
	all := make(map[uint32]bool)
	for _, end := range m {
		maps.Copy(all, requests(end))
	}
	return all
}

// outsideLargest returns the ends, each as a moment, that are not in the moment with most of
// them, and at which a request was not there.
func outsideLargest(moments []moment, request uint32) []moment {
	largest := 0
	for n, m := range moments {
		if len(m) > len(moments[largest]) {
			largest = n
		}
	}
	var left []moment
	for n, m := range moments {
		for _, end := range m {
			if n != largest && !end.suspects[request] {
				left = append(left, moment{end})
			}
		}
	}
	return left
}

// withoutMost returns the request that was there at most moments, 0 if there is none, and the
// moments at which it was not. Each moment is the set of the requests that were there.
func withoutMost(moments []map[uint32]bool) (uint32, []map[uint32]bool) {
	counts := make(map[uint32]int)
	for _, there := range moments {
		for request := range there {
			counts[request]++
		}
	}
	var most uint32
	for request, n := range counts {
		if n > counts[most] || n == counts[most] && request < most {
			most = request
		}
	}
	if counts[most] == 0 {
		return 0, moments
	}
	return most, slices.DeleteFunc(slices.Clone(moments), func(there map[uint32]bool) bool { return there[most] })
}

// requestsNeeded returns about the least number of requests of which one was there at each
// moment, at most minRequestsNeeded: the request that was there most often is taken first.
func requestsNeeded(moments []moment) int {
	var left []map[uint32]bool
	for _, m := range moments {
		there := m.all(func(end *serverEnd) map[uint32]bool { return end.withPart })
		maps.Copy(there, m.all(func(end *serverEnd) map[uint32]bool { return end.suspects }))
		left = append(left, there)
	}
	n := 0
	for len(left) > 0 && n < minRequestsNeeded {
		_, left = withoutMost(left)
		n++
	}
	return n
}
