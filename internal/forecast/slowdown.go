package forecast

import (
	"math"
	"time"

	"kumquatyard/internal/machine"
)

// Report is what a server reports of itself with an answer.
type Report struct {
	// Active is the number of its requests, and Waiting that of those without a slot.
	Active, Waiting int
	// Slowdown is how much longer than usual work takes on its machine at present; 1 is as
	// usual, and 0 unknown.
	Slowdown float64
}

const (
	// priorAnswers is the number of answers of usual speed that an estimate of a server's speed
	// assumes besides those that were observed.
	priorAnswers = 2
	// ignoredDifference and fullDifference bound the differences between servers' speeds, as
	// logarithms, that count in part: smaller ones do not count.
	ignoredDifference = 0.15
	fullDifference    = 0.25
	// maxLogRatio bounds the logarithm of one observed ratio, and maxLogStep its difference from
	// the one that was expected.
	maxLogRatio = 2
	maxLogStep  = 0.5
	// minSlowdown and maxSlowdown bound a reported slowdown.
	minSlowdown = 0.1
	maxSlowdown = 20
	// maxWaiting bounds a reported number of waiting requests.
	maxWaiting = 1 << 16
	// usualWeight is the weight of one report in what is usual for the pool, and
	// serviceTimeWeight that of one answer in the pool's service time.
	usualWeight       = 0.02
	serviceTimeWeight = 0.05
	// refreshInterval is the time after which the means over a pool's servers are computed again.
	refreshInterval = 200 * time.Millisecond
)

// serverSpeed is what this instance observed of one server's speed.
type serverSpeed struct {
	// incarnation is the start of the server in Unix milliseconds.
	incarnation int64
	// learned sums the logarithms of how much longer answers took than usual in the pool.
	learned level
	// reported sums what the server reported of itself.
	reported level
	// waiting is the number of waiting requests by the last report.
	waiting int
}

// poolSpeed holds the means over the servers of a pool.
type poolSpeed struct {
	// meanLog is the mean logarithm of the observed ratios of all answers.
	meanLog float64
	// meanCapacity is the mean rate of a server in units of the pool's learned rate.
	meanCapacity float64
	// reports is set once a server of the pool reported its slowdown, and usualLog the mean
	// logarithm of the reported ones.
	reports  bool
	usualLog float64
	// uneven is set while a server's speed differs from the others'.
	uneven bool
	// serviceTime is the time to an answer of a plain service's server of usual speed without a
	// queue; 0 while unknown.
	serviceTime time.Duration
}

// maxReportAge is the age after which a server's own report is ignored.
const maxReportAge = 300 * time.Millisecond

// RecordServerReport records what a server of a pool reported of itself with an answer.
func (pred *Predictor) RecordServerReport(pool string, id machine.ID, r Report, now time.Time) {
	pred.mu.Lock()
	defer pred.mu.Unlock()
	e := pred.engine(id)
	e.pool = pool
	e.reportedByOthers, e.reportedAt = max(r.Active-e.local.Active, 0), now
	pred.speed(pool).observeReport(e, r, now)
}

// observeReport records a server's report of itself.
func (s *speed) observeReport(e *engine, r Report, now time.Time) {
	e.waiting = min(r.Waiting, maxWaiting)
	if !(r.Slowdown > 0) {
		return
	}
	log := math.Log(min(max(r.Slowdown, minSlowdown), maxSlowdown))
	e.reported.add(log, float64(e.waiting), 1, now, reportMemory)
	s.reports = true
	s.usualLog += usualWeight * (log - s.usualLog)
}

// SetIncarnation forgets what was learned of a server's speed if it has started again since.
// startedAtMs is the start of the server in Unix milliseconds.
func (pred *Predictor) SetIncarnation(id machine.ID, startedAtMs int64) {
	pred.mu.Lock()
	defer pred.mu.Unlock()
	e := pred.engines[id]
	if e == nil || e.incarnation == startedAtMs {
		return
	}
	if e.incarnation != 0 {
		e.learned, e.reported, e.waiting = level{}, level{}, 0
	}
	e.incarnation = startedAtMs
}

// learnedLevel returns what all instances observed of a server's speed.
func (pred *Predictor) learnedLevel(e *engine, now time.Time) level {
	others := speedLevel(pred.others[e.key].Speed, pred.othersAt)
	return e.learned.decayed(now, speedMemory).plus(others.decayed(now, speedMemory))
}

// recentReports is what a server's recent reports of itself say.
type recentReports struct {
	// log is the mean logarithm of the slowdowns, and waiting the mean number of waiting requests.
	log, waiting float64
	// current is how much of it still holds: 1 if it is of now, and 0 without a recent report.
	current float64
}

// recentReports returns what a server reported of itself to all instances.
func (pred *Predictor) recentReports(e *engine, now time.Time) recentReports {
	own, others := e.reported.decayed(now, reportMemory), reportLevel(pred.others[e.key].Reports, pred.othersAt)
	heard := min(others.weight, 1) * math.Exp(-max(now.Sub(pred.othersAt), 0).Seconds()/stateDuration.Seconds())
	all := own.plus(others.decayed(now, reportMemory))
	if all.weight <= 0 {
		return recentReports{}
	}
	return recentReports{log: all.log / all.weight, waiting: all.waiting / all.weight, current: max(heard, min(own.weight, 1))}
}

// ratio returns how much longer than usual in the pool a server takes, by its answers. It is 1
// until enough of them differ from those of the other servers.
func (s *speed) ratio(learned level) float64 {
	log := (learned.log - s.meanLog*learned.weight) / (learned.weight + priorAnswers)
	counted := (math.Abs(log) - ignoredDifference) / (fullDifference - ignoredDifference)
	return math.Exp(log * min(max(counted, 0), 1))
}

