// Package follow keeps a view of a part of the store up to date: a list, then
// the changes, and a new list whenever changes may have been missed.
package follow

import (
	"context"
	"errors"
	"math"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/store"
)

const (
	// watchWait is how long the store may hold a watch. It is short because a
	// connection that went silent is only noticed at its end.
	watchWait = 1500 * time.Millisecond
	// probeWait is the wait while the store is away, so that its return is noticed at once.
	probeWait  = time.Millisecond
	retryFirst = 50 * time.Millisecond
	retryMax   = 300 * time.Millisecond
)

// Handler takes what a Follower reads. Until lapsedUntil, which is zero unless
// the store was away, removals may be lapses of leases whose owners are about
// to write their entries again.
type Handler interface {
	// Resync replaces all items.
	Resync(items []store.Item, now, lapsedUntil time.Time)
	// Change applies changes in their order.
	Change(items []store.Item, now, lapsedUntil time.Time)
}

// settleTime is how long after the store's return entries that lapsed
// meanwhile may be written again.
const settleTime = 1600 * time.Millisecond

// Subscription is a prefix with its handler.
type Subscription struct {
	Prefix  string
	Handler Handler
}

// Follower follows several parts of the store with one watch, since each call
// has its price.
type Follower struct {
	Store         store.Reader
	Subscriptions []Subscription
	// Pause is the time between two calls that tell of changes.
	Pause func() time.Duration
	// Role says who reads the store; nil is Alone.
	Role func() Role
	// Feed brings what another instance read.
	Feed <-chan Batch
	// Publish gets what this instance read for others.
	Publish func(Batch)
	// ReplayFrom is the revision from which others that do not reach the store need
	// the changes; 0 when none does. Nil is none.
	ReplayFrom func() uint64
	Log        *logrus.Entry

	revision atomic.Uint64
	recent   recentChanges
	// readAt is when the store last answered this instance or the one that
	// reads for it.
	readAt time.Time
	// behind is set while changes are known to be missing here.
	behind bool
	// changed is set when the last call told of changes.
	changed bool
	// away is set while the store does not answer, returned when it did again.
	away atomic.Bool
	// cutOff is set while this instance's own calls fail, whatever others tell.
	cutOff   atomic.Bool
	returned time.Time
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryFirst, retryMax
	for ctx.Err() == nil {
		if f.fed(ctx) {
			continue
		}
		err := f.step(ctx)
		if err == nil {
			retry.Reset()
			f.rest(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(err)
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// rest waits before the next call after one that told of changes.
func (f *Follower) rest(ctx context.Context) {
	if !f.changed {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(f.Pause()):
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if f.revision.Load() == 0 {
		return f.resync(ctx)
	}
	items, revision, err := f.Store.Watch(ctx, everything, f.revision.Load(), f.wait())
	if errors.Is(err, store.ErrCompacted) {
		f.Log.WithFields(logrus.Fields{"event": "watch_gap", "revision": f.revision.Load()}).Info("changes were missed; reading the list anew")
		return f.resync(ctx)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	f.succeeded(now)
	f.readAt, f.behind = now, false
	f.cutOff.Store(false)
	f.publish(f.revision.Load(), revision, items, now)
	f.revision.Store(revision)
	f.changed = len(items) > 0
	f.dispatch(items, now, f.lapsedUntil(now))
	return nil
}

// wait is how long the store may hold the next watch.
func (f *Follower) wait() time.Duration {
	switch {
	case f.away.Load(), f.role() == Relayed:
		return probeWait
	case f.role() == Relay:
		return readerWait
	default:
		return watchWait
	}
}

// everything is the prefix of all keys.
const everything = ""

// dispatch hands changes to the parts that they belong to.
func (f *Follower) dispatch(items []store.Item, now, lapsedUntil time.Time) {
	for _, p := range f.Subscriptions {
		var own []store.Item
		for _, item := range items {
			if strings.HasPrefix(item.Key, p.Prefix) {
				own = append(own, item)
			}
		}
		if len(own) > 0 {
			p.Handler.Change(own, now, lapsedUntil)
		}
	}
}

// resync reads all parts anew. The watch goes on from the oldest revision read,
// so that it may repeat changes but misses none.
func (f *Follower) resync(ctx context.Context) error {
	lists := make([][]store.Item, len(f.Subscriptions))
	oldest := uint64(math.MaxUint64)
	for i, p := range f.Subscriptions {
		items, revision, err := f.Store.List(ctx, p.Prefix)
		if err != nil {
			return err
		}
		lists[i] = items
		oldest = min(oldest, revision)
	}
	now := time.Now()
	f.succeeded(now)
	f.readAt, f.behind, f.changed = now, false, false
	f.cutOff.Store(false)
	f.revision.Store(oldest)
	f.recent.reset(oldest)
	for i, p := range f.Subscriptions {
		p.Handler.Resync(lists[i], now, f.lapsedUntil(now))
	}
	return nil
}

func (f *Follower) lapsedUntil(now time.Time) time.Time {
	until := f.returned.Add(settleTime)
	if f.returned.IsZero() || !now.Before(until) {
		return time.Time{}
	}
	return until
}

// StoreUnreachable reports whether the store does not answer this instance itself. It is
// safe for concurrent use.
func (f *Follower) StoreUnreachable() bool { return f.cutOff.Load() }

// Revision is the revision up to which the store is known. It is safe for
// concurrent use.
func (f *Follower) Revision() uint64 { return f.revision.Load() }

// Disconnected reports whether nothing is heard of the store, from itself or from the
// instance that reads for this one. It is safe for concurrent use.
func (f *Follower) Disconnected() bool { return f.away.Load() }

func (f *Follower) failed(err error) {
	f.cutOff.Store(true)
	if f.away.Swap(true) {
		return
	}
	f.Log.WithFields(logrus.Fields{"event": "store_lost", "revision": f.revision.Load()}).WithError(err).Warn("the store does not answer; going on with what is known")
}

func (f *Follower) succeeded(now time.Time) {
	if !f.away.Swap(false) {
		return
	}
	f.returned = now
	f.Log.WithFields(logrus.Fields{"event": "store_regained"}).Info("the store answers again")
}
