package serve

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fairshare"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/frame"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/origin"
	"kumquatyard/internal/ratelimit"
	"kumquatyard/internal/reach"
)

const (
	// retryAfterNoServer is the time after which a caller may retry when no server
	// accepts its request.
	retryAfterNoServer = time.Second
	// brittleRetryAfter is the time after which a caller may retry when there is no room at
	// servers that must not be tried.
	brittleRetryAfter = 300 * time.Millisecond
	// unreachableTries is the number of servers that are tried as long as all of them
	// are unreachable and nothing was sent.
	unreachableTries = 4
)

// run is the state of one request over its attempts.
type run struct {
	server *Server
	ctx    context.Context
	req    *Request
	caller Caller

	pool string
	// tries counts all attempts, and attempts those that may have reached a server.
	attempts int
	tries    int
	exclude  []machine.ID
	// currentServer is the server of the attempt in flight, and lastCandidate the
	// result of the last choice.
	currentServer machine.ID
	lastCandidate candidate
	// execution is what all attempts together have done.
	execution execution
	// unreached counts the servers that the request could not be sent to, and handedOver is set
	// once it was offered to other instances.
	unreached  int
	handedOver bool
	// handOverDraw, uniformly distributed over 0 to 1, decides whether the request is one of those
	// that are handed over while a part of the paths is down.
	handOverDraw float64
	// offers is the number of instances that the request was offered to.
	offers       int
	startCounted bool
	// retryGranted is set when the retry budget has already granted the next attempt.
	retryGranted bool
	// headSent is set once the head of the answer was sent to the caller.
	headSent bool
	// contentType is the header of the answer whose head was sent.
	contentType string
	// continued is set once an event of the current attempt was seen to go on after lastEvent,
	// and if there was none.
	continued bool
	// firstByte is the time from the arrival to the head of the answer.
	firstByte time.Duration
	// origin is what began the stream; nil before its first event.
	origin *origin.Origin
	// lastEvent is the id of the last event that was forwarded to the caller.
	lastEvent string
	// answerBegun is set once the head of the current attempt's answer has arrived.
	answerBegun bool
	// answered is set once an attempt's answer was written at length.
	answered bool
	// parts are the shared parts of the prompt.
	parts []uint64
	// identityHash is the request's Identity; 0 until it is needed.
	identityHash uint64
	// acquired is set while this is the only copy of a suspected request in flight.
	acquired bool
	// framing is how the server of the last answer marks its end, and incompleteBytes the
	// number of bytes that it sent after the last complete event.
	framing         frame.Framing
	incompleteBytes int
	// stop is whether the server of the last stream was asked to stop its run, and stopAskedBefore
	// how long before the end of that stream it was first asked.
	stop            stopState
	stopAskedBefore time.Duration
	// unansweredStops holds the servers, by incarnation, with a call to stop the run that they have
	// not answered, and the destination of that call.
	unansweredStops map[string]*fleet.Server
	// rateLimit is what the last answer said about the rate of requests that its server takes.
	rateLimit ratelimit.Limit
	// brittle is set if the server of the last answer is brittle.
	brittle  bool
	exposure exposure
	// hasRoom is set while the request counts against the room of the current server.
	hasRoom bool
	// sentAt is when the current attempt was about to be sent; zero before.
	sentAt time.Time
	// handle names the KV cache of the stopped run that the attempt continues; its ID is empty for
	// a new run. full are the servers that did not take that KV cache.
	handle Handle
	full   []machine.ID
	// share is what was decided about the request while the pool was short of room.
	share fairshare.Verdict
	// shareServed is set once the request's work was counted as served.
	shareServed bool
}

// serve answers, refuses or truncates the request.
func (r *run) serve() error {
	r.lastEvent = r.req.LastEventID
	if r.req.Prompt != nil {
		r.parts = r.req.Prompt.SharedParts()
	}
	r.pool = r.req.Route.PickPool(r.poolDraw())
	if !r.req.HandedOver {
		r.server.Budget.Request(r.pool, time.Now())
	}
	if err := r.resolveOrigin(); err != nil {
		return r.fail(err)
	}
	defer r.release()
	err := r.makeAttempts()
	r.exposure.pass.End()
	r.endStream()
	return err
}

