package serve

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
)

const (
	// continuationRounds is how often the servers that hold the KV cache of a stopped run are tried,
	// and continuationInterval the time between two rounds.
	continuationRounds   = 3
	continuationInterval = 50 * time.Millisecond
	// drainMargin is how long before the end of its drain time a leaving server gets the last
	// request, as it may have announced its leaving before this instance learned of it.
	drainMargin = 500 * time.Millisecond
)

// errStopped ends an attempt whose server has stopped the run, so that it continues with its KV
// cache.
type errStopped struct {
	handle Handle
	// source is the server that stopped the run, and keeps its KV cache. It takes the run back
	// until sourceUntil; zero means for as long as it lives.
	source      *fleet.Server
	sourceUntil time.Time
	// copiedTo is the server to which the KV cache was copied; nil if there is none.
	copiedTo *fleet.Server
	// full are the servers that did not take the KV cache.
	full []machine.ID
}

func (e *errStopped) Error() string { return "server " + string(e.source.ID) + " has stopped the run" }

// holders returns the servers that hold the KV cache, the preferred one first.
func (e *errStopped) holders(now time.Time) []*fleet.Server {
	var list []*fleet.Server
	if e.copiedTo != nil {
		list = append(list, e.copiedTo)
	}
	if e.sourceUntil.IsZero() || now.Before(e.sourceUntil) {
		list = append(list, e.source)
	}
	return list
}

// continueStopped continues a stopped run at a server that holds its KV cache. It goes to the next
// one only if the run is known not to go on at the one before.
func (r *run) continueStopped(stopped *errStopped) (choice candidate, done bool, err error) {
	r.handle = stopped.handle
	defer func() { r.handle = Handle{} }()
	choice = candidate{server: stopped.source}
	err = contract.Unavailable(contract.Ran, "no server that holds the KV cache of the stopped run takes it", nil)
	var refusedBy []machine.ID
	for round := range continuationRounds {
		if round > 0 {
			time.Sleep(continuationInterval)
		}
		for _, server := range stopped.holders(time.Now()) {
			if slices.Contains(refusedBy, server.ID) {
				continue
			}
			if r.isOver() || len(refusedBy) > 0 && !r.server.Budget.Take(r.pool, time.Now()) {
				return choice, done, err
			}
			if r.full = nil; server == stopped.source {
				r.full = stopped.full
			}
			sent := r.attempts
			choice = r.continuation(server)
			if done, err = r.attempt(choice); done || contract.VerdictOf(err) != contract.NotRun {
				return choice, done, err
			}
			r.logNotContinued(server, err)
			if r.attempts > sent {
				refusedBy = append(refusedBy, server.ID)
			}
		}
	}
	return choice, done, err
}

// continuation returns the candidate for the attempt at a server that holds the run's KV cache.
func (r *run) continuation(server *fleet.Server) candidate {
	c := candidate{server: server, estimate: forecast.Estimate{Cached: r.req.PromptTokens()}}
	r.lastCandidate = c
	r.server.Log.WithFields(logrus.Fields{"event": "run_continued", "request": r.req.ID, "server": server.ID, "source": r.handle.Server, "last_event": r.lastEvent}).Info("the stream continues at a server that holds the run's KV cache")
	return c
}

// logNotContinued logs that a server did not continue the run.
func (r *run) logNotContinued(server *fleet.Server, err error) {
	r.server.Log.WithError(err).WithFields(logrus.Fields{"event": "run_not_continued", "request": r.req.ID, "server": server.ID, "last_event": r.lastEvent}).Info("the server did not continue the stopped run; trying the others that hold its KV cache")
}
