package serve

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rescue"
)

const (
	// moveInterval is the interval between checks for streams to move.
	moveInterval = 100 * time.Millisecond
	// reportDelay is the maximum delay of a server's report on itself.
	reportDelay = 250 * time.Millisecond
	// reclaimTimeQueries is how often a leaving server is asked when it will be gone.
	reclaimTimeQueries = 2
	// evacuationRetention is how long a server stays marked after its evacuation
	// started.
	evacuationRetention = time.Minute
)

// streams holds the streams in flight, by server.
type streams struct {
	mu      sync.Mutex
	servers map[machine.ID]*serverStreams
	// evacuating holds the evacuations of servers, by incarnation.
	evacuating map[string]evacuation
}

// evacuation is that of one server. goneAt is when the server will be gone; zero if that is not
// known.
type evacuation struct{ since, goneAt time.Time }

type serverStreams struct {
	server *fleet.Server
	runs   map[*run]*move
}

func newStreams() *streams {
	return &streams{servers: make(map[machine.ID]*serverStreams), evacuating: make(map[string]evacuation)}
}

// add adds a stream with a pending move.
func (s *streams) add(server *fleet.Server, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.servers[server.ID]
	if entry == nil {
		entry = &serverStreams{server: server, runs: make(map[*run]*move)}
		s.servers[server.ID] = entry
	}
	entry.runs[r] = newMove(r, server)
}

// remove removes a run and returns its move, nil when there is none.
func (s *streams) remove(id machine.ID, r *run) *move {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.servers[id]
	if entry == nil {
		return nil
	}
	m := entry.runs[r]
	delete(entry.runs, r)
	if len(entry.runs) == 0 {
		delete(s.servers, id)
	}
	return m
}

// markLeaving returns the servers with streams for which isLeaving is true, and
// marks them as being evacuated, so that later calls leave them out.
func (s *streams) markLeaving(isLeaving func(*fleet.Server) bool, now time.Time) []*fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetEvacuations(now)
	var list []*fleet.Server
	for _, entry := range s.servers {
		incarnation := incarnationOf(entry.server)
		if _, ok := s.evacuating[incarnation]; !ok && isLeaving(entry.server) {
			s.evacuating[incarnation] = evacuation{since: now}
			list = append(list, entry.server)
		}
	}
	return list
}

// forgetEvacuations drops the evacuations that started long ago of servers without streams.
func (s *streams) forgetEvacuations(now time.Time) {
	used := make(map[string]bool)
	for _, entry := range s.servers {
		used[incarnationOf(entry.server)] = true
	}
	maps.DeleteFunc(s.evacuating, func(incarnation string, e evacuation) bool {
		return now.Sub(e.since) > evacuationRetention && !used[incarnation]
	})
}

// setGoneAt records when a server that is evacuated will be gone.
func (s *streams) setGoneAt(server *fleet.Server, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.evacuating[incarnationOf(server)]; ok {
		e.goneAt = at
		s.evacuating[incarnationOf(server)] = e
	}
}

// evacuationOf returns the evacuation of a server; zero if there is none.
func (s *streams) evacuationOf(server *fleet.Server) evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuating[incarnationOf(server)]
}

// any reports whether a stream is in flight at a server.
func (s *streams) any(id machine.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[id] != nil
}

// beginMoves starts the pending moves of the runs at a server, and returns these runs with their
// moves.
func (s *streams) beginMoves(id machine.ID) map[*run]*move {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.servers[id]
	if entry == nil {
		return nil
	}
	moves := make(map[*run]*move)
	for r, m := range entry.runs {
		if m.begin() {
			moves[r] = m
		}
	}
	return moves
}

// evacuate starts the evacuation of each reclaimable server with streams in flight
// that is leaving or whose entry was removed. known holds the lifecycle of all servers.
func (s *Server) evacuate(known map[machine.ID]machine.Lifecycle) {
	mover, ok := s.Backend.(Mover)
	if !ok {
		return
	}
	isLeaving := func(server *fleet.Server) bool {
		state, ok := known[server.ID]
		return server.Reclaimable && (!ok || state != machine.Serving)
	}
	for _, server := range s.streams.markLeaving(isLeaving, time.Now()) {
		rescue.Go("evacuation", logrus.Fields{"server": server.ID}, s.Log, func() { s.evacuateServer(mover, server) })
	}
}

// evacuateServer determines when a leaving server will be gone, and shortly before that
// moves the streams that are still in flight there. A server that reports no time
// lets its requests finish, so its streams are not moved.
func (s *Server) evacuateServer(mover Mover, server *fleet.Server) {
	goneAt, source, err := s.reclaimTime(mover, server)
	entry := s.Log.WithFields(logrus.Fields{"event": "departure", "server": server.ID, "source": source, "reported_ms": time.Since(server.ReportedAt).Milliseconds()})
	switch {
	case err != nil:
		entry.WithError(err).Warn("reclaim time of the leaving server is unknown, since it does not answer; no streams are moved")
		return
	case goneAt.IsZero():
		entry.Info("the leaving server reports no reclaim time or has no more streams; no streams are moved")
		return
	}
	entry.WithField("leaves_in_ms", time.Until(goneAt).Milliseconds()).Info("the server is leaving; streams still in flight are moved shortly before it is gone")
	s.streams.setGoneAt(server, goneAt)
	time.Sleep(time.Until(goneAt.Add(-moveLead)))
	for time.Now().Before(goneAt) {
		for r, m := range s.streams.beginMoves(server.ID) {
			rescue.Go("move", logrus.Fields{"request": r.req.ID, "server": server.ID}, s.Log, func() { r.move(mover, m, server) })
		}
		time.Sleep(moveInterval)
	}
}

// Sources of a leaving server's reclaim time, as logged.
const (
	sourceEntry  = "store entry"
	sourceServer = "server"
	sourceNone   = "none"
)

// reclaimTime returns when a leaving server will be gone, and the source of that; zero
// when it reports no time or has no streams in flight.
func (s *Server) reclaimTime(mover Mover, server *fleet.Server) (goneAt time.Time, source string, err error) {
	if server.LeavesIn > 0 {
		return server.ReportedAt.Add(server.LeavesIn), sourceEntry, nil
	}
	for range reclaimTimeQueries {
		time.Sleep(reportDelay)
		if !s.streams.any(server.ID) {
			return time.Time{}, sourceNone, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
		left, err := mover.LeavesIn(ctx, server)
		cancel()
		if err != nil {
			return time.Time{}, sourceServer, err
		}
		if left > 0 {
			return time.Now().Add(left), sourceServer, nil
		}
	}
	return time.Time{}, sourceNone, nil
}
