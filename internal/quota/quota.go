// Package quota enforces the workspaces' quotas over all instances without remote
// calls on the request path. The aggregators of internal/rollup keep a token bucket for
// each workspace from what all instances report (Levels). An instance grants requests by
// the last level, less what it and, by their rate, the others granted since. When all
// instances together request more than is left, each grants the same fraction of its
// requests. For instances whose reports are missing, a fair share of the quota is
// reserved, and an instance that gets no reports grants its fair share only. Partitioned
// instances therefore stay within the quota together.
package quota

import (
	"time"

	"kumquatyard/internal/fleet"
)

// Tolerance is the use that operators allow beyond the quotas: in any Window a
// workspace may use (rate * Window + burst) * (1 + Overrun) + Slack.
type Tolerance struct {
	Slack   float64
	Overrun float64
	Window  time.Duration
}

const (
	// overdraft is the fraction of the slack by which a bucket may be overdrawn, and
	// grantedOverrun that of the overrun that is granted. The rest covers what instances
	// grant before they know of each other.
	overdraft      = 0.2
	grantedOverrun = 0.4
	// startAllowanceShare is the fraction of the tolerance that is granted at a start. It
	// is below a half, since all instances may start twice within a window.
	startAllowanceShare = 0.45
)

// overdraft returns how far a bucket may be overdrawn.
func (t Tolerance) overdraft() float64 { return overdraft * t.Slack }

// perSecond and burst return the rate and the depth of the bucket for a quota.
func (t Tolerance) perSecond(q *fleet.Quota) float64 {
	return q.PerSecond * (1 + grantedOverrun*t.Overrun)
}

func (t Tolerance) burst(q *fleet.Quota) float64 { return q.Burst * (1 + grantedOverrun*t.Overrun) }

// startAllowance returns what a workspace may use right after a start of all instances,
// when the use before the start is unknown. What is granted of the quota and the overdraft
// may have been used in full before the start and may be again after it, so the allowance comes
// out of the tolerance beyond them.
func (t Tolerance) startAllowance(q *fleet.Quota) float64 {
	beyond := (1-grantedOverrun)*t.Overrun*(q.PerSecond*t.Window.Seconds()+q.Burst) + (1-2*overdraft)*t.Slack
	return startAllowanceShare * beyond
}

// assumedInstances is the number of instances assumed until SetInstances is called.
const assumedInstances = 8
