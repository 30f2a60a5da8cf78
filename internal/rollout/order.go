// Package rollout moves a pool's traffic to another version of its servers' software while
// servers of both versions run. All instances together expose a small share of the requests to
// the new version, compare its answers with those of the old one at the same time, and either
// stop or switch over. Decisions are pure: time, draws and counts come in. The orders and
// statuses are read from the store by the instance's follower, the counts are summed by
// internal/rollup, and Runner writes the statuses for the holder of the duties.
package rollout

import (
	"fmt"
	"time"

	"kumquatyard/internal/rollup"
	"kumquatyard/internal/store"
)

// State is the state of a roll-out as its status in the store says.
type State int

// The states of a roll-out.
const (
	// None means that the store has no status of the order.
	None State = iota
	InProgress
	Completed
	Reverted
)

// IsFinal reports whether the state never changes again.
func (s State) IsFinal() bool { return s == Completed || s == Reverted }

// String returns the name of the state in logs.
func (s State) String() string {
	return [...]string{"none", "in_progress", "completed", "reverted"}[s]
}

// Order asks to move a pool's traffic to the servers of a version.
type Order struct {
	Pool    string
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	Revision store.Revision
}

// key identifies the order in messages. A repeated order is another one.
func (o Order) key() uint32 {
	return rollup.Key(fmt.Sprintf("%s/%s/%d/%d", o.Pool, o.Version, o.Duration.Milliseconds(), o.Revision.Number))
}

// Status is the status of a roll-out.
type Status struct {
	State    State
	Version  string
	Revision store.Revision
}

// isOf reports whether the status was written for an order: for its version, and after it.
func (s Status) isOf(o Order) bool {
	return s.State != None && s.Version == o.Version && s.Revision.After(o.Revision)
}

// Phase is what instances do with the requests of a pool under an order. A later phase takes
// the place of an earlier one, wherever it was decided.
type Phase uint32

// The phases of a roll-out.
const (
	// Exposing gives the new version a small share of the requests.
	Exposing Phase = iota
	// Switching moves all requests to the new version, so that the old servers become idle.
	Switching
	// Stopped gives the new version no requests: it was judged bad.
	Stopped
	// Finished gives the old version no requests: its servers were stopped.
	Finished
)

// String returns the name of the phase in logs.
func (p Phase) String() string {
	return [...]string{"exposing", "switching", "stopped", "finished"}[min(p, Finished)]
}

// Bounds are what the operators allow.
type Bounds struct {
	// Share and Slack bound the requests that a bad version may get from all instances
	// between an order and its deadline: Share of all requests to its pool, and Slack more.
	Share, Slack float64
	// Rollback is the time after the 50th bad answer of a bad version from which it gets no
	// more requests.
	Rollback time.Duration
}

// IsZero reports whether the operators do not ask for roll-outs.
func (b Bounds) IsZero() bool { return b.Share <= 0 }
