// Package observe replicates the observed states of backend servers between
// agents: delta-encoded digests, the replicas built from them and the merged
// view. It does no I/O; callers pass in the time.
package observe

import (
	"slices"

	"kumquatyard/internal/machine"
)

// loadToleranceDivisor sets the load change that is reported: more than the
// number of slots divided by it for requests, and more than the last reported
// value divided by it for tokens.
const loadToleranceDivisor = 8

// significant reports whether b differs enough from a to be reported. Any change
// of a field other than load is significant.
func significant(a, b machine.State) bool {
	if sameUrgent(a, b) && sameStable(a, b) {
		return loadDiffers(a.Load, b.Load)
	}
	return true
}

// sameUrgent compares the fields whose changes are reported without delay.
func sameUrgent(a, b machine.State) bool {
	return a.Incarnation == b.Incarnation && a.Lifecycle == b.Lifecycle &&
		a.ReclaimAt.Equal(b.ReclaimAt) && a.Unreachable == b.Unreachable
}

// sameStable compares the fields that digests omit while they are unchanged.
func sameStable(a, b machine.State) bool {
	return a.Incarnation == b.Incarnation && a.Load.Slots == b.Load.Slots &&
		slices.Equal(a.Load.Adapters, b.Load.Adapters)
}

func loadDiffers(a, b machine.Load) bool {
	if exceeds(a.Running, b.Running, a.Slots/loadToleranceDivisor) || exceeds(a.Queued, b.Queued, a.Slots/loadToleranceDivisor) {
		return true
	}
	return exceeds(a.QueuedTokens, b.QueuedTokens, a.QueuedTokens/loadToleranceDivisor) ||
		exceeds(a.TokensPerSecond, b.TokensPerSecond, a.TokensPerSecond/loadToleranceDivisor)
}

func exceeds(a, b, tolerance int) bool { return max(a-b, b-a) > tolerance }
