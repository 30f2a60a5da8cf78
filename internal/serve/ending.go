package serve

import (
	"errors"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/frame"
)

// deadlineMargin is how long before its deadline a server may end its work: it takes the time that
// is left in whole milliseconds, by its own timers.
const deadlineMargin = 20 * time.Millisecond

// cutCauseOf returns what may have cut off the answer that ended with err; frame.NoCause if nothing
// is known to.
func cutCauseOf(err error) frame.Cause {
	var cut *frame.CutError
	if errors.As(err, &cut) {
		return cut.Cause
	}
	return frame.NoCause
}

// isOwnDoing reports whether an answer was cut off by what this instance asked of its server, which
// thus has not failed.
func isOwnDoing(err error) bool {
	cause := cutCauseOf(err)
	return cause == frame.Stop || cause == frame.Deadline
}

// endCause returns what may have ended the server's unframed answer other than the end of its work.
// confirm is the time that it takes to confirm that the server was not lost.
func (r *run) endCause(server *fleet.Server, now time.Time, confirm time.Duration) frame.Cause {
	switch {
	case r.stop != notStopped:
		return frame.Stop
	case !r.req.Deadline.IsZero() && !now.Before(r.req.Deadline.Add(-deadlineMargin)):
		return frame.Deadline
	case r.server.endedWith(server, confirm):
		return frame.Loss
	default:
		return frame.NoCause
	}
}
