package quarantine

import (
	"time"

	"kumquatyard/internal/gossip"
)

// maxLosses bounds the losses that are kept of a subject, the earliest since its last answer.
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
	// logged is the last stage of a part's evidence that was logged.
	logged partStage
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
	} else if !e.makeRoom(l.at) {
		return false
	}
	e.losses[key] = l
	e.recordChange(now)
	return true
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
