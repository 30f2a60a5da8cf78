package rollup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "kumquatyard/proto/kumquat/v1"
)

var start = time.Unix(1_700_000_000, 0)

// noQuotas ignores quotas.
type noQuotas struct{}

func (noQuotas) Record(uint32, float64, float64, time.Time) {}
func (noQuotas) Known(bool, time.Time) bool                 { return true }
func (noQuotas) Levels(int, time.Time) []*pb.WorkspaceLevel { return nil }
func (noQuotas) Follow([]*pb.WorkspaceLevel, time.Time)     {}

// instance is an instance with a server of its own: the work it reports there tells
// which of its states a sum holds.
type instance struct {
	self       *pb.Instance
	aggregator *Aggregator
	member     *Member
	sequence   uint64
	// sent holds the values that it reported, and former those of earlier processes.
	sent, former map[int]bool
	latest       int
}

func (i *instance) server() uint32 { return Key("server of " + i.self.GetName()) }

func newInstance(name, zone string) *instance {
	i := &instance{self: &pb.Instance{Name: name, Zone: zone}, former: map[int]bool{}, latest: 1_000_000}
	i.restart()
	return i
}

func (i *instance) restart() {
	self := &pb.Instance{Name: i.self.GetName(), Zone: i.self.GetZone(), Incarnation: i.self.GetIncarnation() + 1}
	for value := range i.sent {
		i.former[value] = true
	}
	i.self, i.sequence, i.sent = self, 0, map[int]bool{}
	i.aggregator, i.member = NewAggregator(self, noQuotas{}), NewMember(self)
}

// state returns the next state. Its work has a lower value than all earlier ones, so that
// a wrong state that is subtracted from a sum leaves a rest.
func (i *instance) state() *pb.MemberState {
	i.sequence++
	i.latest--
	i.sent[i.latest] = true
	s := &pb.MemberState{
		From: i.self, Sequence: i.sequence,
		Work: EncodeWork(map[uint32]Work{i.server(): {Active: i.latest, Waiting: 1, WaitingTokens: 7 * i.latest}}),
	}
	i.member.Sent(s)
	return s
}

// message is a message under way to an instance.
type message struct {
	to      *instance
	deliver func(now time.Time)
}

// Messages are lost, repeated and reordered, instances restart, and members and
// aggregators disagree on who is an aggregator. What a member takes out of a sum for
// another instance is always one state that it once sent, never two added up, and
// nothing of its own present process.
func TestSumHoldsOnePastStateOfEachInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*instance
		for _, zone := range []string{"a", "b", "c"} {
			for n := range rapid.IntRange(1, 3).Draw(t, "members") {
				all = append(all, newInstance(fmt.Sprint(zone, n), zone))
			}
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		pick := func() *instance { return all[random.IntN(len(all))] }
		var underWay []message
		now := start
		for range 400 {
			now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
			from, to := pick(), pick()
			sameZone := from.self.GetZone() == to.self.GetZone()
			switch kind := random.IntN(20); {
			case kind < 6 && sameZone:
				state := from.state()
				underWay = append(underWay, message{to, func(now time.Time) { to.aggregator.RecordMember(state, now) }})
			case kind < 11 && !sameZone:
				sum := from.aggregator.ZoneSum(now)
				underWay = append(underWay, message{to, func(now time.Time) { to.aggregator.RecordZone(sum, now) }})
			case kind < 16 && sameZone:
				sum := from.aggregator.FleetSum(from.aggregator.ZoneSum(now), false, now)
				underWay = append(underWay, message{to, func(now time.Time) {
					if others, ok := to.member.Apply(sum, now); ok {
						checkOthers(t, to, all, others)
					}
				}})
			case kind == 18 && random.IntN(4) == 0:
				for range sentStates {
					from.state() // lost
				}
			case kind == 19 && random.IntN(4) == 0:
				from.restart()
			}
			for range random.IntN(3) {
				if len(underWay) == 0 {
					break
				}
				n := random.IntN(len(underWay))
				m := underWay[n]
				if random.IntN(4) > 0 { // else it is repeated later
					underWay = append(underWay[:n], underWay[n+1:]...)
				}
				if random.IntN(5) > 0 { // else it is lost
					m.deliver(now)
				}
			}
		}
	})
}

