package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/drain"
)

// stop fails the readiness check so that the load balancer sends no new connections, takes only
// requests that can end in time, then none, and lets running ones finish. Those that are left near
// the end of the grace period are ended with an error.
func (i *Instance) stop() {
	start, grace := time.Now(), i.reloadable.Load().GracePeriod
	plan := drain.NewPlan(start, grace)
	i.stopping.Store(true)
	i.core.Stop(plan)
	i.Log.WithFields(logrus.Fields{
		"event": "stopping", "running": i.core.Running(), "grace_ms": grace.Milliseconds(), "refuse_after_ms": plan.Refuse().Sub(start).Milliseconds(), "abort_after_ms": plan.Abort().Sub(start).Milliseconds(),
	}).Info("stop signal received; running requests may finish within the grace period, new ones are taken if they can and soon refused")
	time.Sleep(time.Until(plan.CloseConnections()))
	i.frontend.CloseConnections()
	time.Sleep(time.Until(plan.Refuse()))
	i.frontend.RefuseWork()
	abort := time.AfterFunc(time.Until(plan.Abort()), i.abort)
	defer abort.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), plan.End())
	defer cancel()
	if err := i.frontend.Shutdown(ctx); err != nil {
		i.Log.WithFields(logrus.Fields{"event": "stop_cut", "running": i.core.Running()}).WithError(err).Warn("grace period is over; closing the connections of running requests")
	}
}

// abort ends the requests that are left.
func (i *Instance) abort() {
	i.Log.WithFields(logrus.Fields{"event": "stop_abort", "running": i.core.Running()}).Warn("grace period is nearly over; ending running requests with an error")
	i.core.Abort()
}
