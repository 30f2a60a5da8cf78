package rollup

import (
	"slices"
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// memberTimeout is the time without a state after which a member is no longer part of
	// the sum: its requests have ended or its connections are gone.
	memberTimeout = 2 * time.Second
	// activeTimeout is the time without a state of another member after which an instance
	// is no longer an aggregator.
	activeTimeout = time.Second
	// newcomerStates is the number of first states of a process in which its counters
	// hold only what it counted lately.
	newcomerStates = 8
)

// Quotas keeps the levels of the workspaces' quotas from what instances report.
type Quotas interface {
	// Record adds what was requested and used of a quota.
	Record(workspace uint32, requested, used float64, now time.Time)
	// Known reports whether the levels are known. They are not before the quotas are, nor right
	// after a start if the process joined others that were running.
	Known(joined bool, now time.Time) bool
	// Levels returns the levels when the reports cover the given number of instances.
	Levels(instances int, now time.Time) []*pb.WorkspaceLevel
	// Follow replaces the levels by those of another aggregator.
	Follow(levels []*pb.WorkspaceLevel, now time.Time)
}

// Aggregator sums the states of a zone's members and the sums of the other zones. It is
// not safe for concurrent use.
type Aggregator struct {
	self     *pb.Instance
	quotas   Quotas
	members  map[string]*member
	zones    map[string]*zone
	sequence uint64
	// uses are what the members requested and used of the quotas since this process
	// started to sum them.
	uses uses
	// otherHeardAt is when a state of another member arrived last.
	otherHeardAt time.Time
	// joined is set if a member was running before this process started to sum states: the
	// levels of the quotas are then known elsewhere.
	joined bool
}

// member is the latest state of a member.
type member struct {
	position
	state *pb.MemberState
	uses  uses
}

// NewAggregator returns an Aggregator of the instance self.
func NewAggregator(self *pb.Instance, quotas Quotas) *Aggregator {
	return &Aggregator{
		self: self, quotas: quotas, members: make(map[string]*member), zones: make(map[string]*zone), uses: make(uses),
	}
}

// position is the place of a message among those of its sender.
type position struct {
	incarnation, sequence uint64
	receivedAt            time.Time
}

// precedes reports whether the message at next is newer than the one at p. After timeout
// any message is, since the clock that incarnations are taken from may have been set back.
func (p position) precedes(next position, timeout time.Duration) bool {
	switch {
	case next.receivedAt.Sub(p.receivedAt) >= timeout:
		return true
	case next.incarnation != p.incarnation:
		return next.incarnation > p.incarnation
	default:
		return next.sequence > p.sequence
	}
}

// RecordMember records the state of a member, and reports whether it is newer than the
// last one.
func (a *Aggregator) RecordMember(state *pb.MemberState, now time.Time) bool {
	name := state.GetFrom().GetName()
	at := position{state.GetFrom().GetIncarnation(), state.GetSequence(), now}
	before := a.members[name]
	if before != nil && !before.precedes(at, memberTimeout) {
		return false
	}
	m := &member{position: at, state: state, uses: usesOf(state.GetWorkspaces())}
	var counted uses
	switch {
	case before != nil && before.incarnation == at.incarnation:
		counted = before.uses
	case before == nil && state.GetSequence() > newcomerStates:
		counted = m.uses // what it used before is in the level already
		a.joined = true
	}
	changes := m.uses.since(counted)
	a.charge(changes, now)
	a.uses.add(changes)
	a.members[name] = m
	if name != a.self.GetName() {
		a.otherHeardAt = now
	}
	return true
}

// charge adds changes of counters to the quotas.
func (a *Aggregator) charge(changes uses, now time.Time) {
	for key, change := range changes {
		a.quotas.Record(key, float64(change.requested), float64(change.used), now)
	}
}

// Active reports whether other members send their states here.
func (a *Aggregator) Active(now time.Time) bool { return now.Sub(a.otherHeardAt) < activeTimeout }

