package fairshare

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rollup"
	pb "kumquatyard/proto/kumquat/v1"
)

var (
	start = time.Unix(1_700_000_000, 0)
	quiet = func() *logrus.Entry {
		log := logrus.New()
		log.SetOutput(io.Discard)
		return logrus.NewEntry(log)
	}()
)

const (
	step = 5 * time.Millisecond
	// target is the latency target of the urgent kind; spareWait and lateWait are the work
	// ahead from which servers have no spare room and from which all requests are refused.
	target    = 600 * time.Millisecond
	spareWait = 240 * time.Millisecond
	lateWait  = 1080 * time.Millisecond
	// queueAge is the age of what instances know of the servers' queues.
	queueAge  = 150 * time.Millisecond
	serverNum = 30
	// urgentWork and otherWork are the mean work of the requests of the two ranks, in tokens.
	urgentWork = 2000
	otherWork  = 10_000
)

// scenario is a load on a pool.
type scenario struct {
	instances, workspaces int
	// room is what the servers process, in tokens per second, as a multiple of the usual
	// work; learnedAs is the factor by which the learned rate is wrong.
	room, learnedAs float64
	// sizes are the workspaces' parts of the usual work; nil means equal ones.
	sizes []float64
	// factor is the load of a workspace's rank as a multiple of its usual one.
	factor func(at time.Duration, workspace, rank int) float64
	// slow is the factor of the servers' speed, and leave the number of servers that have
	// announced that they leave, of which gone have left.
	slow        func(at time.Duration) float64
	leave, gone func(at time.Duration) int
	// sumAge is the delay of the sums, and cut reports that none arrives at a zone.
	sumAge time.Duration
	cut    func(at time.Duration, zone int) bool
	off    bool
	length time.Duration
}

// tally counts requests: in time are those whose wait for the first token is below target.
type tally struct{ asked, inTime, late, refused float64 }

func (t tally) part() float64 { return t.inTime / max(t.asked, 1) }

type result struct {
	workspaces map[int]*tally
	ranks      map[int]*tally
	all, large tally
	// used is the part of the servers' room that was used, and idleRefusals the number of
	// refusals while nothing waited.
	used         float64
	idleRefusals int
	// sent is the number of bytes of rooms that an instance sent per second.
	sent float64
}

// simRequest is a request of the simulation.
type simRequest struct {
	workspace, rank int
	tokens          float64
	again, large    bool
}

// member is an instance of the simulation.
type member struct {
	tracker *Tracker
	self    *pb.Instance
	state   *rollup.Member
	zone    int
}

type noQuotas struct{}

func (noQuotas) Record(uint32, float64, float64, time.Time) {}
func (noQuotas) Known(bool, time.Time) bool                 { return true }
func (noQuotas) Levels(int, time.Time) []*pb.WorkspaceLevel { return nil }
func (noQuotas) Follow([]*pb.WorkspaceLevel, time.Time)     {}

const zones = 3

// simulation plays a scenario.
type simulation struct {
	scenario
	random   *rand.Rand
	members  []*member
	sums     [zones]*rollup.Aggregator
	delayed  []delivery
	usual    []float64
	servers  []*fleet.Server
	config   *fleet.Config
	backlog  []float64
	retries  map[int][]simRequest
	demand   [20]float64
	sequence uint64
	result   result
}

// delivery is a sum that arrives later.
type delivery struct {
	at   time.Duration
	zone int
	sum  *pb.FleetSum
}

// usualWork is the usual work of all workspaces, in tokens per second.
const usualWork = 2_000_000

