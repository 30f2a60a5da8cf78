// Package outlier finds servers that fail or answer slowly compared with the
// others of their pool, and takes them out of routing for a growing time. It
// never takes out more than a share of a zone's part of a pool.
package outlier

import (
	"cmp"
	"slices"
	"time"

	"kumquatyard/internal/machine"
)

// Settings tune a Detector. Zero values take the defaults.
type Settings struct {
	// MaxShare of the servers of a pool in a zone may be ejected at once.
	MaxShare float64
	// BaseEjection is the time of a first ejection; it doubles with each
	// further one up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// SlowFactor over the pool's median latency makes a server an outlier.
	SlowFactor float64
	// FailureShare of failed samples makes a server an outlier, unless the pool's
	// median is half of the server's or more.
	FailureShare float64
}

const (
	defaultMaxShare     = 0.34
	defaultBaseEjection = 10 * time.Second
	defaultMaxEjection  = 5 * time.Minute
	defaultSlowFactor   = 2.5
	defaultFailureShare = 0.5

	// minSamples is the number of samples before a server is judged.
	minSamples = 8
	// failureFactor over the pool's median share of failures makes a server an
	// outlier: where all fail alike, none is better than the others.
	failureFactor = 2
	// minPeers is the number of judged servers that a median needs.
	minPeers = 3
	// decay is the weight of the newest sample in the averages.
	decay = 0.1
	// forgiveAfter is the number of ejection times that a server has to stay
	// in before its next ejection is a shorter one.
	forgiveAfter = 4
	// staleAfter is the time without a sample after which the averages say
	// nothing about a server any more.
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
	// Latency is for one unit of work, such as the time between tokens, so
	// that it compares between requests; 0 when nothing was measured.
	Latency time.Duration
	// Failed is true when the server, not the request, was at fault.
	Failed bool
}

// Detector keeps the samples of the servers. It is not safe for concurrent use.
type Detector struct {
	settings Settings
	stats    map[machine.ID]*stats
}

// stats are the moving averages of one server.
type stats struct {
	samples  int
	latency  float64
	failures float64
	// known is the number of samples at the last Update that saw new ones, and
	// knownAt its time.
	known   int
	knownAt time.Time
	// ejections counts the ejections that have not been forgiven.
	ejections int
	ejected   bool
	until     time.Time
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

// Update readmits the servers whose time is over, ejects the worst outliers
// within the bounds, and returns the servers that are ejected. Servers that
// are no longer members are forgotten.
func (d *Detector) Update(now time.Time, members []Member) map[machine.ID]bool {
	d.forget(members)
	groups := make(map[place][]Member)
	latencies := make(map[string][]float64)
	failures := make(map[string][]float64)
	for _, m := range members {
		key := place{pool: m.Pool, zone: m.Zone}
		groups[key] = append(groups[key], m)
		st := d.stats[m.ID]
		if st == nil {
			continue
		}
		st.age(now)
		d.readmit(now, st)
		if st.samples >= minSamples {
			failures[m.Pool] = append(failures[m.Pool], st.failures)
		}
		if st.samples >= minSamples && st.latency > 0 {
			latencies[m.Pool] = append(latencies[m.Pool], st.latency)
		}
	}
	out := make(map[machine.ID]bool)
	for key, group := range groups {
		usual := norm{latency: median(latencies[key.pool]), failures: median(failures[key.pool])}
		d.updateGroup(now, group, usual, out)
	}
	return out
}

// age drops the averages of a server that got no samples for a while. The
// record of its ejections stays.
func (st *stats) age(now time.Time) {
	switch {
	case st.samples != st.known:
		st.known, st.knownAt = st.samples, now
	case now.Sub(st.knownAt) > staleAfter:
		st.samples, st.known, st.latency, st.failures = 0, 0, 0, 0
	}
}

// norm holds a pool's medians; 0 where too few servers were judged.
type norm struct{ latency, failures float64 }

// place is the part of a pool that lies in one zone.
type place struct{ pool, zone string }

// updateGroup ejects outliers of one group, the worst first, up to the share,
// and adds the ejected ones to out.
func (d *Detector) updateGroup(now time.Time, group []Member, usual norm, out map[machine.ID]bool) {
	allowed := int(d.settings.MaxShare * float64(len(group)))
	var suspects []suspect
	for _, m := range group {
		st := d.stats[m.ID]
		if st == nil {
			continue
		}
		if st.ejected {
			suspects = append(suspects, suspect{id: m.ID, stats: st, score: st.failures + 1})
			continue
		}
		if score := d.score(st, usual); score > 0 {
			suspects = append(suspects, suspect{id: m.ID, stats: st, score: score})
		}
	}
	// Servers that are out stay out before others follow; the rest by score.
	slices.SortFunc(suspects, func(a, b suspect) int {
		if a.stats.ejected != b.stats.ejected {
			if a.stats.ejected {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	for i, s := range suspects {
		if i >= allowed {
			s.stats.ejected = false
			continue
		}
		d.eject(now, s.stats)
		out[s.id] = true
	}
}

type suspect struct {
	id    machine.ID
	stats *stats
	score float64
}

// score is how far a server is over the bounds; 0 when it is within them.
func (d *Detector) score(st *stats, usual norm) float64 {
	if st.samples < minSamples {
		return 0
	}
	if st.failures > max(d.settings.FailureShare, failureFactor*usual.failures) {
		return 1 + st.failures
	}
	if usual.latency > 0 && st.latency > d.settings.SlowFactor*usual.latency {
		return 1 - usual.latency/st.latency
	}
	return 0
}

func (d *Detector) eject(now time.Time, st *stats) {
	if st.ejected {
		return
	}
	st.ejected = true
	st.until = now.Add(d.ejectionTime(st.ejections))
	st.ejections++
}

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

// readmit lets a server in whose time is over, with no samples to its name,
// and forgives an ejection after a long time without another.
func (d *Detector) readmit(now time.Time, st *stats) {
	if st.ejected && !now.Before(st.until) {
		*st = stats{ejections: st.ejections, until: now, knownAt: now}
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

// median returns the lower median, and 0 when there are too few values.
func median(values []float64) float64 {
	if len(values) < minPeers {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
