package serve

import (
	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
)

// execution is what is known of all attempts of a request together. Retries, hand-overs and the
// verdict for the caller are decided by it, never by the outcome of the latest attempt alone.
type execution struct {
	// verdict covers all attempts; 0 before the first one.
	verdict contract.Verdict
}

// record adds the verdict of an attempt.
func (e *execution) record(v contract.Verdict) { e.verdict = max(e.verdict, v) }

// Verdict says whether any attempt may have run.
func (e *execution) Verdict() contract.Verdict { return max(e.verdict, contract.NotRun) }

// allowsNewRun reports whether a request of the route may be sent to a server as a new run.
func (e *execution) allowsNewRun(route *fleet.Route) bool {
	return e.Verdict() == contract.NotRun || route.MayRepeat()
}
