package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquatyard/internal/rollup"
)

const (
	// A request is quarantined after minServers servers ended under it, one of which it
	// reached after another one had ended, and one of which ended under no other quarantined
	// request.
	minServers       = 3
	minServerMoments = 2
	// suspectServers is the number of ended servers from which on a request is not repeated,
	// and is sent once at a time.
	suspectServers = 2
	// spareTime is how long after an end a suspected request is not sent while fewer servers
	// serve than ended under it: the others are about to be back.
	spareTime = 4 * time.Second
	// maxQuarantinedRequests bounds the quarantined requests.
	maxQuarantinedRequests = 256
)

// requestTally counts what speaks against a request.
type requestTally struct {
	// servers is the number of ended servers, and attempts that of the callers' attempts that
	// were there. Of moments there is more than one if a server was reached after the end of
	// another one: servers that are lost at once are one moment.
	servers, moments, attempts int
	// unexplained is the number of the servers that no other request explains.
	unexplained int
	// since is the time of the first end that counts.
	since time.Time
}

func (t requestTally) isConclusive() bool {
	return t.servers >= minServers && t.moments >= minServerMoments && t.unexplained > 0
}

func (t requestTally) compare(o requestTally) int {
	return cmp.Or(cmp.Compare(t.servers, o.servers), cmp.Compare(t.moments, o.moments), cmp.Compare(t.attempts, o.attempts))
}

// tallyRequest returns the tally of a request, without the ends before its last answer.
// Another request explains the ends of the servers in explained.
func (e *evidence) tallyRequest(explained map[uint32]bool) requestTally {
	servers, unexplained, attempts := make(map[uint32]bool), make(map[uint32]bool), make(map[uint32]bool)
	var counted []loss
	for key, l := range e.losses {
		if !l.at.After(e.answeredAt) {
			continue
		}
		counted = append(counted, l)
		servers[key.server], attempts[key.request] = true, true
		if !explained[key.server] {
			unexplained[key.server] = true
		}
	}
	if len(counted) == 0 {
		return requestTally{}
	}
	slices.SortFunc(counted, func(a, b loss) int { return a.at.Compare(b.at) })
	return requestTally{
		servers: len(servers), moments: countSends(counted), attempts: len(attempts), unexplained: len(unexplained), since: counted[0].at,
	}
}

// countSends returns the number of moments of losses, which are in order: a loss begins a new
// one if its request was sent after the first end of the one before.
func countSends(losses []loss) int {
	n := 0
	var first time.Time
	for _, l := range losses {
		if n == 0 || !l.sentAt.Before(first) {
			n++
			first = l.at
		}
	}
	return n
}

// suspect is a request with the evidence against it.
type suspect struct {
	id uint64
	*evidence
	tally requestTally
}

// suspects returns the requests under which several servers ended since their last answer,
// the strongest first.
func suspects(requests map[uint64]*evidence) []suspect {
	var list []suspect
	for id, e := range requests {
		if len(e.losses) < suspectServers || !e.lastLossAt.After(e.answeredAt) {
			continue
		}
		list = append(list, suspect{id, e, e.tallyRequest(nil)})
	}
	slices.SortFunc(list, func(a, b suspect) int {
		return cmp.Or(b.tally.compare(a.tally), cmp.Compare(a.id, b.id))
	})
	return list
}

// evaluateRequests judges the requests. The ends under a stronger one do not count against
// the others that were there. Those with equal evidence are judged alike: which of them ends
// the servers is not known. An answer may be known settleTime later; until then a request is
// held back only for that time. A quarantine ends quarantineTime after the last end, but what
// is known is kept, so that one more end renews it. byParts holds the servers that ended because
// of a part of prompts; they do not speak against a request.
func evaluateRequests(requests map[uint64]*evidence, byParts map[uint32]bool, settleTime time.Duration, now time.Time) requestJudgment {
	j := requestJudgment{
		judgment: judgment{quarantined: make(map[uint64]bool), suspected: make(map[uint64]bool)}, explained: make(map[uint32]bool), conclusive: make(map[uint32][]uint32),
		waiting: make(map[uint64]time.Time), onTrial: make(map[uint64]bool), ends: make(map[uint64]requestEnds),
	}
	maps.Copy(j.explained, byParts)
	list := suspects(requests)
	for first := 0; first < len(list); {
		last := first + 1
		for last < len(list) && list[last].tally.compare(list[first].tally) == 0 {
			last++
		}
		var responsible []suspect
		for _, s := range list[first:last] {
			if j.judge(s, settleTime, now) {
				responsible = append(responsible, s)
			}
			if j.suspected[s.id] {
				j.ends[s.id] = endsOf(s.evidence)
			}
		}
		for _, s := range responsible {
			for key := range s.losses {
				j.explained[key.server] = true
			}
		}
		first = last
	}
	return j
}

