package rollup

import (
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

// sentStates is the number of own states that a member keeps to subtract them from sums.
const sentStates = 64

// Member keeps the states that an instance sent, and subtracts them from the sums that
// it receives. It is not safe for concurrent use.
type Member struct {
	self *pb.Instance
	sent [sentStates]*pb.MemberState
	// heard holds the latest sum of each aggregator.
	heard map[string]heard
}

// heard is the latest sum of an aggregator.
type heard struct {
	position
	stopping bool
}

// NewMember returns a Member of the instance self.
func NewMember(self *pb.Instance) *Member {
	return &Member{self: self, heard: make(map[string]heard)}
}

// Sent records a state that is sent to the aggregators.
func (m *Member) Sent(state *pb.MemberState) { m.sent[state.GetSequence()%sentStates] = state }

// Others is what a member knows of the other instances.
type Others struct {
	Totals
	// Rooms are those of the pools that are short of room.
	Rooms Rooms
	// At is the mean time of the other instances' states.
	At time.Time
	// Instances is the number of instances in the sum, this one included.
	Instances int
	// Levels are those of the workspaces' quotas at At, including what this instance had
	// used when it sent Own. They are not known if LevelsUnknown is set.
	Levels        []*pb.WorkspaceLevel
	LevelsUnknown bool
	// Own is the state of this instance in the sum; nil if there is none.
	Own *pb.MemberState
}

// Apply returns what a sum says of the other instances. It returns false if the sum is
// not newer than the last one of its aggregator, or has a state of this instance that is
// not known any more.
func (m *Member) Apply(sum *pb.FleetSum, now time.Time) (Others, bool) {
	if !m.hear(sum, now) {
		return Others{}, false
	}
	own, ok := m.ownState(sum)
	if !ok {
		return Others{}, false
	}
	others := Others{
		Totals: newTotals(), Rooms: make(Rooms), At: now.Add(-age(sum.GetAgeMs())),
		Instances: int(sum.GetInstances()), Levels: sum.GetLevels(), LevelsUnknown: sum.GetLevelsUnknown(), Own: own,
	}
	others.add(sum.GetWork(), sum.GetDemands())
	others.subtract(own.GetWork(), own.GetDemands())
	others.Rooms.add(sum.GetRooms())
	others.Rooms.subtract(own.GetRooms())
	if own == nil {
		others.Instances++
	}
	return others, true
}

// hear records that a sum arrived, and reports whether it is newer than the last one of
// its aggregator.
func (m *Member) hear(sum *pb.FleetSum, now time.Time) bool {
	from := sum.GetFrom()
	at := position{from.GetIncarnation(), sum.GetSequence(), now}
	if before, ok := m.heard[from.GetName()]; ok && !before.precedes(at, memberTimeout) {
		return false
	}
	m.heard[from.GetName()] = heard{at, sum.GetStopping()}
	return true
}

// ownState returns the state of this instance that is in a sum, nil if there is none. It
// returns false if it is not known any more.
func (m *Member) ownState(sum *pb.FleetSum) (*pb.MemberState, bool) {
	key := Key(m.self.GetName())
	for _, s := range sum.GetMembers() {
		if s.GetMember() != key || s.GetIncarnation() != uint32(m.self.GetIncarnation()) {
			continue
		}
		own := m.sent[s.GetSequence()%sentStates]
		return own, own.GetSequence() == s.GetSequence()
	}
	return nil, true
}

// HeardWithin reports whether a sum of an aggregator arrived within a time, and whether
// it said that it is stopping.
func (m *Member) HeardWithin(aggregator string, within time.Duration, now time.Time) (heard, stopping bool) {
	h, ok := m.heard[aggregator]
	if !ok || now.Sub(h.receivedAt) >= within {
		return false, false
	}
	return true, h.stopping
}
