package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// course is a simulated roll-out: answers of both versions arrive, and they are judged ten times a
// second.
type course struct {
	perSecond float64
	share     float64
	servers   int
	seconds   float64
	// oldFailures is the share of all servers' answers that fail, whatever the version.
	oldFailures float64
	// greyOld is the share of the old servers that fail half of their requests, and greyNew the
	// number of new ones that do.
	greyOld float64
	greyNew int
	// failures is the share of the new version's answers that fail besides, and slower the
	// factor of its latencies, from second from on, on the first route only if oneRoute.
	failures, slower, from float64
	oneRoute               bool
	// narrow is set if latencies hardly differ from request to request.
	narrow bool
}

const courseStep = 0.1

// play returns when the version was judged bad, and how many bad answers it had given; -1 if it was not.
func (c *course) play(random *rand.Rand) (at float64, bad int) {
	r := newRoll(Order{Pool: "p", Version: "v2"}, Bounds{Share: 0.1}, quiet(), time.Time{})
	start := time.Time{}
	for s := 0.0; s < c.seconds; s += courseStep {
		now := start.Add(time.Duration(s * float64(time.Second)))
		r.rotate(now)
		for range poisson(random, c.perSecond*courseStep) {
			isNew := random.Float64() < c.share
			key := cellKey{route: 1 + uint32(random.IntN(2)), target: isNew}
			if isNew {
				key.server = 1 + uint32(random.IntN(c.servers))
			}
			failed, slower := c.fate(key, s, random)
			if isNew && (failed || slower > 1) {
				bad++
			}
			if r.counters[key] == nil {
				r.counters[key] = &counter{}
			}
			spread := 0.5
			if c.narrow {
				spread = 0.02
			}
			latency := time.Duration(slower * 60e6 * math.Exp(spread*random.NormFloat64()))
			r.counters[key].total.add(failed, latency)
			r.counters[key].current.add(failed, latency)
		}
		if Judge(r.ownCells(), 0.5).Bad {
			return s, bad
		}
	}
	return -1, bad
}

// fate returns whether an answer fails, and the factor of its latency.
func (c *course) fate(key cellKey, at float64, random *rand.Rand) (failed bool, slower float64) {
	failed, slower = random.Float64() < c.oldFailures, 1
	switch {
	case !key.target && c.greyOld > 0:
		failed = failed || random.Float64() < c.greyOld*0.5
	case key.target && int(key.server) <= c.greyNew:
		failed = failed || random.Float64() < 0.5
	}
	if key.target && at >= c.from && (!c.oneRoute || key.route == 1) {
		failed = failed || random.Float64() < c.failures
		slower = max(c.slower, 1)
	}
	return failed, slower
}

func poisson(random *rand.Rand, mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := random.Float64(); p > limit; p *= random.Float64() {
		n++
	}
	return n
}

