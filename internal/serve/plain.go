package serve

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/frame"
)

// bufferedBytes is the size up to which a plain answer is buffered completely before
// it is forwarded, so that the request can be repeated when the answer is truncated.
const bufferedBytes = 64 << 10

// relayPlain forwards a plain answer. The request may be repeated when the answer is
// truncated before any of it was forwarded, or when the server failed.
func (r *run) relayPlain(a *Answer, server *fleet.Server) (done bool, err error) {
	head, err := io.ReadAll(io.LimitReader(a.Body, bufferedBytes))
	if err != nil {
		r.server.observe(server.ID, true)
		r.execution.record(contract.MayHaveRun)
		return false, contract.Unavailable(contract.MayHaveRun, "the server's answer broke off", err)
	}
	failed := a.Status >= http.StatusInternalServerError
	if a.Authentic && !failed {
		r.recordSurvived()
	}
	r.server.observe(server.ID, failed)
	if failed && r.mayRepeatFailure() {
		return false, contract.Unavailable(contract.Ran, "the server failed the request", nil)
	}
	if promisesNotRun(a.Status) && !r.req.Route.MayRepeat() {
		return false, contract.Unavailable(contract.MayHaveRun, fmt.Sprintf("the server answered with status %d and does not say that the request did not run", a.Status), nil)
	}
	isWhole := len(head) < bufferedBytes
	if isWhole && !failed {
		if err := r.checkEnd(a, server, shortConfirmTime); err != nil {
			return false, err
		}
	}
	if !a.Authentic && (a.Status < http.StatusMultipleChoices || !isWhole) {
		return false, r.recordUnauthenticated()
	}
	if isWhole {
		a.Length = int64(len(head))
	}
	if err := r.begin(a); err != nil {
		return true, err
	}
	if err := r.caller.Write(head); err != nil || isWhole {
		return true, truncatedIf(err)
	}
	return true, r.relayRest(a, func() error { return r.checkEnd(a, server, endConfirmTime) })
}

// checkEnd returns an error if the end of a plain answer, which was read, may not be its end.
// Confirming that the server was not lost takes a time, for which the end is held back.
func (r *run) checkEnd(a *Answer, server *fleet.Server, confirm time.Duration) error {
	if a.Framing != frame.Close {
		return nil
	}
	err := frame.End(a.Framing, r.endCause(server, time.Now(), confirm))
	if errors.Is(err, io.EOF) {
		return nil
	}
	r.execution.record(contract.MayHaveRun)
	if !isOwnDoing(err) {
		r.server.observe(server.ID, true)
	}
	return contract.Unavailable(contract.MayHaveRun, "the server's answer broke off", err)
}

// recordUnauthenticated records that an answer lacks the server's proof that it is
// its own, so that the request may have run, and returns the error of the attempt.
func (r *run) recordUnauthenticated() error {
	r.execution.record(contract.MayHaveRun)
	return contract.Unavailable(contract.MayHaveRun, "the answer does not bear the server's mark", nil)
}

// mayRepeatFailure reports whether the request is sent to another server after a
// server's 5xx answer; otherwise that answer is forwarded to the caller.
func (r *run) mayRepeatFailure() bool {
	if !r.req.Route.MayRepeat() || r.attempts >= r.req.MaxAttempts() || r.isOver() || !r.hasUntriedServer() || r.isSuspected() {
		return false
	}
	r.retryGranted = r.server.Budget.Take(r.pool, time.Now())
	return r.retryGranted
}

// hasUntriedServer reports whether the pool has a usable server that was not tried yet.
func (r *run) hasUntriedServer() bool {
	now := time.Now()
	return slices.ContainsFunc(r.server.Snapshot().Servers[r.pool], func(s *fleet.Server) bool {
		return s.Usable() && r.mayServe(s) && r.server.accepts(s, now) && s.ID != r.currentServer && !slices.Contains(r.exclude, s.ID)
	})
}

// relayRest forwards the rest of the body. checkEnd returns an error if its end may not be that of
// the answer.
func (r *run) relayRest(a *Answer, checkEnd func() error) error {
	buffer := make([]byte, bufferedBytes)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if r.caller.Write(buffer[:n]) != nil {
				return ErrTruncated
			}
		}
		if errors.Is(err, io.EOF) {
			return truncatedIf(checkEnd())
		}
		if err != nil {
			return ErrTruncated
		}
	}
}

// begin sends the head of the answer to the caller, once per request.
func (r *run) begin(a *Answer) error {
	if r.headSent {
		return nil
	}
	r.headSent = true
	r.contentType = a.Header.Get(headerContentType)
	r.firstByte = time.Since(r.req.Arrived)
	firstByteSeconds.Update(r.firstByte.Seconds())
	if err := r.caller.Begin(a.Status, a.Header, a.Length); err != nil {
		return ErrTruncated
	}
	return nil
}
