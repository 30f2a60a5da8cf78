package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
)

const (
	// retryAfterNoServer is when a caller may come back when no server takes its request.
	retryAfterNoServer = time.Second
	// bufferedBytes is the size up to which a plain answer is read whole before
	// any of it is passed on, so that a broken one can be repeated.
	bufferedBytes = 64 << 10
	// attemptShare is the part of the time left after which a repeatable request
	// is tried elsewhere, since a server may have gone silent.
	attemptShare = 0.4
	// unreachableTries is the number of servers that may turn out to be
	// unreachable before any of them was sent the request.
	unreachableTries = 4
)

// run is one request on its way through its attempts.
type run struct {
	server *Server
	ctx    context.Context
	req    *Request
	caller Caller

	pool     string
	attempts int
	tries    int
	exclude  []machine.ID
	// current is the server of the attempt that runs, and considered the last one
	// that was thought of.
	current    machine.ID
	considered candidate
	// mayHaveRun is set when an attempt's outcome is unknown, ran when a server
	// is known to have worked on it.
	mayHaveRun bool
	ran        bool
	counted    bool
	// granted is set when the budget already allowed the next attempt.
	granted bool
	// begun is set once the caller has the head of the answer.
	begun bool
	// firstByte is the time from the arrival to the head of the answer.
	firstByte time.Duration
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// handle names the memory that the next attempt goes on with.
	handle Handle
}

func (r *run) serve() error {
	r.lastEvent = r.req.LastEvent
	r.pool = r.req.Route.PickPool(seed())
	r.server.Budget.Request(r.pool, time.Now())
	for {
		choice, err := r.choose()
		if err != nil {
			return r.giveUp(err)
		}
		done, err := r.attempt(choice)
		for moved := (*errMoved)(nil); errors.As(err, &moved); {
			choice = r.continuation(moved)
			done, err = r.attempt(choice)
		}
		if done {
			r.logServed(choice, err)
			return err
		}
		r.logFailed(choice, err)
		if !r.mayRetry(err) {
			return r.giveUp(err)
		}
		r.handle = Handle{}
		r.exclude = append(r.exclude, choice.server.ID)
	}
}

// continuation is the attempt at the server that a run was moved to.
func (r *run) continuation(moved *errMoved) candidate {
	r.handle = moved.handle
	c := candidate{server: moved.to, estimate: forecast.Estimate{Cached: r.req.Prompt.Tokens}}
	r.considered = c
	return c
}

// choose picks a server or refuses the request.
func (r *run) choose() (candidate, error) {
	s := r.server
	now := time.Now()
	p := r.placement(r.exclude, now)
	p.prompt, p.target = r.req.Prompt, r.req.Route.LatencyTarget
	p.predict = func(id machine.ID, assumed int) forecast.Estimate {
		return s.Board.Predict(r.pool, id, r.req.Prompt, assumed, now)
	}
	best, ok := choose(p)
	if !ok {
		return best, contract.Refusal(contract.KindUnavailable, retryAfterNoServer, "no server of the pool takes requests")
	}
	r.considered = best
	r.noteDemand(&best, now)
	if wait := r.lateness(&best, now); wait > 0 && r.attempts == 0 {
		return best, contract.Refusal(contract.KindUnavailable, wait, "no server would answer in time")
	}
	return best, nil
}

// placement is what any choice of a server for the run depends on; the prediction
// is the caller's.
func (r *run) placement(exclude []machine.ID, now time.Time) *placement {
	s := r.server
	return &placement{
		zone: s.Zone, servers: s.Picture().Servers[r.pool], exclude: exclude, seed: seed(), sample: sampleSize(s.Instances()),
		suspected: func(id machine.ID) bool { return s.suspected(id, now) },
	}
}

// outputWeight is the work of an output token in prompt tokens.
const outputWeight = 8

// noteDemand counts the work that the request asks for, once.
func (r *run) noteDemand(best *candidate, now time.Time) {
	if p := r.req.Prompt; p != nil && r.tries == 0 {
		r.server.Demand.Add(r.pool, float64(max(p.Tokens-best.estimate.Cached, 0)+outputWeight*p.Output()), now)
	}
}

// mayRetry reports whether the request may be sent to another server.
func (r *run) mayRetry(err error) bool {
	if r.ctx.Err() != nil {
		return false
	}
	var e *contract.Error
	if errors.As(err, &e) && e.Verdict == contract.NotRun && errors.Is(err, errUnreachable) {
		return r.tries < unreachableTries
	}
	if r.mayHaveRun && !r.req.Route.MayRepeat() {
		return false
	}
	if r.begun && !r.req.Route.Resumable {
		return false
	}
	if r.granted {
		r.granted = false
		return true
	}
	return r.attempts < max(r.req.Route.MaxAttempts, 1) && r.server.Budget.Take(r.pool, time.Now())
}

// giveUp ends the request without a whole answer.
func (r *run) giveUp(err error) error {
	if r.begun {
		r.logBroken(err)
		return ErrBroken
	}
	e := r.final(err)
	var inputs logrus.Fields
	if r.considered.server != nil {
		inputs = r.fields(r.considered)
	}
	r.server.logRefused(r.req, e, inputs)
	return e
}

