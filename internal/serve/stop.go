package serve

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rescue"
)

const (
	// stopInterval is how long a call that stops a run is waited for before the server is asked
	// again beside it. It may be slow, as copies wait for each other, or never be answered.
	stopInterval = 300 * time.Millisecond
	// stopPause is the time before the next call after one that told nothing; it doubles each time.
	stopPause = 40 * time.Millisecond
	// maxStopCalls bounds the calls that stop one run.
	maxStopCalls = 5
	// stopTimeout is the least time in which calls may be answered.
	stopTimeout = 600 * time.Millisecond
)

// stopOutcome is what the answer to one call to Stop tells.
type stopOutcome int

const (
	// stopUnanswered means that the call may have stopped the run.
	stopUnanswered stopOutcome = iota
	// stopRefused means that the call did nothing, and stopNotRunning that there was no such run.
	stopRefused
	stopNotRunning
	// stopDone means that the run is stopped and its KV cache copied, and stopCopyFailed that only
	// its server has the KV cache.
	stopDone
	stopCopyFailed
)

// String implements fmt.Stringer.
func (o stopOutcome) String() string {
	switch o {
	case stopRefused:
		return "refused"
	case stopNotRunning:
		return "not_running"
	case stopDone:
		return "stopped"
	case stopCopyFailed:
		return "stopped_not_copied"
	default:
		return "unanswered"
	}
}

// stopOutcomeOf returns the outcome of a call to Stop.
func stopOutcomeOf(handle Handle, err error) stopOutcome {
	switch {
	case err == nil:
		return stopDone
	case handle.ID != "":
		return stopCopyFailed
	case errors.Is(err, ErrNotRunning):
		return stopNotRunning
	case contract.VerdictOf(err) == contract.NotRun:
		return stopRefused
	default:
		return stopUnanswered
	}
}

// stopState is what all calls to Stop together tell of a run.
type stopState int

const (
	// notStopped means that no call stopped the run.
	notStopped stopState = iota
	// mayBeStopped means that a call may have stopped it, or may yet.
	mayBeStopped
	isStopped
)

// String implements fmt.Stringer.
func (s stopState) String() string {
	switch s {
	case notStopped:
		return "not_stopped"
	case mayBeStopped:
		return "may_be_stopped"
	default:
		return "stopped"
	}
}

// stopReply is what one call to Stop returned. The handle is empty unless the run is stopped.
type stopReply struct {
	handle  Handle
	outcome stopOutcome
	err     error
}

// stopCalls are the calls to Stop of a run at one server.
type stopCalls struct {
	// askedAt is when the first one began; zero if there was none.
	askedAt time.Time
	// unanswered is the number of calls of which is not known what they did, or yet do: those in
	// flight, and those that ended without an answer. An answer that another call did nothing says
	// nothing of them, as they may be the reason.
	unanswered int
	// hasHandle is set once an answer named a handle.
	hasHandle bool
}

// begin counts a call.
func (c *stopCalls) begin(now time.Time) {
	if c.askedAt.IsZero() {
		c.askedAt = now
	}
	c.unanswered++
}

// end adds what a call told that was begun.
func (c *stopCalls) end(outcome stopOutcome) {
	if outcome == stopUnanswered {
		return
	}
	c.unanswered--
	c.hasHandle = c.hasHandle || outcome == stopDone || outcome == stopCopyFailed
}

// state returns what all calls together tell.
func (c *stopCalls) state() stopState {
	switch {
	case c.hasHandle:
		return isStopped
	case c.unanswered > 0:
		return mayBeStopped
	default:
		return notStopped
	}
}

