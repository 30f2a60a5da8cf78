package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/brittle"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/demand"
	"kumquatyard/internal/drain"
	"kumquatyard/internal/fairshare"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/handover"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/origin"
	"kumquatyard/internal/outlier"
	"kumquatyard/internal/quarantine"
	"kumquatyard/internal/ratelimit"
	"kumquatyard/internal/reach"
	"kumquatyard/internal/rescue"
	"kumquatyard/internal/retry"
	"kumquatyard/internal/rollout"
)

// Quotas enforces the workspaces' quotas.
type Quotas interface {
	// Take charges amount, or returns how long until the quota allows it. draw is
	// uniformly distributed over 0 to 1.
	Take(workspace *fleet.Workspace, amount, draw float64, now time.Time) (wait time.Duration, ok bool)
	// Refund credits the charge of a request that did not run.
	Refund(workspace *fleet.Workspace, amount float64, now time.Time)
}

// Usage counts the requests that started to run.
type Usage interface {
	RecordStart(workspace string, now time.Time)
}

// Options are the dependencies of a Server.
type Options struct {
	// Zone is the instance's availability zone.
	Zone string
	// Snapshot returns the current snapshot, nil before the first configuration.
	Snapshot func() *fleet.Snapshot
	// Instances returns the number of entry instances.
	Instances func() int
	Backend   Backend
	Quotas    Quotas
	Usage     Usage
	Predictor *forecast.Predictor
	Budget    *retry.PoolBudget
	Demand    *demand.Meter
	// Quarantine judges requests and parts of prompts by the servers that ended under them;
	// New creates one if it is nil.
	Quarantine *quarantine.Tracker
	// Limits holds the limits of request rates that servers name; New creates one for a
	// single instance if it is nil.
	Limits *ratelimit.Tracker
	// Brittle shares the room of servers that fall over when they turn requests away; New creates
	// one for a single instance if it is nil.
	Brittle *brittle.Tracker
	// Shares decides which requests are over their share of a pool that is short of room; New
	// creates an inactive one if it is nil.
	Shares *fairshare.Tracker
	// Origins knows which versions of the servers' software began streams; New creates one for
	// a single instance if it is nil.
	Origins *origin.Tracker
	// Rollouts says which versions requests may go to while a pool's version is changed; New creates
	// one without roll-outs if it is nil.
	Rollouts *rollout.Tracker
	// DrainTime is how long a server may get requests after it was announced that it leaves; 0
	// means without a limit.
	DrainTime time.Duration
	// OtherInstances returns the other instances; nil if there are none.
	OtherInstances func() []handover.Helper
	// Helpers knows which other instances may serve requests; New creates one if it is nil.
	Helpers *handover.Directory
	// MarkLeaving is called with a server whose answer says that it is leaving; may be
	// nil.
	MarkLeaving func(*fleet.Server)
	Log         *logrus.Entry
}

// Server serves requests. It is safe for concurrent use.
type Server struct {
	Options
	running atomic.Int64
	streams *streams

	mu       sync.Mutex
	outliers *outlier.Detector
	ejected  atomic.Pointer[map[machine.ID]bool]
	suspects sync.Map // machine.ID → suspicion
	backoffs backoffs
	// paths judges whether this instance reaches the servers; probing is set during a round
	// of probes.
	paths   *reach.Watch
	probing atomic.Bool
	// downShares holds the share of the paths that are down, of the pools where it is at least
	// cutShare.
	downShares atomic.Pointer[map[string]float64]
	ends       endChecks

	// stopPlan is set once the instance is stopping, and durations tells how long requests take.
	stopPlan  atomic.Pointer[drain.Plan]
	durations drain.Durations
	// lifetime ends when the requests in flight are ended, by endRequests.
	lifetime    context.Context
	endRequests context.CancelCauseFunc
}

// ejectionSettings eject a failing server for seconds only, since servers are
// replaced within a minute.
var ejectionSettings = outlier.Settings{
	MaxShare: 0.5, BaseEjection: 2 * time.Second, MaxEjection: 10 * time.Second, FailureShare: 0.25, SlowFactor: 100,
}

