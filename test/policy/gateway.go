package policy

import (
	"fmt"
	"time"

	"kumquatyard/internal/admit"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/outlier"
	"kumquatyard/internal/route"
)

// overcommit is the ratio of the sum of the gateways' slot shares to the number
// of slots. Above 1, uneven arrivals at the gateways leave fewer servers idle.
const overcommit = 1.0

// indexBits is the size of a gateway's block index, as a power of two.
const indexBits = 16

// gateway routes and admits requests by its own view of the servers, which lags
// behind their state.
type gateway struct {
	model         *Model
	zone          string
	controller    *admit.Controller
	detector      *outlier.Detector
	servers       map[machine.ID]*route.Server
	cacheBuilders map[machine.ID]*route.CacheBuilder
	index         *route.Index
	view          *route.View
	queued        map[uint64]*job
	sent          map[*job]struct{}
	requestCount  uint64
}

// job is one request of a conversation.
type job struct {
	model        *Model
	id           uint64
	conversation *conversation
	gateway      *gateway
	priority     contract.Priority
	chain        []uint64
	promptTokens int
	outputTokens int
	arrived      time.Duration
	admitted     time.Duration
	firstToken   time.Duration
	attempt      int
	server       *engine
	uncomputed   int
}

func (j *job) tokens() int { return j.promptTokens + j.outputTokens }

func newGateway(m *Model, i int) *gateway {
	g := &gateway{
		model: m, zone: zoneName(i % zoneCount),
		detector:      outlier.New(outlier.Settings{}),
		servers:       make(map[machine.ID]*route.Server),
		cacheBuilders: make(map[machine.ID]*route.CacheBuilder),
		index:         route.NewIndex(indexBits),
		queued:        make(map[uint64]*job),
		sent:          make(map[*job]struct{}),
		requestCount:  uint64(i),
	}
	for _, e := range m.engines {
		g.servers[e.server.ID] = &route.Server{Server: e.server, State: e.state(m.clock()), InFlight: &route.InFlight{}}
		g.cacheBuilders[e.server.ID] = route.NewCacheBuilder(e.server.ID, g.index)
	}
	g.controller = admit.New(admit.Limits{}, func(string) int { return 1 })
	g.refresh()
	m.schedulePeriodic(expiryInterval, g.expire)
	return g
}

func (g *gateway) report(s machine.State) { g.servers[s.ID].State = s }

func (g *gateway) cacheEvents(id machine.ID, events cacheEvents, lost bool) {
	builder := g.cacheBuilders[id]
	if lost {
		builder.Gap()
		return
	}
	builder.Added(events.added...)
	builder.Removed(events.removed...)
}

// refresh builds a view from the reports and events received so far and adjusts
// the admission capacity to the slots of the usable servers.
func (g *gateway) refresh() {
	g.eject()
	in := route.Input{
		Zone: g.zone, Zones: g.model.zones, Routing: g.model.routing(), Now: g.model.clock(), Index: g.index,
	}
	slots := 0
	for _, e := range g.model.engines {
		s := g.servers[e.server.ID]
		s.PrefixCache = g.cacheBuilders[e.server.ID].View()
		in.Servers = append(in.Servers, *s)
		if s.State.Lifecycle == machine.Serving && !s.Ejected {
			slots += s.State.Load.Slots
		}
	}
	g.view = route.NewView(in)
	share := int(overcommit * float64(slots) / gatewayCount)
	if g.model.NoAdmission {
		share = 1 << 30
	}
	g.admit(g.controller.SetCapacity(g.model.clock(), share))
}

// eject feeds the token intervals of the running streams to the outlier detector
// and updates which servers are ejected.
func (g *gateway) eject() {
	if g.model.NoEjection {
		return
	}
	for _, j := range sortedJobs(g.sent) {
		if j.firstToken > 0 {
			g.detector.Observe(outlier.Sample{Server: j.server.server.ID, Latency: j.server.tokenInterval()})
		}
	}
	var members []outlier.Member
	for _, e := range g.model.engines {
		members = append(members, outlier.Member{ID: e.server.ID, Zone: e.server.Zone, Pool: pool})
	}
	ejected := g.detector.Update(g.model.clock(), members)
	for id, s := range g.servers {
		s.Ejected = ejected[id]
	}
}

