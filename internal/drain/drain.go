// Package drain plans how an instance stops: until when it takes requests and which of them, and
// when it ends the ones that are left so that their callers still get an answer.
package drain

import "time"

const (
	// balancerDelay is how long the load balancer may send new connections after the first failed
	// readiness check, and refuseDelay when new requests are refused at the latest.
	balancerDelay = 2200 * time.Millisecond
	refuseDelay   = 2800 * time.Millisecond
	// balancerShare and refuseShare bound the two in short grace periods.
	balancerShare = 0.28
	refuseShare   = 0.35
	// endShare is the part of the grace period after which the process ends.
	endShare = 0.94
	// answerShare is the part of the grace period, and minAnswerTime the least time, in which the
	// answers to requests that were ended are sent.
	answerShare   = 0.04
	minAnswerTime = 100 * time.Millisecond
)

// Plan is the course of a stop.
type Plan struct {
	start time.Time
	grace time.Duration
}

// NewPlan returns the plan of a stop that begins at start, after which the process is killed when
// the grace period is over.
func NewPlan(start time.Time, grace time.Duration) Plan { return Plan{start, grace} }

func (p Plan) share(part float64) time.Duration { return time.Duration(part * float64(p.grace)) }

// CloseConnections returns when connections begin to close after their next answer.
func (p Plan) CloseConnections() time.Time {
	return p.start.Add(min(balancerDelay, p.share(balancerShare)))
}

// Refuse returns when all new requests begin to be refused.
func (p Plan) Refuse() time.Time { return p.start.Add(min(refuseDelay, p.share(refuseShare))) }

// Abort returns when the requests that are left are ended.
func (p Plan) Abort() time.Time { return p.End().Add(-max(p.share(answerShare), minAnswerTime)) }

// End returns when the process ends.
func (p Plan) End() time.Time { return p.start.Add(p.share(endShare)) }

// Takes reports whether a request that arrives now and needs some time is taken: it can end before
// it would be aborted.
func (p Plan) Takes(need time.Duration, now time.Time) bool {
	return now.Before(p.Refuse()) && !now.Add(need).After(p.Abort())
}
