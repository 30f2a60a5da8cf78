package serve

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
	// IsConnected reports whether an idle connection to the server is open.
	IsConnected(server *fleet.Server) bool
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
	// endConfirmTime is how long a process that is killed may take until it listens no more: its
	// connections may end first. shortConfirmTime is the part of it for which an answer waits of
	// which nothing was forwarded yet.
	endConfirmTime   = 60 * time.Millisecond
	shortConfirmTime = 8 * time.Millisecond
)

// endChecks asks once whether a server has ended, for all requests that broke off there.
type endChecks struct {
	mu sync.Mutex
	// checks holds the last check of each incarnation of a server.
	checks map[string]*endCheck
}

// endCheck is one question. ended is set before done is closed.
type endCheck struct {
	begunAt    time.Time
	validUntil time.Time
	done       chan struct{}
	ended      bool
}

// get returns the check of an incarnation, and whether the caller has to carry it out. One that
// began before since tells only whether the server had ended.
func (e *endChecks) get(incarnation string, since, now time.Time) (check *endCheck, isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.checks[incarnation]; c != nil && now.Before(c.validUntil) && (c.ended || !c.begunAt.Before(since)) {
		return c, false
	}
	if e.checks == nil {
		e.checks = make(map[string]*endCheck)
	}
	c := &endCheck{begunAt: now, validUntil: now.Add(endedTime), done: make(chan struct{})}
	e.checks[incarnation] = c
	return c, true
}

