package rollout

import (
	"math"
	"slices"
)

const (
	// falseAlarms bounds the probability with which a version that is as good as the old one is
	// judged bad, over all tests of a roll-out.
	falseAlarms = 0.01
	// withoutWorst is the significance that is left when the new server with the most bad
	// answers is left out: a bad version is bad on all its servers.
	withoutWorst = 0.01
	// With fewer than minRestAnswers of the other new servers, a version is judged bad only from
	// enoughBad bad answers on.
	minRestAnswers = 4
	enoughBad      = 15
	// A version fails only if its rate of failures is failureFactor times that of the old one
	// and failureExcess more.
	failureFactor = 1.5
	failureExcess = 0.01
	// An answer is late if at most lateShare of the old version's answers take longer, and it is
	// lateClasses above their median. A version is slow only if slowShare of its answers are late.
	lateShare   = 0.15
	lateClasses = 1
	slowShare   = 0.4
	// minOldAnswers is the number of the old version's answers from which on latencies are
	// compared.
	minOldAnswers = 40
)

// Reason says which test judged a version bad.
type Reason string

// The reasons.
const (
	Failures Reason = "failures"
	Latency  Reason = "latency"
)

// Sample is a number of answers, of which some are bad.
type Sample struct{ Answers, Bad int }

func (s Sample) rate() float64 { return float64(s.Bad) / max(float64(s.Answers), 1) }

func (s Sample) plus(o Sample) Sample  { return Sample{s.Answers + o.Answers, s.Bad + o.Bad} }
func (s Sample) minus(o Sample) Sample { return Sample{s.Answers - o.Answers, s.Bad - o.Bad} }

// Verdict is the outcome of a judgment.
type Verdict struct {
	// Bad is set if the new version is worse than the old one.
	Bad    bool
	Reason Reason
	// Route is the hash of the route's name; 0 for all routes together.
	Route uint32
	// Recent is set if the answers of the last seconds decided.
	Recent   bool
	New, Old Sample
	// Probability is that of so many bad answers if both versions are alike.
	Probability float64
	// Outliers are the hashes of new servers that are much worse than the others.
	Outliers []uint32
}

// Judge compares the answers of the new version with those of the old one. The counts of each route,
// and of all routes together, are tested by Fisher's exact test (Fisher, "Statistical Methods for
// Research Workers", 1934, section 21.02), which needs no large numbers. falseAlarms is spent over
// the looks: the outcome can change only with a bad answer, and the k-th one has the part 1/(k(k+1))
// (a union bound, as in Robbins, "Statistical methods related to the law of the iterated logarithm",
// 1970), so that looking often does no harm. share is the part of falseAlarms that the caller has.
func Judge(cells []Cell, share float64) Verdict {
	routes := routesOf(cells)
	alpha := share * falseAlarms / float64(4*(len(routes)+1))
	var verdict Verdict
	for _, route := range append(routes, 0) {
		for _, recent := range []bool{false, true} {
			g := groupOf(cells, route, recent)
			for _, t := range g.tests(route) {
				v := t.judge(alpha)
				if v.Bad && !verdict.Bad {
					v.Route, v.Recent, v.Outliers = route, recent, verdict.Outliers
					verdict = v
				}
				if !v.Bad {
					verdict.addOutliers(v.Outliers)
				}
			}
		}
	}
	return verdict
}

func (v *Verdict) addOutliers(servers []uint32) {
	for _, s := range servers {
		if !slices.Contains(v.Outliers, s) {
			v.Outliers = append(v.Outliers, s)
		}
	}
}

func routesOf(cells []Cell) []uint32 {
	var routes []uint32
	for i := range cells {
		if !slices.Contains(routes, cells[i].route) {
			routes = append(routes, cells[i].route)
		}
	}
	return routes
}

// group holds the counts of a route, or of all.
type group struct {
	old Counts
	// servers holds the counts of the new servers.
	servers map[uint32]*Counts
}

