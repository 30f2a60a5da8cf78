package agent

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// jitterShare spreads intervals by a tenth to either side.
	jitterShare = 0.1
	// urgentGap is the shortest time between two rounds of a loop.
	urgentGap = 50 * time.Millisecond
	// callTimeout bounds a call to a peer.
	callTimeout = time.Second
	// maxCalls bounds the calls that one round makes at once.
	maxCalls = 16
)

// periodic returns a loop that calls do about once in every interval and soon
// after a value on urgent. The first round comes after a random part of the
// interval, so that processes that start together do not act together.
func periodic(every time.Duration, urgent <-chan struct{}, do func(ctx context.Context, urgent bool)) func(context.Context) error {
	return func(ctx context.Context) error {
		timer := time.NewTimer(rand.N(every))
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
			timer.Reset(jittered(every))
		}
	}
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*rand.Float64()-1)))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// signal asks a loop for a round soon; requests made meanwhile join.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
