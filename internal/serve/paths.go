package serve

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/fleet"
)

const (
	// probedServers is the number of servers to which a round of probes opens connections,
	// and probeTimeout bounds it.
	probedServers = 4
	probeTimeout  = 250 * time.Millisecond
)

// probePaths starts a round of probes if the paths to the servers are in doubt or lost, and no
// round is running.
func (s *Server) probePaths(p *fleet.Snapshot, now time.Time) {
	checker, ok := s.Backend.(Checker)
	if !ok || !s.paths.MustProbe(now) || !s.probing.CompareAndSwap(false, true) {
		return
	}
	servers := sampleServing(p)
	go func() {
		defer s.probing.Store(false)
		if len(servers) == 0 {
			return
		}
		s.judgePaths(reachesAny(checker, servers), len(servers))
	}()
}

// sampleServing returns random servers that are said to serve.
func sampleServing(p *fleet.Snapshot) []*fleet.Server {
	var serving []*fleet.Server
	for _, servers := range p.Servers {
		for _, server := range servers {
			if server.Usable() && !server.LeaseExpired() {
				serving = append(serving, server)
			}
		}
	}
	rand.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	return serving[:min(len(serving), probedServers)]
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
		entry.Warn("this instance reaches none of the probed servers")
		return
	}
	s.suspects.Clear()
	entry.Info("this instance reaches servers again")
}
