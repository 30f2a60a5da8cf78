// Package quota keeps the workspaces' quotas over all instances without asking
// anyone on a request's path. Each instance charges a token bucket for its own
// requests at once and for those of the others when it hears of them; for
// an instance that it does not hear it sets a fair share aside. Instances that
// cannot hear each other therefore stay within the quota together.
package quota

import (
	"math"
	"sync"
	"time"

	"kumquatyard/internal/fleet"
)

// minSilence is the least time without a report after which an instance's fair
// share is set aside.
const minSilence = time.Second

// Tolerance is what operators allow beyond the quotas: in any Window a workspace may
// use (rate * Window + burst) * (1 + Overrun) + Slack.
type Tolerance struct {
	Slack   float64
	Overrun float64
	Window  time.Duration
}

const (
	// overdraft is the part of the slack by which a bucket may be overdrawn.
	overdraft = 0.15
	// startShare is the part of the tolerance that is handed out at a start: all
	// instances may start twice within a window.
	startShare = 0.45
)

// overdraft is how far a bucket may be overdrawn.
func (t Tolerance) overdraft() float64 { return overdraft * t.Slack }

// start is what a workspace may use right after a start of all instances, although
// they do not know what was used before. Before and after it the quota itself and
// the overdraft may be used in full; this is of what is tolerated beyond.
func (t Tolerance) start(q *fleet.Quota) float64 {
	beyond := t.Overrun*(q.PerSecond*t.Window.Seconds()+q.Burst) + (1-2*overdraft)*t.Slack
	return startShare * beyond
}

// Ledger holds the buckets of all workspaces. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// began is the start of the process: what was used before is not known, so
	// that buckets fill from then on.
	began     time.Time
	tolerance Tolerance
	instances int
	// silence is the time without a report after which an instance's fair share
	// is set aside.
	silence time.Duration
	buckets map[string]*bucket
	own     map[string]float64
	others  map[string]*other
}

// bucket is a workspace's quota as this instance sees it.
type bucket struct {
	level     float64
	refilled  time.Time
	perSecond float64
	burst     float64
	// own and others are recent use by this instance and by all others, decayed
	// over useDecay; expected is what the others are expected to have used since
	// they were last heard, in proportion.
	own, others float64
	expected    float64
	// started is the part of what may be used at a start that the level has had,
	// and adopted is set when the level is that of an instance that knew it.
	started float64
	adopted bool
}

// useDecay is the time over which recent use is compared.
const useDecay = 2 * time.Second

// other is what another instance reported, cumulative since its start.
type other struct {
	heard time.Time
	used  map[string]float64
}

// Account is what an instance tells the others of a workspace.
type Account struct {
	// Used is what the instance charged since its start.
	Used float64
	// Remaining is the level of its bucket, and Known whether it has run for long enough
	// to know it.
	Remaining float64
	Known     bool
}

const (
	// knownAfter is how long after its start an instance counts as knowing what is
	// left of the quotas, and knownShare the part of the instances that it hears then.
	knownAfter = 3 * time.Second
	knownShare = 0.5
	// adoptFor is how long after its start an instance takes what is left of the
	// quotas from those that know it.
	adoptFor = 1200 * time.Millisecond
)

// assumedInstances is the number of instances until it is known.
const assumedInstances = 8

// New returns a Ledger that does not know what was used before began.
func New(tolerance Tolerance, began time.Time) *Ledger {
	return &Ledger{
		began: began, tolerance: tolerance, instances: assumedInstances, silence: minSilence,
		buckets: make(map[string]*bucket), own: make(map[string]float64), others: make(map[string]*other),
	}
}

// SetTolerance changes what is allowed beyond the quotas.
func (l *Ledger) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// SetInstances sets the number of instances that share the quotas, and the
// longest time between the reports of one of them.
func (l *Ledger) SetInstances(n int, interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(n, 1)
	l.silence = max(minSilence, time.Duration(missedReports*float64(interval)))
}

// missedReports is the number of reports that an instance may miss before it
// counts as silent, and a part of one.
const missedReports = 5 / 2.0

