// Package quota enforces the workspaces' quotas over all instances without remote
// calls on the request path. Each instance charges a token bucket for its own requests
// immediately, and for those of the other instances when they report them. For an
// instance whose reports are missing it reserves a fair share of the quota. Partitioned
// instances therefore stay within the quota together.
package quota

import (
	"math"
	"sync"
	"time"

	"kumquatyard/internal/fleet"
)

// minPeerTimeout is the minimum time without a report after which an instance's fair
// share is reserved.
const minPeerTimeout = time.Second

// Tolerance is the use that operators allow beyond the quotas: in any Window a
// workspace may use (rate * Window + burst) * (1 + Overrun) + Slack.
type Tolerance struct {
	Slack   float64
	Overrun float64
	Window  time.Duration
}

const (
	// overdraft is the fraction of the slack by which a bucket may be overdrawn.
	overdraft = 0.15
	// startAllowanceShare is the fraction of the tolerance that is granted at a start. It
	// is below a half, since all instances may start twice within a window.
	startAllowanceShare = 0.45
)

// overdraft returns how far a bucket may be overdrawn.
func (t Tolerance) overdraft() float64 { return overdraft * t.Slack }

// startAllowance returns what a workspace may use right after a start of all instances,
// when the use before the start is unknown. The quota itself and the overdraft may have
// been used in full before the start and may be again after it, so the allowance comes
// out of the tolerance beyond them.
func (t Tolerance) startAllowance(q *fleet.Quota) float64 {
	beyond := t.Overrun*(q.PerSecond*t.Window.Seconds()+q.Burst) + (1-2*overdraft)*t.Slack
	return startAllowanceShare * beyond
}

// Ledger holds the buckets of all workspaces. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// startedAt is the start of the process. The use before it is unknown, so buckets
	// fill from then on.
	startedAt time.Time
	tolerance Tolerance
	instances int
	// peerTimeout is the time without a report after which an instance's fair share
	// is reserved.
	peerTimeout time.Duration
	buckets     map[string]*bucket
	// localUse is what this instance charged to each workspace since its start.
	localUse map[string]float64
	peers    map[string]*peerUsage
}

// bucket is the token bucket of a workspace, as seen by this instance.
type bucket struct {
	level     float64
	refilled  time.Time
	perSecond float64
	burst     float64
	// localUse and peerUse are the recent use of this instance and of all others,
	// decayed over useDecay. expectedPeerUse is the estimated use of the others since
	// their last reports, in proportion to localUse.
	localUse, peerUse float64
	expectedPeerUse   float64
	// startShare is the fraction of the start allowance that was added to the level.
	// adopted is set when the level was adopted from an instance that knew it.
	startShare float64
	adopted    bool
}

// useDecay is the time constant with which recent use decays.
const useDecay = 2 * time.Second

// peerUsage is the use reported by another instance, cumulative since its start.
type peerUsage struct {
	reportedAt time.Time
	used       map[string]float64
}

// Account is what an instance reports to the others about a workspace.
type Account struct {
	// Used is what the instance charged since its start.
	Used float64
	// Remaining is the level of its bucket. It is valid only when Known is set, which
	// means that the instance has run for long enough to know the level.
	Remaining float64
	Known     bool
}

const (
	// An instance knows the levels of its buckets once it has run for levelKnownAfter
	// and receives the reports of at least levelKnownShare of the instances.
	levelKnownAfter = 3 * time.Second
	levelKnownShare = 0.5
	// adoptionPeriod is how long after its start an instance adopts the levels of
	// instances that know them.
	adoptionPeriod = 1200 * time.Millisecond
)

// assumedInstances is the number of instances assumed until SetInstances is called.
const assumedInstances = 8

// New returns a Ledger for a process that started at startedAt; the use before that
// time is unknown to it.
func New(tolerance Tolerance, startedAt time.Time) *Ledger {
	return &Ledger{
		startedAt: startedAt, tolerance: tolerance, instances: assumedInstances, peerTimeout: minPeerTimeout,
		buckets: make(map[string]*bucket), localUse: make(map[string]float64), peers: make(map[string]*peerUsage),
	}
}

// SetTolerance changes the use that is allowed beyond the quotas.
func (l *Ledger) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// SetInstances sets the number of instances that share the quotas, and the maximum
// interval between the reports of an instance.
func (l *Ledger) SetInstances(n int, interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(n, 1)
	l.peerTimeout = max(minPeerTimeout, time.Duration(peerTimeoutIntervals*float64(interval)))
}

// peerTimeoutIntervals is the number of report intervals without a report, half an
// interval of margin included, after which an instance's fair share is reserved.
const peerTimeoutIntervals = 5 / 2.0

// share returns the fraction of a quota that this instance may grant: all of it except
// the fair shares of the instances whose reports are missing.
func (l *Ledger) share(now time.Time) float64 {
	reporting := 1
	for _, peer := range l.peers {
		if now.Sub(peer.reportedAt) < l.peerTimeout {
			reporting++
		}
	}
	return min(float64(reporting)/float64(l.instances), 1)
}

