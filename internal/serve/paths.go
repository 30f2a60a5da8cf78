package serve

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/reach"
)

const (
	// probedServers is the number of servers of each pool to which a round of probes opens
	// connections, and probeTimeout bounds it.
	probedServers = 12
	// comparedServers is the number of servers of each pool that are asked besides one that
	// refuses connections.
	comparedServers = 4
	probeTimeout    = 250 * time.Millisecond
)

// probePaths starts a round of probes of the paths that are in doubt or down, unless one is
// running.
func (s *Server) probePaths(p *fleet.Snapshot, now time.Time) {
	checker, ok := s.Backend.(Checker)
	if !ok {
		return
	}
	doubtful, all := s.paths.Doubtful(now), s.paths.AllDoubtful(now)
	if (len(doubtful) == 0 && !all) || !s.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.probing.Store(false)
		var wg conc.WaitGroup
		wg.Go(func() { s.probeEach(checker, serversOf(p, doubtful)) })
		if servers := sampleServing(p, probedServers); all && len(servers) > 0 {
			wg.Go(func() { s.judgePaths(reachesAny(checker, servers), len(servers)) })
		}
		wg.Wait()
	}()
}

// serversOf returns the servers of a snapshot with the given ids.
func serversOf(p *fleet.Snapshot, ids []machine.ID) []*fleet.Server {
	var found []*fleet.Server
	for _, servers := range p.Servers {
		for _, server := range servers {
			if slices.Contains(ids, server.ID) {
				found = append(found, server)
			}
		}
	}
	return found
}

// reachesAnother reports whether another server accepts a connection, so that a refusal by this
// one does not come from the paths.
func (s *Server) reachesAnother(checker Checker, server *fleet.Server) bool {
	others := slices.DeleteFunc(sampleServing(s.Snapshot(), comparedServers), func(other *fleet.Server) bool { return other.ID == server.ID })
	return len(others) == 0 || reachesAny(checker, others)
}

// probeEach probes the path to each of the servers.
func (s *Server) probeEach(checker Checker, servers []*fleet.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, server := range servers {
		wg.Go(func() {
			ended, err := checker.HasEnded(ctx, server)
			s.judgePath(server, outcomeOf(ended, err))
		})
	}
	wg.Wait()
}

func outcomeOf(ended bool, err error) reach.Outcome {
	switch {
	case err != nil:
		return reach.Silent
	case ended:
		return reach.Refused
	default:
		return reach.Opened
	}
}

// judgePath records the outcome of a probe of one path.
func (s *Server) judgePath(server *fleet.Server, outcome reach.Outcome) {
	wasDown := s.paths.IsDown(server.ID)
	s.paths.Probed(server.ID, outcome, time.Now())
	isDown := s.paths.IsDown(server.ID)
	if wasDown == isDown {
		return
	}
	s.Log.WithFields(logrus.Fields{"event": "path_changed", "server": server.ID, "pool": server.Pool, "down": isDown}).Info("the path of this instance to a server is down or back; other instances may reach it")
}

// sampleServing returns random servers of each pool that are said to serve.
func sampleServing(p *fleet.Snapshot, perPool int) []*fleet.Server {
	var sample []*fleet.Server
	for _, servers := range p.Servers {
		serving := slices.DeleteFunc(slices.Clone(servers), func(s *fleet.Server) bool { return !s.Usable() || s.LeaseExpired() })
		rand.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
		sample = append(sample, serving[:min(len(serving), perPool)]...)
	}
	return sample
}

// reachesAny reports whether one of the servers accepts a connection.
func reachesAny(checker Checker, servers []*fleet.Server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var reached atomic.Bool
	var wg conc.WaitGroup
	for _, server := range servers {
		wg.Go(func() {
			if ended, err := checker.HasEnded(ctx, server); err == nil && !ended {
				reached.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	return reached.Load()
}

// judgePaths records the outcome of a round of probes. When the paths are back, servers are no
// longer suspected for what the paths did.
func (s *Server) judgePaths(reached bool, probed int) {
	if !s.paths.Judge(reached) {
		return
	}
	entry := s.Log.WithFields(logrus.Fields{"event": "paths_changed", "reached": reached, "probed": probed})
	if !reached {
		entry.Warn("this instance reaches none of the probed servers; its requests are handed over to other instances")
		return
	}
	s.suspects.Clear()
	entry.Info("this instance reaches servers again")
}
