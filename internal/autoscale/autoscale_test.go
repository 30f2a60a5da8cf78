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

// cloud simulates the fulfillment of orders: servers boot, the reclaimable ones of a
// zone are reclaimed after a notice, and then none are available for a time.
type cloud struct {
	servers          []*simServer
	now              time.Time
	unavailableUntil time.Time
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
	if o.Servers > len(have) && o.Reclaimable && c.now.Before(c.unavailableUntil) {
		return Unavailable
	}
	for range o.Servers - len(have) {
		c.servers = append(c.servers, &simServer{zone: o.Zone, reclaimable: o.Reclaimable, readyAt: c.now.Add(bootTime)})
	}
	return Accepted
}

// fulfill sends a Scaler's orders and plans again after each refusal, as a Runner does.
// It returns the number of orders.
func (c *cloud) fulfill(scaler *Scaler, in Input) (orders int) {
	c.fulfillChecked(scaler, in, func(Order) { orders++ })
	return orders
}

// fulfillChecked is fulfill that calls check before each order.
func (c *cloud) fulfillChecked(scaler *Scaler, in Input, check func(Order)) {
	for range maxPlans {
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

// reclaim reclaims a zone's reclaimable servers with 2.5 s of notice. No reclaimable
// servers are available for the given time.
func (c *cloud) reclaim(zone string, unavailable time.Duration) {
	for _, s := range c.servers {
		if s.zone == zone && s.reclaimable && s.goneAt.IsZero() {
			s.goneAt = c.now.Add(2500 * time.Millisecond)
		}
	}
	c.unavailableUntil = c.now.Add(unavailable)
}

// list returns the servers' reports; capacity is the number of running servers, leaving
// ones included.
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

// result is the result of a simulation.
type result struct {
	// short is the longest time with fewer running servers than the load needs.
	short time.Duration
	// cost is the price of the servers, in on-demand server-seconds.
	cost float64
	// orders is the number of orders sent.
	orders int
	// final is the number of servers at the end.
	final int
}

// simulate runs a Scaler against a cloud that starts with nine on-demand servers.
func simulate(length time.Duration, load func(at time.Duration) float64, event func(c *cloud, at time.Duration)) result {
	c := &cloud{now: start}
	for _, zone := range []string{"a", "b", "c"} {
		for range 3 {
			// The initial servers register one after the other.
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
		r.orders += c.fulfill(scaler, in)
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

// reclaims returns an event that reclaims the reclaimable servers of each zone at its
// time; none are available for 13 s after each.
func reclaims(zones map[time.Duration]string) func(*cloud, time.Duration) {
	return func(c *cloud, at time.Duration) {
		if zone, ok := zones[at]; ok {
			c.reclaim(zone, 13*time.Second)
		}
	}
}

func noEvent(*cloud, time.Duration) {}

func constant(servers float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return servers * rate }
}

// Under a steady load, on-demand servers are replaced by reclaimable ones.
func TestSteadyLoadIsServedByReclaimableServers(t *testing.T) {
	r := simulate(60*time.Second, constant(3), noEvent)
	if r.short > 0 {
		t.Errorf("too few servers for %v", r.short)
	}
	nineOnDemand := 60 * 3 * (0.85 + 1.2 + 1)
	if r.cost > nineOnDemand/2 {
		t.Errorf("cost %.0f, want at most half of the %.0f of the initial servers", r.cost, nineOnDemand)
	}
	if r.orders > 40 {
		t.Errorf("%d orders for a steady load, want at most 40", r.orders)
	}
}

// The reclaimable servers of all zones are reclaimed, one zone every 6 s, and no others
// are available. The remaining servers and the on-demand ones that are ordered at each
// notice serve the load, except while the latter boot.
func TestSuccessiveZoneReclaimsWithoutReplacements(t *testing.T) {
	zones := map[time.Duration]string{20 * time.Second: "a", 26 * time.Second: "c", 32 * time.Second: "b"}
	r := simulate(80*time.Second, constant(4), reclaims(zones))
	if limit := bootTime - 2500*time.Millisecond + step; r.short > limit {
		t.Errorf("too few servers for %v, bound %v", r.short, limit)
	}
	if r.orders > 200 {
		t.Errorf("%d orders, want at most 200", r.orders)
	}
}

// Zones are reclaimed right after an order for their servers, 3 s apart. The plan must
// not wait for servers of that order that were reclaimed while they booted.
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

// The load rises, and right after the orders for it two zones are reclaimed 1.3 s apart
// while no reclaimable servers are available. The third zone must keep its servers, and
// the number of on-demand servers ordered must not fall.
func TestNoServerIsReleasedDuringSuccessiveReclaims(t *testing.T) {
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
		c.fulfillChecked(scaler, in, func(o Order) {
			if present := countServers(reported).present[o.group()]; at >= first && o.Reclaimable && o.Zone == "b" && o.Servers < present {
				t.Errorf("%v after the first notice: the order keeps %d of %d servers of the remaining zone, want all", at-first, o.Servers, present)
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
			t.Errorf("%v after the first notice: on-demand servers ordered fell from %d to %d", at-first, most, sum)
		}
		most = max(most, sum)
	}
}

// Instances that learn late of each other's requests spread them less evenly, so the
// need grows with the staleness, up to a bound.
func TestNeedGrowsWithStaleness(t *testing.T) {
	need := func(age time.Duration) float64 {
		return New(DefaultSettings).need(Input{Pool: pool(), Now: start, Load: Load{TokensPerSecond: 30 * rate, ServerRate: rate, Known: true, MaxStaleness: age}})
	}
	fresh, stale, staler, stalest := need(150*time.Millisecond), need(650*time.Millisecond), need(2400*time.Millisecond), need(time.Minute)
	if fresh >= stale || stale >= staler {
		t.Errorf("need of %.1f, %.1f and %.1f servers at a staleness of 0.15, 0.65 and 2.4 s, want it to grow", fresh, stale, staler)
	}
	if most := 30 / DefaultSettings.MinUtilization; fresh < 30 || stalest > most {
		t.Errorf("need of %.1f to %.1f servers, want between 30 and %.1f", fresh, stalest, most)
	}
}

// The reserve for the loss of a zone absorbs a sudden rise of the load by half.
func TestReserveAbsorbsALoadStep(t *testing.T) {
	r := simulate(60*time.Second, func(at time.Duration) float64 {
		if at > 30*time.Second {
			return 4.5 * rate
		}
		return 3 * rate
	}, noEvent)
	if r.short > 0 {
		t.Errorf("too few servers for %v", r.short)
	}
}

func TestServersAreReleasedWhenTheLoadFalls(t *testing.T) {
	r := simulate(90*time.Second, func(at time.Duration) float64 {
		if at > 30*time.Second {
			return 0.5 * rate
		}
		return 5 * rate
	}, noEvent)
	if r.final > 5 {
		t.Errorf("%d servers remain for half a server's load, want at most 5", r.final)
	}
}

// On-demand servers reach the zones' limits while no reclaimable ones are available.
// The orders for the two markets must not displace each other in turn.
func TestOrdersDoNotOscillateAtTheLimit(t *testing.T) {
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

// Before the load is known, the initial servers are replaced but their number is kept.
func TestServersAreKeptUntilTheLoadIsKnown(t *testing.T) {
	r := simulate(30*time.Second, func(at time.Duration) float64 {
		if at < 15*time.Second {
			return 0
		}
		return 6 * rate
	}, noEvent)
	if r.short > 0 {
		t.Errorf("too few servers for %v after the traffic started", r.short)
	}
}

// Pattern: traffic that needs all of the initial servers starts at once, and what is ordered for
// it would come too late: those that were kept serve it with the reserve for the loss of a zone.
func TestFirstLoadIsServedByWhatWasThere(t *testing.T) {
	r := simulate(20*time.Second, func(at time.Duration) float64 {
		if at < 14*time.Second {
			return 0
		}
		return 9 * rate
	}, noEvent)
	if r.short > 0 {
		t.Errorf("too few servers for %v after the traffic started", r.short)
	}
}

// The initial servers are replaced as they register: the last of them is released once
// its replacement has booted, and replacements do not count as discovered.
func TestDiscoveredServersAreReplacedAsTheyRegister(t *testing.T) {
	const drain = 2 * time.Second
	lastDiscovered := 8 * 300 * time.Millisecond
	none := func(time.Duration) float64 { return 0 }
	r := simulate(lastDiscovered+bootTime+drain+4*step, none, noEvent)
	// Eleven servers leave seven, three quarters of nine, after the loss of any one zone's servers.
	if want := 11; r.final != want {
		t.Errorf("%d servers, want %d replacements of the initial servers", r.final, want)
	}
	if r = simulate(30*time.Second, none, noEvent); r.final != 11 {
		t.Errorf("%d servers after half a minute, want 11", r.final)
	}
}

// Pattern: 120 on-demand servers register within five seconds of a start of everything, and
// the holder of the duty, one of 295 instances, reads the store's changes each 1.3 s. None of
// the servers that it does not know yet may be released.
func TestServersAreKeptWhileReadsAreRare(t *testing.T) {
	const readInterval, last = 1300 * time.Millisecond, 5 * time.Second
	zones := []string{"a", "b", "c"}
	scaler := New(DefaultSettings)
	var known []*fleet.Server
	readAt := -readInterval
	for at := time.Duration(0); at < last+readInterval; at += step {
		if at-readAt >= readInterval {
			readAt = at
			for n := len(known); n < int(120*at/last) && n < 120; n++ {
				known = append(known, &fleet.Server{Server: machine.Server{ID: machine.ID(fmt.Sprint(n)), Pool: "p", Zone: zones[n%3]}, Lifecycle: machine.Serving, Slots: 64})
			}
		}
		now := start.Add(at)
		if len(known) == 0 {
			continue
		}
		for _, o := range scaler.Plan(Input{Pool: pool(), Servers: known, Now: now, Load: Load{ServerRate: rate, Slots: 64}}) {
			if !o.Reclaimable {
				t.Errorf("%v after the start, with %d of 120 servers known: order %+v", at, len(known), o)
			}
			scaler.RecordOutcome(o, Accepted, now)
		}
	}
}

// When an order is fulfilled late, the servers differ from the last order, which is
// then sent again.
func TestLateOrderIsReverted(t *testing.T) {
	r := simulate(80*time.Second, constant(2), func(c *cloud, at time.Duration) {
		if at == 40*time.Second {
			c.apply(Order{Zone: "b", Servers: 6})
		}
	})
	if r.final > 6 {
		t.Errorf("%d servers at the end, want at most 6: the servers of the late order must be released", r.final)
	}
}

// A zone's limit applies to both markets together: on-demand servers of one zone must
// not be released for others that exceed the limit of a zone with reclaimable servers.
func TestOnDemandServersAreNotPlannedBeyondTheZoneLimit(t *testing.T) {
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
			t.Errorf("order %+v releases servers that the load needs, want at least 4 kept", o)
		}
	}
}

// A new holder of the duty finds on-demand servers in an expensive zone while no
// reclaimable ones are available. They are kept, with the reserve of the plan, until
// those ordered in a cheaper zone serve.
func TestReserveIsKeptUntilItsReplacementServes(t *testing.T) {
	c := &cloud{now: start.Add(time.Minute), unavailableUntil: start.Add(time.Hour)}
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
			t.Fatalf("%d servers %v after the new holder started, want all 7 until others serve", capacity, c.now.Sub(start.Add(time.Minute)))
		}
		in := Input{Pool: pool(), Servers: reported, Now: c.now, Load: Load{TokensPerSecond: 4 * rate, ServerRate: rate, Slots: 64, Known: true}}
		c.fulfill(scaler, in)
		c.now = c.now.Add(step)
	}
}

// Reclaimable servers become available again, in one zone half a second later than in
// the other. The on-demand servers are kept until their replacements serve; it is not
// enough that these are booting.
func TestOnDemandServersStayUntilReplacementsServe(t *testing.T) {
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
			t.Fatalf("%d running servers %v after the orders, want at least the %d that the load needs", capacity, c.now.Sub(start.Add(time.Minute)), need)
		}
		in := Input{Pool: p, Servers: reported, Now: c.now, Load: Load{TokensPerSecond: need * 0.99 * DefaultSettings.Utilization * rate, ServerRate: rate, Slots: 64, Known: true}}
		c.fulfill(scaler, in)
	}
}

