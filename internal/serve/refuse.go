package serve

import (
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/quarantine"
)

const (
	// deadlineShare is the fraction of the remaining time that the wait for the first
	// token may take.
	deadlineShare = 0.7
	// lateFactor is the multiple of the latency target beyond which a first token is
	// too late to be worth the capacity.
	lateFactor = 1.8
	// minRetryAfter is the minimum time after which a refused caller may retry.
	minRetryAfter = 150 * time.Millisecond
	// maxRetryJitter bounds the jitter of the time after which a refused caller may retry.
	maxRetryJitter = 2 * time.Second
)

// lateRetryAfter returns 0 when the best server is predicted to answer in time, and
// otherwise the time after which the refused caller may retry.
func (r *run) lateRetryAfter(best *candidate, now time.Time) time.Duration {
	end := r.req.EffectiveDeadline()
	if end.IsZero() || r.req.Prompt == nil {
		return 0
	}
	left := time.Duration(deadlineShare * float64(end.Sub(now)))
	if target := r.req.Route.LatencyTarget; target > 0 {
		left = min(left, time.Duration(lateFactor*float64(target)))
	}
	if best.estimate.FirstToken <= left {
		return 0
	}
	return r.retryAfter(best.estimate.FirstToken - left)
}

// retryAfter returns the wait plus uniform jitter of up to the same length, but at most
// maxRetryJitter, so that refused callers do not retry all at once.
func (r *run) retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(rand.Int64N(int64(min(wait, maxRetryJitter))))
}

// refuseWithoutPath returns the refusal of a request while this instance reaches no server and
// no other instance takes it.
func (r *run) refuseWithoutPath() error {
	return &contract.Error{
		Kind: contract.KindUnavailable, Verdict: contract.NotRun, RetryAfter: r.retryAfter(retryAfterNoServer),
		Message: "this instance reaches no server, and no other instance takes the request", Err: ErrDeclined,
	}
}

// logRefused logs and counts a request that was refused without a server's answer,
// with the inputs of the decision.
func (s *Server) logRefused(req *Request, err *contract.Error, inputs logrus.Fields) {
	countRefused(err.Kind, err.Verdict)
	s.Log.WithFields(inputs).WithFields(logrus.Fields{
		"event": "request_refused", "request": req.ID, "route": req.Route.Name, "workspace": req.WorkspaceName(),
		"kind": err.Kind, "verdict": err.Verdict, "retry_after_ms": err.RetryAfter.Milliseconds(),
		"ms": time.Since(req.Arrived).Milliseconds(),
	}).Info(err.Message)
}

// logBroken logs and counts a request whose answer was truncated after its head was
// sent and that no other server may continue.
func (r *run) logBroken(err error) {
	brokenTotal.Inc()
	message := "the answer broke off at the server"
	if r.isOver() {
		message = "the caller disconnected or the deadline passed before the end of the answer"
	}
	r.server.Log.WithFields(r.fields(r.lastCandidate)).WithField("event", "request_broken").WithError(err).Info(message)
}

// logServed logs and counts an answered request; with an error, the answer was
// truncated.
func (r *run) logServed(c candidate, err error) {
	r.countServed(err)
	entry := r.server.Log.WithFields(r.fields(c)).WithFields(logrus.Fields{"event": "request_served", "first_byte_ms": r.firstByte.Milliseconds()})
	if err != nil {
		entry.WithError(err).Info("the answer broke off")
		return
	}
	entry.Info("answered")
}

// formatParts returns the ids of parts of a prompt as text.
func formatParts(ids []uint64) string {
	list := make([]string, len(ids))
	for i, id := range ids {
		list[i] = quarantine.FormatID(id)
	}
	return strings.Join(list, ",")
}

// logFailed logs and counts a failed attempt.
func (r *run) logFailed(c candidate, err error) {
	countAttempt(contract.VerdictOf(err))
	fields := r.fields(c)
	fields["event"] = "attempt_failed"
	fields["verdict"] = contract.VerdictOf(err)
	if contract.VerdictOf(err) == contract.MayHaveRun {
		fields["identity"] = quarantine.FormatID(r.identity())
	}
	if r.req.Prompt != nil && contract.VerdictOf(err) != contract.NotRun {
		fields["parts"] = formatParts(r.parts)
		fields["answer_begun"] = r.answerBegun
	}
	if errors.Is(err, errUnreachable) {
		fields["sent"] = false
	}
	r.server.Log.WithFields(fields).WithError(err).Info("attempt failed")
}