func groupOf(cells []Cell, route uint32, recent bool) group {
	g := group{servers: make(map[uint32]*Counts)}
	for i := range cells {
		c := &cells[i]
		if route != 0 && c.route != route {
			continue
		}
		counts := &c.Total
		if recent {
			counts = &c.Recent
		}
		if !c.target {
			g.old.Add(counts)
			continue
		}
		if g.servers[c.server] == nil {
			g.servers[c.server] = &Counts{}
		}
		g.servers[c.server].Add(counts)
	}
	return g
}

// test compares the bad answers of the new servers with those of the old version.
type test struct {
	reason  Reason
	old     Sample
	servers map[uint32]Sample
	// least is the rate of bad answers from which on the version may be judged bad.
	least float64
}

// tests returns the tests of a group. Latencies of several routes are not compared, as their mix may
// differ.
func (g *group) tests(route uint32) []test {
	failures := test{reason: Failures, old: Sample{g.old.Answers, g.old.Failed}, servers: make(map[uint32]Sample)}
	failures.least = failureFactor*failures.old.rate() + failureExcess
	for key, c := range g.servers {
		failures.servers[key] = Sample{c.Answers, c.Failed}
	}
	if n, _ := g.old.timed(latencyClasses); route == 0 || n < minOldAnswers {
		return []test{failures}
	}
	class := g.lateClass()
	latency := test{reason: Latency, servers: make(map[uint32]Sample), least: slowShare}
	latency.old.Answers, latency.old.Bad = g.old.timed(class)
	for key, c := range g.servers {
		var s Sample
		s.Answers, s.Bad = c.timed(class)
		latency.servers[key] = s
	}
	return []test{failures, latency}
}

// lateClass returns the class above which answers are late: the first above which there are at most
// lateShare of the old version's, but at least lateClasses above that of their median. A small
// difference may else move all answers across the bound of a class.
func (g *group) lateClass() int {
	return max(g.quantileClass(lateShare), g.quantileClass(0.5)+lateClasses)
}

// quantileClass returns the first class above which there is at most a share of the old version's
// answers.
func (g *group) quantileClass(share float64) int {
	for class := range latencyClasses {
		if n, above := g.old.timed(class); float64(above) <= share*float64(n) {
			return class
		}
	}
	return latencyClasses - 1
}

// judge carries the test out. If only one server is bad, the version is not, and the server is an
// outlier.
func (t test) judge(alpha float64) Verdict {
	v := Verdict{Reason: t.reason, Old: t.old}
	var worst uint32
	excess := 0.0
	for key, s := range t.servers {
		v.New = v.New.plus(s)
		if over := float64(s.Bad) - float64(s.Answers)*t.old.rate(); key != 0 && over > excess {
			worst, excess = key, over
		}
	}
	if v.New.Bad == 0 || v.New.rate() < t.least {
		return v
	}
	v.Probability = fisher(v.New, v.Old)
	if k := float64(v.New.Bad); v.Probability > alpha/(k*(k+1)) {
		return v
	}
	rest := v.New.minus(t.servers[worst])
	if worst == 0 {
		v.Bad = true
		return v
	}
	if rest.Answers < minRestAnswers {
		v.Bad = v.New.Bad >= enoughBad
		return v
	}
	if rest.Bad > 0 && rest.rate() >= t.least && fisher(rest, t.old) <= withoutWorst {
		v.Bad = true
		return v
	}
	v.Outliers = []uint32{worst}
	return v
}

// fisher returns the probability that at least sample.Bad of the bad answers are among those of
// sample if the bad ones are spread evenly over both samples.
func fisher(sample, other Sample) float64 {
	bad, total := sample.Bad+other.Bad, sample.Answers+other.Answers
	all := logChoose(total, sample.Answers)
	sum := 0.0
	for k := sample.Bad; k <= min(sample.Answers, bad); k++ {
		if total-bad < sample.Answers-k {
			continue
		}
		p := math.Exp(logChoose(bad, k) + logChoose(total-bad, sample.Answers-k) - all)
		sum += p
		if p < sum*1e-9 {
			break
		}
	}
	return min(sum, 1)
}

// logChoose returns the logarithm of the binomial coefficient.
func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
