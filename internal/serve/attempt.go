package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
)

// attemptShare is the part of the time left after which a repeatable request is tried
// elsewhere, since a server may have gone silent.
const attemptShare = 0.4

// errUnreachable marks an attempt of which no byte left this instance.
var errUnreachable = errors.New("the server could not be reached")

// attempt sends the request to one server and passes the answer on. done is
// true when the caller has its final answer.
func (r *run) attempt(c candidate) (done bool, err error) {
	s := r.server
	r.tries++
	r.current = c.server.ID
	ctx, heard, cancel := r.attemptContext()
	defer cancel()
	job := s.Predictor.Begin(r.pool, c.server.ID, r.req.Prompt, c.estimate.Cached, time.Now())
	defer func() { job.Done(time.Now()) }()
	answer, err := s.Backend.Send(ctx, &Attempt{
		Request: r.req, Server: c.server, LastEventID: r.lastEvent, Deadline: r.req.Deadline, Continue: r.handle,
		MaxConnections: r.maxConnections(),
	})
	if err != nil {
		return false, r.unanswered(c.server, err)
	}
	r.attempts++
	s.trust(c.server.ID)
	defer answer.Body.Close()
	if answer.Load != nil {
		s.Predictor.RecordServerReport(c.server.ID, answer.Load.Running+answer.Load.Waiting, time.Now())
	}
	if answer.Misdirected || answer.Refused {
		return false, r.refused(c.server, answer)
	}
	r.noteRunning()
	if r.req.Route.Stream && answer.Status == http.StatusOK {
		return r.relayStream(answer, job, c.server, heard)
	}
	heard()
	job.FirstToken(time.Now())
	return r.relayPlain(answer, c.server)
}

// maxConnections is this instance's part of the connections that a server of the
// pool accepts of all instances.
func (r *run) maxConnections() int {
	pool := r.server.Snapshot().Config.Pools[r.pool]
	if pool == nil || pool.MaxConns <= 0 {
		return 0
	}
	return max(pool.MaxConns/max(r.server.Instances(), 1), 1)
}

// errSilent ends an attempt whose server did not begin to answer.
var errSilent = errors.New("the server did not begin to answer in time")

// attemptContext bounds the wait for the first byte of a request that may be
// repeated elsewhere, since a server may have gone silent. heard ends the bound.
func (r *run) attemptContext() (ctx context.Context, heard func(), cancel context.CancelFunc) {
	ctx, stop := context.WithCancelCause(r.ctx)
	cancel = func() { stop(nil) }
	end := r.req.EffectiveDeadline()
	if !r.req.Route.MayRepeat() || r.attempts+1 >= r.req.Route.MaxAttempts || end.IsZero() {
		return ctx, func() {}, cancel
	}
	patience := time.Duration(attemptShare * float64(time.Until(end)))
	timer := time.AfterFunc(patience, func() { stop(errSilent) })
	return ctx, func() { timer.Stop() }, cancel
}

// unanswered records an attempt without an answer.
func (r *run) unanswered(server *fleet.Server, err error) error {
	now := time.Now()
	if errors.Is(err, ErrNoConnection) {
		return errors.Join(err, errUnreachable)
	}
	if contract.VerdictOf(err) == contract.NotRun {
		r.server.suspect(server.ID, now)
		return errors.Join(err, errUnreachable)
	}
	r.attempts++
	r.mayHaveRun = true
	if r.ctx.Err() == nil {
		r.server.suspect(server.ID, now)
		r.server.observe(server.ID, true)
	}
	return err
}

// refused records that a server did not run the request.
func (r *run) refused(server *fleet.Server, a *Answer) error {
	message := "the server is full"
	if a.Misdirected {
		message = "another server has the address"
		r.server.suspect(server.ID, time.Now())
	}
	return contract.Refusal(contract.KindUnavailable, r.retryAfter(0), message)
}

// noteRunning counts the request as begun, once.
func (r *run) noteRunning() {
	r.ran = true
	if r.counted {
		return
	}
	r.counted = true
	if name := r.req.WorkspaceName(); name != "" {
		r.server.Usage.RecordStart(name, time.Now())
	}
}
