package gateway

import (
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/retry"
)

// retries tracks the attempts of one request.
type retries struct {
	g          *Gateway
	workspace  string
	idempotent bool
	attempts   int
	// mayHaveRun is true once any attempt may have run, regardless of the
	// outcome of later ones.
	mayHaveRun bool
}

// allow counts an attempt at a server and reports whether it may be sent. A
// retry is allowed only while the retry budgets permit it.
func (r *retries) allow(server machine.ID) bool {
	r.attempts++
	if r.attempts == 1 {
		r.g.budget.Request(r.workspace, server)
		return true
	}
	return r.g.budget.Take(r.workspace, server)
}

// mayRepeat reports whether the request may be sent once more.
func (r *retries) mayRepeat() bool { return r.idempotent || !r.mayHaveRun }

// failed returns the delay before the attempt that follows a failed one, or the
// refusal that ends the request.
func (r *retries) failed(cause error, deadline time.Time) (time.Duration, error) {
	e := asRefusal(cause)
	r.mayHaveRun = r.mayHaveRun || e.Verdict != contract.NotRun
	if e.Kind == contract.KindInvalid {
		return 0, r.refusal(e)
	}
	delay, ok := retry.Decide(e.Verdict, r.idempotent, r.attempts, deadline, time.Now(), seed())
	if !ok {
		return 0, r.refusal(e)
	}
	retriesTotal.Inc()
	return delay, nil
}

// refusal returns the error that ends the request. Its verdict covers all
// attempts, and it carries a Retry-After unless the request is invalid.
func (r *retries) refusal(cause error) error {
	e := *asRefusal(cause)
	if r.mayHaveRun && e.Verdict == contract.NotRun {
		e.Verdict = contract.MayHaveRun
	}
	if e.RetryAfter == 0 && e.Kind != contract.KindInvalid {
		e.RetryAfter = retryAfterNoServer
	}
	return &e
}

// noServer returns the refusal of a request for which the pool has no eligible
// server left.
func (r *retries) noServer(pool string) error {
	return r.refusal(contract.Refusal(contract.KindUnavailable, retryAfterNoServer, "no server of pool "+pool+" can take the request"))
}