// New returns a Server.
func New(o Options) *Server {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(o.Log)
	}
	o.Quarantine.DeferJudgments(func(after time.Duration) {
		time.AfterFunc(after, func() { o.Quarantine.Judge(time.Now()) })
	})
	if o.Brittle == nil {
		o.Brittle = brittle.New("", o.Log)
		o.Brittle.SetInstances(nil, time.Now())
	}
	if o.Origins == nil {
		o.Origins = origin.New(origin.Options{Log: o.Log})
	}
	if o.Rollouts == nil {
		o.Rollouts = rollout.New(rollout.Options{Log: o.Log})
	}
	if o.Helpers == nil {
		o.Helpers = handover.NewDirectory(o.Zone)
	}
	if o.Shares == nil {
		o.Shares = fairshare.New(fairshare.Options{})
	}
	if o.Limits == nil {
		o.Limits = ratelimit.New("", o.Log)
		o.Limits.SetInstances(nil, time.Now())
	}
	lifetime, endRequests := context.WithCancelCause(context.Background())
	s := &Server{
		Options: o, streams: newStreams(), paths: reach.New(), outliers: outlier.New(ejectionSettings), lifetime: lifetime, endRequests: endRequests,
	}
	s.downShares.Store(&map[string]float64{})
	return s
}

// Running returns the number of requests in flight.
func (s *Server) Running() int { return int(s.running.Load()) }

// ErrTruncated means that the answer was truncated after its head was sent. The
// caller must be able to tell that it is incomplete.
var ErrTruncated = errors.New("the answer broke off")

// maxRequestTime bounds a request for which neither the caller nor the route sets a limit,
// since a server may send bytes without end.
const maxRequestTime = 15 * time.Minute

// Serve answers a request. ctx ends when the caller disconnects. The error is nil
// after a complete answer, ErrTruncated after a part of one, and a *contract.Error
// when nothing was sent to the caller.
func (s *Server) Serve(ctx context.Context, req *Request, caller Caller) error {
	s.running.Add(1)
	defer s.running.Add(-1)
	end := req.EffectiveDeadline()
	if end.IsZero() {
		end = req.Arrived.Add(maxRequestTime)
	}
	if err := s.refuseWhileStopping(req, end, time.Now()); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	defer context.AfterFunc(s.lifetime, func() { abort(context.Cause(s.lifetime)) })()
	r := &run{server: s, ctx: ctx, req: req, caller: caller, handOverDraw: rand.Float64()}
	err := r.rescued(func() error { return s.serveCharged(r) })
	if err == nil {
		s.durations.Record(req.Route.Name, time.Since(req.Arrived))
	}
	return err
}

// rescued calls f. If it panics, the caller gets an error that says whether the request may have run.
func (r *run) rescued(f func() error) error {
	err := rescue.Do("request", logrus.Fields{"request": r.req.ID, "route": r.req.Route.Name}, r.server.Log, f)
	var p *rescue.PanicError
	if !errors.As(err, &p) {
		return err
	}
	if r.headSent {
		return ErrTruncated
	}
	if !r.sentAt.IsZero() {
		r.execution.record(contract.MayHaveRun)
	}
	return r.finalError(contract.Unavailable(r.execution.Verdict(), "the instance failed to serve the request", err))
}

// serveCharged serves a request and charges it to its workspace's quota, unless the instance that
// handed it over has.
func (s *Server) serveCharged(r *run) error {
	req := r.req
	if req.HandedOver {
		return r.serve()
	}
	charge := quotaCost(req)
	if wait, ok := s.Quotas.Take(req.Workspace, charge, rand.Float64(), req.Arrived); !ok {
		err := contract.Refusal(contract.KindOverloaded, wait, "the workspace's quota is used up")
		s.logRefused(req, err, logrus.Fields{"amount": charge, "wait_ms": wait.Milliseconds()})
		return err
	}
	err := r.serve()
	if r.execution.Verdict() == contract.NotRun {
		s.Quotas.Refund(req.Workspace, charge, time.Now())
	}
	return err
}

