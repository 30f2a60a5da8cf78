package autoscale

import (
	"fmt"
	"testing"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
)

var start = time.Unix(1_700_000_000, 0)

const (
	bootTime = 4 * time.Second
	step     = 250 * time.Millisecond
	rate     = 80_000.0
)

// cloud carries out orders: servers boot, reclaimable ones of a zone are taken
// away after a notice, and then none are to be had for a while.
type cloud struct {
	servers []*simServer
	now     time.Time
	dryTill time.Time
}

type simServer struct {
	zone        string
	reclaimable bool
	readyAt     time.Time
	goneAt      time.Time
}

func (c *cloud) apply(o Order) Outcome {
	var have []*simServer
	for _, s := range c.servers {
		if s.zone == o.Zone && s.reclaimable == o.Reclaimable && s.goneAt.IsZero() {
			have = append(have, s)
		}
	}
	for i := o.Servers; i < len(have); i++ {
		have[i].goneAt = c.now.Add(2 * time.Second)
	}
	if o.Servers > len(have) && o.Reclaimable && c.now.Before(c.dryTill) {
		return Unavailable
	}
	for range o.Servers - len(have) {
		c.servers = append(c.servers, &simServer{zone: o.Zone, reclaimable: o.Reclaimable, readyAt: c.now.Add(bootTime)})
	}
	return Accepted
}

// carryOut sends a Scaler's orders and plans anew after each refusal, as a Runner
// does. It returns the number of orders.
func (c *cloud) carryOut(scaler *Scaler, in Input) (orders int) {
	c.carryOutChecked(scaler, in, func(Order) { orders++ })
	return orders
}

// carryOutChecked shows check each order beforehand.
func (c *cloud) carryOutChecked(scaler *Scaler, in Input, check func(Order)) {
	for range maxRounds {
		refused := false
		for _, o := range scaler.Plan(in) {
			check(o)
			outcome := c.apply(o)
			scaler.RecordOutcome(o, outcome, c.now)
			if refused = outcome == Unavailable; refused {
				break
			}
		}
		if !refused {
			break
		}
	}
}

// reclaim takes a zone's reclaimable servers with a notice of 2.5 s.
func (c *cloud) reclaim(zone string, dry time.Duration) {
	for _, s := range c.servers {
		if s.zone == zone && s.reclaimable && s.goneAt.IsZero() {
			s.goneAt = c.now.Add(2500 * time.Millisecond)
		}
	}
	c.dryTill = c.now.Add(dry)
}

// list is what the servers report; capacity counts those that still work.
func (c *cloud) list() (reported []*fleet.Server, capacity int) {
	for i, s := range c.servers {
		if c.now.Before(s.readyAt) || (!s.goneAt.IsZero() && !c.now.Before(s.goneAt)) {
			continue
		}
		capacity++
		state := machine.Serving
		if !s.goneAt.IsZero() {
			state = machine.Leaving
		}
		reported = append(reported, &fleet.Server{
			Server:    machine.Server{ID: machine.ID(fmt.Sprint(i)), Pool: "p", Zone: s.zone, Reclaimable: s.reclaimable},
			Lifecycle: state, Slots: 64,
		})
	}
	return reported, capacity
}

func pool() *fleet.Pool {
	return &fleet.Pool{Name: "p", Engine: &fleet.Engine{Slots: 64}, Scaling: &fleet.Scaling{
		Min: 1, Max: 6, BootTime: bootTime, ReclaimablePrice: 0.18, ZonePrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
	}}
}

// result is what a simulated load found.
type result struct {
	// short is the longest time with fewer working servers than the load needs.
	short time.Duration
	// cost is the price of the servers, in server-seconds on demand.
	cost float64
	// orders is the number of orders sent.
	orders int
	final  int
}