func newSimulation(s scenario, seed uint64) *simulation {
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), retries: make(map[int][]simRequest)}
	sim.result.workspaces, sim.result.ranks = map[int]*tally{}, map[int]*tally{0: {}, 1: {}}
	var workspaces []*fleet.Workspace
	for w := range s.workspaces {
		size := 1 / float64(s.workspaces)
		if s.sizes != nil {
			size = s.sizes[w]
		}
		sim.usual = append(sim.usual, size)
		sim.result.workspaces[w] = &tally{}
		workspaces = append(workspaces, &fleet.Workspace{Name: workspaceName(w), Quota: fleet.Quota{PerSecond: 6 * size * usualWork, InTokens: true}})
	}
	sim.config = fleet.NewConfig(1, nil, []*fleet.Pool{{Name: "p", Engine: &fleet.Engine{Slots: 64}}}, workspaces, fleet.Limits{})
	for n := range serverNum {
		sim.servers = append(sim.servers, &fleet.Server{Server: machine.Server{ID: machine.ID(fmt.Sprint(n)), Pool: "p"}, Lifecycle: machine.Serving, Slots: 64})
	}
	for zone := range zones {
		sim.sums[zone] = rollup.NewAggregator(&pb.Instance{Name: fmt.Sprint("sum", zone), Zone: fmt.Sprint(zone)}, noQuotas{})
	}
	for n := range s.instances {
		zone := n % zones
		self := &pb.Instance{Name: fmt.Sprint("i", n), Zone: fmt.Sprint(zone)}
		m := &member{self: self, zone: zone, state: rollup.NewMember(self)}
		m.tracker = New(Options{
			Instances: func() int { return s.instances }, Random: sim.random.Float64, Log: quiet,
			Demand: func(string, time.Time) float64 { return sim.knownDemand() },
			Rate:   func(string) float64 { return s.learnedAs * s.room * usualWork / serverNum },
		})
		sim.members = append(sim.members, m)
	}
	return sim
}

func workspaceName(n int) string { return fmt.Sprint("w", n) }

// knownDemand returns the work that was asked for in the last two seconds, per second.
func (sim *simulation) knownDemand() float64 {
	sum := 0.0
	for _, tokens := range sim.demand {
		sum += tokens
	}
	return sum / 2
}

// snapshot returns the servers as they are announced.
func (sim *simulation) snapshot(at time.Duration) *fleet.Snapshot {
	usable := serverNum
	if sim.leave != nil {
		usable -= sim.leave(at)
	}
	return &fleet.Snapshot{Config: sim.config, Servers: map[string][]*fleet.Server{"p": sim.servers[:usable]}}
}

// rate returns what the servers process now, in tokens per second.
func (sim *simulation) rate(at time.Duration) float64 {
	rate := sim.room * usualWork
	if sim.slow != nil {
		rate *= sim.slow(at)
	}
	if sim.gone != nil {
		rate *= float64(serverNum-sim.gone(at)) / serverNum
	}
	return rate
}

// exchange sends the states of all members and the sums.
func (sim *simulation) exchange(at time.Duration, now time.Time) {
	sim.sequence++
	for _, m := range sim.members {
		state := &pb.MemberState{From: m.self, Sequence: sim.sequence, UnixMs: now.UnixMilli(), Rooms: m.tracker.LocalRooms(now).Encode()}
		m.state.Sent(state)
		sim.sums[m.zone].RecordMember(state, now)
		for _, room := range state.GetRooms() {
			sim.result.sent += float64(20+9*len(room.GetWorkspaces())) / float64(len(sim.members)) / sim.length.Seconds()
		}
	}
	var own [zones]*pb.ZoneSum
	for zone, aggregator := range sim.sums {
		own[zone] = aggregator.ZoneSum(now)
	}
	for zone, aggregator := range sim.sums {
		for other := range zones {
			if other != zone {
				aggregator.RecordZone(own[other], now)
			}
		}
		sim.delayed = append(sim.delayed, delivery{at + sim.sumAge, zone, aggregator.FleetSum(own[zone], false, now)})
	}
	for len(sim.delayed) > 0 && sim.delayed[0].at <= at {
		d := sim.delayed[0]
		sim.delayed = sim.delayed[1:]
		if sim.cut != nil && sim.cut(at, d.zone) {
			continue
		}
		for _, m := range sim.members {
			if m.zone != d.zone {
				continue
			}
			if others, ok := m.state.Apply(d.sum, now); ok {
				m.tracker.RecordOthers(others.Rooms, others.At.Add(-sim.sumAge))
			}
		}
	}
}

