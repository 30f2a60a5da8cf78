package rollup

import (
	"maps"
	"slices"

	pb "kumquatyard/proto/kumquat/v1"
)

// rollouts sums what instances know of the roll-outs, by the order.
type rollouts map[uint32]*rolloutSum

// rolloutSum is the sum for one order.
type rolloutSum struct {
	age, phase, instances uint32
	cells                 map[rolloutKey]*pb.RolloutCell
}

// rolloutKey says whose answers a cell counts.
type rolloutKey struct {
	route, server uint32
	target        bool
}

// addAll adds the states of a message that is ageMs old.
func (r rollouts) addAll(list []*pb.RolloutState, ageMs int64) {
	for _, m := range list {
		sum := r[m.GetOrder()]
		if sum == nil {
			sum = &rolloutSum{cells: make(map[rolloutKey]*pb.RolloutCell)}
			r[m.GetOrder()] = sum
		}
		sum.age = max(sum.age, m.GetAgeMs()+uint32(max(ageMs, 0)))
		sum.phase = max(sum.phase, m.GetPhase())
		sum.instances += m.GetInstances()
		for _, c := range m.GetCells() {
			sum.addCell(c)
		}
	}
}

func (s *rolloutSum) addCell(c *pb.RolloutCell) {
	key := rolloutKey{c.GetRoute(), c.GetServer(), c.GetTarget()}
	cell := s.cells[key]
	if cell == nil {
		cell = &pb.RolloutCell{Route: key.route, Server: key.server, Target: key.target}
		s.cells[key] = cell
	}
	cell.Total = addRolloutCounts(cell.Total, c.GetTotal())
	cell.Recent = addRolloutCounts(cell.Recent, c.GetRecent())
}

// addRolloutCounts adds counts to a sum, which is created if it is nil.
func addRolloutCounts(sum, counts *pb.RolloutCounts) *pb.RolloutCounts {
	if counts == nil {
		return sum
	}
	if sum == nil {
		sum = &pb.RolloutCounts{}
	}
	sum.Answers += counts.GetAnswers()
	sum.Failed += counts.GetFailed()
	for i, n := range counts.GetLatencyClasses() {
		if i == len(sum.LatencyClasses) {
			sum.LatencyClasses = append(sum.LatencyClasses, 0)
		}
		sum.LatencyClasses[i] += n
	}
	return sum
}

func (r rollouts) encode() []*pb.RolloutState {
	list := make([]*pb.RolloutState, 0, len(r))
	for _, order := range slices.Sorted(maps.Keys(r)) {
		sum := r[order]
		m := &pb.RolloutState{Order: order, AgeMs: sum.age, Phase: sum.phase, Instances: sum.instances}
		for _, c := range sum.cells {
			m.Cells = append(m.Cells, c)
		}
		list = append(list, m)
	}
	return list
}