func checkOthers(t *rapid.T, of *instance, all []*instance, others Others) {
	for _, i := range all {
		w := others.Work[i.server()]
		if w == (Work{}) {
			continue
		}
		if w.Waiting != 1 || w.WaitingTokens != 7*w.Active {
			t.Fatalf("%s has work %+v of %s, want that of one state", of.self.GetName(), w, i.self.GetName())
		}
		if known := i.former[w.Active] || (i != of && i.sent[w.Active]); !known {
			t.Fatalf("%s has work %+v of %s, which it never sent or is its own", of.self.GetName(), w, i.self.GetName())
		}
	}
}

// With no losses, all instances know the latest states within three intervals, and an
// instance that falls silent is left out after memberTimeout.
func TestSumsSpreadThroughTwoLevels(t *testing.T) {
	a, b, c := newInstance("a0", "a"), newInstance("a1", "a"), newInstance("c0", "c")
	now := start
	round := func(senders ...*instance) Others {
		now = now.Add(150 * time.Millisecond)
		for _, i := range senders {
			to := a
			if i == c {
				to = c
			}
			to.aggregator.RecordMember(i.state(), now)
		}
		c.aggregator.RecordZone(a.aggregator.ZoneSum(now), now)
		a.aggregator.RecordZone(c.aggregator.ZoneSum(now), now)
		others, ok := b.member.Apply(a.aggregator.FleetSum(a.aggregator.ZoneSum(now), false, now), now)
		if !ok {
			t.Fatal("the sum was not applied")
		}
		return others
	}
	others := round(a, b, c)
	if others.Instances != 3 || others.Work[a.server()].Active != a.latest || others.Work[c.server()].Active != c.latest || others.Work[b.server()].Active != 0 {
		t.Errorf("others %+v, want the latest work of a0 and c0 and three instances", others)
	}
	for range int(memberTimeout/(150*time.Millisecond)) + 1 {
		others = round(b, c)
	}
	if others.Work[a.server()].Active != 0 || others.Instances != 2 {
		t.Errorf("others %+v, want no work of the silent instance", others)
	}
}

// The widest links rank first, and a zone without a usable instance still has
// aggregators to ask.
func TestRank(t *testing.T) {
	var zone []*pb.Instance
	for n := range 20 {
		link := uint32(20)
		if n%10 == 0 {
			link = 200
		}
		zone = append(zone, &pb.Instance{Name: fmt.Sprint("i", n), Zone: "a", LinkMbps: link})
	}
	ranked := Rank(zone)
	if ranked[0].GetLinkMbps() != 200 || ranked[1].GetLinkMbps() != 200 || ranked[2].GetLinkMbps() != 20 {
		t.Errorf("ranked %v first, want the instances with the widest links", ranked[:3])
	}
	third := First(ranked, func(i *pb.Instance) bool { return i != ranked[0] })
	if len(third) != AggregatorsPerZone || third[0] != ranked[1] {
		t.Errorf("aggregators %v, want the next ones after the unusable first", third)
	}
	if got := First(ranked, func(*pb.Instance) bool { return false }); len(got) != AggregatorsPerZone {
		t.Errorf("%d aggregators without a usable instance, want %d", len(got), AggregatorsPerZone)
	}
}

