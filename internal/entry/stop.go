package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// balancerDelay is how long the load balancer may send new connections after the
	// first failed readiness check.
	balancerDelay = 2200 * time.Millisecond
	// refuseDelay is the time from the stop signal until new requests are refused:
	// later ones might not end within the grace period.
	refuseDelay = 2800 * time.Millisecond
	// graceShare is the part of the grace period after which running requests are
	// aborted.
	graceShare = 0.94
)

// stop fails the readiness check so that the load balancer sends no new connections,
// then refuses new requests, and lets running ones finish within the grace period.
func (i *Instance) stop() {
	start, grace := time.Now(), i.reloadable.Load().GracePeriod
	i.stopping.Store(true)
	i.Log.WithFields(logrus.Fields{"event": "stopping", "running": i.core.Running(), "grace_ms": grace.Milliseconds()}).Info("stop signal received; running requests may finish within the grace period, new ones are soon refused")
	time.Sleep(balancerDelay)
	i.frontend.CloseConnections()
	time.Sleep(refuseDelay - balancerDelay)
	i.frontend.RefuseWork()
	end := start.Add(time.Duration(graceShare * float64(grace)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := i.frontend.Shutdown(ctx); err != nil {
		i.Log.WithFields(logrus.Fields{"event": "stop_cut", "running": i.core.Running()}).WithError(err).Warn("grace period is over; aborting running requests")
	}
}
