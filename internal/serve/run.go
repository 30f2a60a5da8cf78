package serve

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
)

const (
	// retryAfterNoServer is when a caller may come back when no server takes its request.
	retryAfterNoServer = time.Second
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
	r.lastEvent = r.req.LastEventID
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
		return s.Predictor.Predict(r.pool, id, r.req.Prompt, assumed, now)
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
		zone: s.Zone, servers: s.Snapshot().Servers[r.pool], exclude: exclude, seed: seed(), sample: sampleSize(s.Instances()),
		suspected: func(id machine.ID) bool { return s.suspected(id, now) },
	}
}

// outputWeight is the work of an output token in prompt tokens.
const outputWeight = 8

// noteDemand counts the work that the request asks for, once.
func (r *run) noteDemand(best *candidate, now time.Time) {
	if p := r.req.Prompt; p != nil && r.tries == 0 {
		r.server.Demand.Add(r.pool, float64(max(p.Tokens-best.estimate.Cached, 0)+outputWeight*p.ExpectedOutput()), now)
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
		return ErrTruncated
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

// fields are the inputs of a choice: the version of the configuration, the age
// of the server's report, and what was predicted from what.
func (r *run) fields(c candidate) logrus.Fields {
	f := logrus.Fields{
		"request": r.req.ID, "route": r.req.Route.Name, "workspace": r.req.WorkspaceName(), "pool": r.pool,
		"server": c.server.ID, "attempt": r.attempts, "ms": time.Since(r.req.Arrived).Milliseconds(),
		"config": r.server.Snapshot().Config.Version, "report_age_ms": time.Since(c.server.ReportedAt).Milliseconds(),
		"active": c.estimate.Work.Active,
	}
	if r.req.Prompt != nil {
		f["predicted_ms"] = c.estimate.FirstToken.Milliseconds()
		f["cached_tokens"] = c.estimate.Cached
	}
	return f
}