// share is the part of a quota that this instance may hand out: all of it but
// the fair shares of the instances that it does not hear.
func (l *Ledger) share(now time.Time) float64 {
	heard := 1
	for _, o := range l.others {
		if now.Sub(o.heard) < l.silence {
			heard++
		}
	}
	return min(float64(heard)/float64(l.instances), 1)
}

// Take charges amount to a workspace, or returns when there is room for it. A
// workspace without a limit is always allowed.
func (l *Ledger) Take(w *fleet.Workspace, amount float64, now time.Time) (wait time.Duration, ok bool) {
	if w == nil || w.Quota.PerSecond <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share(now)
	b := l.bucket(w, share, now)
	if b.level-b.expected < amount-l.tolerance.overdraft()*share && b.level-b.expected < b.burst*share {
		missing := amount - b.level + b.expected
		return time.Duration(missing / (w.Quota.PerSecond * share) * float64(time.Second)), false
	}
	b.charge(amount, float64(l.instances))
	l.own[w.Name] += amount
	return 0, true
}

// charge takes amount for this instance. While this instance uses its part,
// the others use theirs: that is charged beforehand, and settled when they
// are heard.
func (b *bucket) charge(amount, instances float64) {
	b.own += amount
	b.level -= amount
	ratio := min(b.others/max(b.own, 1), instances-1)
	b.expected += amount * ratio
}

// settle charges what another instance used. Its message tells of a part of
// what was expected of all others.
func (b *bucket) settle(amount, instances float64) {
	b.level -= amount
	b.others += amount
	b.expected -= b.expected / max(instances-1, 1)
}

// adopt takes the level from an instance that knows it.
func (b *bucket) adopt(level float64, now time.Time) {
	b.level, b.refilled, b.adopted = level, now, true
}

// Refund returns what a request was charged that did not run.
func (l *Ledger) Refund(w *fleet.Workspace, amount float64, now time.Time) {
	if w == nil || w.Quota.PerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket(w, l.share(now), now).level += amount
	l.own[w.Name] -= amount
}

// SetQuotas makes the quotas of a configuration known, so that what other instances
// use of them counts before this one has used any.
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
		b = &bucket{refilled: l.began}
		l.buckets[w.Name] = b
	}
	b.perSecond, b.burst = w.Quota.PerSecond, w.Quota.Burst
	if share > b.started && !b.adopted {
		b.level += (share - b.started) * l.tolerance.start(&w.Quota)
		b.started = share
	}
	b.refill(share, now)
	return b
}

// refill adds this instance's share of the quota since the last time.
func (b *bucket) refill(share float64, now time.Time) {
	if passed := now.Sub(b.refilled); passed > 0 {
		b.level += passed.Seconds() * b.perSecond * share
		keep := math.Exp(-passed.Seconds() / useDecay.Seconds())
		b.own *= keep
		b.others *= keep
		b.refilled = now
	}
	b.level = min(b.level, b.burst*share)
}

// Accounts returns what this instance knows, by workspace.
func (l *Ledger) Accounts(now time.Time) map[string]Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share(now)
	known := now.Sub(l.began) >= knownAfter && share >= knownShare
	accounts := make(map[string]Account, len(l.own))
	for name, amount := range l.own {
		accounts[name] = Account{Used: amount}
	}
	if !known {
		return accounts
	}
	for name, b := range l.buckets {
		b.refill(share, now)
		accounts[name] = Account{Used: l.own[name], Remaining: b.level, Known: true}
	}
	return accounts
}

// RecordPeerReport records the accounts of another instance. from names one start of it. A
// report repeated or overtaken changes nothing but the time.
func (l *Ledger) RecordPeerReport(from string, accounts map[string]Account, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.others[from]
	if o == nil {
		o = &other{used: make(map[string]float64)}
		l.others[from] = o
		// What a new instance used before this one heard of it is not known to be
		// recent, so it only sets the start.
		for name, a := range accounts {
			o.used[name] = a.Used
		}
	}
	o.heard = now
	adopts, share := now.Sub(l.began) < adoptFor, l.share(now)
	for name, a := range accounts {
		used := a.Used - o.used[name]
		o.used[name] = a.Used
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
	for name, old := range l.others {
		if now.Sub(old.heard) > forgetAfter {
			delete(l.others, name)
		}
	}
}

// forgetAfter is the silence after which an instance's record is dropped.
const forgetAfter = time.Minute
