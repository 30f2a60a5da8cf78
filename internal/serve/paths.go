package serve

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/reach"
	"kumquatyard/internal/rescue"
)

const (
	// probedServers is the number of servers of each pool to which a round of probes opens
	// connections, and probeTimeout bounds it.
	probedServers = 12
	// comparedServers is the number of servers of each pool that are asked besides one that
	// refuses connections.
	comparedServers = 4
	probeTimeout    = 250 * time.Millisecond
	// cutShare is the share of a pool's paths that are down from which on this instance hands a
	// part of the pool's requests over, and takes none of others. The few servers that it reaches
	// would get the work of all.
	cutShare = 0.5
)

// probePaths starts a round of probes of the paths that are in doubt or down, unless one is
// running.
func (s *Server) probePaths(p *fleet.Snapshot, now time.Time) {
	checker, ok := s.Backend.(Checker)
	if !ok {
		return
	}
	paths := s.paths.Doubtful(now)
	var pools []string
	for pool, servers := range p.Servers {
		if s.paths.AllDoubtful(pool, now) && len(servers) > 0 {
			pools = append(pools, pool)
			continue
		}
		paths = append(paths, s.paths.Unverified(pool, availableIDs(servers), now)...)
	}
	if len(paths)+len(pools) == 0 || !s.probing.CompareAndSwap(false, true) {
		return
	}
	rescue.Go("probe", logrus.Fields{"paths": len(paths), "pools": len(pools)}, s.Log, func() {
		defer s.probing.Store(false)
		var wg conc.WaitGroup
		wg.Go(func() { s.probeEach(checker, serversOf(p, paths)) })
		for _, pool := range pools {
			wg.Go(func() { s.judgePool(checker, pool, s.sampleToJudge(p.Servers[pool])) })
		}
		wg.Wait()
	})
}

// availableIDs returns the ids of the servers that are said to serve.
func availableIDs(servers []*fleet.Server) (ids []machine.ID) {
	for _, server := range servers {
		if isAvailable(server) {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// isAvailable reports whether a server is said to serve.
func isAvailable(s *fleet.Server) bool { return s.Usable() && !s.LeaseExpired() }

// serversOf returns the servers of a snapshot at the ends of paths.
func serversOf(p *fleet.Snapshot, paths []reach.Path) []*fleet.Server {
	var found []*fleet.Server
	for _, servers := range p.Servers {
		for _, server := range servers {
			if slices.Contains(paths, pathTo(server)) {
				found = append(found, server)
			}
		}
	}
	return found
}

func pathTo(server *fleet.Server) reach.Path { return reach.Path{Pool: server.Pool, Server: server.ID} }

// reachesAnother reports whether another server accepts a connection, so that a refusal by this
// one does not come from the paths.
func (s *Server) reachesAnother(checker Checker, server *fleet.Server) bool {
	others := s.sampleOthers(server, time.Now())
	return len(others) == 0 || reachesAny(checker, others)
}

// probeEach probes the path to each of the servers, and reports whether one of them accepted a
// connection.
func (s *Server) probeEach(checker Checker, servers []*fleet.Server) (reached bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var opened atomic.Bool
	var wg conc.WaitGroup
	for _, server := range servers {
		wg.Go(func() {
			ended, err := checker.HasEnded(ctx, server)
			outcome := outcomeOf(ended, err)
			s.judgePath(server, outcome)
			if outcome == reach.Opened {
				opened.Store(true)
			}
		})
	}
	wg.Wait()
	return opened.Load()
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
	wasDown := s.paths.IsDown(pathTo(server))
	s.paths.Probed(pathTo(server), outcome, time.Now())
	isDown := s.paths.IsDown(pathTo(server))
	if wasDown == isDown {
		return
	}
	s.Log.WithFields(logrus.Fields{"event": "path_changed", "server": server.ID, "pool": server.Pool, "down": isDown}).Info("the path of this instance to a server is down or back; other instances may reach it")
}

// sampleOthers returns random servers of each pool, besides one, that are said to serve: those first
// that are not known to have ended, which would refuse connections like a path that is cut.
func (s *Server) sampleOthers(server *fleet.Server, now time.Time) (list []*fleet.Server) {
	for _, servers := range s.Snapshot().Servers {
		var running, ended []*fleet.Server
		for _, other := range sample(servers, len(servers)) {
			switch {
			case other.ID == server.ID:
			case s.ends.isEnded(incarnationOf(other), now):
				ended = append(ended, other)
			default:
				running = append(running, other)
			}
		}
		all := append(running, ended...)
		list = append(list, all[:min(len(all), comparedServers)]...)
	}
	return list
}

// sample returns at most n random servers that are said to serve.
func sample(servers []*fleet.Server, n int) []*fleet.Server {
	serving := slices.DeleteFunc(slices.Clone(servers), func(s *fleet.Server) bool { return !isAvailable(s) })
	rand.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	return serving[:min(len(serving), n)]
}

// sampleToJudge returns servers of a pool that tell whether any is reached: those first whose
// paths are not known to be down.
func (s *Server) sampleToJudge(servers []*fleet.Server) []*fleet.Server {
	var open, failed []*fleet.Server
	for _, server := range sample(servers, len(servers)) {
		if s.paths.HasFailed(pathTo(server)) {
			failed = append(failed, server)
		} else {
			open = append(open, server)
		}
	}
	all := append(open, failed...)
	return all[:min(len(all), probedServers)]
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

// judgePool probes servers of a pool and records whether this instance reaches any of them. When
// the paths are back, servers are no longer suspected for what the paths did.
func (s *Server) judgePool(checker Checker, pool string, servers []*fleet.Server) {
	if len(servers) == 0 {
		return
	}
	reached := s.probeEach(checker, servers)
	if !s.paths.Judge(pool, reached, time.Now()) {
		return
	}
	entry := s.Log.WithFields(logrus.Fields{"event": "paths_changed", "pool": pool, "reached": reached, "probed": len(servers)})
	if !reached {
		entry.Warn("this instance reaches none of the probed servers of the pool; its requests are handed over to other instances")
		return
	}
	for _, server := range s.Snapshot().Servers[pool] {
		s.clearSuspicion(server.ID)
	}
	entry.Info("this instance reaches servers of the pool again")
}

// updateDownShares records the share of the paths to each pool that are down.
func (s *Server) updateDownShares(p *fleet.Snapshot) {
	shares := make(map[string]float64)
	for pool, servers := range p.Servers {
		if share := s.paths.DownShare(pool, availableIDs(servers)); share >= cutShare {
			shares[pool] = share
		}
	}
	s.downShares.Store(&shares)
}

// downShare returns the share of the paths to a pool that are down, 0 below cutShare.
func (s *Server) downShare(pool string) float64 {
	if s.paths.Lost(pool) {
		return 1
	}
	return (*s.downShares.Load())[pool]
}

// CutPools returns the pools to which so many paths are down that others should offer no
// requests for them to this instance.
func (s *Server) CutPools() []string { return slices.Sorted(maps.Keys(*s.downShares.Load())) }

// Reaches reports whether this instance reaches enough servers of a pool of a route, as far as it
// knows, to take requests of others.
func (s *Server) Reaches(route *fleet.Route) bool {
	return len(route.Targets) == 0 || slices.ContainsFunc(route.Targets, func(t fleet.Target) bool { return s.downShare(t.Pool) < cutShare })
}
