package serve

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
)

// Mover is a Backend that can carry a run's memory from one server to another.
type Mover interface {
	// LeavesIn asks a leaving server how long it will still be there; 0 when it
	// does not know.
	LeavesIn(ctx context.Context, server *fleet.Server) (time.Duration, error)
	// Copy copies the memory of the run of a request while it goes on.
	Copy(ctx context.Context, id string, from, to *fleet.Server) error
	// Stop stops the run and copies what is new. The run goes on with the handle:
	// at the destination, or, when only the copy failed, at its own server; the
	// handle is empty when the run was not stopped.
	Stop(ctx context.Context, id string, from, to *fleet.Server) (Handle, error)
}

// Handle names the memory of a run that was stopped.
type Handle struct {
	// Server is the address of the server that stopped the run.
	Server string
	ID     string
}

// ErrNotRunning means that a server does not work on a request.
var ErrNotRunning = errors.New("the server does not work on the request")

const (
	// moveLead is how long before its server is gone a run is moved: most runs
	// end by themselves before, and a move takes a tenth of it.
	moveLead = 1200 * time.Millisecond
	// moveTimeout bounds one call of a move.
	moveTimeout = 600 * time.Millisecond
	// moveInterval is the time between two looks for streams to move.
	moveInterval = 100 * time.Millisecond
	// reportDelay is how long a server's report on itself may lag behind.
	reportDelay = 250 * time.Millisecond
	// reportTries is how often a leaving server is asked when it will be gone.
	reportTries = 2
	// watchedFor is how long a server whose departure was watched is remembered.
	watchedFor = time.Minute
	// moveTries is the number of destinations that are asked for room.
	moveTries = 3
)

// movePhase is how far a move is.
type movePhase int

const (
	moveCopying movePhase = iota
	// moveStopping is from the order to stop until its answer.
	moveStopping
	moveEnded
)

// move is the move of one run.
type move struct {
	done chan struct{}

	mu    sync.Mutex
	phase movePhase
	// to and handle are where the run goes on; the handle is empty when it does not.
	to     *fleet.Server
	handle Handle
}

// advance enters a phase unless the move has ended.
func (m *move) advance(phase movePhase) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == moveEnded {
		return false
	}
	m.phase = phase
	return true
}

// streams holds the streams that run, by server.
type streams struct {
	mu      sync.Mutex
	servers map[machine.ID]*serverStreams
	// watched holds since when the departure of a server is watched.
	watched map[machine.ID]time.Time
}

type serverStreams struct {
	server *fleet.Server
	runs   map[*run]*move
}

func newStreams() *streams {
	return &streams{servers: make(map[machine.ID]*serverStreams), watched: make(map[machine.ID]time.Time)}
}

func (s *streams) add(server *fleet.Server, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.servers[server.ID]
	if at == nil {
		at = &serverStreams{server: server, runs: make(map[*run]*move)}
		s.servers[server.ID] = at
	}
	at.runs[r] = nil
}

// remove forgets a run and returns its move, nil when there is none.
func (s *streams) remove(id machine.ID, r *run) *move {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.servers[id]
	if at == nil {
		return nil
	}
	m := at.runs[r]
	delete(at.runs, r)
	if len(at.runs) == 0 {
		delete(s.servers, id)
	}
	return m
}

// unwatched returns the servers that leaves holds for, each once.
func (s *streams) unwatched(leaves func(*fleet.Server) bool, now time.Time) []*fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.watched, func(_ machine.ID, since time.Time) bool { return now.Sub(since) > watchedFor })
	var list []*fleet.Server
	for id, at := range s.servers {
		if _, ok := s.watched[id]; !ok && leaves(at.server) {
			s.watched[id] = now
			list = append(list, at.server)
		}
	}
	return list
}

// any reports whether a stream runs at a server.
func (s *streams) any(id machine.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[id] != nil
}

// beginMoves returns the runs at a server that are not being moved yet, each
// with its new move.
func (s *streams) beginMoves(id machine.ID) map[*run]*move {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.servers[id]
	if at == nil {
		return nil
	}
	begun := make(map[*run]*move)
	for r, m := range at.runs {
		if m == nil {
			m = &move{done: make(chan struct{})}
			at.runs[r], begun[r] = m, m
		}
	}
	return begun
}

// evacuate watches the reclaimable servers that are leaving, or whose entries
// were removed, while streams run there.
func (s *Server) evacuate(known map[machine.ID]machine.Lifecycle) {
	mover, ok := s.Backend.(Mover)
	if !ok {
		return
	}
	leaves := func(server *fleet.Server) bool {
		state, ok := known[server.ID]
		return server.Reclaimable && (!ok || state != machine.Serving)
	}
	for _, server := range s.streams.unwatched(leaves, time.Now()) {
		go s.watchDeparture(mover, server)
	}
}