// simulate runs a Scaler against a cloud that starts with nine servers on demand.
func simulate(length time.Duration, load func(at time.Duration) float64, event func(c *cloud, at time.Duration)) result {
	c := &cloud{now: start}
	for _, zone := range []string{"a", "b", "c"} {
		for range 3 {
			// The servers that are there at first register one after the other.
			c.servers = append(c.servers, &simServer{zone: zone, readyAt: start.Add(time.Duration(len(c.servers)) * 300 * time.Millisecond)})
		}
	}
	scaler := New(DefaultSettings)
	var r result
	var short, knownSince time.Duration
	prices := pool().Scaling
	for at := time.Duration(0); at < length; at += step {
		c.now = start.Add(at)
		event(c, at)
		reported, capacity := c.list()
		tokens := load(at)
		if knownSince == 0 && tokens > 0 {
			knownSince = max(at, step)
		}
		in := Input{Pool: pool(), Servers: reported, Now: c.now, Load: Load{TokensPerSecond: tokens, ServerRate: rate, Slots: 64, Known: knownSince > 0 && at-knownSince > 5*time.Second}}
		r.orders += c.carryOut(scaler, in)
		if at > 3*time.Second && float64(capacity) < tokens/rate {
			short += step
			r.short = max(r.short, short)
		} else {
			short = 0
		}
		for _, s := range reported {
			price := prices.ZonePrices[s.Zone]
			if s.Reclaimable {
				price *= prices.ReclaimablePrice
			}
			r.cost += price * step.Seconds()
		}
		r.final = capacity
	}
	return r
}

// reclaims takes the zones' reclaimable servers at their times; none can be had
// for 13 s after each.
func reclaims(zones map[time.Duration]string) func(*cloud, time.Duration) {
	return func(c *cloud, at time.Duration) {
		if zone, ok := zones[at]; ok {
			c.reclaim(zone, 13*time.Second)
		}
	}
}

func quiet(*cloud, time.Duration) {}

func constant(servers float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return servers * rate }
}

// A steady load moves from servers on demand to reclaimable ones.
func TestSteadyLoadIsCarriedByReclaimableServers(t *testing.T) {
	r := simulate(60*time.Second, constant(3), quiet)
	if r.short > 0 {
		t.Errorf("too few servers for %v", r.short)
	}
	nineOnDemand := 60 * 3 * (0.85 + 1.2 + 1)
	if r.cost > nineOnDemand/2 {
		t.Errorf("cost %.0f, want under half of the %.0f that the first servers cost", r.cost, nineOnDemand)
	}
	if r.orders > 40 {
		t.Errorf("%d orders for a steady load", r.orders)
	}
}

// A wave of reclaims: each zone's servers are taken in turn, 6 s apart, and
// none can be had meanwhile. What is left and the servers on demand ordered at
// the notices carry the load, but for the time that these take to boot.
func TestWaveOfReclaimsWhileNoneCanBeHad(t *testing.T) {
	zones := map[time.Duration]string{20 * time.Second: "a", 26 * time.Second: "c", 32 * time.Second: "b"}
	r := simulate(80*time.Second, constant(4), reclaims(zones))
	if limit := bootTime - 2500*time.Millisecond + step; r.short > limit {
		t.Errorf("too few servers for %v, bound %v", r.short, limit)
	}
	if r.orders > 200 {
		t.Errorf("%d orders", r.orders)
	}
}

// Reclaims right after an order: the servers that the order asks for are not
// waited for when they are taken back. The zones follow each other 3 s apart,
// with a notice of a second.
func TestReclaimsRightAfterAnOrder(t *testing.T) {
	zones := map[time.Duration]string{20 * time.Second: "a", 23 * time.Second: "c", 26 * time.Second: "b"}
	load := func(at time.Duration) float64 {
		if at < 19500*time.Millisecond {
			return 3 * rate
		}
		return 4 * rate
	}
	r := simulate(60*time.Second, load, reclaims(zones))
	if limit := bootTime - 2500*time.Millisecond + step; r.short > limit {
		t.Errorf("too few servers for %v, bound %v", r.short, limit)
	}
}

// The load rises, and two zones are taken back 1.3 s apart just after the orders for
// it, while none can be had. The third zone's servers stay, and the number of servers
// on demand that is ordered does not fall.
func TestNothingIsGivenBackInAWaveOfReclaims(t *testing.T) {
	const rise, first, second = 3 * time.Second, 4500 * time.Millisecond, 5750 * time.Millisecond
	c := &cloud{now: start}
	for i := range 18 {
		c.servers = append(c.servers, &simServer{zone: []string{"a", "b", "c"}[i%3], reclaimable: true, readyAt: start})
	}
	scaler := New(DefaultSettings)
	p := pool()
	p.Scaling.Max = 12
	load := 9.5 * rate
	onDemand := make(map[string]int)
	most := 0
	for at := time.Duration(0); at < first+5*time.Second; at += step {
		c.now = start.Add(at)
		switch at {
		case rise:
			load = 13 * rate
		case first:
			c.reclaim("a", 13*time.Second)
		case second:
			c.reclaim("c", 13*time.Second)
		}
		reported, _ := c.list()
		in := Input{Pool: p, Servers: reported, Now: c.now, Load: Load{TokensPerSecond: load, ServerRate: rate, Slots: 64, Known: true}}
		c.carryOutChecked(scaler, in, func(o Order) {
			if present := count(reported).present[o.lot()]; at >= first && o.Reclaimable && o.Zone == "b" && o.Servers < present {
				t.Errorf("%v after the first notice: %d of %d servers of the zone that is left are kept", at-first, o.Servers, present)
			}
			if !o.Reclaimable {
				onDemand[o.Zone] = o.Servers
			}
		})
		sum := 0
		for _, n := range onDemand {
			sum += n
		}
		if sum < most {
			t.Errorf("%v after the first notice: servers on demand ordered went from %d to %d", at-first, most, sum)
		}
		most = max(most, sum)
	}
}