// Datagrams may arrive out of order: an older sum of an aggregator must not replace a newer
// one.
func TestOlderSumOfAnAggregatorIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMember(&pb.Instance{Name: "a", Zone: "z", Incarnation: 1})
	sum := func(incarnation, sequence uint64) *pb.FleetSum {
		return &pb.FleetSum{From: &pb.Instance{Name: "b", Zone: "z", Incarnation: incarnation}, Sequence: sequence, Instances: 3}
	}
	steps := []struct {
		sum  *pb.FleetSum
		want bool
	}{{sum(2, 5), true}, {sum(2, 4), false}, {sum(2, 5), false}, {sum(1, 9), false}, {sum(2, 6), true}, {sum(3, 1), true}}
	for n, s := range steps {
		if _, ok := m.Apply(s.sum, now); ok != s.want {
			t.Errorf("step %d: the sum with sequence %d of incarnation %d is applied: %v", n, s.sum.GetSequence(), s.sum.GetFrom().GetIncarnation(), ok)
		}
	}
}

// What an instance does not reach is known to the instances of all zones, and forgotten once it
// reaches it again.
func TestUnreachedPoolsAreTold(t *testing.T) {
	a, b := newInstance("a1", "a"), newInstance("b1", "b")
	pool := Key("pool")
	heard := func(lost bool, now time.Time) []*pb.UnreachedPool {
		state := a.state()
		if lost {
			state.UnreachedPools = []uint32{pool}
		}
		a.aggregator.RecordMember(state, now)
		b.aggregator.RecordMember(b.state(), now)
		b.aggregator.RecordZone(a.aggregator.ZoneSum(now), now)
		return b.aggregator.FleetSum(b.aggregator.ZoneSum(now), false, now).GetUnreached()
	}
	list := heard(true, start)
	if len(list) != 1 || list[0].GetPool() != pool || len(list[0].GetInstances()) != 1 || list[0].GetInstances()[0] != Key("a1") {
		t.Errorf("the other zone hears %v, want that a1 does not reach the pool", list)
	}
	if list := heard(false, start.Add(time.Second)); len(list) != 0 {
		t.Errorf("the other zone hears %v after the paths are back", list)
	}
}

// Sums of speeds are levels: a member subtracts its own, and members that send none, as earlier
// builds, do not disturb them.
func TestSpeedsAreSummedAndSubtracted(t *testing.T) {
	const server = 7
	own := map[uint32]Work{server: {Active: 1, Speed: SpeedSum{4, -12}, Reports: ReportSum{2, 30, 8}}}
	other := map[uint32]Work{server: {Speed: SpeedSum{9, 64}, Reports: ReportSum{4, -3, 0}}}
	earlier := &pb.Work{Servers: []uint32{server}, Active: []uint32{3}, Waiting: []uint32{0}, WaitingTokens: []uint32{0}}
	totals := newTotals()
	for _, work := range []*pb.Work{EncodeWork(own), earlier, EncodeWork(other)} {
		totals.add(work, nil)
	}
	totals.subtract(EncodeWork(own), nil)
	want := other[server]
	want.Active = 3
	if got := totals.Work[server]; got != want {
		t.Errorf("%+v is left, want %+v", got, want)
	}
}

// The work at the servers of the largest fleet fits into a datagram of 60 KiB, with room for what
// else a sum holds; speeds are left out where they would not.
func TestWorkOfManyServersFitsADatagram(t *testing.T) {
	const most = 50 << 10
	for _, servers := range []int{90, maxSpeeds, 3400} {
		work := make(map[uint32]Work)
		for i := range servers {
			work[Key(fmt.Sprint("s", i))] = Work{60, 20, 150_000, SpeedSum{400, -3000}, ReportSum{90, 700, 400}}
		}
		m := EncodeWork(work)
		if size := proto.Size(m); size > most {
			t.Errorf("the work at %d servers takes %d bytes, want at most %d", servers, size, most)
		}
		if got, want := len(m.GetSpeedWeights()) > 0, servers <= maxSpeeds; got != want {
			t.Errorf("speeds of %d servers are told: %v, want %v", servers, got, want)
		}
	}
	for _, w := range EncodeWork(map[uint32]Work{1: {Active: 1}}).GetReportWeights() {
		t.Errorf("reports of weight %d are told of servers without any", w)
	}
}