// watchDeparture asks a leaving server when it will be gone, and moves the
// streams off it that still run shortly before. A server that names no time
// lets its requests end.
func (s *Server) watchDeparture(mover Mover, server *fleet.Server) {
	gone, err := s.departure(mover, server)
	entry := s.Log.WithFields(logrus.Fields{"event": "departure", "server": server.ID, "reported_ms": time.Since(server.ReportedAt).Milliseconds()})
	if err != nil || gone.IsZero() {
		entry.WithError(err).Info("the leaving server names no time; its streams stay")
		return
	}
	entry.WithField("leaves_in_ms", time.Until(gone).Milliseconds()).Info("the server will be gone; its streams are moved")
	time.Sleep(time.Until(gone.Add(-moveLead)))
	for time.Now().Before(gone) {
		for r, m := range s.streams.beginMoves(server.ID) {
			go r.move(mover, m, server)
		}
		time.Sleep(moveInterval)
	}
}

// departure returns when a leaving server will be gone, zero when it does not say.
func (s *Server) departure(mover Mover, server *fleet.Server) (time.Time, error) {
	if server.LeavesIn > 0 {
		return server.ReportedAt.Add(server.LeavesIn), nil
	}
	for range reportTries {
		time.Sleep(reportDelay)
		if !s.streams.any(server.ID) {
			return time.Time{}, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
		left, err := mover.LeavesIn(ctx, server)
		cancel()
		if err != nil {
			return time.Time{}, err
		}
		if left > 0 {
			return time.Now().Add(left), nil
		}
	}
	return time.Time{}, nil
}

// move carries the run to another server. The goroutine that relays its stream
// goes on there once the stream has ended here.
func (r *run) move(mover Mover, m *move, from *fleet.Server) {
	defer close(m.done)
	defer m.advance(moveEnded)
	exclude := []machine.ID{from.ID}
	for range moveTries {
		to, ok := r.destination(exclude)
		if !ok || !r.server.Budget.Take(r.pool, time.Now()) {
			return
		}
		exclude = append(exclude, to.ID)
		err := r.moveTo(mover, m, from, to)
		r.logMove(m, from, to, err)
		if err == nil || m.handle.ID != "" || errors.Is(err, ErrNotRunning) || r.ctx.Err() != nil {
			return
		}
	}
}

// moveTo copies the run's memory while it goes on, then stops the run.
func (r *run) moveTo(mover Mover, m *move, from, to *fleet.Server) error {
	ctx, cancel := context.WithTimeout(r.ctx, moveTimeout)
	defer cancel()
	if err := mover.Copy(ctx, r.req.ID, from, to); err != nil {
		return err
	}
	if !m.advance(moveStopping) {
		return ErrNotRunning
	}
	ctx, cancelStop := context.WithTimeout(r.ctx, moveTimeout)
	defer cancelStop()
	handle, err := mover.Stop(ctx, r.req.ID, from, to)
	if handle.ID == "" {
		return err
	}
	m.to, m.handle = to, handle
	if err != nil {
		m.to = from
	}
	return err
}

// destination picks the least loaded server of the pool for a run whose prompt
// is read already.
func (r *run) destination(exclude []machine.ID) (*fleet.Server, bool) {
	now := time.Now()
	p := r.placement(exclude, now)
	p.predict = func(id machine.ID, _ int) forecast.Estimate {
		return r.server.Predictor.Predict(r.pool, id, r.req.Prompt, r.req.Prompt.Tokens, now)
	}
	best, ok := choose(p)
	return best.server, ok
}

// outcome returns where the run goes on after its stream ended at its server:
// nil when it does not. A stream that ended before the order to stop has either
// come to its end or lost its server.
func (m *move) outcome() *errMoved {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	if m.phase == moveCopying {
		m.phase = moveEnded
		m.mu.Unlock()
		return nil
	}
	m.mu.Unlock()
	<-m.done
	if m.handle.ID == "" {
		return nil
	}
	return &errMoved{to: m.to, handle: m.handle}
}

// errMoved ends an attempt whose run goes on at another server.
type errMoved struct {
	to     *fleet.Server
	handle Handle
}

func (e *errMoved) Error() string { return "the run goes on at " + string(e.to.ID) }

// logMove writes the outcome of a try to move the run.
func (r *run) logMove(m *move, from, to *fleet.Server, err error) {
	countMove(err)
	entry := r.server.Log.WithFields(logrus.Fields{
		"event": "run_moved", "request": r.req.ID, "server": from.ID, "to": to.ID,
		"stopped": m.handle.ID != "",
	})
	if err != nil {
		entry.WithError(err).WithField("verdict", contract.VerdictOf(err)).Info("the run was not moved")
		return
	}
	entry.Info("the run's memory was moved")
}
