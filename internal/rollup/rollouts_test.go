package rollup

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	pb "kumquatyard/proto/kumquat/v1"
)

// Counts of two zones are added up; the oldest order and the latest phase count.
func TestRolloutsAreSummed(t *testing.T) {
	state := func(age, phase, answers uint32, latencies ...uint32) []*pb.RolloutState {
		return []*pb.RolloutState{{Order: 7, AgeMs: age, Phase: phase, Instances: 1, Cells: []*pb.RolloutCell{
			{Route: 1, Target: true, Server: 3, Total: &pb.RolloutCounts{Answers: answers, Failed: 1, LatencyClasses: latencies}},
		}}}
	}
	a, b, c := newInstance("a", "z1"), newInstance("b", "z1"), newInstance("c", "z2")
	for n, i := range []*instance{a, b, c} {
		s := i.state()
		s.Rollouts = state(uint32(100*n), uint32(n%2), 10, 1, uint32(n))
		if i == b {
			s.Rollouts = state(100, 1, 20, 1, 2, 3)
		}
		target := a
		if i == c {
			target = c
		}
		target.aggregator.RecordMember(s, start)
	}
	later := start.Add(40 * time.Millisecond)
	a.aggregator.RecordZone(c.aggregator.ZoneSum(later), later)
	later = later.Add(10 * time.Millisecond)
	sum := a.aggregator.FleetSum(a.aggregator.ZoneSum(later), false, later)
	want := []*pb.RolloutState{{Order: 7, AgeMs: 250, Phase: 1, Instances: 3, Cells: []*pb.RolloutCell{
		{Route: 1, Target: true, Server: 3, Total: &pb.RolloutCounts{Answers: 40, Failed: 3, LatencyClasses: []uint32{3, 4, 3}}},
	}}}
	if diff := cmp.Diff(want, sum.GetRollouts(), protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	d := newInstance("d", "z3")
	d.aggregator.RecordMember(d.state(), start)
	if got := d.aggregator.ZoneSum(start).GetRollouts(); len(got) > 0 {
		t.Errorf("without roll-outs, %v is sent", got)
	}
}