// Follow adopts the levels of the quotas from the sum of another aggregator while this one
// is not active, so that it can take over, or has just started.
func (a *Aggregator) Follow(sum *pb.FleetSum, now time.Time) {
	if sum.GetLevelsUnknown() || sum.GetFrom().GetName() == a.self.GetName() {
		return
	}
	if a.Active(now) && a.levelsKnown(now) {
		return
	}
	a.quotas.Follow(sum.GetLevels(), now.Add(-age(sum.GetAgeMs())))
}

// levelsKnown reports whether the levels of the quotas are known. If all instances started
// at about the same time, nobody knows more.
func (a *Aggregator) levelsKnown(now time.Time) bool { return a.quotas.Known(a.joined, now) }

// current returns the members whose states are in the sum, and drops the others.
func (a *Aggregator) current(now time.Time) []*member {
	list := make([]*member, 0, len(a.members))
	for name, m := range a.members {
		if now.Sub(m.receivedAt) >= memberTimeout {
			delete(a.members, name)
			continue
		}
		list = append(list, m)
	}
	return list
}

// Members returns the zone's instances whose states arrive.
func (a *Aggregator) Members(now time.Time) []*pb.Instance {
	current := a.current(now)
	instances := make([]*pb.Instance, 0, len(current))
	for _, m := range current {
		instances = append(instances, m.state.GetFrom())
	}
	return instances
}

// ZoneSum returns the sum of the zone's members.
func (a *Aggregator) ZoneSum(now time.Time) *pb.ZoneSum {
	members := a.current(now)
	totals := newTotals()
	sum := &pb.ZoneSum{From: a.self, Members: uint32(len(members)), Workspaces: a.uses.encode()}
	a.sequence++
	sum.Sequence = a.sequence
	var ages time.Duration
	clocks := make([]int64, 0, len(members))
	unreached, rolled, rooms := make(unreachedPools), make(rollouts), make(Rooms)
	for _, m := range members {
		age := now.Sub(m.receivedAt)
		ages += age
		totals.add(m.state.GetWork(), m.state.GetDemands())
		clocks = append(clocks, m.state.GetUnixMs()+age.Milliseconds())
		sum.LeavingServers = append(sum.LeavingServers, m.state.GetLeavingServers()...)
		unreached.add(m.state)
		rolled.addAll(m.state.GetRollouts(), age.Milliseconds())
		rooms.add(m.state.GetRooms())
		sum.Config = newerConfig(sum.Config, &pb.NewestConfig{Version: m.state.GetConfigVersion(), StatusAddress: m.state.GetFrom().GetStatusAddress()})
		if m.state.GetHoldsDuties() {
			sum.Holder = laterHolder(sum.Holder, &pb.DutyHolder{Instance: m.state.GetFrom(), AgeMs: age.Milliseconds()}, 0)
		}
	}
	sum.Work, sum.Demands, sum.Unreached, sum.Rollouts = EncodeWork(totals.Work), EncodeDemand(totals.Demand), unreached.encode(), rolled.encode()
	sum.Rooms = rooms.Encode()
	if len(members) > 0 {
		sum.AgeMs, sum.UnixMs = (ages / time.Duration(len(members))).Milliseconds(), median(clocks)
	}
	return sum
}

// median returns the middle one of a list that is not empty.
func median(list []int64) int64 {
	slices.Sort(list)
	return list[len(list)/2]
}

// newerConfig returns the configuration with the greater version.
func newerConfig(a, b *pb.NewestConfig) *pb.NewestConfig {
	if b.GetVersion() > a.GetVersion() {
		return b
	}
	return a
}

// laterHolder returns the holder of the duties that reported last. The report b was
// received as part of a message of the given age.
func laterHolder(a, b *pb.DutyHolder, age time.Duration) *pb.DutyHolder {
	if b == nil {
		return a
	}
	b = &pb.DutyHolder{Instance: b.GetInstance(), AgeMs: b.GetAgeMs() + age.Milliseconds()}
	if a == nil || b.GetAgeMs() < a.GetAgeMs() {
		return b
	}
	return a
}

// age returns the age that a message holds in milliseconds.
func age(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