// momentary returns how much longer than usual work takes at the server's machine at present,
// by its reports. The less recent they are, the closer it is to the pool's usual.
func (s *speed) momentary(r recentReports) float64 {
	if !s.reports {
		return 1
	}
	return math.Exp(r.current*r.log + (1-r.current)*s.usualLog)
}

// slowdown returns how much longer than at the pool's learned rate a server's work takes.
func (pred *Predictor) slowdown(e *engine, s *speed, now time.Time) float64 {
	return pred.slowdownBy(e, s, pred.recentReports(e, now), now)
}

// slowdownBy is slowdown by what the server reported lately.
func (pred *Predictor) slowdownBy(e *engine, s *speed, recent recentReports, now time.Time) float64 {
	pred.refresh(now)
	return s.ratio(pred.learnedLevel(e, now)) * s.momentary(recent)
}

// refresh computes the means over the servers of each pool.
func (pred *Predictor) refresh(now time.Time) {
	if passed := now.Sub(pred.refreshedAt); passed >= 0 && passed < refreshInterval {
		return
	}
	pred.refreshedAt = now
	sums, counts, capacities := make(map[string]level), make(map[string]int), make(map[string]float64)
	for _, e := range pred.engines {
		sums[e.pool] = sums[e.pool].plus(pred.learnedLevel(e, now))
		if pred.others[e.key].Reports.Weight > 0 {
			pred.speed(e.pool).reports = true
		}
	}
	for pool, sum := range sums {
		pred.speed(pool).meanLog = sum.log / max(sum.weight, 1)
	}
	uneven := make(map[string]bool)
	for _, e := range pred.engines {
		ratio := pred.speed(e.pool).ratio(pred.learnedLevel(e, now))
		counts[e.pool]++
		capacities[e.pool] += 1 / ratio
		uneven[e.pool] = uneven[e.pool] || ratio != 1
	}
	for pool, n := range counts {
		s := pred.speed(pool)
		s.uneven = uneven[pool]
		s.meanCapacity = capacities[pool] / float64(n) / math.Exp(s.usualLog)
	}
}

// learn updates the speeds of a server and its pool by the time to the first token of a prompt
// with ownTokens to prefill after tokensAhead.
func (pred *Predictor) learn(e *engine, s *speed, tokensAhead, ownTokens int, took time.Duration, now time.Time) {
	usual := s.firstToken(tokensAhead + ownTokens)
	recent := pred.recentReports(e, now)
	slowdown := pred.slowdownBy(e, s, recent, now)
	momentary := s.momentary(recent)
	s.observeLag(took-time.Duration(float64(usual)*slowdown), now)
	s.observe(tokensAhead, ownTokens, time.Duration(float64(took)/slowdown))
	if took <= 0 || ownTokens <= 0 {
		return
	}
	// The work ahead is uncertain, and the base latency is not the server's prefill.
	weight := float64(ownTokens) / float64(ownTokens+tokensAhead) * min(float64(ownTokens)/longTokens, 1)
	pred.observeRatio(e, s, logRatio(took, usual, momentary), weight, now)
}

// learnService updates the speeds of a plain service's server and its pool by an answer. Answers
// that waited for a slot say nothing of the speed.
func (pred *Predictor) learnService(e *engine, s *speed, took time.Duration, now time.Time) {
	if !s.reports || took <= 0 || e.waiting > 0 || now.Sub(e.reportedAt) >= maxReportAge {
		return
	}
	recent := pred.recentReports(e, now)
	slowdown := pred.slowdownBy(e, s, recent, now)
	usual := time.Duration(float64(took) / slowdown)
	if s.serviceTime == 0 {
		s.serviceTime = usual
	}
	momentary := s.momentary(recent)
	pred.observeRatio(e, s, logRatio(took, s.serviceTime, momentary), 1, now)
	s.serviceTime += time.Duration(serviceTimeWeight * float64(usual-s.serviceTime))
}

// observeRatio records the logarithm of how much longer than usual an answer took. As for the
// pool's speed, single outliers hardly count, and answers that took longer than expected of the
// server count less: answers are slow for many reasons that are unknown here, but fast for none.
func (pred *Predictor) observeRatio(e *engine, s *speed, log, weight float64, now time.Time) {
	learned := pred.learnedLevel(e, now)
	expected := (learned.log + priorAnswers*s.meanLog) / (learned.weight + priorAnswers)
	if log > expected {
		weight *= slowerStep / fasterStep
	}
	log = min(max(log, expected-maxLogStep), expected+maxLogStep)
	e.learned.add(log, 0, weight, now, speedMemory)
}

// logRatio returns the logarithm of how much longer than usual an answer took that its
// machine's momentary slowdown does not explain.
func logRatio(took, usual time.Duration, momentary float64) float64 {
	log := math.Log(took.Seconds() / usual.Seconds() / momentary)
	return min(max(log, -maxLogRatio), maxLogRatio)
}

// Rate returns the mean prefill rate of the servers of a pool, in tokens per second. Where the
// servers are equal, it is the rate that was learned from all their answers.
func (pred *Predictor) Rate(pool string) float64 {
	pred.mu.Lock()
	defer pred.mu.Unlock()
	s := pred.speed(pool)
	if s.meanCapacity <= 0 {
		return s.tokensPerSecond
	}
	return s.tokensPerSecond * s.meanCapacity
}
