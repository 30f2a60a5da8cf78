package serve

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
)

// bufferedBytes is the size up to which a plain answer is read whole before any of
// it is passed on, so that a broken one can be repeated.
const bufferedBytes = 64 << 10

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
		return true, ErrTruncated
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
	return slices.ContainsFunc(r.server.Snapshot().Servers[r.pool], func(s *fleet.Server) bool {
		return s.Usable() && s.ID != r.current && !slices.Contains(r.exclude, s.ID)
	})
}

func (r *run) relayRest(a *Answer) error {
	buffer := make([]byte, bufferedBytes)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if r.caller.Write(buffer[:n]) != nil {
				return ErrTruncated
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return ErrTruncated
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
		return ErrTruncated
	}
	return nil
}