// Bad versions are judged bad in time, and good ones are not, under loads, faults and few requests.
func TestJudgment(t *testing.T) {
	large := course{perSecond: 830, share: 0.05, servers: 5, seconds: 8}
	small := course{perSecond: 250, share: 0.05, servers: 2, seconds: 8}
	tests := []struct {
		name string
		base course
		set  func(*course)
		// least and most bound the share of the courses in which the version is judged bad, and
		// mostBad the mean of the bad answers until then.
		least, most, mostBad float64
	}{
		{"good", large, func(*course) {}, 0, 0.02, 0},
		{"good, few requests", small, func(*course) {}, 0, 0.02, 0},
		{"good, 3 % of all answers are lost", large, func(c *course) { c.oldFailures = 0.03 }, 0, 0.02, 0},
		{"good, 3 % of all answers are lost, few requests", small, func(c *course) { c.oldFailures = 0.03 }, 0, 0.02, 0},
		{"good, grey old servers", large, func(c *course) { c.greyOld = 0.14 }, 0, 0.02, 0},
		{"good, one new server is grey", large, func(c *course) { c.greyNew = 1 }, 0, 0.05, 0},
		{"good, one of two new servers is grey", small, func(c *course) { c.greyNew = 1 }, 0, 0.05, 0},
		{"fails 50 %", large, func(c *course) { c.failures = 0.5 }, 1, 1, 15},
		{"fails 20 %", large, func(c *course) { c.failures = 0.2 }, 1, 1, 15},
		{"fails 5 %", large, func(c *course) { c.failures = 0.05 }, 0.95, 1, 15},
		{"fails 0.5 %", large, func(c *course) { c.failures = 0.005 }, 0, 1, 15},
		{"fails 50 %, few requests", small, func(c *course) { c.failures = 0.5 }, 1, 1, 12},
		{"fails 20 %, few requests", small, func(c *course) { c.failures = 0.2 }, 0.98, 1, 12},
		{"fails 20 %, and 3 % of all answers are lost", large, func(c *course) { c.failures, c.oldFailures = 0.2, 0.03 }, 1, 1, 25},
		{"fails 20 %, grey old servers", large, func(c *course) { c.failures, c.greyOld = 0.2, 0.14 }, 0.95, 1, 35},
		{"fails 30 % on one route", large, func(c *course) { c.failures, c.oneRoute = 0.3, true }, 1, 1, 15},
		{"fails 30 % on one route, few requests", small, func(c *course) { c.failures, c.oneRoute = 0.3, true }, 0.97, 1, 12},
		{"fails 30 % after 5 s", large, func(c *course) { c.failures, c.from = 0.3, 5 }, 1, 1, 15},
		{"fails 30 % after 5 s on one route", large, func(c *course) { c.failures, c.from, c.oneRoute = 0.3, 5, true }, 0.98, 1, 15},
		{"good, 1.4x slower, narrow", large, func(c *course) { c.slower, c.narrow = 1.4, true }, 0, 0.02, 0},
		{"2x slower, narrow", large, func(c *course) { c.slower, c.narrow = 2, true }, 1, 1, 40},
		{"2x slower", large, func(c *course) { c.slower = 2 }, 0.98, 1, 60},
		{"3x slower", large, func(c *course) { c.slower = 3 }, 1, 1, 30},
		{"6x slower", large, func(c *course) { c.slower = 6 }, 1, 1, 25},
		{"3x slower, few requests", small, func(c *course) { c.slower = 3 }, 1, 1, 35},
		{"3x slower on one route", large, func(c *course) { c.slower, c.oneRoute = 3, true }, 1, 1, 30},
		{"3x slower after 5 s", large, func(c *course) { c.slower, c.from = 3, 5 }, 1, 1, 60},
		{"4x slower after 5 s on one route, few requests", small, func(c *course) { c.slower, c.from, c.oneRoute = 4, 5, true }, 0.9, 1, 40},
	}
	const courses = 60
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := tt.base
			tt.set(&c)
			random := rand.New(rand.NewPCG(1, 2))
			judged, badSum, timeSum := 0, 0, 0.0
			for range courses {
				if at, bad := c.play(random); at >= 0 {
					judged++
					badSum += bad
					timeSum += at
				}
			}
			rate := float64(judged) / courses
			meanBad := float64(badSum) / max(float64(judged), 1)
			t.Logf("judged bad: %.3f; mean time %.2f s, bad answers %.1f", rate, timeSum/max(float64(judged), 1), meanBad)
			if rate < tt.least || rate > tt.most {
				t.Errorf("judged bad in %.3f of the courses, want %.3f to %.3f", rate, tt.least, tt.most)
			}
			if tt.mostBad > 0 && meanBad > tt.mostBad {
				t.Errorf("%.1f bad answers on average until the judgment, want at most %.1f", meanBad, tt.mostBad)
			}
		})
	}
}

func TestFisher(t *testing.T) {
	// "The lady tasting tea": 4 of 4, and 3 of 4 or more.
	for _, tt := range []struct {
		sample, other Sample
		want          float64
	}{
		{Sample{4, 4}, Sample{4, 0}, 1.0 / 70},
		{Sample{4, 3}, Sample{4, 1}, 17.0 / 70},
		{Sample{4, 0}, Sample{4, 0}, 1},
	} {
		if got := fisher(tt.sample, tt.other); math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("fisher(%v, %v) = %v, want %v", tt.sample, tt.other, got, tt.want)
		}
	}
}