// stopCalls returns the calls to Stop so far; none for a nil move.
func (m *move) stopCalls() stopCalls {
	if m == nil {
		return stopCalls{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

func (m *move) beginStop(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.begin(now)
}

func (m *move) endStop(outcome stopOutcome) stopState {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.end(outcome)
	return m.calls.state()
}

func (m *move) mayBeStopped() bool {
	calls := m.stopCalls()
	return calls.state() == mayBeStopped
}

// stopRun stops the run of a move, with at most maxCalls calls until a time. As long as the run may
// be stopped and no handle has come, its server is asked again, as only the handle can continue the
// run.
func (r *run) stopRun(mover Mover, m *move, maxCalls int, until time.Time) stopReply {
	ctx, cancel := context.WithDeadline(r.ctx, until)
	defer cancel()
	replies := make(chan stopReply, maxCalls)
	next := time.NewTimer(0)
	defer next.Stop()
	pause := stopPause
	for calls, pending := 0, 0; ; {
		select {
		case <-next.C:
			calls++
			pending++
			r.startStop(ctx, mover, m, calls, replies)
			if calls < maxCalls {
				next.Reset(stopInterval)
			}
		case reply := <-replies:
			pending--
			isLast := pending == 0 && calls == maxCalls
			if reply.handle.ID != "" || !m.mayBeStopped() || isLast {
				return reply
			}
			if pending == 0 {
				next.Reset(pause)
				pause *= 2
			}
		case <-ctx.Done():
			return stopReply{err: contract.Unavailable(contract.MayHaveRun, "the server did not say whether it stopped the run", context.Cause(ctx))}
		}
	}
}

// startStop starts a call that stops the run.
func (r *run) startStop(ctx context.Context, mover Mover, m *move, call int, replies chan<- stopReply) {
	began := time.Now()
	m.beginStop(began)
	rescue.Go("stop", logrus.Fields{"request": r.req.ID, "server": m.from.ID}, r.server.Log, func() {
		var reply stopReply
		reply.handle, reply.err = mover.Stop(ctx, r.req.ID, m.from, m.to)
		reply.outcome = stopOutcomeOf(reply.handle, reply.err)
		state := m.endStop(reply.outcome)
		r.logStop(m, call, reply, state, time.Since(began))
		replies <- reply
	})
}

// logStop logs and counts a call that stops the run.
func (r *run) logStop(m *move, call int, reply stopReply, state stopState, took time.Duration) {
	countStop(reply.outcome)
	entry := r.server.Log.WithFields(logrus.Fields{
		"event": "run_stop", "request": r.req.ID, "server": m.from.ID, "to": m.to.ID, "call": call, "outcome": reply.outcome, "stop": state, "ms": took.Milliseconds(),
	})
	if reply.err != nil {
		entry = entry.WithError(reply.err)
	}
	entry.Info("the server was asked to stop the run")
}

// outcome returns how the run continues after its server's stream ended, nil when it was not
// stopped or no handle continues it. The move of a stream that ended before the first call to Stop
// is canceled: the run either finished or lost its server. isFramedEnd is set if the frame of the
// stream shows that it is whole, so that its end does not wait for calls that are not answered.
func (r *run) outcome(m *move, isFramedEnd bool) *errStopped {
	if m == nil {
		return nil
	}
	if !m.cancel() && !m.await(isFramedEnd) {
		return nil
	}
	calls := m.stopCalls()
	if m.stopped == nil && calls.state() != notStopped && !isFramedEnd && !r.isOver() {
		r.stopAfterEnd(m)
	}
	r.keepUnanswered(m)
	return m.stopped
}

// await waits for the end of a move, for stopInterval if the wait is to be short, and reports
// whether it came.
func (m *move) await(short bool) bool {
	if !short {
		<-m.done
		return true
	}
	select {
	case <-m.done:
		return true
	case <-time.After(stopInterval):
		return false
	}
}

// keepUnanswered keeps in mind that a call to stop the run is not answered: its server may carry it
// out when the run is back there.
func (r *run) keepUnanswered(m *move) {
	if calls := m.stopCalls(); calls.unanswered > 0 {
		if r.unansweredStops == nil {
			r.unansweredStops = make(map[string]*fleet.Server)
		}
		r.unansweredStops[incarnationOf(m.from)] = m.to
	}
}

// stopAfterEnd asks for the handle of a run once more whose stream has ended: a call that was not
// answered may have been carried out after the move had given up.
func (r *run) stopAfterEnd(m *move) {
	if mover, ok := r.server.Backend.(Mover); ok {
		r.recordHandle(m, r.stopRun(mover, m, 1, time.Now().Add(stopInterval)))
	}
}

// addFull records a server that did not take the run's KV cache, and fullServers returns all of them.
func (m *move) addFull(id machine.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = append(m.full, id)
}

func (m *move) fullServers() []machine.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.full)
}

// recordHandle records with which handle the run continues, if there is one.
func (r *run) recordHandle(m *move, reply stopReply) {
	if reply.handle.ID == "" {
		return
	}
	stopped := &errStopped{handle: reply.handle, source: m.from, sourceUntil: r.server.takesBackUntil(m.from), full: m.fullServers()}
	if reply.outcome == stopDone {
		stopped.copiedTo = m.to
	}
	m.stopped = stopped
}

// noteStreamEnd notes and counts how the server's stream ended, with the error of its reader.
func (r *run) noteStreamEnd(m *move, err error) {
	calls := m.stopCalls()
	if r.stop, r.stopAskedBefore = calls.state(), 0; !calls.askedAt.IsZero() {
		r.stopAskedBefore = time.Since(calls.askedAt)
	}
	countStreamEnd(r.framing, r.stop, errors.Is(err, io.EOF))
}