// Pattern: a wave of reclaims. Servers of a zone announce that they leave, seconds before they do.
// The next plan, made at the same moment, orders what replaces them.
func TestReplacementsAreOrderedAtTheAnnouncement(t *testing.T) {
	c := &cloud{now: start.Add(time.Minute)}
	for n := range 9 {
		c.servers = append(c.servers, &simServer{zone: []string{"a", "b", "c"}[n%3], reclaimable: true, readyAt: start})
	}
	scaler := New(DefaultSettings)
	for _, zone := range []string{"a", "b", "c"} {
		scaler.RecordOutcome(Order{Pool: "p", Zone: zone, Reclaimable: true, Servers: 3}, Accepted, start.Add(time.Minute))
	}
	load := Load{TokensPerSecond: 6 * 0.98 * DefaultSettings.Utilization * rate, ServerRate: rate, Slots: 64, Known: true}
	reported, _ := c.list()
	for _, o := range scaler.Plan(Input{Pool: pool(), Servers: reported, Now: c.now, Load: load}) {
		t.Errorf("before the announcement: order %+v, want none", o)
	}
	for _, s := range c.servers {
		if s.zone == "a" {
			s.goneAt = c.now.Add(3 * time.Second)
		}
	}
	reported, _ = c.list()
	added := 0
	for _, o := range scaler.Plan(Input{Pool: pool(), Servers: reported, Now: c.now, Load: load}) {
		if o.Zone == "a" && o.Reclaimable && o.Servers > 0 {
			t.Errorf("order %+v: the zone has just taken its reclaimable servers back", o)
		}
		if o.Zone != "a" || !o.Reclaimable {
			added += o.Servers
		}
	}
	if added == 0 {
		t.Error("nothing is ordered at the announcement")
	}
}
