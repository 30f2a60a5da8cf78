package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	tick = 25 * time.Millisecond
	// A server that named a limit of R may get 1.5 * 4 s * R + 5 requests within window,
	// from contactTime after it named the limit first, from instances that it had told
	// toldTime before.
	window      = 4 * time.Second
	contactTime = 3 * time.Second
	toldTime    = 500 * time.Millisecond
	zones       = 3
)

// fleetModel simulates instances that share servers, with more requests than the servers
// take, and exchange messages in two levels.
type fleetModel struct {
	random    *rand.Rand
	now       time.Time
	instances []*instanceModel
	servers   []*serverModel
	// perTick is the mean number of requests of an instance in a tick.
	perTick  float64
	lossRate float64
	inbox    []messageModel
	// interval is the number of ticks between two messages of an instance.
	interval int
}

type instanceModel struct {
	*Tracker
	name string
	// skew is by how much its clock differs, and cut is set while no message reaches or
	// leaves it.
	skew        time.Duration
	frozenUntil time.Time
	cut         bool
	// told holds what each server told it.
	told map[*serverModel][]toldModel
	// excusedUntil is when a restart or freeze excuses it no more.
	excusedUntil time.Time
}

type serverModel struct {
	Incarnation
	limited bool
	rate    float64
	// namedAt is when it named its first limit.
	namedAt  time.Time
	arrivals []arrivalModel
	// answers are on their way back.
	answers []answerModel
}

type toldModel struct {
	at   time.Time
	rate float64
}

// arrivalModel is a request that reached a server. It counts against rate, the higher one of
// the limit that the server names and the one that it had told the instance by toldTime
// before; told is set if it had told it any.
type arrivalModel struct {
	at   time.Time
	rate float64
	told bool
}

type answerModel struct {
	instance  *instanceModel
	asked, at time.Time
	limit     Limit
}

type messageModel struct {
	to     *instanceModel
	due    time.Time
	limits []*pb.ServerLimit
}

func newFleet(seed uint64, instances, servers int, perTick, lossRate float64) *fleetModel {
	f := &fleetModel{random: rand.New(rand.NewPCG(seed, 1)), now: start, perTick: perTick, lossRate: lossRate, interval: 2}
	if instances > 100 {
		f.interval = 6
	}
	for n := range instances {
		f.instances = append(f.instances, &instanceModel{name: fmt.Sprint("instance-", n), skew: time.Duration(f.random.Int64N(int64(10 * time.Second)))})
	}
	for _, i := range f.instances {
		f.restart(i)
	}
	for n := range servers {
		f.servers = append(f.servers, &serverModel{Incarnation: Incarnation{ID: machine.ID(fmt.Sprint("s-", n)), StartedAtMs: int64(n)}})
	}
	return f
}

func (f *fleetModel) names() []string {
	var names []string
	for _, i := range f.instances {
		names = append(names, i.name)
	}
	return names
}

// clock returns the time at an instance.
func (f *fleetModel) clock(i *instanceModel) time.Time { return f.now.Add(i.skew) }

func (f *fleetModel) restart(i *instanceModel) {
	i.Tracker, i.told = New(i.name, quietLog()), make(map[*serverModel][]toldModel)
	i.SetInstances(f.names(), f.clock(i))
	i.excusedUntil = f.now.Add(contactTime)
}

func (f *fleetModel) freeze(i *instanceModel, d time.Duration) {
	i.frozenUntil, i.excusedUntil = f.now.Add(d), f.now.Add(d+contactTime)
}

// setRate changes a server's limit; a negative rate ends it.
func (f *fleetModel) setRate(s *serverModel, rate float64) {
	s.limited, s.rate = rate >= 0, rate
	if s.limited && s.namedAt.IsZero() {
		s.namedAt = f.now
	}
}

// step advances the simulation by a tick.
func (f *fleetModel) step(n int) {
	f.now = f.now.Add(tick)
	f.exchange(n)
	for _, s := range f.servers {
		f.answer(s)
	}
	for _, i := range f.instances {
		if f.now.Before(i.frozenUntil) {
			continue
		}
		if n%10 == 0 {
			i.Retain(func(machine.ID) bool { return true }, f.clock(i))
		}
		for range f.poisson(f.perTick) {
			f.request(i)
		}
	}
}