func (g *gateway) offerJob(j *job) {
	deadline := epoch.Add(j.arrived + j.conversation.class.Deadline)
	decision := g.controller.Offer(g.model.clock(), admit.Request{
		ID: j.id, Workspace: fmt.Sprint(j.conversation.workspace), Priority: j.priority,
		Tokens: j.tokens(), Deadline: deadline,
	})
	switch decision.Status {
	case admit.Admitted:
		g.send(j)
	case admit.Queued:
		g.queued[j.id] = j
	default:
		g.refuse(j)
	}
	g.expire()
}

func (g *gateway) expire() {
	for _, refusal := range g.controller.Expire(g.model.clock()) {
		j := g.queued[refusal.ID]
		delete(g.queued, refusal.ID)
		g.refuse(j)
	}
}

func (g *gateway) refuse(j *job) {
	g.model.result.recordRefused(j)
	g.model.scheduleNextTurn(j.conversation)
}

func (g *gateway) admit(ids []uint64) {
	for _, id := range ids {
		j := g.queued[id]
		delete(g.queued, id)
		g.send(j)
	}
}

// send routes an admitted request to a server, or refuses it if no server can
// take it.
func (g *gateway) send(j *job) {
	m := g.model
	if j.admitted == 0 {
		j.admitted = m.now
	}
	g.requestCount++
	r := &route.Request{
		Pool: pool, Model: modelName, Prefix: j.chain, PromptTokens: j.promptTokens,
		MaxTokens: j.conversation.class.OutputTokens, Priority: j.priority, Seed: m.routes.Uint64(), Now: m.clock(),
	}
	if m.Policy == "round_robin" {
		r.Seed = g.requestCount
	}
	if j.server != nil {
		r.Exclude = []machine.ID{j.server.server.ID}
	}
	choice, ok := g.view.Choose(r)
	if !ok {
		g.done(j, true)
		g.refuse(j)
		return
	}
	m.result.recordChoice(m.now, choice.Reason)
	j.attempt++
	j.server = m.byID[choice.Server.ID]
	g.servers[choice.Server.ID].InFlight.Add(j.tokens())
	g.sent[j] = struct{}{}
	m.schedule(sendDelay, func() { j.server.enqueue(j) })
}

// done ends an admitted request and sends the queued requests that the freed
// capacity admits.
func (g *gateway) done(j *job, failed bool) {
	outcome := admit.Outcome{Latency: g.model.now - j.admitted, FirstByte: max(0, j.firstToken-j.admitted), Failed: failed}
	g.admit(g.controller.Done(g.model.clock(), j.id, outcome))
}

// release removes a request from those in flight at its server.
func (g *gateway) release(j *job) {
	g.servers[j.server.server.ID].InFlight.Done(j.tokens())
	delete(g.sent, j)
}

// recordFirstToken records the first token of a request, unless it belongs to an
// earlier attempt.
func (j *job) recordFirstToken(attempt int) {
	if j.firstToken == 0 && j.attempt == attempt {
		j.firstToken = j.model.now
		j.gateway.cacheBuilders[j.server.server.ID].Added(j.chain...)
		j.model.result.recordFirstToken(j)
	}
}

func (j *job) finish() {
	j.gateway.release(j)
	j.model.result.recordServed(j)
	j.gateway.done(j, false)
	j.model.scheduleNextTurn(j.conversation)
}

// resend sends a request again after its server is gone.
func (j *job) resend(*engine) {
	j.gateway.release(j)
	j.model.result.resentJobs++
	j.model.schedule(resendDelay, func() { j.gateway.send(j) })
}
