// Package follow keeps a view of a part of the store up to date: a list, then
// the changes, and a new list whenever changes may have been missed.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/store"
)

const (
	// watchWait is how long the store may hold a watch. It is short because a
	// connection that went silent is only noticed at its end.
	watchWait  = 1500 * time.Millisecond
	retryFirst = 50 * time.Millisecond
	retryMax   = 400 * time.Millisecond
	// outageFailures is the number of failures in a row from which the store
	// counts as away, and leases may have lapsed.
	outageFailures = 1
)

// Handler takes what a Follower reads. afterOutage is true until
// settleTime after the store could not be reached: removals may then be lapses.
type Handler interface {
	// Resync replaces all items.
	Resync(items []store.Item, now time.Time, afterOutage bool)
	// Change applies changes in their order.
	Change(items []store.Item, now time.Time, afterOutage bool)
}

// settleTime is how long after an outage removals may be lapses of leases that
// their owners are about to write again.
const settleTime = 2 * time.Second

// Follower follows one prefix.
type Follower struct {
	Store   store.Reader
	Prefix  string
	Handler Handler
	Log     *logrus.Entry

	revision uint64
	failures int
	// away is set while the store does not answer, returned when it did again.
	away     bool
	returned time.Time
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, retryMax
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			pause.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if f.revision == 0 {
		return f.resync(ctx)
	}
	items, revision, err := f.Store.Watch(ctx, f.Prefix, f.revision, watchWait)
	if errors.Is(err, store.ErrHistoryGone) {
		f.Log.WithFields(logrus.Fields{"event": "watch_gap", "prefix": f.Prefix, "revision": f.revision}).Info("changes were missed; reading the list anew")
		return f.resync(ctx)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	f.succeeded(now)
	f.revision = revision
	if len(items) > 0 {
		f.Handler.Change(items, now, f.settling(now))
	}
	return nil
}

func (f *Follower) resync(ctx context.Context) error {
	items, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	f.succeeded(now)
	f.revision = revision
	f.Handler.Resync(items, now, f.settling(now))
	return nil
}

func (f *Follower) settling(now time.Time) bool { return now.Sub(f.returned) < settleTime }

func (f *Follower) failed(err error) {
	f.failures++
	if f.away || f.failures < outageFailures {
		return
	}
	f.away = true
	f.Log.WithFields(logrus.Fields{"event": "store_lost", "prefix": f.Prefix, "revision": f.revision}).WithError(err).Warn("the store does not answer; going on with what is known")
}

func (f *Follower) succeeded(now time.Time) {
	f.failures = 0
	if !f.away {
		return
	}
	f.away = false
	f.returned = now
	f.Log.WithFields(logrus.Fields{"event": "store_regained", "prefix": f.Prefix}).Info("the store answers again")
}
