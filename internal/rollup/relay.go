package rollup

import pb "kumquatyard/proto/kumquat/v1"

// chooseRelay names the instance that reads the store for the zone: the first in the order
// of Rank that reaches the store and is not stopping. It also says from which revision
// instances that do not reach the store lack its changes.
func chooseRelay(sum *pb.FleetSum, members []*member) {
	var candidates []*pb.Instance
	newestEra := uint64(0)
	for _, m := range members {
		if s := m.state; s.GetStoreAway() {
			newestEra = max(newestEra, s.GetStoreEra())
		} else if !s.GetStopping() {
			candidates = append(candidates, s.GetFrom())
		}
	}
	if len(candidates) > 0 {
		sum.Relay = Rank(candidates)[0].GetName()
	}
	for _, m := range members {
		s := m.state
		if s.GetStoreRevision() == 0 || s.GetStoreEra() != newestEra {
			continue
		}
		if sum.GetReplayRevision() == 0 || s.GetStoreRevision() < sum.GetReplayRevision() {
			sum.ReplayRevision, sum.ReplayEra = s.GetStoreRevision(), newestEra
		}
	}
}
