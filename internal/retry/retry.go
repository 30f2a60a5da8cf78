// Package retry decides whether and when a request is sent again: only where
// the verdict allows it, within a budget for each workspace and each server,
// after a delay with full jitter.
package retry

import (
	"math/rand/v2"
	"time"

	"kumquatyard/internal/contract"
)

const (
	// MaxAttempts bounds how often one request is sent.
	MaxAttempts = 4
	// baseDelay and maxDelay bound the interval that a delay is drawn from.
	baseDelay = 25 * time.Millisecond
	maxDelay  = 2 * time.Second
)

// Allowed reports whether a request may be sent again after a failure: it is
// known not to have run, or running it twice does no harm and it has not
// finished.
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

// Decide returns the delay before a request is sent again, and false when it
// must not be: the verdict forbids it, attempt is the last one, or the delay
// would end after the deadline. attempt counts from 1; a zero deadline is
// never. The delay is drawn uniformly from an interval that doubles with each
// attempt (full jitter).
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
