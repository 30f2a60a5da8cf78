package serve

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/frame"
	"kumquatyard/internal/handover"
)

// HandOver is a Backend that can hand a request over to another instance, which serves it as its
// own, at most once.
type HandOver interface {
	// HandOver returns the helper's answer. Its errors are *contract.Error, joined with
	// ErrDeclined if the helper reaches no server either, or is starting or stopping, and with
	// ErrHelperLost if it gave no answer. attempts is the number of servers to which the helper
	// may send it.
	HandOver(ctx context.Context, helper handover.Helper, req *Request, attempts int) (*Answer, error)
}

var (
	// ErrDeclined means that another instance cannot serve the requests of this one at present.
	ErrDeclined = errors.New("the other instance serves no requests of this one at present")
	// ErrHelperLost means that another instance could not be reached, or gave no sign any more; the
	// verdict tells whether the request may have run.
	ErrHelperLost = errors.New("the other instance gave no answer")
)

// unreachedServers is the number of servers that a request could not be sent to, after which it
// is handed over although this instance may reach others.
const unreachedServers = 2

// mayHandOver reports whether the request may be handed over: neither has another instance handed
// it over nor has its caller got a part of the answer, and it may be sent to one more server.
func (r *run) mayHandOver() bool {
	if r.req.HandedOver || r.handedOver || r.headSent || r.isOver() || r.server.OtherInstances == nil {
		return false
	}
	return r.attempts < r.req.MaxAttempts() && r.execution.allowsNewRun(r.req.Route)
}

// mustHandOver reports whether this instance is known not to reach servers, or reaches so few that
// they would get too much of its work.
func (r *run) mustHandOver() bool {
	return r.unreached >= unreachedServers || r.server.downShare(r.pool) > r.handOverDraw
}

// lacksServer reports whether the outcome of a choice is due to servers that this instance does
// not reach: the best of all is one of them, or the others do not take the request.
func (r *run) lacksServer(choice candidate, err error) bool {
	if err == nil {
		return r.server.paths.IsDown(pathTo(choice.server))
	}
	return slices.ContainsFunc(r.server.Snapshot().Servers[r.pool], func(s *fleet.Server) bool {
		return s.Usable() && r.mayServe(s) && r.server.paths.IsDown(pathTo(s))
	})
}

// handOver offers the request to other instances. handled is false if none of them takes it.
func (r *run) handOver() (handled bool, err error) {
	backend, ok := r.server.Backend.(HandOver)
	if !ok {
		return false, nil
	}
	r.handedOver = true
	search := r.server.Helpers.Search(r.server.OtherInstances(), r.pool, rand.New(rand.NewPCG(seed(), 0)))
	for !r.isOver() {
		helper, ok := search.Next(time.Now())
		if !ok {
			break
		}
		r.offers++
		var next bool
		if next, err = r.offer(backend, helper); !next {
			return true, err
		}
	}
	if r.offers > 0 || r.server.paths.Lost(r.pool) {
		r.logNoHelper(search.LeftOut())
	}
	if err != nil && contract.VerdictOf(err) != contract.NotRun {
		return true, err
	}
	return false, nil
}

// offer offers the request to another instance. next is true if it may go to one more.
func (r *run) offer(backend HandOver, helper handover.Helper) (next bool, err error) {
	answer, err := backend.HandOver(r.ctx, helper, r.req, r.req.MaxAttempts()-r.attempts)
	now := time.Now()
	switch {
	case err == nil:
		r.server.Helpers.Took(helper, r.pool)
		err = r.relayHandedOver(answer)
	case r.isOver():
	case errors.Is(err, ErrHelperLost):
		r.server.Helpers.Silent(helper, r.pool, now)
	case errors.Is(err, ErrDeclined):
		r.server.Helpers.Declined(helper, r.pool, now)
		r.logHandOver(helper, "declined", err)
		return true, err
	default:
		r.server.Helpers.Took(helper, r.pool)
	}
	if verdict := contract.VerdictOf(err); err != nil && verdict != contract.NotRun {
		r.execution.record(verdict)
		r.attempts++
	}
	if errors.Is(err, ErrHelperLost) && r.mayOfferAgain() {
		r.logHandOver(helper, "lost", err)
		return true, err
	}
	r.logHandOver(helper, "handled", err)
	return false, err
}

