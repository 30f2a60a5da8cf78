// Package policy drives the routing, admission and ejection decisions against
// a small model of engines and gateways with a discrete clock, so that
// policies can be compared on the same arrivals. It is a driver of the
// decisions for benchmarks, not a simulation of a cluster: the only network is
// the lag of reports.
package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kumquatyard/internal/config"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/zone"
)

const (
	gateways   = 6
	zoneCount  = 3
	pool       = "chat"
	modelName  = "m"
	push       = 500 * time.Millisecond
	tick       = 50 * time.Millisecond
	sendDelay  = time.Millisecond
	resendTime = 10 * time.Millisecond
)

// Scenario is one run of the model.
type Scenario struct {
	Mix    Mix
	Policy string
	// Load is the rate of arrivals as a part of the estimated saturation.
	Load     float64
	Duration time.Duration
	// Requests that arrive in the first WarmUp and the last CoolDown are left
	// out of the result.
	WarmUp, CoolDown time.Duration
	Seed             uint64
	// ReportLag is the age of load reports, EventLag that of cache events.
	ReportLag, EventLag time.Duration
	// EventLossRate of the batches of cache events are lost.
	EventLossRate float64
	// LoseZoneAt takes a zone away with Notice; 0 is never.
	LoseZoneAt, Notice time.Duration
	// SlowAt makes one server SlowFactor times slower, unreported; 0 is never.
	SlowAt     time.Duration
	SlowFactor float64
	// SharedBlocks replaces the blocks that open every prompt of a workspace; 0
	// leaves them.
	SharedBlocks int
	// NoEjection turns outlier ejection off.
	NoEjection bool
	// NoAdmission admits everything at once.
	NoAdmission bool
}

// Model is the state of a run.
type Model struct {
	Scenario
	mix *Mix
	// arrivals, losses and routes are separate streams of random numbers, so
	// that a policy's choices do not change the arrivals.
	arrivals, losses, routes *rand.Rand
	now                      time.Duration
	events                   eventHeap
	sequence                 int
	engines                  []*engine
	byID                     map[machine.ID]*engine
	gateways                 []*gateway
	zones                    zone.Map
	seen                     map[uint64]struct{}
	conversations            uint64
	jobs                     uint64
	result                   *Result
}

var epoch = time.Unix(1_700_000_000, 0)

func (m *Model) clock() time.Time { return epoch.Add(m.now) }

// Run runs a scenario to its end.
func Run(s Scenario) *Result {
	m := &Model{
		Scenario: s, mix: &s.Mix,
		arrivals: rand.New(rand.NewPCG(s.Seed, 1<<60)),
		losses:   rand.New(rand.NewPCG(s.Seed, 1<<61)),
		routes:   rand.New(rand.NewPCG(s.Seed, 1<<62)),
		byID:     make(map[machine.ID]*engine),
		seen:     make(map[uint64]struct{}),
		result:   newResult(&s),
	}
	m.mix.share(s.SharedBlocks)
	m.build()
	m.arrive()
	m.faults()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at > s.Duration {
			break
		}
		m.now = e.at
		e.run()
	}
	m.result.finish()
	return m.result
}

func (m *Model) build() {
	var zones []zone.Zone
	for z := range zoneCount {
		zones = append(zones, zone.Zone{Name: zoneName(z), Region: "region"})
	}
	m.zones = zone.NewMap(zones)
	for i := range m.mix.Servers {
		e := &engine{
			model: m, slots: m.mix.Slots, slow: 1,
			cache:   newBlockCache(m.mix.CacheBlocks),
			running: make(map[*job]struct{}),
			server: machine.Server{
				ID: machine.ID(fmt.Sprintf("server-%d", i)), Pool: pool, Zone: zoneName(i % zoneCount),
				Models: []string{modelName}, Reclaimable: i%2 == 0,
			},
		}
		m.engines = append(m.engines, e)
		m.byID[e.server.ID] = e
	}
	for i := range gateways {
		m.gateways = append(m.gateways, newGateway(m, i))
	}
	m.every(push, m.publish)
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// arrive starts conversations as a Poisson process.
func (m *Model) arrive() {
	rate := m.Load * m.mix.saturation() / m.mix.meanTurns()
	gap := time.Duration(m.arrivals.ExpFloat64() / rate * float64(time.Second))
	m.after(gap, func() {
		m.turn(m.newConversation())
		m.arrive()
	})
}

// turn offers the next request of a conversation to any gateway.
func (m *Model) turn(c *conversation) {
	m.jobs++
	j := &job{
		model: m, id: m.jobs, conversation: c, gateway: m.gateways[c.random.IntN(gateways)],
		priority: c.kind.Priority, chain: slices.Clone(c.chain), promptTokens: promptTokens(c.chain),
		outputTokens: c.kind.OutputTokens/2 + c.random.IntN(c.kind.OutputTokens), arrived: m.now,
	}
	c.turns--
	c.extend(c.kind.BlocksPerTurn, c.id<<20|uint64(c.turns+1))
	m.result.offer(j)
	j.gateway.offer(j)
}

// next schedules the conversation's next turn after an answer or a refusal.
func (m *Model) next(c *conversation) {
	if c.turns <= 0 {
		return
	}
	pause := time.Duration(c.random.ExpFloat64() * float64(c.kind.ThinkTime))
	m.after(pause, func() { m.turn(c) })
}

func (m *Model) faults() {
	if m.LoseZoneAt > 0 {
		m.after(m.LoseZoneAt, m.announceReclaim)
	}
	if m.SlowAt > 0 {
		m.after(m.SlowAt, func() { m.engines[0].slow = m.SlowFactor })
	}
}

func (m *Model) announceReclaim() {
	for _, e := range m.engines {
		if e.server.Zone == zoneName(0) {
			e.leaving = m.now
			m.after(m.Notice, e.kill)
		}
	}
}

// publish sends each server's report and cache events to the gateways, which
// see them after the lag.
func (m *Model) publish() {
	m.result.sampleLoad(m.engines)
	for _, e := range m.engines {
		state := e.state(m.clock())
		events := e.cache.events
		e.cache.events = cacheEvents{}
		m.after(m.ReportLag, func() {
			for _, g := range m.gateways {
				g.report(state)
			}
		})
		for _, g := range m.gateways {
			lost := m.losses.Float64() < m.EventLossRate
			m.after(m.EventLag, func() { g.cacheEvents(state.ID, events, lost) })
		}
	}
	m.after(m.ReportLag, func() {
		for _, g := range m.gateways {
			g.refresh()
		}
	})
}

// account counts the tokens that a server computes for j, and those of them
// that some server had computed before.
func (m *Model) account(j *job, cached int) {
	for _, hash := range j.chain[:cached] {
		m.seen[hash] = struct{}{}
	}
	recomputed := 0
	for _, hash := range j.chain[cached:] {
		if _, ok := m.seen[hash]; ok {
			recomputed++
		}
		m.seen[hash] = struct{}{}
	}
	m.result.compute(m.now, cached, recomputed, j.promptTokens)
}

func (m *Model) routing() config.Routing { return config.Routing{Policy: m.Policy} }

func (m *Model) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now + d, sequence: m.sequence, run: run})
}

func (m *Model) every(d time.Duration, run func()) {
	m.after(d, func() {
		run()
		m.every(d, run)
	})
}

// sorted returns a set of requests in a fixed order.
func sorted(set map[*job]struct{}) []*job {
	out := make([]*job, 0, len(set))
	for j := range set {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventHeap orders events by time, then by the order in which they were made.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
