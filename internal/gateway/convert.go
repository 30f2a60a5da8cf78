package gateway

import (
	"time"

	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

// stateFromProto returns the state that the message describes; now is when the
// message arrived.
func stateFromProto(s *pb.ServerState, now time.Time) machine.State {
	state := machine.State{
		ID:          machine.ID(s.GetId()),
		Incarnation: s.GetIncarnation(),
		Lifecycle:   machine.Lifecycle(s.GetLifecycle()),
		Unreachable: s.GetUnreachable(),
		Load: machine.Load{
			At:              now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond),
			Running:         int(s.GetRunning()),
			Queued:          int(s.GetQueued()),
			QueuedTokens:    int(s.GetQueuedTokens()),
			Slots:           int(s.GetSlots()),
			TokensPerSecond: int(s.GetTokensPerSecond()),
			Adapters:        s.GetAdapters(),
		},
	}
	if at := s.GetReclaimAtUnixMs(); at != 0 {
		state.ReclaimAt = time.UnixMilli(at)
	}
	return state
}
