package agent

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// jitterShare is the jitter of intervals: up to a tenth in either direction.
	jitterShare = 0.1
	// urgentGap is the delay before an urgent round, and thus the minimum time
	// between two rounds of a loop.
	urgentGap = 50 * time.Millisecond
	// callTimeout bounds a call to a peer.
	callTimeout = time.Second
	// maxCalls bounds the concurrent calls of one round.
	maxCalls = 16
)

// periodic returns a loop that calls do once per jittered interval and urgentGap
// after a value on urgent. The first round comes after a random part of the
// interval, so that processes that start together do not act at the same time.
func periodic(interval time.Duration, urgent <-chan struct{}, do func(ctx context.Context, urgent bool)) func(context.Context) error {
	return func(ctx context.Context) error {
		timer := time.NewTimer(rand.N(interval))
		defer timer.Stop()
		for {
			early := false
			select {
			case <-ctx.Done():
				return nil
			case <-timer.C:
			case <-urgent:
				early = true
				sleep(ctx, urgentGap)
			}
			do(ctx, early)
			timer.Reset(jittered(interval))
		}
	}
}

// jittered returns d with random jitter.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*rand.Float64()-1)))
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// signal requests an urgent round of a loop. Requests made before that round
// starts are coalesced.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