func (f *fleetModel) poisson(mean float64) int {
	n := 0
	for at := f.random.ExpFloat64(); at < mean; at += f.random.ExpFloat64() {
		n++
	}
	return n
}

// request sends a request to a random server that takes it, if there is one.
func (f *fleetModel) request(i *instanceModel) {
	now := f.clock(i)
	var free []*serverModel
	for _, s := range f.servers {
		if i.Allows(s.Incarnation, now) {
			free = append(free, s)
		}
	}
	if len(free) == 0 {
		return
	}
	s := free[f.random.IntN(len(free))]
	if !i.Take(s.Incarnation, now) {
		return
	}
	if f.random.Float64() < 0.02 {
		i.Refund(s.Incarnation, now) // nothing could be sent
		return
	}
	s.arrivals = append(s.arrivals, f.arrival(i, s))
	if f.random.Float64() < 0.02 {
		return // no answer
	}
	limit := Limit{}
	if s.limited {
		limit = Limit{Limited, s.rate}
	}
	s.answers = append(s.answers, answerModel{i, now, f.now.Add(time.Duration(f.random.Int64N(int64(400 * time.Millisecond)))), limit})
}

func (f *fleetModel) arrival(i *instanceModel, s *serverModel) arrivalModel {
	a := arrivalModel{at: f.now, rate: s.rate}
	known := 0.0
	for _, told := range i.told[s] {
		if f.now.Sub(told.at) >= toldTime {
			known, a.told = told.rate, !f.now.Before(i.excusedUntil)
		}
	}
	a.rate = max(a.rate, known)
	return a
}

// answer delivers the answers of a server that are due.
func (f *fleetModel) answer(s *serverModel) {
	s.answers = slices.DeleteFunc(s.answers, func(a answerModel) bool {
		if a.at.After(f.now) || f.now.Before(a.instance.frozenUntil) {
			return false
		}
		a.instance.Observe(s.Incarnation, Observation{a.limit, a.asked, f.clock(a.instance)})
		if a.limit.Kind == Limited {
			a.instance.told[s] = append(a.instance.told[s], toldModel{f.now, a.limit.PerSecond})
		}
		return true
	})
}

// exchange delivers messages that are due, and sends what each instance has to tell to its
// zone's aggregators, to those of the other zones and, from an aggregator, to its zone.
func (f *fleetModel) exchange(n int) {
	var later []messageModel
	for _, m := range f.inbox {
		switch {
		case m.due.After(f.now):
			later = append(later, m)
		case !m.to.cut && !f.now.Before(m.to.frozenUntil):
			m.to.Merge(m.limits, f.clock(m.to))
		}
	}
	f.inbox = later
	for number, i := range f.instances {
		if i.cut || f.now.Before(i.frozenUntil) || (n+number)%f.interval != 0 {
			continue
		}
		limits := i.Messages(f.clock(i))
		if len(limits) == 0 {
			continue
		}
		for to, other := range f.instances {
			isAggregator := to < 2*zones
			if to != number && (isAggregator && (to%zones == number%zones || number < 2*zones) || number < 2*zones && to%zones == number%zones) {
				f.send(other, limits)
			}
		}
	}
}

func (f *fleetModel) send(to *instanceModel, limits []*pb.ServerLimit) {
	if f.random.Float64() < f.lossRate {
		return
	}
	f.inbox = append(f.inbox, messageModel{to, f.now.Add(time.Duration(f.random.Int64N(int64(4 * tick)))), limits})
}

// check reports a server that got too many requests within a window, for each of its
// limits.
func (f *fleetModel) check(t *testing.T) {
	t.Helper()
	for _, s := range f.servers {
		counted := make(map[float64][]time.Time)
		for _, a := range s.arrivals {
			if a.told && a.at.Sub(s.namedAt) >= contactTime {
				counted[a.rate] = append(counted[a.rate], a.at)
			}
		}
		for rate, times := range counted {
			first := 0
			for last, at := range times {
				for at.Sub(times[first]) > window {
					first++
				}
				if got, allowed := last-first+1, 1.5*window.Seconds()*rate+5; float64(got) > allowed {
					t.Fatalf("%s with a limit of %g got %d requests in %v until %v, want at most %.1f", s.ID, rate, got, window, at.Sub(start), allowed)
				}
			}
		}
	}
}

