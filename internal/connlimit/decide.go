package connlimit

import "time"

// Phase is what a connection is doing.
type Phase uint8

const (
	// ReadingHead is from the opening of a connection, or the first byte of a further request,
	// to the end of the head.
	ReadingHead Phase = iota
	// ReadingBody is until the body is read.
	ReadingBody
	// Running is while the request is served and no bytes are due from or to the client.
	Running
	// WritingAnswer is while bytes of an answer wait for the client.
	WritingAnswer
	// Idle is between two requests.
	Idle
)

// State is what is known of a connection.
type State struct {
	Phase Phase
	// Since is when the phase began, and Progress when the client last made progress in it.
	Since, Progress time.Time
}

// Rules say when a connection gives way.
type Rules struct {
	// HeadTimeout and IdleTimeout bound the time of a head and between two requests. BodyStall
	// and AnswerStall bound the time in which a body, or the reading of an answer, makes no
	// progress. 0 means no bound.
	HeadTimeout, IdleTimeout, BodyStall, AnswerStall time.Duration
	// Grace is how long a connection keeps its place without progress when others want it.
	Grace time.Duration
	// AnswersGiveWay is set if answers can be cut off: nothing runs behind them.
	AnswersGiveWay bool
}

// Expired reports whether a connection is to be closed whether or not others want its place.
func (r Rules) Expired(s State, now time.Time) bool {
	switch s.Phase {
	case ReadingHead:
		return r.HeadTimeout > 0 && now.Sub(s.Since) > r.HeadTimeout
	case ReadingBody:
		return r.BodyStall > 0 && now.Sub(s.Progress) > r.BodyStall
	case WritingAnswer:
		return r.AnswerStall > 0 && now.Sub(s.Progress) > r.AnswerStall
	case Idle:
		return r.IdleTimeout > 0 && now.Sub(s.Since) > r.IdleTimeout
	default:
		return false
	}
}

// GivesWay reports whether a connection may be closed when others want its place: it waits for
// its client, which made no progress for the time of grace. A request that runs never gives way.
func (r Rules) GivesWay(s State, now time.Time) bool {
	if now.Sub(s.Progress) < r.Grace {
		return false
	}
	return s.Phase != Running && (s.Phase != WritingAnswer || r.AnswersGiveWay)
}

// Victim returns the index of the connection that gives way first, -1 if none does: of those in
// the middle of a request the one without progress for the longest, then the one that has been
// idle for the longest.
func (r Rules) Victim(states []State, now time.Time) int {
	victim := -1
	for n, s := range states {
		if r.GivesWay(s, now) && (victim < 0 || before(s, states[victim])) {
			victim = n
		}
	}
	return victim
}

// before reports whether a gives way before b.
func before(a, b State) bool {
	if (a.Phase == Idle) != (b.Phase == Idle) {
		return b.Phase == Idle
	}
	return a.Progress.Before(b.Progress)
}