// makeAttempts makes attempts until the request is answered, refused or truncated.
func (r *run) makeAttempts() error {
	for {
		if r.mustHandOver() && r.mayHandOver() {
			if handled, err := r.handOver(); handled {
				return r.endHandedOver(err)
			}
		}
		if r.server.paths.Lost(r.pool) {
			return r.fail(r.refuseWithoutPath())
		}
		choice, err := r.choose()
		if r.lacksServer(choice, err) && r.mayHandOver() {
			if handled, err := r.handOver(); handled {
				return r.endHandedOver(err)
			}
		}
		if err != nil {
			return r.fail(err)
		}
		done, err := r.attempt(choice)
		for stopped := (*errStopped)(nil); errors.As(err, &stopped); {
			choice, done, err = r.continueStopped(stopped)
		}
		if done {
			r.logServed(choice, err)
			return err
		}
		r.logFailed(choice, err)
		r.recordLoss(choice.server, err)
		if !r.mayRetry(err) {
			return r.fail(err)
		}
		r.exclude = append(r.exclude, choice.server.ID)
	}
}

// choose returns the server for the next attempt, or the refusal of the request.
func (r *run) choose() (candidate, error) {
	s := r.server
	now := time.Now()
	if err := r.refuseQuarantined(now); err != nil {
		return candidate{}, err
	}
	if err := r.acquire(); err != nil {
		return candidate{}, err
	}
	p := r.placement(r.exclude, now)
	p.prompt, p.target = r.req.Prompt, r.req.Route.LatencyTarget
	p.predict = func(id machine.ID, assumed int) forecast.Estimate {
		return s.Predictor.Predict(r.pool, id, r.req.Prompt, assumed, now)
	}
	best, ok := choose(p)
	if !ok && r.exposure.pass.FallBack() {
		best, ok = choose(p)
	}
	if !ok {
		best, ok = r.awaitRoom(p, now)
	}
	if !ok {
		return best, r.refuseWithoutServer(p.servers, now)
	}
	r.lastCandidate = best
	chosenSlowdown.Update(best.estimate.Ratio())
	wait, reason := r.shareRetryAfter(&best), "the workspace is over its share of the pool's room"
	if wait == 0 {
		wait, reason = r.lateRetryAfter(&best, now), "no server would answer in time"
	}
	if wait > 0 && r.exposure.pass.FallBack() {
		return r.choose()
	}
	refused := wait > 0 && r.attempts == 0
	r.recordDemand(&best, refused, now)
	r.recordShare(&best, now)
	if refused {
		return best, contract.Refusal(contract.KindUnavailable, wait, reason)
	}
	return best, nil
}

// refuseWithoutServer returns the refusal of a request that no server of the pool takes.
// If servers asked for no requests for a time, the caller may come back when the first
// of them accepts requests again.
func (r *run) refuseWithoutServer(servers []*fleet.Server, now time.Time) error {
	if servers = slices.DeleteFunc(slices.Clone(servers), func(s *fleet.Server) bool { return !r.mayServe(s) }); len(servers) == 0 && r.origin != nil {
		return contract.Refusal(contract.KindUnavailable, retryAfterNoServer, "no server of the version that began the stream serves")
	}
	if wait := r.server.shortestBackoff(servers, now); wait > 0 {
		return contract.Refusal(contract.KindUnavailable, r.retryAfter(wait), "all servers of the pool turn requests away")
	}
	if limited := r.server.limitedServers(servers, now); len(limited) > 0 {
		r.recordDemand(&candidate{}, true, now)
		wait := r.server.Limits.ReturnIn(r.pool, limited, now)
		return contract.Refusal(contract.KindUnavailable, r.retryAfter(wait), "the servers of the pool are at the limits of their request rates")
	}
	if r.server.Brittle.IsBrittle(r.pool) {
		r.recordDemand(&candidate{}, true, now)
		return contract.Refusal(contract.KindUnavailable, r.retryAfter(brittleRetryAfter), "the servers of the pool are brittle, and there is no room for more requests")
	}
	return contract.Refusal(contract.KindUnavailable, retryAfterNoServer, "no server of the pool takes requests")
}

// placement returns the inputs that all choices of a server for the run have in
// common; the caller adds the prediction.
func (r *run) placement(exclude []machine.ID, now time.Time) *placement {
	s := r.server
	return &placement{
		zone: s.Zone, servers: s.Snapshot().Servers[r.pool], mayServe: r.mayServe, exclude: exclude, seed: seed(), sample: sampleSize(s.Instances()),
		othersShare: 1 - 1/float64(max(s.Instances(), 1)),
		isSuspected: func(id machine.ID) bool { return s.isSuspected(reach.Path{Pool: r.pool, Server: id}, now) },
		isWanted:    func(server *fleet.Server) bool { return s.accepts(server, now) },
		isLimited:   func(server *fleet.Server) bool { return s.Limits.IsLimited(ratelimit.IncarnationOf(server)) },
	}
}

// outputWeight is the work of one output token, in prompt tokens.
const outputWeight = 8