// used returns the part of a server's rate that was used between two times, by all
// instances.
func (s *serverModel) used(from, to time.Time) float64 {
	n := 0
	for _, a := range s.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return float64(n) / (s.rate * to.Sub(from).Seconds())
}

// trouble is what happens to instances while servers name limits.
type trouble func(f *fleetModel, step int)

func noTrouble(*fleetModel, int) {}

func restarts(f *fleetModel, step int) {
	if step%40 == 0 {
		f.restart(f.instances[f.random.IntN(len(f.instances))])
	}
}

func freezes(f *fleetModel, step int) {
	if step%60 == 0 {
		f.freeze(f.instances[f.random.IntN(len(f.instances))], 2*time.Second)
	}
}

// zoneCut cuts the exchange of a zone for half of the time.
func zoneCut(f *fleetModel, step int) {
	for n, i := range f.instances {
		i.cut = n%zones == 1 && step/200%2 == 1
	}
}

func ratesChange(f *fleetModel, step int) {
	if step%180 == 179 {
		for _, s := range f.servers {
			if s.limited {
				f.setRate(s, []float64{0.3, 1.2, 3.5, 12, 50}[f.random.IntN(5)])
			}
		}
	}
}

// Guards against LIMIT of issue 27 over all instances: one server of a pool, or all of them,
// name limits from 0.3 to 50 a second, which rise and fall, while messages are lost, a zone
// cannot exchange any, and instances freeze or restart, with clocks apart.
func TestInstancesKeepToTheLimits(t *testing.T) {
	troubles := map[string]trouble{"": noTrouble, "restarts": restarts, "freezes": freezes, "zone cut": zoneCut, "rates change": ratesChange}
	for name, trouble := range troubles {
		for _, rate := range []float64{0, 0.3, 1.2, 2.2, 12, 50} {
			for _, limited := range []int{1, 6} {
				for _, lossRate := range []float64{0, 0.3} {
					t.Run(fmt.Sprint(name, " rate ", rate, " limited ", limited, " loss ", lossRate), func(t *testing.T) {
						t.Parallel()
						f := newFleet(uint64(rate*10)+uint64(limited), 6, 6, 1.0, lossRate)
						f.play(400, limited, rate, trouble)
						f.check(t)
					})
				}
			}
		}
	}
}

// play runs the steps; from the second second on, the first servers are limited.
func (f *fleetModel) play(steps, limited int, rate float64, trouble trouble) {
	for n := range steps {
		if n == 40 {
			for _, s := range f.servers[:limited] {
				f.setRate(s, rate)
			}
		}
		trouble(f, n)
		f.step(n)
	}
}

// 300 instances keep to limits that are far below one request per instance.
func TestManyInstancesKeepToTheLimits(t *testing.T) {
	troubles := map[string]trouble{"": noTrouble, "restarts": restarts, "zone cut": zoneCut, "rates change": ratesChange}
	for name, trouble := range troubles {
		for _, rate := range []float64{0.3, 3.3, 50} {
			t.Run(fmt.Sprint(name, " rate ", rate), func(t *testing.T) {
				t.Parallel()
				f := newFleet(uint64(rate*10), 300, 12, 0.1, 0.1)
				f.play(360, 12, rate, trouble)
				f.check(t)
			})
		}
	}
}

// Where callers ask for more, a limited server gets at least four fifths of its rate.
func TestLimitsAreUsed(t *testing.T) {
	for _, tt := range []struct {
		instances, servers int
		perTick            float64
	}{{6, 6, 1}, {300, 12, 0.15}} {
		for _, rate := range []float64{0.3, 2.2, 12, 50} {
			t.Run(fmt.Sprint(tt.instances, " instances, rate ", rate), func(t *testing.T) {
				t.Parallel()
				f := newFleet(7, tt.instances, tt.servers, tt.perTick, 0.1)
				f.play(1000, tt.servers, rate, noTrouble)
				total, offered := 0.0, tt.perTick*float64(tt.instances)/tick.Seconds()
				for _, s := range f.servers {
					total += s.used(start.Add(10*time.Second), f.now)
				}
				want := min(0.8, 0.8*offered/(rate*float64(tt.servers)))
				if got := total / float64(tt.servers); got < want {
					t.Errorf("%.2f of the servers' rates are used, want %.2f", got, want)
				}
				f.check(t)
			})
		}
	}
}
