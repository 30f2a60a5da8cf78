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

// overcommit is the factor by which the gateways' shares of the slots exceed
// the slots, so that uneven arrivals do not leave servers idle.
const overcommit = 1.0

// indexBits is the size of a gateway's index of blocks.
const indexBits = 16

// gateway routes and admits with its own lagging view.
type gateway struct {
	model      *Model
	zone       string
	controller *admit.Controller
	detector   *outlier.Detector
	servers    map[machine.ID]*route.Server
	builders   map[machine.ID]*route.CacheBuilder
	index      *route.Index
	view       *route.View
	queued     map[uint64]*job
	sent       map[*job]struct{}
	turn       uint64
}

// job is one request.
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
		detector: outlier.New(outlier.Settings{}),
		servers:  make(map[machine.ID]*route.Server),
		builders: make(map[machine.ID]*route.CacheBuilder),
		index:    route.NewIndex(indexBits),
		queued:   make(map[uint64]*job),
		sent:     make(map[*job]struct{}),
		turn:     uint64(i),
	}
	for _, e := range m.engines {
		g.servers[e.server.ID] = &route.Server{Server: e.server, State: e.state(m.clock()), InFlight: &route.InFlight{}}
		g.builders[e.server.ID] = route.NewCacheBuilder(e.server.ID, g.index)
	}
	g.controller = admit.New(admit.Limits{}, func(string) int { return 1 })
	g.refresh()
	m.every(tick, g.expire)
	return g
}

func (g *gateway) report(s machine.State) { g.servers[s.ID].State = s }

func (g *gateway) cacheEvents(id machine.ID, events cacheEvents, lost bool) {
	b := g.builders[id]
	if lost {
		b.Gap()
		return
	}
	b.Added(events.added...)
	b.Removed(events.removed...)
}

// refresh builds a view from what has arrived, and adapts the capacity.
func (g *gateway) refresh() {
	g.eject()
	in := route.Input{
		Zone: g.zone, Zones: g.model.zones, Routing: g.model.routing(), Now: g.model.clock(), Index: g.index,
	}
	slots := 0
	for _, e := range g.model.engines {
		s := g.servers[e.server.ID]
		s.PrefixCache = g.builders[e.server.ID].View()
		in.Servers = append(in.Servers, *s)
		if s.State.Lifecycle == machine.Serving && !s.Ejected {
			slots += s.State.Load.Slots
		}
	}
	g.view = route.NewView(in)
	share := int(overcommit * float64(slots) / gateways)
	if g.model.NoAdmission {
		share = 1 << 30
	}
	g.admit(g.controller.SetCapacity(g.model.clock(), share))
}

// eject samples the time between tokens of the running streams.
func (g *gateway) eject() {
	if g.model.NoEjection {
		return
	}
	for _, j := range sorted(g.sent) {
		if j.firstToken > 0 {
			g.detector.Observe(outlier.Sample{Server: j.server.server.ID, Latency: j.server.step()})
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

func (g *gateway) offer(j *job) {
	deadline := epoch.Add(j.arrived + j.conversation.kind.Deadline)
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
	g.model.result.refuse(j)
	g.model.next(j.conversation)
}

func (g *gateway) admit(ids []uint64) {
	for _, id := range ids {
		j := g.queued[id]
		delete(g.queued, id)
		g.send(j)
	}
}

// send routes an admitted request.
func (g *gateway) send(j *job) {
	m := g.model
	if j.admitted == 0 {
		j.admitted = m.now
	}
	g.turn++
	r := &route.Request{
		Pool: pool, Model: modelName, Prefix: j.chain, PromptTokens: j.promptTokens,
		MaxTokens: j.conversation.kind.OutputTokens, Priority: j.priority, Seed: m.routes.Uint64(), Now: m.clock(),
	}
	if m.Policy == "round_robin" {
		r.Seed = g.turn
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
	m.result.choose(m.now, choice.Reason)
	j.attempt++
	j.server = m.byID[choice.Server.ID]
	g.servers[choice.Server.ID].InFlight.Add(j.tokens())
	g.sent[j] = struct{}{}
	m.after(sendDelay, func() { j.server.enqueue(j) })
}

// done ends an admitted request and admits others in its place.
func (g *gateway) done(j *job, failed bool) {
	outcome := admit.Outcome{Latency: g.model.now - j.admitted, FirstByte: max(0, j.firstToken-j.admitted), Failed: failed}
	g.admit(g.controller.Done(g.model.clock(), j.id, outcome))
}

func (g *gateway) leave(j *job) {
	g.servers[j.server.server.ID].InFlight.Done(j.tokens())
	delete(g.sent, j)
}

// first records the first token of an attempt.
func (j *job) first(attempt int) {
	if j.firstToken == 0 && j.attempt == attempt {
		j.firstToken = j.model.now
		j.gateway.builders[j.server.server.ID].Added(j.chain...)
		j.model.result.first(j)
	}
}

func (j *job) finish() {
	j.gateway.leave(j)
	j.model.result.serve(j)
	j.gateway.done(j, false)
	j.model.next(j.conversation)
}

// lost sends a request again whose server is gone.
func (j *job) lost(*engine) {
	j.gateway.leave(j)
	j.model.result.resent++
	j.model.after(resendTime, func() { j.gateway.send(j) })
}
