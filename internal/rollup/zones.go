package rollup

import (
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

// zoneTimeout is the time without a sum after which another zone is no longer part of the
// sum over all zones, and after which another of its aggregators is used.
const zoneTimeout = 2 * time.Second

// zone holds the sums of another zone by aggregator. Sums of two aggregators are never
// added: they have the same members.
type zone struct {
	streams map[string]*stream
	// selected is the name of the aggregator whose sums are used.
	selected string
}

// stream is the latest sum of one aggregator.
type stream struct {
	position
	sum  *pb.ZoneSum
	uses uses
}

// RecordZone records the sum of another zone, and reports whether it is newer than the
// last one of the same aggregator.
func (a *Aggregator) RecordZone(sum *pb.ZoneSum, now time.Time) bool {
	from := sum.GetFrom()
	if from.GetZone() == a.self.GetZone() {
		return false
	}
	z := a.zones[from.GetZone()]
	if z == nil {
		z = &zone{streams: make(map[string]*stream)}
		a.zones[from.GetZone()] = z
	}
	at := position{from.GetIncarnation(), sum.GetSequence(), now}
	before := z.streams[from.GetName()]
	if before != nil && !before.precedes(at, zoneTimeout) {
		return false
	}
	s := &stream{position: at, sum: sum, uses: usesOf(sum.GetWorkspaces())}
	z.streams[from.GetName()] = s
	z.choose(now)
	if z.selected == from.GetName() && before != nil && before.incarnation == at.incarnation {
		a.charge(s.uses.since(before.uses), now)
	}
	return true
}

// choose selects the aggregator whose sums are used: the present one while its sums
// arrive and no other has more members, else the one with the most members.
func (z *zone) choose(now time.Time) {
	best := z.streams[z.selected]
	if best != nil && now.Sub(best.receivedAt) >= zoneTimeout {
		best = nil
	}
	for name, s := range z.streams {
		if now.Sub(s.receivedAt) >= zoneTimeout {
			delete(z.streams, name)
			continue
		}
		if best == nil || s.sum.GetMembers() > best.sum.GetMembers() {
			best, z.selected = s, name
		}
	}
}

// Zones returns the names of the other zones whose sums arrive, and their aggregators.
func (a *Aggregator) Zones(now time.Time) map[string][]*pb.Instance {
	zones := make(map[string][]*pb.Instance, len(a.zones))
	for name, z := range a.zones {
		for _, s := range z.streams {
			if now.Sub(s.receivedAt) < activeTimeout {
				zones[name] = append(zones[name], s.sum.GetFrom())
			}
		}
	}
	return zones
}

// FleetSum returns the sum over all zones whose sums arrive, for the members of this
// zone. own is the ZoneSum of the same time; stopping says that this instance is stopping.
func (a *Aggregator) FleetSum(own *pb.ZoneSum, stopping bool, now time.Time) *pb.FleetSum {
	totals := newTotals()
	totals.add(own.GetWork(), own.GetDemands())
	unreached, rolled, rooms := make(unreachedPools), make(rollouts), make(Rooms)
	unreached.addAll(own.GetUnreached())
	rolled.addAll(own.GetRollouts(), 0)
	rooms.add(own.GetRooms())
	sum := &pb.FleetSum{
		From: a.self, Sequence: own.GetSequence(), Instances: own.GetMembers(), Stopping: stopping,
		LeavingServers: own.GetLeavingServers(), Holder: own.GetHolder(), Config: own.GetConfig(),
	}
	members := a.current(now)
	chooseRelay(sum, members)
	for _, m := range members {
		from := m.state.GetFrom()
		sum.Members = append(sum.Members, &pb.MemberSequence{Member: Key(from.GetName()), Incarnation: uint32(from.GetIncarnation()), Sequence: m.state.GetSequence()})
	}
	ages, clocks := own.GetAgeMs()*int64(own.GetMembers()), []int64{own.GetUnixMs()}
	for _, z := range a.zones {
		z.choose(now)
		s := z.streams[z.selected]
		if s == nil {
			continue
		}
		passed := now.Sub(s.receivedAt)
		totals.add(s.sum.GetWork(), s.sum.GetDemands())
		unreached.addAll(s.sum.GetUnreached())
		rolled.addAll(s.sum.GetRollouts(), passed.Milliseconds())
		rooms.add(s.sum.GetRooms())
		sum.Instances += s.sum.GetMembers()
		ages += (s.sum.GetAgeMs() + passed.Milliseconds()) * int64(s.sum.GetMembers())
		clocks = append(clocks, s.sum.GetUnixMs()+passed.Milliseconds())
		sum.LeavingServers = append(sum.LeavingServers, s.sum.GetLeavingServers()...)
		sum.Holder = laterHolder(sum.Holder, s.sum.GetHolder(), passed)
		sum.Config = newerConfig(sum.Config, s.sum.GetConfig())
	}
	sum.Work, sum.Demands, sum.Unreached, sum.Rollouts = EncodeWork(totals.Work), EncodeDemand(totals.Demand), unreached.encode(), rolled.encode()
	sum.Rooms = rooms.Encode()
	sum.Levels, sum.LevelsUnknown = a.quotas.Levels(int(sum.GetInstances()), now), !a.levelsKnown(now)
	sum.AgeMs, sum.UnixMs = ages/int64(max(sum.GetInstances(), 1)), median(clocks)
	return sum
}
