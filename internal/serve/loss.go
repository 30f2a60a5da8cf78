package serve

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/quarantine"
	"kumquatyard/internal/ratelimit"
)

// Checker is a Backend that can tell whether a server has ended.
type Checker interface {
	// HasEnded reports whether nothing listens at a server's address. An error means that
	// this is not known.
	HasEnded(ctx context.Context, server *fleet.Server) (bool, error)
}

const (
	// answeredTime is how long after its first event a stream counts as answered at
	// length.
	answeredTime = 300 * time.Millisecond
	// endCheckTimeout bounds the question whether a server has ended. endedTime is how long
	// the answer that it has is used for other requests, and runningTime that it has not.
	endCheckTimeout = 100 * time.Millisecond
	endedTime       = 2 * time.Second
	runningTime     = 50 * time.Millisecond
)

// endChecks asks once whether a server has ended, for all requests that broke off there.
type endChecks struct {
	mu sync.Mutex
	// checks holds the last check of each incarnation of a server.
	checks map[string]*endCheck
}

// endCheck is one question. ended is set before done is closed.
type endCheck struct {
	validUntil time.Time
	done       chan struct{}
	ended      bool
}

// get returns the check of an incarnation, and whether the caller has to carry it out.
func (e *endChecks) get(incarnation string, now time.Time) (check *endCheck, isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.checks[incarnation]; c != nil && now.Before(c.validUntil) {
		return c, false
	}
	if e.checks == nil {
		e.checks = make(map[string]*endCheck)
	}
	c := &endCheck{validUntil: now.Add(endedTime), done: make(chan struct{})}
	e.checks[incarnation] = c
	return c, true
}

// finish sets the outcome of a check.
func (e *endChecks) finish(c *endCheck, ended bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.ended = ended
	if !ended {
		c.validUntil = now.Add(runningTime)
	}
	close(c.done)
}

// expire drops old checks.
func (e *endChecks) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.checks, func(_ string, c *endCheck) bool { return !now.Before(c.validUntil) })
}

// incarnationOf identifies one start of a server.
func incarnationOf(s *fleet.Server) string {
	return string(s.ID) + "/" + strconv.FormatInt(s.StartedAtMs, 10)
}

// hasEnded reports whether a server has ended. It is not known to have ended if it is
// silent.
func (s *Server) hasEnded(server *fleet.Server) bool {
	checker, ok := s.Backend.(Checker)
	if !ok {
		return false
	}
	check, isNew := s.ends.get(incarnationOf(server), time.Now())
	if !isNew {
		<-check.done
		return check.ended
	}
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	ended, err := checker.HasEnded(ctx, server)
	ended = ended && err == nil
	s.ends.finish(check, ended, time.Now())
	s.logEnd(server, ended, err)
	return ended
}

// logEnd logs whether a server at which requests broke off has ended.
func (s *Server) logEnd(server *fleet.Server, ended bool, err error) {
	entry := s.Log.WithFields(logrus.Fields{
		"event": "server_checked", "server": server.ID, "pool": server.Pool, "ended": ended, "report_age_ms": time.Since(server.ReportedAt).Milliseconds(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("requests broke off at the server; asked whether it accepts connections")
}

// recordLoss records an attempt that broke off because its server ended without notice, as
// evidence against the parts of its prompt, unless it had been answered at length.
func (r *run) recordLoss(server *fleet.Server, err error) {
	if len(r.parts) == 0 || r.answered || r.ctx.Err() != nil || contract.VerdictOf(err) == contract.NotRun {
		return
	}
	if errors.Is(err, errFirstByteTimeout) {
		return // silent servers may not have ended, and asking them takes time
	}
	if !r.server.isServing(server) || !r.server.hasEnded(server) {
		return
	}
	r.server.Quarantine.RecordLoss(quarantine.Loss{
		Server: incarnationOf(server), Request: r.req.ID, Parts: r.parts, Begun: r.answerBegun,
	}, time.Now())
}

// isServing reports whether the server's last report says that it serves: one that leaves or
// whose entry was removed ends for a known reason.
func (s *Server) isServing(server *fleet.Server) bool {
	for _, known := range s.Snapshot().Servers[server.Pool] {
		if known.ID == server.ID {
			return known.Lifecycle == machine.Serving && known.StartedAtMs == server.StartedAtMs
		}
	}
	return false
}

// noteProgress is called when a part of an answer was forwarded. begunAt is when the first
// was.
func (r *run) noteProgress(begunAt *time.Time) {
	now := time.Now()
	if begunAt.IsZero() {
		*begunAt = now
	}
	if !r.answered && now.Sub(*begunAt) >= answeredTime {
		r.recordAnswered()
	}
}

// recordAnswered records that a server answered on the prompt's parts.
func (r *run) recordAnswered() {
	r.answered = true
	r.server.Quarantine.RecordAnswer(r.parts, time.Now())
}

// refuseQuarantined returns the refusal of a request with a quarantined part, nil if there
// is none.
func (r *run) refuseQuarantined(now time.Time) error {
	part, left, ok := r.server.Quarantine.Quarantined(r.parts, now)
	if !ok {
		return nil
	}
	return contract.Refusal(contract.KindUnavailable, left, fmt.Sprintf("servers end when they answer on part %s of the prompt", quarantine.FormatPart(part)))
}

// isWanted reports, right before the request is sent, whether the server accepts requests
// and no part of the prompt was quarantined meanwhile. If so, the request is charged to the
// server's limit.
func (r *run) isWanted(server *fleet.Server) bool {
	now := time.Now()
	if _, _, quarantined := r.server.Quarantine.Quarantined(r.parts, now); quarantined {
		return false
	}
	if !r.server.backoffs.wanted(server, now) || !r.server.Limits.Take(ratelimit.IncarnationOf(server), now) {
		return false
	}
	r.sentAt = now
	return true
}
