// Package observe spreads what is known about backend servers between the
// agents of a zone: delta-coded digests, their replicas and the merged view.
// It is pure; time comes in.
package observe

import (
	"slices"

	"kumquatyard/internal/machine"
)

// loadShare is the inverse share of slots or queued tokens by which a load
// must differ from the last reported one to be reported again.
const loadShare = 8

// significant reports whether b differs enough from a to be told to others.
// Everything but load counts at once.
func significant(a, b machine.State) bool {
	if sameUrgent(a, b) && sameStable(a, b) {
		return loadDiffers(a.Load, b.Load)
	}
	return true
}

// sameUrgent compares the fields whose change is told without delay.
func sameUrgent(a, b machine.State) bool {
	return a.Incarnation == b.Incarnation && a.Lifecycle == b.Lifecycle &&
		a.ReclaimAt.Equal(b.ReclaimAt) && a.Unreachable == b.Unreachable
}

// sameStable compares the fields that digests leave out while they stay.
func sameStable(a, b machine.State) bool {
	return a.Incarnation == b.Incarnation && a.Load.Slots == b.Load.Slots &&
		slices.Equal(a.Load.Adapters, b.Load.Adapters)
}

func loadDiffers(a, b machine.Load) bool {
	if far(a.Running, b.Running, a.Slots/loadShare) || far(a.Queued, b.Queued, a.Slots/loadShare) {
		return true
	}
	return far(a.QueuedTokens, b.QueuedTokens, a.QueuedTokens/loadShare) ||
		far(a.TokensPerSecond, b.TokensPerSecond, a.TokensPerSecond/loadShare)
}

func far(a, b, tolerance int) bool { return max(a-b, b-a) > tolerance }
