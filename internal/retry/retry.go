// Package retry decides whether and when a request is sent again: only when the
// verdict allows it, within a retry budget, and after a backoff with full jitter.
// kumquat-gateway uses Budget, which is per workspace and server, and kumquat-entry
// uses PoolBudget.
package retry

import (
	"math/rand/v2"
	"time"

	"kumquatyard/internal/contract"
)

const (
	// MaxAttempts is the maximum number of times that one request is sent.
	MaxAttempts = 4
	// The interval that a delay is drawn from starts at baseDelay and is at most maxDelay.
	baseDelay = 25 * time.Millisecond
	maxDelay  = 2 * time.Second
)

// Allowed reports whether a request may be sent again after a failure: when it is known
// not to have run, or when it may have run and is idempotent. A request that ran to its
// end is not sent again.
func Allowed(verdict contract.Verdict, idempotent bool) bool {
	switch verdict {
	case contract.NotRun:
		return true
	case contract.MayHaveRun:
		return idempotent
	default:
		return false
	}
}

// Decide returns the delay before a request is sent again, and false when it must not
// be: the verdict forbids it, attempt was the last one, or the delay would end after the
// deadline. attempt counts from 1. A zero deadline means no limit. The delay is drawn
// uniformly from an interval that doubles with each attempt (full jitter).
func Decide(verdict contract.Verdict, idempotent bool, attempt int, deadline, now time.Time, seed uint64) (time.Duration, bool) {
	if !Allowed(verdict, idempotent) || attempt >= MaxAttempts {
		return 0, false
	}
	interval := min(maxDelay, baseDelay<<max(attempt-1, 0))
	random := rand.New(rand.NewPCG(seed, uint64(attempt)))
	delay := time.Duration(random.Int64N(int64(interval)))
	if !deadline.IsZero() && !now.Add(delay).Before(deadline) {
		return 0, false
	}
	return delay, true
}