// Take charges amount to a workspace, or returns how long until the quota allows it. A
// workspace without a limit is always allowed.
func (l *Ledger) Take(w *fleet.Workspace, amount float64, now time.Time) (wait time.Duration, ok bool) {
	if w == nil || w.Quota.PerSecond <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share(now)
	b := l.bucket(w, share, now)
	if b.level-b.expectedPeerUse < amount-l.tolerance.overdraft()*share && b.level-b.expectedPeerUse < b.burst*share {
		missing := amount - b.level + b.expectedPeerUse
		return time.Duration(missing / (w.Quota.PerSecond * share) * float64(time.Second)), false
	}
	b.charge(amount, float64(l.instances))
	l.localUse[w.Name] += amount
	return 0, true
}

// charge charges amount for a request of this instance. The other instances use the
// quota at the same time, so their estimated use is added in proportion, and corrected
// by settle when they report.
func (b *bucket) charge(amount, instances float64) {
	b.localUse += amount
	b.level -= amount
	ratio := min(b.peerUse/max(b.localUse, 1), instances-1)
	b.expectedPeerUse += amount * ratio
}

// settle charges the reported use of another instance, and reduces the estimated use of
// all others by that instance's part of it.
func (b *bucket) settle(amount, instances float64) {
	b.level -= amount
	b.peerUse += amount
	b.expectedPeerUse -= b.expectedPeerUse / max(instances-1, 1)
}

// adopt sets the level to that of an instance that knows it.
func (b *bucket) adopt(level float64, now time.Time) {
	b.level, b.refilled, b.adopted = level, now, true
}

// Refund credits the charge of a request that did not run.
func (l *Ledger) Refund(w *fleet.Workspace, amount float64, now time.Time) {
	if w == nil || w.Quota.PerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket(w, l.share(now), now).level += amount
	l.localUse[w.Name] -= amount
}

// SetQuotas creates the buckets for the quotas of a configuration, so that the reports of
// other instances count before this instance serves its first request of a workspace.
func (l *Ledger) SetQuotas(workspaces map[string]*fleet.Workspace, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share(now)
	for _, w := range workspaces {
		if w.Quota.PerSecond > 0 {
			l.bucket(w, share, now)
		}
	}
}

// bucket returns a workspace's bucket, refilled up to now.
func (l *Ledger) bucket(w *fleet.Workspace, share float64, now time.Time) *bucket {
	b := l.buckets[w.Name]
	if b == nil {
		b = &bucket{refilled: l.startedAt}
		l.buckets[w.Name] = b
	}
	b.perSecond, b.burst = w.Quota.PerSecond, w.Quota.Burst
	if share > b.startShare && !b.adopted {
		b.level += (share - b.startShare) * l.tolerance.startAllowance(&w.Quota)
		b.startShare = share
	}
	b.refill(share, now)
	return b
}

// refill adds this instance's share of the quota for the time since the last refill, and
// decays the recent use.
func (b *bucket) refill(share float64, now time.Time) {
	if passed := now.Sub(b.refilled); passed > 0 {
		b.level += passed.Seconds() * b.perSecond * share
		keep := math.Exp(-passed.Seconds() / useDecay.Seconds())
		b.localUse *= keep
		b.peerUse *= keep
		b.refilled = now
	}
	b.level = min(b.level, b.burst*share)
}

// Accounts returns this instance's report to the others, by workspace.
func (l *Ledger) Accounts(now time.Time) map[string]Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share(now)
	known := now.Sub(l.startedAt) >= levelKnownAfter && share >= levelKnownShare
	accounts := make(map[string]Account, len(l.localUse))
	for name, amount := range l.localUse {
		accounts[name] = Account{Used: amount}
	}
	if !known {
		return accounts
	}
	for name, b := range l.buckets {
		b.refill(share, now)
		accounts[name] = Account{Used: l.localUse[name], Remaining: b.level, Known: true}
	}
	return accounts
}

// RecordPeerReport records the accounts of another instance; from identifies one start
// of it. Repeated and reordered reports do not change the total that is charged.
func (l *Ledger) RecordPeerReport(from string, accounts map[string]Account, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[from]
	if peer == nil {
		peer = &peerUsage{used: make(map[string]float64)}
		l.peers[from] = peer
		// The use before the first report received here may be old, so it is not
		// charged: it only sets the base for later reports.
		for name, a := range accounts {
			peer.used[name] = a.Used
		}
	}
	peer.reportedAt = now
	adopts, share := now.Sub(l.startedAt) < adoptionPeriod, l.share(now)
	for name, a := range accounts {
		used := a.Used - peer.used[name]
		peer.used[name] = a.Used
		b := l.buckets[name]
		if b == nil {
			continue
		}
		b.refill(share, now)
		b.settle(used, float64(l.instances))
		if adopts && a.Known {
			b.adopt(a.Remaining, now)
		}
	}
	for name, p := range l.peers {
		if now.Sub(p.reportedAt) > peerRetention {
			delete(l.peers, name)
		}
	}
}

// peerRetention is the time without a report after which an instance's record is dropped.
const peerRetention = time.Minute