// final turns the last failure into the answer to the caller, whose verdict
// covers all attempts.
func (r *run) final(err error) *contract.Error {
	var e *contract.Error
	if !errors.As(err, &e) {
		e = &contract.Error{Kind: contract.KindUnavailable, Message: "the request failed", Err: err}
	}
	out := *e
	switch {
	case r.ran:
		out.Verdict = contract.Ran
	case r.mayHaveRun:
		out.Verdict = contract.MayHaveRun
	default:
		out.Verdict = contract.NotRun
	}
	if errors.Is(context.Cause(r.ctx), context.DeadlineExceeded) {
		out.Kind = contract.KindDeadline
	}
	if out.RetryAfter == 0 && out.Verdict == contract.NotRun {
		out.RetryAfter = retryAfterNoServer
	}
	return &out
}

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
	job := s.Board.Begin(r.pool, c.server.ID, r.req.Prompt, c.estimate.Cached, time.Now())
	defer func() { job.Done(time.Now()) }()
	answer, err := s.Backend.Send(ctx, &Attempt{
		Request: r.req, Server: c.server, After: r.lastEvent, Deadline: r.req.Deadline, Continue: r.handle,
		MaxConnections: r.maxConnections(),
	})
	if err != nil {
		return false, r.unanswered(c.server, err)
	}
	r.attempts++
	s.trust(c.server.ID)
	defer answer.Body.Close()
	if answer.Load != nil {
		s.Board.Report(c.server.ID, answer.Load.Running+answer.Load.Waiting, time.Now())
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
	pool := r.server.Picture().Config.Pools[r.pool]
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
	end := r.req.End()
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
		r.server.Usage.Began(name, time.Now())
	}
}

// relayPlain passes a plain answer on. One that broke off before any of it was
// passed on, and a failure of the server, may be repeated.
func (r *run) relayPlain(a *Answer, server *fleet.Server) (done bool, err error) {
	head, err := io.ReadAll(io.LimitReader(a.Body, bufferedBytes))
	if err != nil {
		r.server.observe(server.ID, true)
		r.mayHaveRun = true
		return false, contract.Unavailable(contract.MayHaveRun, "the server's answer broke off", err)
	}
	failed := a.Status >= http.StatusInternalServerError
	r.server.observe(server.ID, failed)
	if failed && r.mayRepeatFailure() {
		return false, contract.Unavailable(contract.Ran, "the server failed the request", nil)
	}
	if !a.Authentic && a.Status < http.StatusMultipleChoices {
		return false, r.unmarked()
	}
	if len(head) < bufferedBytes {
		a.Length = int64(len(head))
	}
	if err := r.begin(a); err != nil {
		return true, err
	}
	if err := r.caller.Write(head); err != nil {
		return true, ErrBroken
	}
	return true, r.relayRest(a)
}

// unmarked records an answer that the server does not vouch for.
func (r *run) unmarked() error {
	r.mayHaveRun = true
	return contract.Unavailable(contract.MayHaveRun, "the answer does not bear the server's mark", nil)
}

// mayRepeatFailure reports whether another server is asked after a server's own
// failure; otherwise the caller gets that failure.
func (r *run) mayRepeatFailure() bool {
	if !r.req.Route.MayRepeat() || r.attempts >= r.req.Route.MaxAttempts || r.ctx.Err() != nil || !r.hasOther() {
		return false
	}
	r.granted = r.server.Budget.Take(r.pool, time.Now())
	return r.granted
}

// hasOther reports whether a usable server was not tried yet.
func (r *run) hasOther() bool {
	return slices.ContainsFunc(r.server.Picture().Servers[r.pool], func(s *fleet.Server) bool {
		return s.Usable() && s.ID != r.current && !slices.Contains(r.exclude, s.ID)
	})
}

func (r *run) relayRest(a *Answer) error {
	buffer := make([]byte, bufferedBytes)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if r.caller.Write(buffer[:n]) != nil {
				return ErrBroken
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return ErrBroken
		}
	}
}

// begin sends the head of the answer, once.
func (r *run) begin(a *Answer) error {
	if r.begun {
		return nil
	}
	r.begun = true
	r.firstByte = time.Since(r.req.Arrived)
	firstByteSeconds.Update(r.firstByte.Seconds())
	if err := r.caller.Begin(a.Status, a.Header, a.Length); err != nil {
		return ErrBroken
	}
	return nil
}

// fields are the inputs of a choice: the version of the configuration, the age
// of the server's report, and what was predicted from what.
func (r *run) fields(c candidate) logrus.Fields {
	f := logrus.Fields{
		"request": r.req.ID, "route": r.req.Route.Name, "workspace": r.req.WorkspaceName(), "pool": r.pool,
		"server": c.server.ID, "attempt": r.attempts, "ms": time.Since(r.req.Arrived).Milliseconds(),
		"config": r.server.Picture().Config.Version, "report_age_ms": time.Since(c.server.ReportedAt).Milliseconds(),
		"active": c.estimate.Work.Active,
	}
	if r.req.Prompt != nil {
		f["predicted_ms"] = c.estimate.FirstToken.Milliseconds()
		f["cached_tokens"] = c.estimate.Cached
	}
	return f
}
