package serve

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
)

// Mover is a Backend that can move the KV cache of a run from one server to another.
type Mover interface {
	// LeavesIn asks a leaving server how long until it is gone; 0 when it does not
	// know.
	LeavesIn(ctx context.Context, server *fleet.Server) (time.Duration, error)
	// Copy copies the KV cache of a request's run, which continues meanwhile.
	Copy(ctx context.Context, id string, from, to *fleet.Server) error
	// Stop stops the run and copies what was added since Copy. The returned handle
	// continues the run at the destination, or at the source when only the copy
	// failed. The handle is empty when the run was not stopped.
	Stop(ctx context.Context, id string, from, to *fleet.Server) (Handle, error)
}

// Handle names the KV cache of a run that was stopped.
type Handle struct {
	// Server is the address of the server that stopped the run.
	Server string
	ID     string
}

// ErrNotRunning means that a server is not running the request.
var ErrNotRunning = errors.New("the server is not running the request")

const (
	// moveLead is how long before its server is gone a run is moved. Most runs finish
	// before that, and a move takes a tenth of this time.
	moveLead = 1200 * time.Millisecond
	// moveTimeout bounds one call of a move.
	moveTimeout = 600 * time.Millisecond
	// maxDestinations is the number of servers that are tried as destinations.
	maxDestinations = 3
)

// movePhase is the progress of a move.
type movePhase int

const (
	movePending movePhase = iota
	moveCopying
	// moveStopping lasts from the call to Stop until it returns.
	moveStopping
	moveEnded
)

// move is the move of one run.
type move struct {
	done chan struct{}

	mu    sync.Mutex
	phase movePhase
	// full are the servers that did not take the run's KV cache.
	full []machine.ID
	// stopped is set once the run was stopped.
	stopped *errStopped
	// from is the server of the run, and to the destination of the last call to Stop; nil before.
	from, to *fleet.Server
	calls    stopCalls
}

// newMove returns the pending move of a run at its server.
func newMove(r *run, from *fleet.Server) *move {
	m := &move{done: make(chan struct{}), full: slices.Clone(r.full), from: from}
	if to := r.unansweredStops[incarnationOf(from)]; to != nil {
		m.to = to
		m.calls.begin(time.Now())
	}
	return m
}

// begin starts a pending move, and reports whether it was pending.
func (m *move) begin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != movePending {
		return false
	}
	m.phase = moveCopying
	return true
}

// advance enters a phase unless the move has ended, and reports whether it did.
func (m *move) advance(phase movePhase) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == moveEnded {
		return false
	}
	m.phase = phase
	return true
}

// move moves the run to another server. The goroutine that relays the stream
// continues there once the stream of the first server has ended.
func (r *run) move(mover Mover, m *move, from *fleet.Server) {
	defer close(m.done)
	defer m.advance(moveEnded)
	for len(m.fullServers()) < maxDestinations {
		to, ok := r.destination(append([]machine.ID{from.ID}, m.fullServers()...))
		if !ok || !r.server.Budget.Take(r.pool, time.Now()) {
			return
		}
		err := r.moveTo(mover, m, from, to)
		r.logMove(m, from, to, err)
		if err == nil || m.stopped != nil || m.mayBeStopped() || errors.Is(err, ErrNotRunning) || r.isOver() {
			return
		}
	}
}

// moveTo copies the KV cache while the run continues, then stops the run and copies
// the rest.
func (r *run) moveTo(mover Mover, m *move, from, to *fleet.Server) error {
	ctx, cancel := context.WithTimeout(r.ctx, moveTimeout)
	defer cancel()
	if err := mover.Copy(ctx, r.req.ID, from, to); err != nil {
		m.addFull(to.ID)
		return err
	}
	if !m.advance(moveStopping) {
		return ErrNotRunning
	}
	m.to = to
	now := time.Now()
	until := r.server.streams.evacuationOf(from).goneAt
	if earliest := now.Add(stopTimeout); until.Before(earliest) {
		until = earliest
	}
	reply := r.stopRun(mover, m, maxStopCalls, until)
	if reply.err != nil {
		m.addFull(to.ID)
	}
	r.recordHandle(m, reply)
	return reply.err
}

// takesBackUntil returns until when a leaving server may get a run back; zero means for as long
// as it lives.
func (s *Server) takesBackUntil(server *fleet.Server) time.Time {
	if s.DrainTime == 0 {
		return time.Time{}
	}
	return s.streams.evacuationOf(server).since.Add(s.DrainTime - drainMargin)
}

// destination returns the least loaded server of the pool. The prediction assumes
// that the whole prompt is cached there, since the move copies it.
func (r *run) destination(exclude []machine.ID) (*fleet.Server, bool) {
	now := time.Now()
	p := r.placement(exclude, now)
	p.predict = func(id machine.ID, _ int) forecast.Estimate {
		return r.server.Predictor.Predict(r.pool, id, r.req.Prompt, r.req.PromptTokens(), now)
	}
	best, ok := choose(p)
	return best.server, ok
}

// cancel ends a move that has not begun to stop the run, and reports whether it did.
func (m *move) cancel() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != movePending && m.phase != moveCopying {
		return false
	}
	m.phase = moveEnded
	return true
}

// logMove logs and counts the outcome of an attempted move of the run.
func (r *run) logMove(m *move, from, to *fleet.Server, err error) {
	countMove(err)
	calls := m.stopCalls()
	entry := r.server.Log.WithFields(logrus.Fields{
		"event": "run_moved", "request": r.req.ID, "server": from.ID, "to": to.ID,
		"stopped": m.stopped != nil, "stop": calls.state(),
	})
	if err != nil {
		entry.WithError(err).WithField("verdict", contract.VerdictOf(err)).Info("the run was not moved")
		return
	}
	entry.Info("the run's KV cache was moved")
}
