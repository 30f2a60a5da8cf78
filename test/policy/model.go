// Package policy runs the routing, admission and ejection code against a small
// discrete-event model of engines and gateways, to compare policies on the same
// arrivals. It benchmarks the decisions and does not simulate a cluster: of the
// network, it models only fixed delays of requests, reports and events.
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
	gatewayCount   = 6
	zoneCount      = 3
	pool           = "chat"
	modelName      = "m"
	reportInterval = 500 * time.Millisecond
	expiryInterval = 50 * time.Millisecond
	sendDelay      = time.Millisecond
	resendDelay    = 10 * time.Millisecond
)

// Scenario holds the parameters of one run of the model.
type Scenario struct {
	Mix    Mix
	Policy string
	// Load is the arrival rate as a multiple of the estimated saturation.
	Load     float64
	Duration time.Duration
	// The result excludes requests that arrive in the first WarmUp or the last
	// CoolDown of the run.
	WarmUp, CoolDown time.Duration
	Seed             uint64
	// ReportLag is the delay of load reports to the gateways, EventLag that of
	// cache events.
	ReportLag, EventLag time.Duration
	// EventLossRate is the fraction of cache event batches that are lost.
	EventLossRate float64
	// LoseZoneAt is when the reclaim of one zone is announced; its servers are gone
	// Notice later. 0 means never.
	LoseZoneAt, Notice time.Duration
	// SlowAt is when one server becomes SlowFactor times slower without reporting
	// it. 0 means never.
	SlowAt     time.Duration
	SlowFactor float64
	// SharedBlocks overrides the SharedBlocks of every class of the mix; 0 keeps
	// them.
	SharedBlocks int
	// NoEjection disables outlier ejection.
	NoEjection bool
	// NoAdmission disables admission control: every request is admitted at once.
	NoAdmission bool
}

// Model is the state of a run.
type Model struct {
	Scenario
	mix *Mix
	// arrivals, eventLosses and routes are separate streams of random numbers, so
	// that a policy's choices do not change the arrivals.
	arrivals, eventLosses, routes *rand.Rand
	now                           time.Duration
	events                        eventHeap
	sequence                      int
	engines                       []*engine
	byID                          map[machine.ID]*engine
	gateways                      []*gateway
	zones                         zone.Map
	computedBlocks                map[uint64]struct{}
	conversations                 uint64
	jobs                          uint64
	result                        *Result
}

var epoch = time.Unix(1_700_000_000, 0)

func (m *Model) clock() time.Time { return epoch.Add(m.now) }

// Run runs a scenario and returns its result.
func Run(s Scenario) *Result {
	m := &Model{
		Scenario: s, mix: &s.Mix,
		arrivals:       rand.New(rand.NewPCG(s.Seed, 1<<60)),
		eventLosses:    rand.New(rand.NewPCG(s.Seed, 1<<61)),
		routes:         rand.New(rand.NewPCG(s.Seed, 1<<62)),
		byID:           make(map[machine.ID]*engine),
		computedBlocks: make(map[uint64]struct{}),
		result:         newResult(&s),
	}
	m.mix.setSharedBlocks(s.SharedBlocks)
	m.buildFleet()
	m.arrive()
	m.scheduleFaults()
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

func (m *Model) buildFleet() {
	var zones []zone.Zone
	for z := range zoneCount {
		zones = append(zones, zone.Zone{Name: zoneName(z), Region: "region"})
	}
	m.zones = zone.NewMap(zones)
	for i := range m.mix.Servers {
		e := &engine{
			model: m, slots: m.mix.Slots, slowdown: 1,
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
	for i := range gatewayCount {
		m.gateways = append(m.gateways, newGateway(m, i))
	}
	m.schedulePeriodic(reportInterval, m.publishReports)
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// arrive schedules the next conversation. Arrivals are a Poisson process.
func (m *Model) arrive() {
	rate := m.Load * m.mix.saturation() / m.mix.meanTurns()
	gap := time.Duration(m.arrivals.ExpFloat64() / rate * float64(time.Second))
	m.schedule(gap, func() {
		m.startTurn(m.newConversation())
		m.arrive()
	})
}

// startTurn offers the next request of a conversation to a random gateway.
func (m *Model) startTurn(c *conversation) {
	m.jobs++
	j := &job{
		model: m, id: m.jobs, conversation: c, gateway: m.gateways[c.random.IntN(gatewayCount)],
		priority: c.class.Priority, chain: slices.Clone(c.chain), promptTokens: promptTokens(c.chain),
		outputTokens: c.class.OutputTokens/2 + c.random.IntN(c.class.OutputTokens), arrived: m.now,
	}
	c.turns--
	c.extend(c.class.BlocksPerTurn, c.id<<20|uint64(c.turns+1))
	m.result.recordOffered(j)
	j.gateway.offerJob(j)
}

// scheduleNextTurn schedules the conversation's next turn, if any, after an answer
// or a refusal.
func (m *Model) scheduleNextTurn(c *conversation) {
	if c.turns <= 0 {
		return
	}
	pause := time.Duration(c.random.ExpFloat64() * float64(c.class.ThinkTime))
	m.schedule(pause, func() { m.startTurn(c) })
}

func (m *Model) scheduleFaults() {
	if m.LoseZoneAt > 0 {
		m.schedule(m.LoseZoneAt, m.announceReclaim)
	}
	if m.SlowAt > 0 {
		m.schedule(m.SlowAt, func() { m.engines[0].slowdown = m.SlowFactor })
	}
}

func (m *Model) announceReclaim() {
	for _, e := range m.engines {
		if e.server.Zone == zoneName(0) {
			e.leavingSince = m.now
			m.schedule(m.Notice, e.kill)
		}
	}
}

// publishReports sends each server's state and cache events to the gateways,
// which receive them after ReportLag and EventLag.
func (m *Model) publishReports() {
	m.result.sampleLoad(m.engines)
	for _, e := range m.engines {
		state := e.state(m.clock())
		events := e.cache.events
		e.cache.events = cacheEvents{}
		m.schedule(m.ReportLag, func() {
			for _, g := range m.gateways {
				g.report(state)
			}
		})
		for _, g := range m.gateways {
			lost := m.eventLosses.Float64() < m.EventLossRate
			m.schedule(m.EventLag, func() { g.cacheEvents(state.ID, events, lost) })
		}
	}
	m.schedule(m.ReportLag, func() {
		for _, g := range m.gateways {
			g.refresh()
		}
	})
}

// recordPrefill counts the prompt tokens of j that are cached, computed, and
// recomputed, that is, computed although some server had computed them before.
func (m *Model) recordPrefill(j *job, cached int) {
	for _, hash := range j.chain[:cached] {
		m.computedBlocks[hash] = struct{}{}
	}
	recomputed := 0
	for _, hash := range j.chain[cached:] {
		if _, ok := m.computedBlocks[hash]; ok {
			recomputed++
		}
		m.computedBlocks[hash] = struct{}{}
	}
	m.result.recordPrompt(m.now, cached, recomputed, j.promptTokens)
}

func (m *Model) routing() config.Routing { return config.Routing{Policy: m.Policy} }

func (m *Model) schedule(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now + d, sequence: m.sequence, run: run})
}

func (m *Model) schedulePeriodic(d time.Duration, run func()) {
	m.schedule(d, func() {
		run()
		m.schedulePeriodic(d, run)
	})
}

// sortedJobs returns the requests of a set by ID, since the iteration order of a
// map would make runs differ.
func sortedJobs(set map[*job]struct{}) []*job {
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

// eventHeap orders events by time, then by the order in which they were
// scheduled.
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