// quotaCost returns the charge of a request against its workspace's quota.
func quotaCost(req *Request) float64 {
	switch {
	case req.Workspace == nil || !req.Workspace.Quota.InTokens:
		return 1
	case req.Prompt == nil:
		return float64(req.Workspace.Quota.PlainTokens)
	default:
		return float64(req.Prompt.Tokens + req.Prompt.MaxOutput)
	}
}

// suspicion excludes a server until a time after consecutive failures.
type suspicion struct {
	until    time.Time
	failures int
}

const (
	suspectBaseDelay = 300 * time.Millisecond
	suspectMaxDelay  = 3 * time.Second
)

// suspect excludes a server that failed or was unreachable, for a delay that doubles
// with each consecutive failure up to suspectMaxDelay.
func (s *Server) suspect(id machine.ID, now time.Time) {
	failures := 0
	if old, ok := s.suspects.Load(id); ok {
		failures = old.(suspicion).failures
	}
	delay := min(suspectBaseDelay<<min(failures, 5), suspectMaxDelay)
	s.suspects.Store(id, suspicion{until: now.Add(delay), failures: failures + 1})
}

// clearSuspicion readmits a server that answered.
func (s *Server) clearSuspicion(id machine.ID) { s.suspects.Delete(id) }

// isSuspected reports whether the server at the end of a path is ejected, suspected or not
// reached.
func (s *Server) isSuspected(path reach.Path, now time.Time) bool {
	if s.paths.IsDown(path) {
		return true
	}
	id := path.Server
	if ejected := s.ejected.Load(); ejected != nil && (*ejected)[id] {
		return true
	}
	found, ok := s.suspects.Load(id)
	return ok && now.Before(found.(suspicion).until)
}

// observe records whether a request failed at a server.
func (s *Server) observe(id machine.ID, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outliers.Observe(outlier.Sample{Server: id, Failed: failed})
}

// Maintain updates the ejected servers and the arrival rates, starts to evacuate
// leaving servers, and drops the state of removed ones. It is called several times a
// second.
func (s *Server) Maintain(now time.Time) {
	p := s.Snapshot()
	if p == nil {
		return
	}
	var members []outlier.Member
	known := make(map[machine.ID]machine.Lifecycle)
	for pool, servers := range p.Servers {
		s.Predictor.SetArrivalRate(pool, s.Demand.Total(pool, now)/float64(max(len(servers), 1)))
		for _, server := range servers {
			known[server.ID] = server.Lifecycle
			s.Predictor.SetIncarnation(server.ID, server.StartedAtMs)
			members = append(members, outlier.Member{ID: server.ID, Zone: "", Pool: server.Pool})
		}
	}
	s.Shares.Update(p, now)
	s.evacuate(known)
	s.probePaths(p, now)
	s.updateDownShares(p)
	s.Quarantine.Expire(now)
	s.ends.expire(now)
	s.mu.Lock()
	ejected := s.outliers.Update(now, members)
	s.mu.Unlock()
	s.logEjections(ejected)
	s.ejected.Store(&ejected)
	isKnown := func(id machine.ID) bool { _, ok := known[id]; return ok }
	s.Predictor.Retain(isKnown)
	s.durations.Retain(p.Config.HasRoute)
	s.backoffs.retain(isKnown)
	s.paths.Retain(isKnown, func(pool string) bool { return len(p.Servers[pool]) > 0 })
	s.Limits.Retain(isKnown, now)
	s.Brittle.Retain(isKnown, now)
	s.suspects.Range(func(id, _ any) bool {
		if !isKnown(id.(machine.ID)) {
			s.suspects.Delete(id)
		}
		return true
	})
}

func (s *Server) logEjections(ejected map[machine.ID]bool) {
	var before map[machine.ID]bool
	if p := s.ejected.Load(); p != nil {
		before = *p
	}
	for id := range ejected {
		if !before[id] {
			s.Log.WithFields(logrus.Fields{"event": "server_ejected", "server": id}).Warn("server ejected for failed requests; it is used only when no other can be used")
		}
	}
	for id := range before {
		if !ejected[id] {
			s.Log.WithFields(logrus.Fields{"event": "server_readmitted", "server": id}).Info("server is no longer ejected")
		}
	}
}

func seed() uint64 { return rand.Uint64() }
