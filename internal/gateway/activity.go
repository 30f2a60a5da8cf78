package gateway

import (
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// activityPoll is the interval at which a planned stop looks for the end of
// accepted work.
const activityPoll = 20 * time.Millisecond

// activity counts accepted work, so that a planned stop can wait for its end
// while requests still arrive.
type activity struct {
	running    atomic.Int64
	background conc.WaitGroup
}

// begin counts one piece of work; the returned function ends it.
func (a *activity) begin() func() {
	a.running.Add(1)
	return func() { a.running.Add(-1) }
}

// spawn runs f as accepted work of its own.
func (a *activity) spawn(f func()) {
	end := a.begin()
	a.background.Go(func() {
		defer end()
		f()
	})
}

// wait returns true when no work is left, or false after the timeout.
func (a *activity) wait(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); a.running.Load() > 0; time.Sleep(activityPoll) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