// requestJudgment is what follows from the evidence on requests.
type requestJudgment struct {
	judgment
	// explained holds the servers that ended because of a quarantined request or part, and
	// conclusive the requests whose tallies are conclusive, by the servers that ended under them.
	explained  map[uint32]bool
	conclusive map[uint32][]uint32
	// waiting holds the requests that are quarantined unless an answer becomes known, and
	// until when.
	waiting map[uint64]time.Time
	// onTrial holds those under which servers enough ended, but all at once or under others.
	onTrial map[uint64]bool
	// ends are those under the suspected requests.
	ends map[uint64]requestEnds
}

// requestEnds are the ends of servers under a request, by hashes of their incarnations.
type requestEnds struct {
	servers map[uint32]bool
	lastAt  time.Time
}

// endsOf returns the ends under a request since its last answer.
func endsOf(e *evidence) requestEnds {
	ends := requestEnds{servers: make(map[uint32]bool), lastAt: e.lastLossAt}
	for key, l := range e.losses {
		if l.at.After(e.answeredAt) {
			ends.servers[key.server] = true
		}
	}
	return ends
}

// judge judges a request, and reports whether it is responsible for the ends under it.
func (j *requestJudgment) judge(s suspect, settleTime time.Duration, now time.Time) bool {
	tally := s.tallyRequest(j.explained)
	settled := tally.since.Add(settleTime)
	if tally.isConclusive() {
		for server := range endsOf(s.evidence).servers {
			j.conclusive[server] = append(j.conclusive[server], uint32(s.id))
		}
	}
	switch {
	case tally.servers < minServers || len(j.quarantined) >= maxQuarantinedRequests:
	case !tally.isConclusive():
		j.onTrial[s.id] = true
	case settled.After(now) && !s.quarantined:
		j.waiting[s.id] = settled
		j.setDue(settled)
	default:
		until := s.lastLossAt.Add(quarantineTime)
		if until.After(now) {
			j.quarantined[s.id] = true
			j.setDue(until)
		} else {
			j.suspected[s.id] = true
		}
		return true
	}
	if tally.servers >= suspectServers && tally.unexplained > 0 || j.onTrial[s.id] {
		j.suspected[s.id] = true
	}
	return false
}

// TracksRequests reports whether anything is known against requests, so that their
// identities are needed.
func (t *Tracker) TracksRequests() bool { return t.view.Load().isTrackingRequests }

// QuarantinedRequest reports whether a request is quarantined, and for how long.
func (t *Tracker) QuarantinedRequest(identity uint64, now time.Time) (left time.Duration, ok bool) {
	v := t.view.Load()
	until, ok := v.requests.quarantined[identity]
	if !ok {
		until, ok = v.waiting[identity]
	}
	return max(until.Sub(now), 0), ok
}

// SuspectedRequest reports whether several servers ended under a request, so that it should
// not be repeated at another server.
func (t *Tracker) SuspectedRequest(identity uint64) bool {
	v := &t.view.Load().requests
	_, quarantined := v.quarantined[identity]
	return quarantined || v.suspected[identity]
}

// MustSpare reports whether a suspected request must not be sent for now, because fewer servers
// serve than ended under it. serving are the incarnations of those that are said to serve.
func (t *Tracker) MustSpare(identity uint64, serving []string, now time.Time) bool {
	ends, ok := t.view.Load().ends[identity]
	if !ok || now.Sub(ends.lastAt) >= spareTime {
		return false
	}
	up := 0
	for _, incarnation := range serving {
		if !ends.servers[rollup.Key(incarnation)] {
			up++
		}
	}
	return up < len(ends.servers)
}

// RecordRequestAnswer records that a server answered a request.
func (t *Tracker) RecordRequestAnswer(identity uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addRequestAnswer(identity, now, now)
	t.update(now)
}

// Acquire reports whether a suspected request may be sent by this instance: no copy of it is
// in flight. If many servers ended under it, but all at once or under others, one of all
// instances tries it on average; draw is uniformly distributed over 0 to 1. Release must be
// called when the outcome is known.
func (t *Tracker) Acquire(identity uint64, draw float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[identity] || t.view.Load().onTrial[identity] && draw*float64(t.instances) >= 1 {
		return false
	}
	t.inFlight[identity] = true
	return true
}

// Release ends what Acquire began.
func (t *Tracker) Release(identity uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, identity)
}
