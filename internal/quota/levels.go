package quota

import (
	"math"
	"sync"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/rollup"
	pb "kumquatyard/proto/kumquat/v1"
)

// rateDecay is the time constant of the rates at which a quota is requested and used.
const rateDecay = time.Second

// Levels keeps a token bucket for each workspace's quota over all instances, from what
// the instances report. It implements rollup.Quotas. It is safe for concurrent use.
type Levels struct {
	mu        sync.Mutex
	tolerance Tolerance
	// startedAt is the start of the process. The use before it is unknown, so buckets fill
	// from then on.
	startedAt time.Time
	// followed is set once the levels of another aggregator were adopted.
	followed  bool
	instances int
	// buckets holds the buckets of the workspaces with a quota, nil before a configuration
	// is known. early is what was used until then.
	buckets map[uint32]*bucket
	early   map[uint32]float64
}

// adoptionTime is how long after its start a process that hears of no levels waits before
// it relies on its own.
const adoptionTime = 600 * time.Millisecond

// bucket is the token bucket of a workspace.
type bucket struct {
	quota    fleet.Quota
	level    float64
	refilled time.Time
	// startShare is the fraction of the start allowance that was added to the level.
	startShare float64
	// followedAt is when the level was that of another aggregator; zero once uses are
	// recorded here. What was used in between is in no report, as the first reports only
	// say where counting begins.
	followedAt      time.Time
	requested, used meter
}

// meter is a rate with exponential decay.
type meter struct {
	perSecond float64
	at        time.Time
}

func (m *meter) add(amount float64, now time.Time) {
	m.perSecond = m.rate(now) + amount/rateDecay.Seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	return m.perSecond * math.Exp(-max(now.Sub(m.at), 0).Seconds()/rateDecay.Seconds())
}

// NewLevels returns Levels for a process that started at startedAt.
func NewLevels(tolerance Tolerance, startedAt time.Time) *Levels {
	return &Levels{tolerance: tolerance, startedAt: startedAt, instances: assumedInstances, early: make(map[uint32]float64)}
}

// SetTolerance changes the use that is allowed beyond the quotas.
func (l *Levels) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// SetInstances sets the number of instances that share the quotas.
func (l *Levels) SetInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(n, 1)
}

// SetQuotas sets the quotas of a configuration.
func (l *Levels) SetQuotas(workspaces map[string]*fleet.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	buckets := make(map[uint32]*bucket, len(workspaces))
	for name, w := range workspaces {
		if w.Quota.PerSecond <= 0 {
			continue
		}
		key := rollup.Key(name)
		b := l.buckets[key]
		if b == nil {
			b = &bucket{refilled: l.startedAt, level: -l.early[key]}
		}
		b.quota = w.Quota
		buckets[key] = b
	}
	l.buckets = buckets
	clear(l.early)
}

// Record implements rollup.Quotas.
func (l *Levels) Record(workspace uint32, requested, used float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.early[workspace] += used
	}
	b := l.buckets[workspace]
	if b == nil {
		return
	}
	if !b.followedAt.IsZero() {
		b.level -= b.used.perSecond * now.Sub(b.followedAt).Seconds()
		b.followedAt = time.Time{}
	}
	b.level -= used
	b.requested.add(requested, now)
	b.used.add(used, now)
}

// Known implements rollup.Quotas.
func (l *Levels) Known(joined bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets != nil && (!joined || l.followed || now.Sub(l.startedAt) >= adoptionTime)
}

// Levels implements rollup.Quotas. The quota's part of instances whose reports are
// missing is reserved for them. Quotas that are full and not in use are left out.
func (l *Levels) Levels(instances int, now time.Time) []*pb.WorkspaceLevel {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := min(float64(instances)/float64(l.instances), 1)
	list := make([]*pb.WorkspaceLevel, 0, len(l.buckets))
	for key, b := range l.buckets {
		b.refill(share, l.tolerance, now)
		w := &pb.WorkspaceLevel{
			Workspace: key, Level: float32(b.level),
			RequestedPerSecond: float32(b.requested.rate(now)), UsedPerSecond: float32(b.used.rate(now)),
		}
		if b.level < l.tolerance.burst(&b.quota)*share || w.RequestedPerSecond >= 1 {
			list = append(list, w)
		}
	}
	return list
}

// Follow implements rollup.Quotas.
func (l *Levels) Follow(levels []*pb.WorkspaceLevel, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		return
	}
	l.followed = true
	known := make(map[uint32]*pb.WorkspaceLevel, len(levels))
	for _, w := range levels {
		known[w.GetWorkspace()] = w
	}
	for key, b := range l.buckets {
		b.refilled, b.startShare, b.followedAt = now, 1, now
		w := known[key]
		if w == nil {
			b.level, b.requested, b.used = l.tolerance.burst(&b.quota), meter{}, meter{}
			continue
		}
		b.level = float64(w.GetLevel())
		b.requested = meter{float64(w.GetRequestedPerSecond()), now}
		b.used = meter{float64(w.GetUsedPerSecond()), now}
	}
}

// refill adds the share of the quota for the time since the last refill, and the share
// of the start allowance that was not granted before.
func (b *bucket) refill(share float64, t Tolerance, now time.Time) {
	if share > b.startShare {
		b.level += (share - b.startShare) * t.startAllowance(&b.quota)
		b.startShare = share
	}
	if passed := now.Sub(b.refilled); passed > 0 {
		b.level += passed.Seconds() * t.perSecond(&b.quota) * share
		b.refilled = now
	}
	b.level = min(b.level, t.burst(&b.quota)*share)
}