// Instances that learn late of each other's requests spread them less evenly: the
// plan has more servers, up to a bound.
func TestOldNewsNeedMoreServers(t *testing.T) {
	need := func(age time.Duration) float64 {
		return New(DefaultSettings).need(Input{Pool: pool(), Now: start, Load: Load{TokensPerSecond: 30 * rate, ServerRate: rate, Known: true, MaxStaleness: age}})
	}
	fresh, old, older, oldest := need(150*time.Millisecond), need(650*time.Millisecond), need(2400*time.Millisecond), need(time.Minute)
	if fresh >= old || old >= older {
		t.Errorf("need of %.1f, %.1f and %.1f servers by news of 0.15, 0.65 and 2.4 s, want it to grow", fresh, old, older)
	}
	if most := 30 / DefaultSettings.MinUtilization; fresh < 30 || oldest > most {
		t.Errorf("need of %.1f to %.1f servers, want between 30 and %.1f", fresh, oldest, most)
	}
}

// A step of the load by half is borne by what is kept in reserve for the loss
// of a zone.
func TestStepOfTheLoad(t *testing.T) {
	r := simulate(60*time.Second, func(at time.Duration) float64 {
		if at > 30*time.Second {
			return 4.5 * rate
		}
		return 3 * rate
	}, quiet)
	if r.short > 0 {
		t.Errorf("too few servers for %v", r.short)
	}
}

func TestFallOfTheLoadGivesServersBack(t *testing.T) {
	r := simulate(90*time.Second, func(at time.Duration) float64 {
		if at > 30*time.Second {
			return 0.5 * rate
		}
		return 5 * rate
	}, quiet)
	if r.final > 5 {
		t.Errorf("%d servers are left for half a server's load", r.final)
	}
}

// The zone's limit is reached by servers on demand while reclaimable ones cannot
// be had: the orders for both must not push each other out.
func TestOrdersDoNotSwingAtTheLimit(t *testing.T) {
	r := simulate(60*time.Second, constant(9), func(c *cloud, at time.Duration) {
		if at == 20*time.Second {
			for _, zone := range []string{"a", "b", "c"} {
				c.reclaim(zone, 25*time.Second)
			}
		}
	})
	if limit := bootTime - 2500*time.Millisecond + step; r.short > limit {
		t.Errorf("too few servers for %v, bound %v", r.short, limit)
	}
}

// Before any traffic the servers that were found are replaced, not given up.
func TestServersAreKeptUntilTheLoadIsKnown(t *testing.T) {
	r := simulate(30*time.Second, func(at time.Duration) float64 {
		if at < 15*time.Second {
			return 0
		}
		return 6 * rate
	}, quiet)
	if r.short > 0 {
		t.Errorf("too few servers for %v when the traffic began", r.short)
	}
}

// The servers that were found are replaced as they register: the last of them
// goes once its replacement has booted, and replacements do not count as found.
func TestFoundServersAreReplacedAsTheyRegister(t *testing.T) {
	const drain = 2 * time.Second
	lastFound := 8 * 300 * time.Millisecond
	none := func(time.Duration) float64 { return 0 }
	r := simulate(lastFound+bootTime+drain+4*step, none, quiet)
	// Five servers, also without any one zone's.
	if want := 8; r.final != want {
		t.Errorf("%d servers, want the %d that replace those found", r.final, want)
	}
	if r = simulate(30*time.Second, none, quiet); r.final != 8 {
		t.Errorf("%d servers after half a minute, want 8", r.final)
	}
}