// isEnded reports whether an incarnation is known to have ended.
func (e *endChecks) isEnded(incarnation string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.checks[incarnation]
	return c != nil && c.ended && now.Before(c.validUntil)
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

// endedWith reports whether a server ended together with an answer of it, which ended just now. It
// takes a time to confirm that the server goes on.
func (s *Server) endedWith(server *fleet.Server, confirm time.Duration) bool {
	checker, ok := s.Backend.(Checker)
	if !ok {
		return false
	}
	now := time.Now()
	if s.hasStartedAgain(server) || s.hasEnded(server, now) {
		return true
	}
	time.Sleep(confirm)
	return !checker.IsConnected(server) && s.hasEnded(server, now.Add(confirm))
}

// hasStartedAgain reports whether a later start of a server is known.
func (s *Server) hasStartedAgain(server *fleet.Server) bool {
	return slices.ContainsFunc(s.Snapshot().Servers[server.Pool], func(known *fleet.Server) bool {
		return known.ID == server.ID && known.StartedAtMs > server.StartedAtMs
	})
}

// hasEnded reports whether a server has ended, by what was found since a time. It is not known to
// have ended if it is silent.
func (s *Server) hasEnded(server *fleet.Server, since time.Time) bool {
	checker, ok := s.Backend.(Checker)
	if !ok {
		return false
	}
	check, isNew := s.ends.get(incarnationOf(server), since, time.Now())
	if !isNew {
		<-check.done
		return check.ended
	}
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	ended, err := checker.HasEnded(ctx, server)
	ended = ended && err == nil && s.reachesAnother(checker, server)
	s.ends.finish(check, ended, time.Now())
	if ended || err != nil {
		s.logEnd(server, ended, err)
	}
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
	entry.Info("answers ended at the server, perhaps with it; asked whether it accepts connections")
}

// recordLoss records an attempt that broke off because its server ended without notice, as
// evidence against the request and the parts of its prompt, unless it had been answered at
// length.
func (r *run) recordLoss(server *fleet.Server, err error) {
	if r.answered || r.isOver() || contract.VerdictOf(err) != contract.MayHaveRun {
		return
	}
	if errors.Is(err, errFirstByteTimeout) || errors.Is(err, errPathsLost) {
		return // silent servers may not have ended, and asking them takes time
	}
	if !r.server.isServing(server) || !r.server.hasEnded(server, time.Now().Add(-runningTime)) {
		return
	}
	r.server.Quarantine.RecordLoss(quarantine.Loss{
		Server: incarnationOf(server), Request: r.req.ID, Identity: r.identity(), SentAt: r.sentAt, Parts: r.parts, Begun: r.answerBegun,
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

// recordAnswered records that a server answered the request at length.
func (r *run) recordAnswered() {
	r.answered = true
	r.recordSurvived()
}

// recordSurvived records that a server answered the request, and on the prompt's parts, and
// has not ended.
func (r *run) recordSurvived() {
	now := time.Now()
	if len(r.parts) > 0 {
		r.server.Quarantine.RecordAnswer(r.parts, now)
	}
	if r.server.Quarantine.TracksRequests() {
		r.server.Quarantine.RecordRequestAnswer(r.identity(), now)
	}
}

// refuseQuarantined returns the refusal of a request that is quarantined, or that has a
// quarantined part; nil if there is none.
func (r *run) refuseQuarantined(now time.Time) error {
	q := r.server.Quarantine
	if q.TracksRequests() {
		if left, ok := q.QuarantinedRequest(r.identity(), now); ok {
			return contract.Refusal(contract.KindUnavailable, left, "servers end when they run this request")
		}
	}
	part, left, ok := q.Quarantined(r.parts, now)
	if !ok {
		return nil
	}
	return contract.Refusal(contract.KindUnavailable, left, fmt.Sprintf("servers end when they answer on part %s of the prompt", quarantine.FormatID(part)))
}

// isSuspected reports whether servers ended under the request or a part of its prompt, so
// that it is not repeated.
func (r *run) isSuspected() bool {
	return r.server.Quarantine.Suspected(r.parts) || r.isSuspectedRequest()
}

// isSuspectedRequest reports whether servers ended under the request. Its identity is not
// computed while nothing is known against any request.
func (r *run) isSuspectedRequest() bool {
	q := r.server.Quarantine
	return q.TracksRequests() && q.SuspectedRequest(r.identity())
}

// acquire returns the refusal of a suspected request of which this instance has a copy in
// flight; nil if it may be sent.
func (r *run) acquire() error {
	q := r.server.Quarantine
	if r.acquired || !r.isSuspectedRequest() {
		return nil
	}
	if q.MustSpare(r.identity(), r.servingIncarnations(), time.Now()) {
		return contract.Refusal(contract.KindUnavailable, r.retryAfter(retryAfterNoServer), "servers ended under this request, and few others serve")
	}
	if !q.Acquire(r.identity(), rand.Float64()) {
		return contract.Refusal(contract.KindUnavailable, r.retryAfter(retryAfterNoServer), "servers ended under this request, and another copy of it is in flight")
	}
	r.acquired = true
	return nil
}

// servingIncarnations returns the incarnations of the pool's servers that are said to serve.
func (r *run) servingIncarnations() []string {
	var list []string
	for _, s := range r.server.Snapshot().Servers[r.pool] {
		if s.Usable() {
			list = append(list, incarnationOf(s))
		}
	}
	return list
}

// release ends what acquire began.
func (r *run) release() {
	if r.acquired {
		r.server.Quarantine.Release(r.identity())
	}
}

// isWanted reports, right before the request is sent, whether the server accepts requests
// and neither the request nor a part of its prompt was quarantined meanwhile. If so, the
// request is charged to the server's limit, and to its room until leaveRoom is called.
func (r *run) isWanted(server *fleet.Server) bool {
	now := time.Now()
	if r.refuseQuarantined(now) != nil {
		return false
	}
	if !r.mayGoTo(server, now) || !r.rolloutAllows(server) || !r.server.Limits.Take(ratelimit.IncarnationOf(server), now) {
		return false
	}
	if !r.server.Brittle.Take(server, now) {
		r.server.Limits.Refund(ratelimit.IncarnationOf(server), now)
		return false
	}
	if !r.rolloutPass(now).Take(server, now) {
		r.server.Limits.Refund(ratelimit.IncarnationOf(server), now)
		r.server.Brittle.Release(server)
		return false
	}
	r.hasRoom = true
	r.sentAt = now
	return true
}

// mayGoTo reports whether the server has not asked for no further requests. A leaving server takes
// back the run that it stopped.
func (r *run) mayGoTo(server *fleet.Server, now time.Time) bool {
	wait, returns := r.server.backoffs.remaining(server, now)
	return wait == 0 && (returns || r.handle.ID != "")
}

// leaveRoom ends what isWanted charged to the server's room.
func (r *run) leaveRoom(server *fleet.Server) {
	if r.hasRoom {
		r.hasRoom = false
		r.server.Brittle.Release(server)
	}
}
