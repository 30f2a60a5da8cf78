package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/ratelimit"
	"kumquatyard/internal/reach"
)

// firstByteTimeoutShare is the fraction of the remaining time that a server has for
// its first byte before a repeatable request is sent to another server: the first
// one may have become unresponsive.
const firstByteTimeoutShare = 0.4

// errUnreachable marks an attempt of which this instance sent no byte.
var errUnreachable = errors.New("the server could not be reached")

// attempt sends the request to one server and forwards the answer to the caller.
// done is true when the caller has its final answer.
func (r *run) attempt(c candidate) (done bool, err error) {
	s := r.server
	r.tries++
	r.currentServer, r.answerBegun, r.continued, r.sentAt, r.exposure.firstAt = c.server.ID, false, r.lastEvent == "", time.Time{}, time.Time{}
	ctx, abort, stopTimer, cancel := r.attemptContext()
	defer cancel()
	job := s.Predictor.Begin(r.pool, c.server.ID, r.req.Prompt, c.estimate.Cached, time.Now())
	defer func() { job.Done(time.Now()) }()
	r.beginStream(c.server)
	defer r.leaveRoom(c.server)
	wait := s.paths.Begin(pathTo(c.server), abort, time.Now())
	answer, err := s.Backend.Send(ctx, &Attempt{
		Request: r.req, Server: c.server, LastEventID: r.lastEvent, Deadline: r.req.Deadline, Continue: r.handle,
		MaxConnections: r.maxConnections(), Wanted: func() bool { return r.isWanted(c.server) },
	})
	s.paths.End(wait)
	defer func() { r.recordForRollout(c, answer, err) }()
	if err != nil {
		return false, r.recordUnanswered(c.server, err)
	}
	s.paths.Heard(pathTo(c.server), time.Now())
	r.attempts++
	s.clearSuspicion(c.server.ID)
	defer answer.Body.Close()
	r.answerBegun, r.framing, r.incompleteBytes = true, answer.Framing, 0
	r.rateLimit, r.brittle = answer.RateLimit, answer.Brittle
	s.heed(answer, c.server, r.req.ID, r.sentAt)
	if answer.Load != nil {
		s.Predictor.RecordServerReport(r.pool, c.server.ID, answer.Load.report(), time.Now())
	}
	if answer.Misdirected || answer.Refused {
		return false, r.recordNotRun(c.server, answer)
	}
	r.recordStart()
	if r.req.Route.Stream && answer.Status == http.StatusOK {
		return r.relayStream(answer, job, c.server, stopTimer)
	}
	stopTimer()
	r.exposure.firstAt = time.Now()
	job.FirstToken(time.Now())
	r.recordShareServed(time.Now())
	if r.headSent {
		return false, r.recordFailedResume(answer, c.server)
	}
	return r.relayPlain(answer, c.server)
}

// recordFailedResume returns the error of an attempt that was to continue a stream of which
// the caller has a part, and was answered by something else. That answer must not be
// forwarded: the caller would take the stream for complete.
func (r *run) recordFailedResume(a *Answer, server *fleet.Server) error {
	r.server.observe(server.ID, a.Status >= http.StatusInternalServerError)
	return contract.Unavailable(contract.Ran, fmt.Sprintf("the server answered the resumed stream with status %d and type %q", a.Status, mediaType(a.Header.Get(headerContentType))), nil)
}

// maxConnections returns this instance's share of the connections that a server of
// the pool accepts from all instances; 0 means no limit.
func (r *run) maxConnections() int {
	pool := r.server.Snapshot().Config.Pools[r.pool]
	if pool == nil || pool.MaxConns <= 0 {
		return 0
	}
	return max(pool.MaxConns/max(r.server.Instances(), 1), 1)
}

// errFirstByteTimeout ends an attempt whose server did not start to answer.
var errFirstByteTimeout = errors.New("no first byte from the server within the first-byte timeout")

// errPathsLost ends an attempt whose server this instance does not reach any more.
var errPathsLost = errors.New("this instance does not reach the server any more")

// attemptContext returns the context of an attempt. For a request that may be
// repeated at another server, it bounds the wait for the first byte, since the
// server may have become unresponsive, unless the instance is stopping and another attempt might
// not end before; stopTimer lifts that bound, and abort ends the wait at
// once, nil if the request may not be repeated.
func (r *run) attemptContext() (ctx context.Context, abort, stopTimer func(), cancel context.CancelFunc) {
	ctx, stop := context.WithCancelCause(r.ctx)
	cancel = func() { stop(nil) }
	end := r.req.EffectiveDeadline()
	if !r.req.Route.MayRepeat() || r.attempts+1 >= r.req.MaxAttempts() || end.IsZero() {
		return ctx, nil, func() {}, cancel
	}
	timeout := time.Duration(firstByteTimeoutShare * float64(time.Until(end)))
	timer := time.AfterFunc(timeout, func() {
		if r.server.canEndAnother(r.req, end, time.Now()) {
			stop(errFirstByteTimeout)
		}
	})
	return ctx, func() { stop(errPathsLost) }, func() { timer.Stop() }, cancel
}

// recordUnanswered records an attempt that got no answer and returns its error,
// joined with errUnreachable when nothing was sent.
func (r *run) recordUnanswered(server *fleet.Server, err error) error {
	now := time.Now()
	if errors.Is(err, ErrNoConnection) || errors.Is(err, ErrUnwanted) {
		return errors.Join(err, errUnreachable)
	}
	if contract.VerdictOf(err) == contract.NotRun {
		if !r.sentAt.IsZero() {
			r.server.Limits.Refund(ratelimit.IncarnationOf(server), now)
		}
		if !r.isOver() {
			outcome := reach.Silent
			if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
				outcome = reach.Refused
			}
			r.server.paths.Failed(pathTo(server), outcome, now)
			r.unreached++
		}
		return errors.Join(err, errUnreachable)
	}
	r.attempts++
	r.execution.record(contract.MayHaveRun)
	if !r.isOver() && !r.server.paths.IsDown(pathTo(server)) {
		r.server.suspect(server.ID, now)
		r.server.observe(server.ID, true)
	}
	return err
}

// recordNotRun returns the error of an attempt whose server states that it did not
// run the request. When its address belongs to another server, it becomes suspected.
func (r *run) recordNotRun(server *fleet.Server, a *Answer) error {
	message := "the server is full"
	if a.Misdirected {
		message = "another server has the address"
		r.server.suspect(server.ID, time.Now())
	}
	wait := r.server.shortestBackoff(r.server.Snapshot().Servers[r.pool], time.Now())
	return contract.Refusal(contract.KindUnavailable, r.retryAfter(wait), message)
}

// recordStart counts the request as started for the workspace's usage, once per request.
func (r *run) recordStart() {
	r.execution.record(contract.Ran)
	if r.startCounted {
		return
	}
	r.startCounted = true
	if name := r.req.WorkspaceName(); name != "" {
		r.server.Usage.RecordStart(name, time.Now())
	}
}
