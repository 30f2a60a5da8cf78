package serve

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/rollout"
)

const (
	// typicalFirstToken is the latency that stands for a first token at the predicted time:
	// latencies of prompts are compared relative to the prediction, which knows what the server
	// has cached.
	typicalFirstToken = 100 * time.Millisecond
	// leastPrediction bounds predictions from below.
	leastPrediction = 10 * time.Millisecond
)

// exposure is what a request has to do with a roll-out of its pool.
type exposure struct {
	pass *rollout.Pass
	// firstAt is when the first event of the current attempt arrived.
	firstAt time.Time
}

// rolloutPass returns the request's pass under a roll-out of its pool, nil if there is none.
func (r *run) rolloutPass(now time.Time) *rollout.Pass {
	if r.exposure.pass == nil {
		r.exposure.pass = r.server.Rollouts.Begin(r.pool, rand.Float64(), now)
	}
	return r.exposure.pass
}

// rolloutAllows reports whether a roll-out lets the request go to a server. While a stream is being
// moved, it is called beside the request.
func (r *run) rolloutAllows(s *fleet.Server) bool {
	if r.origin != nil {
		return r.server.Rollouts.AllowsContinuation(s)
	}
	return r.rolloutPass(time.Now()).Allows(s)
}

// recordForRollout counts the outcome of an attempt that was sent to a server, for the judgment of a
// new version.
func (r *run) recordForRollout(c candidate, a *Answer, err error) {
	if r.exposure.pass == nil || r.sentAt.IsZero() {
		return
	}
	if stopped := (*errStopped)(nil); errors.As(err, &stopped) {
		return
	}
	failed := err != nil && contract.VerdictOf(err) != contract.NotRun
	end := time.Now()
	switch {
	case a == nil && !failed:
		r.exposure.pass.Unsent(c.server)
		return
	case a != nil && (a.Misdirected || a.Refused):
		return
	case a != nil && a.Status >= http.StatusInternalServerError:
		failed = true
	case r.isOver() && r.exposure.firstAt.IsZero():
		failed = false // late at least, if the caller waited until its deadline
	case r.isOver():
		failed, end = false, r.exposure.firstAt
	case !r.exposure.firstAt.IsZero():
		end = r.exposure.firstAt
	}
	r.exposure.pass.Record(r.req.Route.Name, c.server, failed, relativeLatency(end.Sub(r.sentAt), r.req.Prompt, c.estimate))
}

// relativeLatency returns a latency as versions are compared by it: that of a prompt relative to the
// prediction.
func relativeLatency(d time.Duration, prompt *forecast.Prompt, e forecast.Estimate) time.Duration {
	if prompt == nil {
		return d
	}
	return time.Duration(float64(d) / float64(max(e.FirstToken, leastPrediction)) * float64(typicalFirstToken))
}

// noteFirst notes when the first event of the current attempt arrived.
func (e *exposure) noteFirst(now time.Time) {
	if e.firstAt.IsZero() {
		e.firstAt = now
	}
}