// play returns the result after the first two seconds.
func play(s scenario, seed uint64) *result {
	if s.length == 0 {
		s.length = 10 * time.Second
	}
	sim := newSimulation(s, seed)
	queue, processed, possible := 0.0, 0.0, 0.0
	for n := range int(s.length / step) {
		at := time.Duration(n) * step
		now := start.Add(at)
		if at%(100*time.Millisecond) == 0 {
			sim.demand[n/20%20] = 0
			if !s.off {
				sim.exchange(at, now)
			}
		}
		if at%(250*time.Millisecond) == 0 && !s.off {
			for _, m := range sim.members {
				m.tracker.Update(sim.snapshot(at), now)
			}
		}
		rate := sim.rate(at)
		queue += sim.arrivals(n, at, now, queue, rate)
		done := min(queue, rate*step.Seconds())
		queue -= done
		sim.members[sim.random.IntN(len(sim.members))].tracker.RecordServed("p", done, now)
		if at > 2*time.Second {
			processed += done
			possible += rate * step.Seconds()
		}
		sim.backlog = append(sim.backlog, queue/rate)
	}
	sim.result.used = processed / possible
	return &sim.result
}

// arrivals decides about the requests of a step, and returns the work of the admitted ones.
func (sim *simulation) arrivals(n int, at time.Duration, now time.Time, queue, rate float64) float64 {
	list := sim.retries[n]
	delete(sim.retries, n)
	for w, size := range sim.usual {
		for rank, mean := range []float64{urgentWork, otherWork} {
			factor := 1.0
			if sim.factor != nil {
				factor = sim.factor(at, w, rank)
			}
			for range sim.poisson(factor * size * usualWork / 2 / mean * step.Seconds()) {
				draw := sim.random.NormFloat64()
				list = append(list, simRequest{workspace: w, rank: rank, tokens: mean * math.Exp(draw-0.5), large: draw > 1.28})
			}
		}
	}
	known := 0.0
	if before := n - int(queueAge/step); before >= 0 {
		known = sim.backlog[before]
	}
	added := 0.0
	for _, r := range list {
		if sim.admit(n, at, now, r, known, (queue+added)/rate) {
			added += r.tokens
		}
		sim.demand[n/20%20] += r.tokens
	}
	return added
}

// admit decides about a request. known is the wait that instances know of, and wait the true
// one, in seconds. A caller that was refused comes again once.
func (sim *simulation) admit(n int, at time.Duration, now time.Time, r simRequest, known, wait float64) bool {
	m := sim.members[sim.random.IntN(len(sim.members))]
	request := Request{
		Pool: "p", Workspace: workspaceName(r.workspace), Route: fmt.Sprint(r.rank), Rank: r.rank, Tokens: r.tokens, Pressed: known > spareWait.Seconds(),
	}
	verdict := m.tracker.Decide(request)
	retryAfter := time.Duration((known - lateWait.Seconds()) * float64(time.Second))
	if verdict.Refused {
		retryAfter = verdict.RetryAfter
	}
	admitted := !verdict.Refused && known <= lateWait.Seconds()
	m.tracker.Record(request, now)
	if !admitted && wait == 0 && at > time.Second {
		sim.result.idleRefusals++
	}
	if !admitted && !r.again {
		r.again = true
		back := max(retryAfter, 150*time.Millisecond)
		back += time.Duration(sim.random.Int64N(int64(min(back, 2*time.Second))))
		sim.retries[n+int(back/step)] = append(sim.retries[n+int(back/step)], r)
		return false
	}
	if at <= 2*time.Second {
		return admitted
	}
	tallies := []*tally{sim.result.workspaces[r.workspace], sim.result.ranks[r.rank], &sim.result.all}
	if r.large {
		tallies = append(tallies, &sim.result.large)
	}
	for _, t := range tallies {
		t.asked++
		switch {
		case !admitted:
			t.refused++
		case wait <= target.Seconds():
			t.inTime++
		default:
			t.late++
		}
	}
	return admitted
}

// poisson returns a Poisson distributed number (Knuth).
func (sim *simulation) poisson(mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := sim.random.Float64(); p > limit; p *= sim.random.Float64() {
		n++
	}
	return n
}
