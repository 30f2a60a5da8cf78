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
	// maxLosses bounds the losses that are kept of a subject, the earliest since its last
	// answer.
	maxLosses = 32
)

// lossKey identifies a loss by hashes of the server's incarnation and of the request: of a
// part's evidence by the request's identity, so that one that comes again counts once, and
// of a request's by its attempt.
type lossKey struct{ server, request uint32 }

// loss is the end of a server before it had answered a request.
type loss struct {
	at time.Time
	// sentAt is when the request was sent to the server.
	sentAt time.Time
	begun  bool
}

// evidence is what is known of a subject: a part of prompts or a request.
type evidence struct {
	losses map[lossKey]loss
	// lastLossAt is the time of the last loss, also of one that is not kept.
	lastLossAt time.Time
	// answeredAt is when a server answered on the subject last; zero if that is not known.
	answeredAt time.Time
	// changedAt is when this instance learned something new.
	changedAt   time.Time
	quarantined bool
	// isOwn is set if this instance saw a loss itself.
	isOwn bool
	// sends is the number of messages with this since it changed, and sentAt the time of the
	// last one. They are used for requests only.
	sends  int
	sentAt time.Time
}

// change records that this instance learned something new.
func (e *evidence) change(now time.Time) {
	e.changedAt, e.sends = now, 0
}

// makeRoom removes a loss if there are too many: one from before the last answer, or the
// latest one if it is later than at. It reports whether a loss at that time can be added.
func (e *evidence) makeRoom(at time.Time) bool {
	if len(e.losses) < maxLosses {
		return true
	}
	var latest lossKey
	var latestAt time.Time
	for key, l := range e.losses {
		if !l.at.After(e.answeredAt) {
			delete(e.losses, key)
			return true
		}
		if l.at.After(latestAt) {
			latest, latestAt = key, l.at
		}
	}
	if !at.Before(latestAt) {
		return false
	}
	delete(e.losses, latest)
	return true
}

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
