package observe

import (
	"math"
	"time"

	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

// noAdapters encodes an empty list of adapters, since an absent list means that
// the adapters did not change.
const noAdapters = ""

// encodeState encodes s. If stable is false, incarnation, slots and adapters are
// omitted, which means unchanged; a server always has slots.
func encodeState(s machine.State, now time.Time, stable bool, events CacheEvents) *pb.ServerState {
	out := &pb.ServerState{
		Id:              string(s.ID),
		Incarnation:     s.Incarnation,
		Lifecycle:       pb.Lifecycle(s.Lifecycle),
		Running:         uint32(s.Load.Running),
		Queued:          uint32(s.Load.Queued),
		QueuedTokens:    uint64(s.Load.QueuedTokens),
		TokensPerSecond: uint32(s.Load.TokensPerSecond),
		AgeMs:           ageMillis(s.Load.At, now),
		Unreachable:     s.Unreachable,
		CacheAdded:      events.Added,
		CacheRemoved:    events.Removed,
		CacheGap:        events.Gap,
	}
	if !s.ReclaimAt.IsZero() {
		out.ReclaimAtUnixMs = s.ReclaimAt.UnixMilli()
	}
	if !stable {
		out.Incarnation = 0
		return out
	}
	out.Slots = uint32(s.Load.Slots)
	out.Adapters = s.Load.Adapters
	if len(out.Adapters) == 0 {
		out.Adapters = []string{noAdapters}
	}
	return out
}

// ageMillis returns the age of a load in milliseconds. The maximum value means
// that the sender does not report a load.
func ageMillis(at, now time.Time) uint32 {
	age := now.Sub(at).Milliseconds()
	return uint32(min(max(0, age), math.MaxUint32))
}

// decodeState is the inverse of encodeState. Omitted fields are taken from base.
func decodeState(in *pb.ServerState, base machine.State, now time.Time) machine.State {
	out := machine.State{
		ID:          machine.ID(in.GetId()),
		Incarnation: in.GetIncarnation(),
		Lifecycle:   machine.Lifecycle(in.GetLifecycle()),
		Unreachable: in.GetUnreachable(),
		Load: machine.Load{
			At:              now.Add(-time.Duration(in.GetAgeMs()) * time.Millisecond),
			Running:         int(in.GetRunning()),
			Queued:          int(in.GetQueued()),
			QueuedTokens:    int(in.GetQueuedTokens()),
			TokensPerSecond: int(in.GetTokensPerSecond()),
			Slots:           int(in.GetSlots()),
			Adapters:        in.GetAdapters(),
		},
	}
	if ms := in.GetReclaimAtUnixMs(); ms != 0 {
		out.ReclaimAt = time.UnixMilli(ms)
	}
	switch {
	case len(in.GetAdapters()) == 0:
		out.Incarnation, out.Load.Slots, out.Load.Adapters = base.Incarnation, base.Load.Slots, base.Load.Adapters
	case in.GetAdapters()[0] == noAdapters:
		out.Load.Adapters = nil
	}
	return out
}

// EncodeState encodes a merged state for a gateway. All fields are present, and
// an empty list of adapters is left empty.
func EncodeState(s machine.State, events CacheEvents, now time.Time) *pb.ServerState {
	out := encodeState(s, now, true, events)
	out.Adapters = s.Load.Adapters
	return out
}

// DecodeState decodes a state that EncodeState encoded, except for its cache
// events.
func DecodeState(in *pb.ServerState, now time.Time) machine.State {
	return decodeState(in, machine.State{
		Incarnation: in.GetIncarnation(), Load: machine.Load{Slots: int(in.GetSlots())},
	}, now)
}
