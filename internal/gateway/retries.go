package gateway

import (
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/retry"
)

// sending is the retry state of one request.
type sending struct {
	g          *Gateway
	workspace  string
	idempotent bool
	attempts   int
	// mayHaveRun is true once any attempt may have run, whatever became of
	// the later ones.
	mayHaveRun bool
}

// spend counts a send to a server, and reports false when it is a retry for
// which the budgets have nothing left.
func (s *sending) spend(server machine.ID) bool {
	s.attempts++
	if s.attempts == 1 {
		s.g.budget.Request(s.workspace, server)
		return true
	}
	return s.g.budget.Take(s.workspace, server)
}

// failed decides what follows a failed send: the delay before the next one, or
// the refusal that ends the request.
func (s *sending) failed(cause error, deadline time.Time) (time.Duration, error) {
	e := asRefusal(cause)
	s.mayHaveRun = s.mayHaveRun || e.Verdict != contract.NotRun
	if e.Kind == contract.KindInvalid {
		return 0, s.refusal(e)
	}
	delay, ok := retry.Decide(e.Verdict, s.idempotent, s.attempts, deadline, time.Now(), seed())
	if !ok {
		return 0, s.refusal(e)
	}
	retriesTotal.Inc()
	return delay, nil
}

// refusal is the error that ends the request: its verdict covers all attempts,
// and it tells the caller when to come back.
func (s *sending) refusal(cause error) error {
	e := *asRefusal(cause)
	if s.mayHaveRun && e.Verdict == contract.NotRun {
		e.Verdict = contract.MayHaveRun
	}
	if e.RetryAfter == 0 && e.Kind != contract.KindInvalid {
		e.RetryAfter = retryAfterNoServer
	}
	return &e
}

// noServer is the refusal of a request for which the pool has no server left.
func (s *sending) noServer(pool string) error {
	return s.refusal(contract.Refusal(contract.KindUnavailable, retryAfterNoServer, "no server of pool "+pool+" can take the request"))
}
