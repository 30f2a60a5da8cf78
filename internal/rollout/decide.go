package rollout

import "time"

// Step is what comes next for a roll-out. The holder of the duties writes the statuses; every instance
// begins the switch.
type Step int

// The steps.
const (
	Wait Step = iota
	// WriteInProgress, WriteCompleted and WriteReverted write the status.
	WriteInProgress
	WriteCompleted
	WriteReverted
	// SwitchOver makes all instances send the pool's requests to the new version.
	SwitchOver
)

const (
	// minAnswers is the number of answers of the new version without which it is not taken for a
	// good one.
	minAnswers = 15
	// minNewServers is the part of the old servers' number that the new ones must have.
	minNewServers = 0.7
	// switchShare and marginShare are the parts of an order's duration for the switch, in which
	// the old servers become idle, and for the time between its end and the deadline.
	switchShare  = 0.2
	marginShare  = 0.1
	minSwitch    = 1500 * time.Millisecond
	maxSwitch    = 3 * time.Second
	minMargin    = time.Second
	maxMargin    = 2 * time.Second
	maxPlanShare = 0.6
)

// Input is what a step is decided by.
type Input struct {
	// Written is the state that the store has for the order.
	Written State
	// Phase is Finished or Stopped after a final state, also if a restored store has lost it.
	Phase Phase
	// Age is the time since the order, Duration that from the order to the deadline, and
	// SwitchedFor the time since the switch.
	Age, Duration, SwitchedFor time.Duration
	// Answers is the number of answers of the new version.
	Answers                int
	NewServers, OldServers int
	// OldKnown is the number of old servers that are usable or not.
	OldKnown int
	// Fresh is set if the counts of all instances are known.
	Fresh bool
}

// times returns how long the switch lasts, and when it begins after the order. The switch is late: a
// version that turns bad after it gets many requests until it is stopped.
func (in *Input) times() (lasts, begins time.Duration) {
	lasts = min(max(share(in.Duration, switchShare), minSwitch), maxSwitch)
	margin := min(max(share(in.Duration, marginShare), minMargin), maxMargin)
	if most := share(in.Duration, maxPlanShare); lasts+margin > most {
		lasts, margin = most*2/3, most/3
	}
	return lasts, in.Duration - lasts - margin
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// Decide returns the next step.
func Decide(in Input) Step {
	switch {
	case in.Written.IsFinal():
		return Wait
	case in.Phase == Finished:
		return WriteCompleted
	case in.Phase == Stopped:
		return WriteReverted
	case in.Phase == Switching:
		return in.endSwitch()
	case in.Age >= in.Duration:
		return WriteReverted
	}
	if _, begins := in.times(); in.Age >= begins && in.isReady() {
		return SwitchOver
	}
	if in.Written == None {
		return WriteInProgress
	}
	return Wait
}

// endSwitch decides whether the switch is over.
func (in *Input) endSwitch() Step {
	lasts, _ := in.times()
	switch {
	case !in.Fresh && in.Age < in.Duration:
		return Wait
	case in.SwitchedFor >= lasts || in.OldKnown == 0:
		return WriteCompleted
	default:
		return Wait
	}
}

// isReady reports whether the new servers can carry the whole load, and their answers were good.
func (in *Input) isReady() bool {
	return in.Fresh && in.NewServers > 0 && float64(in.NewServers) >= minNewServers*float64(in.OldServers) && (in.Answers >= minAnswers || in.OldKnown == 0)
}
