package quota

import (
	"math"
	"sync"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/rollup"
	pb "kumquatyard/proto/kumquat/v1"
)

// Ledger decides which requests the workspaces' quotas allow at one instance. It is safe
// for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	startedAt time.Time
	tolerance Tolerance
	instances int
	// staleness is the time in which a request becomes known to all instances.
	staleness time.Duration
	accounts  map[uint32]*account
	// covered is the fraction of the instances in the last report, and reportedAt when
	// its states were sent.
	covered    float64
	reportedAt time.Time
}

// account is what an instance knows of a workspace's quota.
type account struct {
	// requested and used are counted since the start of this instance.
	requested, used float64
	// reported is the level of all instances together in the last report, infinite if
	// that did not limit the workspace; ownUsed is what this instance had used by then, and
	// the rates are those of all instances.
	reported           float64
	ownUsed            float64
	requestedPerSecond float64
	usedPerSecond      float64
	ownRate            meter
	// own is the bucket with this instance's fair share, for the time without reports.
	own bucket
}

const (
	// A report is no longer used once its age is reportTimeoutFactor times the staleness
	// that SetInstances sets, but at least minReportTimeout.
	reportTimeoutFactor = 2
	minReportTimeout    = 500 * time.Millisecond
)

// New returns a Ledger for a process that started at startedAt; the use before that
// time is unknown to it.
func New(tolerance Tolerance, startedAt time.Time) *Ledger {
	return &Ledger{startedAt: startedAt, tolerance: tolerance, instances: assumedInstances, accounts: make(map[uint32]*account)}
}

// SetTolerance changes the use that is allowed beyond the quotas.
func (l *Ledger) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// SetInstances sets the number of instances that share the quotas, and the time in which
// a request becomes known to all of them.
func (l *Ledger) SetInstances(n int, staleness time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances, l.staleness = max(n, 1), staleness
}

// RecordReport records the levels of the quotas over all instances. own is what this
// instance had used when the state was sent that is in the report.
func (l *Ledger) RecordReport(levels []*pb.WorkspaceLevel, own []*pb.WorkspaceUse, instances int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Before(l.reportedAt) {
		return
	}
	l.reportedAt, l.covered = at, min(float64(instances)/float64(l.instances), 1)
	used := make(map[uint32]float64, len(own))
	for _, u := range own {
		used[u.GetWorkspace()] = float64(u.GetUsed())
	}
	for _, a := range l.accounts {
		a.reported, a.requestedPerSecond, a.usedPerSecond = math.Inf(1), 0, 0
	}
	for _, w := range levels {
		a := l.account(w.GetWorkspace())
		a.reported, a.requestedPerSecond, a.usedPerSecond = float64(w.GetLevel()), float64(w.GetRequestedPerSecond()), float64(w.GetUsedPerSecond())
	}
	for key, a := range l.accounts {
		a.ownUsed = used[key]
	}
}

// account returns the account of a workspace and creates it on first use.
func (l *Ledger) account(key uint32) *account {
	a := l.accounts[key]
	if a == nil {
		a = &account{reported: math.Inf(1), own: bucket{refilled: l.startedAt}}
		l.accounts[key] = a
	}
	return a
}

// view is what an instance may grant of a quota now.
type view struct {
	// level is what is left, with the overdraft; burst is the most that can be left.
	level, burst float64
	// perSecond is the rate at which the level rises, and demand what all instances
	// request per second.
	perSecond, demand float64
	// alone is set if only this instance's fair share is granted, for lack of reports.
	alone bool
}

// Take charges amount to a workspace, or returns how long until the quota allows it. A
// workspace without a limit is always allowed. draw is uniformly distributed over 0 to 1:
// under contention it decides which requests are granted.
func (l *Ledger) Take(w *fleet.Workspace, amount, draw float64, now time.Time) (wait time.Duration, ok bool) {
	if w == nil || w.Quota.PerSecond <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(rollup.Key(w.Name))
	a.own.quota = w.Quota
	a.requested += amount
	v := l.view(a, now)
	if missing := v.missing(amount, draw, l.staleness); missing > 0 {
		return max(time.Duration(missing/v.perSecond*float64(time.Second)), 0), false
	}
	a.used += amount
	a.ownRate.add(amount, now)
	a.own.level -= amount
	return 0, true
}

// view returns what this instance may grant: by the last report, or else its fair share.
func (l *Ledger) view(a *account, now time.Time) view {
	share := 1 / float64(l.instances)
	a.own.refill(share, l.tolerance, now)
	perSecond, burst := l.tolerance.perSecond(&a.own.quota), l.tolerance.burst(&a.own.quota)
	age := now.Sub(l.reportedAt)
	timeout := max(reportTimeoutFactor*l.staleness, minReportTimeout)
	if l.reportedAt.IsZero() || age >= timeout {
		return view{level: a.own.level + l.tolerance.overdraft()*share, perSecond: perSecond * share, alone: true}
	}
	v := view{burst: burst * l.covered, perSecond: perSecond * l.covered, demand: a.requestedPerSecond}
	others := max(a.usedPerSecond-a.ownRate.rate(now), 0)
	level := min(min(a.reported, v.burst)+(v.perSecond-others)*age.Seconds(), v.burst) - (a.used - a.ownUsed)
	v.level = level + l.tolerance.overdraft()*l.covered
	if overdue := age - l.staleness; overdue > 0 {
		// Others may use what is left as well: only the fair share of it remains at the
		// timeout.
		v.level *= 1 - (1-share)*overdue.Seconds()/(timeout-l.staleness).Seconds()
	}
	a.own.level = min(a.own.level, max(level, 0)*share)
	return v
}

// missing returns how much the level lacks for a request of amount, and 0 if the request
// is granted. All instances decide by levels of about the same time: if together they
// request more within staleness than is left, each grants only a fraction.
//
// A fair share may be less than one request. It is then overdrawn with the probability
// that the share is of the amount, so that what all instances grant adds up to the quota.
func (v *view) missing(amount, draw float64, staleness time.Duration) float64 {
	if v.alone {
		return max(amount*draw-v.level, 0)
	}
	if v.level < amount && v.level < v.burst {
		return amount - v.level
	}
	available := v.level + v.perSecond*staleness.Seconds()
	requested := v.demand * staleness.Seconds()
	if requested > available && draw*requested >= available {
		return requested - available
	}
	return 0
}

// Refund credits the charge of a request that did not run.
func (l *Ledger) Refund(w *fleet.Workspace, amount float64, now time.Time) {
	if w == nil || w.Quota.PerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(rollup.Key(w.Name))
	a.used -= amount
	a.own.level += amount
	a.ownRate.add(-amount, now)
}

// Uses returns what was requested and used here since the start, to report it.
func (l *Ledger) Uses() []*pb.WorkspaceUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*pb.WorkspaceUse, 0, len(l.accounts))
	for key, a := range l.accounts {
		if a.requested > 0 {
			list = append(list, &pb.WorkspaceUse{Workspace: key, Requested: uint64(a.requested), Used: uint64(max(a.used, 0))})
		}
	}
	return list
}
