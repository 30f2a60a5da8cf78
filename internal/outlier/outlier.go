// Package outlier detects servers that fail or answer slowly compared with the others
// of their pool, and ejects them from routing for a time that grows with each
// ejection. It never ejects more than a share of a pool's servers in a zone.
package outlier

import (
	"cmp"
	"slices"
	"time"

	"kumquatyard/internal/machine"
)

// Settings configure a Detector. Zero values select the defaults.
type Settings struct {
	// MaxShare is the maximum fraction of a pool's servers in a zone that may be ejected
	// at the same time.
	MaxShare float64
	// BaseEjection is the duration of the first ejection. It doubles with each further
	// ejection, up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// SlowFactor is the multiple of the pool's median latency above which a server is an
	// outlier.
	SlowFactor float64
	// FailureShare is the fraction of failed samples above which a server is an outlier,
	// unless the pool's median fraction is at least half of the server's.
	FailureShare float64
}

const (
	defaultMaxShare     = 0.34
	defaultBaseEjection = 10 * time.Second
	defaultMaxEjection  = 5 * time.Minute
	defaultSlowFactor   = 2.5
	defaultFailureShare = 0.5

	// minSamples is the minimum number of samples for a server to be evaluated.
	minSamples = 8
	// failureFactor is the multiple of the pool's median fraction of failures above
	// which a server is an outlier: when all servers fail alike, ejecting one does not
	// help.
	failureFactor = 2
	// minPeers is the minimum number of evaluated servers for a median.
	minPeers = 3
	// decay is the weight of the newest sample in the moving averages.
	decay = 0.1
	// forgiveAfter is the time without an ejection, as a multiple of the last ejection
	// time, after which the next ejection gets shorter again.
	forgiveAfter = 4
	// staleAfter is the time without a sample after which the averages of a server are
	// dropped.
	staleAfter = 30 * time.Second
)

// Member is a server that may be routed to.
type Member struct {
	ID   machine.ID
	Zone string
	Pool string
}

// Sample is the outcome of one request.
type Sample struct {
	Server machine.ID
	// Latency is the latency of one unit of work, such as the time between tokens, so
	// that requests are comparable; 0 when it is unknown.
	Latency time.Duration
	// Failed is true when the server failed, and not because of the request.
	Failed bool
}

// Detector evaluates the samples of the servers. It is not safe for concurrent use.
type Detector struct {
	settings Settings
	stats    map[machine.ID]*stats
}

// stats are the moving averages of one server.
type stats struct {
	samples  int
	latency  float64
	failures float64
	// samplesAtUpdate is the number of samples at the last Update with new samples, and
	// lastSampleAt the time of that Update.
	samplesAtUpdate int
	lastSampleAt    time.Time
	// ejections counts the ejections that were not forgiven.
	ejections int
	ejected   bool
	// until is the end of the current or last ejection, or the time of the last
	// forgiven one.
	until time.Time
}

// New returns a Detector.
func New(s Settings) *Detector {
	s.MaxShare = cmp.Or(s.MaxShare, defaultMaxShare)
	s.BaseEjection = cmp.Or(s.BaseEjection, defaultBaseEjection)
	s.MaxEjection = cmp.Or(s.MaxEjection, defaultMaxEjection)
	s.SlowFactor = cmp.Or(s.SlowFactor, defaultSlowFactor)
	s.FailureShare = cmp.Or(s.FailureShare, defaultFailureShare)
	return &Detector{settings: s, stats: make(map[machine.ID]*stats)}
}

// Observe records the outcome of a request.
func (d *Detector) Observe(s Sample) {
	st := d.stats[s.Server]
	if st == nil {
		st = &stats{}
		d.stats[s.Server] = st
	}
	st.samples++
	weight := max(decay, 1/float64(st.samples))
	failed := 0.0
	if s.Failed {
		failed = 1
	}
	st.failures += weight * (failed - st.failures)
	if s.Latency > 0 {
		if st.latency == 0 {
			st.latency = s.Latency.Seconds()
		}
		st.latency += weight * (s.Latency.Seconds() - st.latency)
	}
}