// mayOfferAgain reports whether a request may go to one more instance after one was lost.
func (r *run) mayOfferAgain() bool {
	if r.headSent || r.isOver() {
		return false
	}
	if r.execution.Verdict() == contract.NotRun {
		return true
	}
	return r.execution.allowsNewRun(r.req.Route) && r.attempts < r.req.MaxAttempts() && r.server.Budget.Take(r.pool, time.Now())
}

// logNoHelper logs that no other instance took the request. leftOut is the number of helpers to
// which it was not offered, as they declined others lately or announced that they do not reach
// the pool.
func (r *run) logNoHelper(leftOut int) {
	r.server.Log.WithFields(logrus.Fields{
		"event": "request_not_handed_over", "request": r.req.ID, "pool": r.pool, "offers": r.offers, "left_out": leftOut,
		"paths_lost": r.server.paths.Lost(r.pool), "ms": time.Since(r.req.Arrived).Milliseconds(),
	}).Info("no other instance took the request")
}

// endHandedOver returns the outcome of a request that another instance has handled.
func (r *run) endHandedOver(err error) error {
	if err == nil || errors.Is(err, ErrTruncated) {
		r.countServed(err)
		return err
	}
	return r.fail(err)
}

// relayHandedOver forwards another instance's answer to the caller. An answer that breaks off
// before a part of it was forwarded is a failure, as is a success or a promise that no server marked:
// no instance passes such a success on, and its own promises have verdicts. The request may have run.
func (r *run) relayHandedOver(a *Answer) error {
	defer a.Body.Close()
	if !a.Authentic && (a.Status < http.StatusMultipleChoices || promisesNotRun(a.Status)) {
		return contract.Unavailable(contract.MayHaveRun, "the other instance's answer does not bear a server's mark", ErrHelperLost)
	}
	a.Body = relayedBody{ReadCloser: a.Body, framing: a.Framing}
	r.execution.record(contract.Ran)
	if r.req.Route.Stream && a.Status == http.StatusOK {
		return r.relayHandedOverStream(a)
	}
	head, err := io.ReadAll(io.LimitReader(a.Body, bufferedBytes))
	if err != nil {
		return contract.Unavailable(contract.MayHaveRun, "the other instance's answer broke off", errors.Join(ErrHelperLost, err))
	}
	isWhole := len(head) < bufferedBytes
	if isWhole {
		a.Length = int64(len(head))
	}
	if err := r.begin(a); err != nil {
		return err
	}
	if err := r.caller.Write(head); err != nil || isWhole {
		return truncatedIf(err)
	}
	return r.relayRest(a, func() error { return nil })
}

// promisesNotRun reports whether callers take a status as a guarantee that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// relayedBody is the body of an answer that another instance passes on.
type relayedBody struct {
	io.ReadCloser
	framing frame.Framing
}

// Read reads a part of the body. At the end of the connection it returns io.EOF only if that is the
// end of the answer.
func (b relayedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = frame.End(b.framing, frame.Relay)
	}
	return n, err
}

// relayHandedOverStream forwards the complete events of another instance's answer.
func (r *run) relayHandedOverStream(a *Answer) error {
	events := frame.NewEvents(a.Body, a.Framing)
	a.Length = -1
	for {
		part, err := events.Next()
		if len(part) > 0 {
			if err := r.forward(a, part); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return r.begin(a)
		case err != nil && r.headSent:
			return ErrTruncated
		case err != nil:
			return contract.Unavailable(contract.MayHaveRun, "the other instance's stream broke off", errors.Join(ErrHelperLost, err))
		}
	}
}

func truncatedIf(err error) error {
	if err != nil {
		return ErrTruncated
	}
	return nil
}

// logHandOver logs and counts what became of a request that was offered to another instance.
func (r *run) logHandOver(helper handover.Helper, outcome string, err error) {
	countHandOver(outcome, err)
	entry := r.server.Log.WithFields(logrus.Fields{
		"event": "request_handed_over", "request": r.req.ID, "route": r.req.Route.Name, "pool": r.pool, "helper": helper.Name, "helper_zone": helper.Zone, "offers": r.offers, "outcome": outcome,
		"paths_lost": r.server.paths.Lost(r.pool), "unreached": r.unreached, "first_byte_ms": r.firstByte.Milliseconds(), "ms": time.Since(r.req.Arrived).Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Info("the request was offered to another instance, since this one does not reach servers")
		return
	}
	entry.Info("the request was served by another instance, since this one does not reach servers")
}
