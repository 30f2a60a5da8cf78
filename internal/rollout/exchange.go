package rollout

import (
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

// judgeInterval is the least time between two judgments of the sums.
const judgeInterval = 100 * time.Millisecond

// Messages returns what this instance knows of the roll-outs, for the other instances: nothing while
// there is none.
func (t *Tracker) Messages(now time.Time) []*pb.RolloutState {
	var list []*pb.RolloutState
	for _, r := range *t.binding.Load() {
		r.mu.Lock()
		if r.final == None || now.Sub(r.finalAt) < finalTime {
			m := &pb.RolloutState{Order: r.order.key(), AgeMs: uint32(now.Sub(r.beganAt).Milliseconds()), Phase: uint32(r.phase), Instances: 1}
			if r.final == None {
				m.Cells = encodeCells(r.ownCells())
			}
			list = append(list, m)
		}
		r.mu.Unlock()
	}
	return list
}

// Apply applies the sums of what all instances know of the roll-outs.
func (t *Tracker) Apply(list []*pb.RolloutState, now time.Time) {
	for _, r := range *t.binding.Load() {
		r.mu.Lock()
		for _, m := range list {
			if m.GetOrder() == r.order.key() {
				r.apply(m, now)
			}
		}
		r.mu.Unlock()
	}
}

// apply applies a sum. It is called with mu held.
func (r *roll) apply(m *pb.RolloutState, now time.Time) {
	if began := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond); began.Before(r.beganAt) {
		r.beganAt = began
	}
	if p := Phase(min(m.GetPhase(), uint32(Finished))); r.final == None {
		r.advance(p, "other instances say that the roll-out is in a later phase", now)
	}
	r.sumAt, r.sumInstances = now, int(m.GetInstances())
	if r.final != None {
		return
	}
	r.cells = decodeCells(m.GetCells())
	if now.Sub(r.judgedAt) < judgeInterval {
		return
	}
	r.judgedAt = now
	r.judge(r.cells, 0.5, "all instances", now)
	r.mostBad = max(r.mostBad, badAnswers(r.cells, r.verdict.Outliers))
}