// Update readmits servers whose ejection is over, ejects the worst outliers up to
// MaxShare, and returns the ejected servers. It drops the state of servers that are no
// longer members.
func (d *Detector) Update(now time.Time, members []Member) map[machine.ID]bool {
	d.forget(members)
	groups := make(map[poolZone][]Member)
	latencies := make(map[string][]float64)
	failures := make(map[string][]float64)
	for _, m := range members {
		key := poolZone{pool: m.Pool, zone: m.Zone}
		groups[key] = append(groups[key], m)
		st := d.stats[m.ID]
		if st == nil {
			continue
		}
		st.dropIfStale(now)
		d.readmitAndForgive(now, st)
		if st.samples >= minSamples {
			failures[m.Pool] = append(failures[m.Pool], st.failures)
		}
		if st.samples >= minSamples && st.latency > 0 {
			latencies[m.Pool] = append(latencies[m.Pool], st.latency)
		}
	}
	out := make(map[machine.ID]bool)
	for key, group := range groups {
		medians := poolMedians{latency: median(latencies[key.pool]), failures: median(failures[key.pool])}
		d.updateGroup(now, group, medians, out)
	}
	return out
}

// dropIfStale resets the averages of a server without samples for staleAfter. The
// number of its ejections stays.
func (st *stats) dropIfStale(now time.Time) {
	switch {
	case st.samples != st.samplesAtUpdate:
		st.samplesAtUpdate, st.lastSampleAt = st.samples, now
	case now.Sub(st.lastSampleAt) > staleAfter:
		st.samples, st.samplesAtUpdate, st.latency, st.failures = 0, 0, 0, 0
	}
}

// poolMedians holds the medians of a pool; 0 when too few servers were evaluated.
type poolMedians struct{ latency, failures float64 }

// poolZone identifies the servers of a pool in one zone.
type poolZone struct{ pool, zone string }

// updateGroup ejects the outliers of one group, the worst first, up to MaxShare, and
// adds the ejected servers to out.
func (d *Detector) updateGroup(now time.Time, group []Member, medians poolMedians, out map[machine.ID]bool) {
	allowed := int(d.settings.MaxShare * float64(len(group)))
	var candidates []candidate
	for _, m := range group {
		st := d.stats[m.ID]
		if st == nil {
			continue
		}
		if st.ejected {
			candidates = append(candidates, candidate{id: m.ID, stats: st, score: st.failures + 1})
			continue
		}
		if score := d.score(st, medians); score > 0 {
			candidates = append(candidates, candidate{id: m.ID, stats: st, score: score})
		}
	}
	// Servers that are already ejected come first, the others by score.
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.stats.ejected != b.stats.ejected {
			if a.stats.ejected {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	for i, s := range candidates {
		if i >= allowed {
			s.stats.ejected = false
			continue
		}
		d.eject(now, s.stats)
		out[s.id] = true
	}
}

// candidate is a server that is ejected or an outlier.
type candidate struct {
	id    machine.ID
	stats *stats
	score float64
}

// score returns how far a server exceeds the bounds, 0 when it is within them. Failing
// servers score higher than slow ones.
func (d *Detector) score(st *stats, medians poolMedians) float64 {
	if st.samples < minSamples {
		return 0
	}
	if st.failures > max(d.settings.FailureShare, failureFactor*medians.failures) {
		return 1 + st.failures
	}
	if medians.latency > 0 && st.latency > d.settings.SlowFactor*medians.latency {
		return 1 - medians.latency/st.latency
	}
	return 0
}

// eject ejects a server that is not ejected yet.
func (d *Detector) eject(now time.Time, st *stats) {
	if st.ejected {
		return
	}
	st.ejected = true
	st.until = now.Add(d.ejectionTime(st.ejections))
	st.ejections++
}

// ejectionTime returns the duration of an ejection after a number of earlier ones.
func (d *Detector) ejectionTime(earlier int) time.Duration {
	for t := d.settings.BaseEjection; ; t *= 2 {
		if t >= d.settings.MaxEjection {
			return d.settings.MaxEjection
		}
		if earlier == 0 {
			return t
		}
		earlier--
	}
}

// readmitAndForgive readmits a server whose ejection is over, without its samples, and
// forgives one ejection after forgiveAfter ejection times without another.
func (d *Detector) readmitAndForgive(now time.Time, st *stats) {
	if st.ejected && !now.Before(st.until) {
		*st = stats{ejections: st.ejections, until: now, lastSampleAt: now}
		return
	}
	if !st.ejected && st.ejections > 0 {
		quiet := forgiveAfter * d.ejectionTime(st.ejections-1)
		if now.Sub(st.until) >= quiet {
			st.ejections--
			st.until = now
		}
	}
}

// forget drops the state of servers that are not members.
func (d *Detector) forget(members []Member) {
	present := make(map[machine.ID]bool, len(members))
	for _, m := range members {
		present[m.ID] = true
	}
	for id := range d.stats {
		if !present[id] {
			delete(d.stats, id)
		}
	}
}

// median returns the lower median, or 0 for fewer than minPeers values.
func median(values []float64) float64 {
	if len(values) < minPeers {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