// work returns the work that a request with a prompt needs, in prompt tokens.
func (r *run) work(best *candidate) float64 {
	p := r.req.Prompt
	return float64(max(p.Tokens-best.estimate.Cached, 0) + outputWeight*p.ExpectedOutput())
}

// recordDemand records the work that the request asks for, once per request.
func (r *run) recordDemand(best *candidate, refused bool, now time.Time) {
	p := r.req.Prompt
	if p == nil || r.tries > 0 {
		return
	}
	tokens := r.work(best)
	if refused {
		r.server.Demand.AddRefused(r.pool, tokens, now)
	} else {
		r.server.Demand.Add(r.pool, tokens, now)
	}
}

// isOver reports whether the caller has left or the request's time is over. The deadline counts by
// itself: connections are given up at it, perhaps before the context says that it has passed.
func (r *run) isOver() bool {
	deadline, ok := r.ctx.Deadline()
	return r.ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// mayRetry reports whether the request may be sent to another server.
func (r *run) mayRetry(err error) bool {
	if r.isOver() || cutCauseOf(err) == frame.Deadline || !r.execution.allowsNewRun(r.req.Route) || r.headSent && !r.req.Route.Resumable {
		return false
	}
	var e *contract.Error
	if errors.As(err, &e) && e.Verdict == contract.NotRun && errors.Is(err, errUnreachable) {
		return r.tries < unreachableTries && r.attempts < r.req.MaxAttempts()
	}
	if !r.answered && r.isSuspected() {
		return false
	}
	if r.retryGranted {
		r.retryGranted = false
		return true
	}
	return r.attempts < r.req.MaxAttempts() && r.server.Budget.Take(r.pool, time.Now())
}

// fail ends the request without a complete answer and returns its error.
func (r *run) fail(err error) error {
	if r.headSent {
		r.logBroken(err)
		return ErrTruncated
	}
	e := r.finalError(err)
	var inputs logrus.Fields
	if r.lastCandidate.server != nil {
		inputs = r.fields(r.lastCandidate)
	}
	r.server.logRefused(r.req, e, inputs)
	return e
}

// finalError returns the error for the caller: the last failure, with a verdict that
// covers all attempts.
func (r *run) finalError(err error) *contract.Error {
	var e *contract.Error
	if !errors.As(err, &e) {
		e = &contract.Error{Kind: contract.KindUnavailable, Message: "the request failed", Err: err}
	}
	out := *e
	out.Verdict = r.execution.Verdict()
	if errors.Is(context.Cause(r.ctx), context.DeadlineExceeded) {
		out.Kind = contract.KindDeadline
	}
	if r.req.HandedOver && r.unreached > 0 && out.Verdict == contract.NotRun {
		out.Err = errors.Join(out.Err, ErrDeclined)
	}
	if out.RetryAfter == 0 && out.Verdict == contract.NotRun {
		out.RetryAfter = retryAfterNoServer
	}
	return &out
}

// fields returns the log fields for a choice and its inputs: the version of the
// configuration, the age of the server's report, its load, and the prediction.
func (r *run) fields(c candidate) logrus.Fields {
	f := logrus.Fields{
		"request": r.req.ID, "route": r.req.Route.Name, "workspace": r.req.WorkspaceName(), "pool": r.pool,
		"server": c.server.ID, "attempt": r.attempts, "ms": time.Since(r.req.Arrived).Milliseconds(),
		"config": r.server.Snapshot().Config.Version, "report_age_ms": time.Since(c.server.ReportedAt).Milliseconds(),
		"active": c.estimate.Work.Active,
	}
	if c.estimate.Slowdown > 0 && c.estimate.Slowdown != 1 {
		f["slowdown"] = c.estimate.Slowdown
	}
	if c.server.Version != "" {
		f["version"] = c.server.Version
	}
	if r.lastEvent != "" {
		f["last_event"] = r.lastEvent
	}
	if r.req.Resumes != "" {
		f["resumes"] = r.req.Resumes
	}
	if r.attempts > 0 {
		f["framing"] = r.framing
	}
	if r.stopAskedBefore > 0 {
		f["stop"], f["stop_asked_before_end_ms"] = r.stop, r.stopAskedBefore.Milliseconds()
	}
	if r.incompleteBytes > 0 {
		f["incomplete_event_bytes"] = r.incompleteBytes
	}
	if r.brittle {
		f["server_brittle"] = true
	}
	if r.rateLimit.Kind == ratelimit.Limited {
		f["server_limit_per_s"] = r.rateLimit.PerSecond
	}
	if r.req.Prompt != nil {
		f["predicted_ms"] = c.estimate.FirstToken.Milliseconds()
		f["cached_tokens"] = c.estimate.Cached
	}
	r.addShare(f)
	return f
}
