package gateway

import (
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// activityPoll is the interval at which a planned stop checks whether accepted
// work has finished.
const activityPoll = 20 * time.Millisecond

// activity counts accepted work, so that a planned stop can wait for it
// to finish while requests still arrive.
type activity struct {
	running    atomic.Int64
	background conc.WaitGroup
}

// begin counts one unit of work; the returned function marks it as done.
func (a *activity) begin() func() {
	a.running.Add(1)
	return func() { a.running.Add(-1) }
}

// spawn runs f in a goroutine and counts it as a separate unit of work.
func (a *activity) spawn(f func()) {
	end := a.begin()
	a.background.Go(func() {
		defer end()
		f()
	})
}

// wait returns true as soon as no work is running, or false after the timeout.
func (a *activity) wait(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); a.running.Load() > 0; time.Sleep(activityPoll) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
