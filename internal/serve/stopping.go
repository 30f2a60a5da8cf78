package serve

import (
	"errors"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/drain"
)

// ErrStopping means that the instance is stopping: it does not take a request that may not end in
// time, or ends one that has not.
var ErrStopping = errors.New("the instance is stopping")

// stoppingRetryAfter is when a caller may retry after a refusal by an instance that is stopping;
// other instances answer at once.
const stoppingRetryAfter = 200 * time.Millisecond

// Stop begins a stop: from now on requests are taken only if they can end in time.
func (s *Server) Stop(plan drain.Plan) { s.stopPlan.Store(&plan) }

// Abort ends the requests in flight. Their callers get errors that say whether they may have run.
func (s *Server) Abort() { s.endRequests(ErrStopping) }

// refuseWhileStopping returns the refusal of a request that may not end before the instance stops;
// nil if there is none. A request that was handed over goes to another instance.
func (s *Server) refuseWhileStopping(req *Request, end, now time.Time) error {
	plan := s.stopPlan.Load()
	if plan == nil {
		return nil
	}
	mustEnd := !req.Route.MayRepeat() && !req.Route.Stream
	need := s.durations.Need(req.Route.Name, mustEnd, end.Sub(now))
	if !req.HandedOver && plan.Takes(need, now) {
		return nil
	}
	err := contract.Refusal(contract.KindUnavailable, stoppingRetryAfter, "the instance is stopping, and the request might not end before")
	err.Err = ErrStopping
	if req.HandedOver {
		err.Err = errors.Join(ErrStopping, ErrDeclined)
	}
	s.logRefused(req, err, map[string]any{"need_ms": need.Milliseconds(), "abort_in_ms": plan.Abort().Sub(now).Milliseconds()})
	return err
}

// canEndAnother reports whether another attempt of a request with a deadline can end before a stop
// of the instance ends it.
func (s *Server) canEndAnother(req *Request, end, now time.Time) bool {
	plan := s.stopPlan.Load()
	if plan == nil {
		return true
	}
	need := s.durations.Need(req.Route.Name, true, end.Sub(now))
	return !now.Add(need).After(plan.Abort())
}