// Orders that get no answer are sent again, and servers that differ from what
// was ordered, as by an order carried out late, are ordered back.
func TestLateOrderIsUndone(t *testing.T) {
	r := simulate(80*time.Second, constant(2), func(c *cloud, at time.Duration) {
		if at == 40*time.Second {
			c.apply(Order{Zone: "b", Servers: 6})
		}
	})
	if r.final > 6 {
		t.Errorf("%d servers at the end, want the stray ones given back", r.final)
	}
}

// A zone's limit holds for both markets together: servers on demand are not
// given back elsewhere for ones that have no room beside the zone's reclaimable ones.
func TestServersOnDemandAreNotPlannedWhereThereIsNoRoom(t *testing.T) {
	var list []*fleet.Server
	add := func(n int, zone string, reclaimable bool) {
		for range n {
			list = append(list, &fleet.Server{
				Server:    machine.Server{ID: machine.ID(fmt.Sprint(len(list))), Pool: "p", Zone: zone, Reclaimable: reclaimable},
				Lifecycle: machine.Serving, Slots: 64,
			})
		}
	}
	add(4, "a", true)
	add(2, "a", false)
	add(4, "c", false)
	scaler := New(DefaultSettings)
	for _, zone := range []string{"b", "c"} {
		scaler.RecordOutcome(Order{Pool: "p", Zone: zone, Reclaimable: true, Servers: 4}, Unavailable, start)
	}
	in := Input{Pool: pool(), Servers: list, Now: start, Load: Load{TokensPerSecond: 4.9 * rate, ServerRate: rate, Slots: 64, Known: true}}
	for _, o := range scaler.Plan(in) {
		if !o.Reclaimable && o.Zone == "c" && o.Servers < 4 {
			t.Errorf("order %+v gives servers back that the load needs", o)
		}
	}
}

// A new holder of the duty finds servers on demand in a dear zone while
// reclaimable ones cannot be had: they are kept, with the reserve that the plan
// wants, until those ordered in a cheaper zone serve.
func TestReserveIsKeptUntilItsReplacementServes(t *testing.T) {
	c := &cloud{now: start.Add(time.Minute), dryTill: start.Add(time.Hour)}
	add := func(zone string, reclaimable bool, n int) {
		for range n {
			c.servers = append(c.servers, &simServer{zone: zone, reclaimable: reclaimable, readyAt: start})
		}
	}
	add("a", false, 2)
	add("b", true, 2)
	add("b", false, 3)
	scaler := New(DefaultSettings)
	for range 12 {
		reported, capacity := c.list()
		if capacity < 7 {
			t.Fatalf("%d servers are left %v after the new holder began, want all 7 until others serve", capacity, c.now.Sub(start.Add(time.Minute)))
		}
		in := Input{Pool: pool(), Servers: reported, Now: c.now, Load: Load{TokensPerSecond: 4 * rate, ServerRate: rate, Slots: 64, Known: true}}
		c.carryOut(scaler, in)
		c.now = c.now.Add(step)
	}
}

// Reclaimable servers can be had again after a wave, in one zone half a second later
// than in the others: those on demand stay until the ones in their place serve; that
// these are booting is not enough.
func TestServersOnDemandStayUntilOthersServe(t *testing.T) {
	c := &cloud{now: start.Add(time.Minute)}
	for i := range 10 {
		c.servers = append(c.servers, &simServer{zone: "a", readyAt: start})
		if i >= 7 {
			c.servers[i].zone, c.servers[i].reclaimable = "b", true
		}
	}
	p := pool()
	p.Scaling.Max = 12
	scaler := New(DefaultSettings)
	for _, o := range []Order{{Pool: "p", Zone: "a", Reclaimable: true, Servers: 7}, {Pool: "p", Zone: "b", Reclaimable: true, Servers: 8}} {
		scaler.RecordOutcome(o, c.apply(o), c.now)
	}
	const need = 8
	for range 24 {
		c.now = c.now.Add(step)
		reported, capacity := c.list()
		if capacity < need {
			t.Fatalf("%d servers serve %v after the orders, want the %d that the load needs", capacity, c.now.Sub(start.Add(time.Minute)), need)
		}
		in := Input{Pool: p, Servers: reported, Now: c.now, Load: Load{TokensPerSecond: need * 0.99 * DefaultSettings.Utilization * rate, ServerRate: rate, Slots: 64, Known: true}}
		c.carryOut(scaler, in)
	}
}
