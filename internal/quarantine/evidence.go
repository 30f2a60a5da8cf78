package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquatyard/internal/gossip"
)

// maxLosses bounds the losses that are kept of a subject since its last answer: of each server
// those under requests that were at others too, and of all servers the earliest.
const maxLosses = 32

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
	// logged is the last stage of a part's evidence that was logged, when it had loggedLosses.
	logged       partStage
	loggedLosses int
	// isOwn is set if this instance saw a loss itself.
	isOwn bool
	// Telling counts the messages with this; it is used for requests only.
	gossip.Telling
}

// recordChange records that this instance learned something new.
func (e *evidence) recordChange(now time.Time) {
	e.changedAt = now
	e.Change()
}

// addLoss adds a loss of a subject, unless it is known, and reports whether it was added.
func (e *evidence) addLoss(key lossKey, l loss, now time.Time) bool {
	known, ok := e.losses[key]
	if ok && (known.begun || !l.begun) {
		return false
	}
	if l.at.After(e.lastLossAt) {
		e.lastLossAt = l.at
	}
	if ok {
		l.at = known.at
	} else if !e.makeRoom(key, l) {
		return false
	}
	e.losses[key] = l
	e.recordChange(now)
	return true
}

// makeRoom makes room for a loss if there are too many, and reports whether it can be added. It
// removes one from before the last answer, or else the least one, unless that is the new loss.
func (e *evidence) makeRoom(key lossKey, l loss) bool {
	if len(e.losses) < maxLosses {
		return true
	}
	for known, loss := range e.losses {
		if !loss.at.After(e.answeredAt) {
			delete(e.losses, known)
			return true
		}
	}
	e.losses[key] = l
	least := e.leastLoss()
	delete(e.losses, least)
	return least != key
}

// leastLoss returns the loss without which least is known: one of the server with most losses,
// under a request that was at no other server if there is one; of servers with one loss each,
// the latest. All instances choose alike, so that none learns again of what it removed.
func (e *evidence) leastLoss() lossKey {
	ofServer, ofRequest := make(map[uint32]int), make(map[uint32]int)
	for key := range e.losses {
		ofServer[key.server]++
		ofRequest[key.request]++
	}
	compare := func(a, b lossKey) int {
		first, second := e.losses[a], e.losses[b]
		if n := cmp.Compare(ofServer[b.server], ofServer[a.server]); n != 0 {
			return n
		}
		if ofServer[a.server] == 1 {
			return cmp.Or(second.at.Compare(first.at), cmp.Compare(b.server, a.server))
		}
		return cmp.Or(
			cmp.Compare(ofRequest[a.request], ofRequest[b.request]), compareBegun(first, second),
			cmp.Compare(b.server, a.server), cmp.Compare(b.request, a.request),
		)
	}
	return slices.MinFunc(slices.Collect(maps.Keys(e.losses)), compare)
}

// compareBegun orders losses before the head of an answer before the others.
func compareBegun(a, b loss) int {
	switch {
	case a.begun == b.begun:
		return 0
	case b.begun:
		return -1
	}
	return 1
}
