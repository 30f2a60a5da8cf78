// Package follow watches prefixes of the store: it lists them, applies the changes,
// and lists them again whenever changes may have been missed. One instance of a
// zone, the relay, can read the changes for the others, to save calls to the store.
package follow

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/store"
)

const (
	// watchWait is how long the store may hold a watch. It is short because a dead
	// connection is only detected when the watch times out.
	watchWait = 1500 * time.Millisecond
	// probeWait is the watch's wait while the store does not answer, so that its
	// recovery is detected at once, and in single reads of a relayed instance.
	probeWait  = time.Millisecond
	retryFirst = 50 * time.Millisecond
	// MinRetry is the least bound of the time between two calls while the store does not
	// answer.
	MinRetry = 300 * time.Millisecond
)

// Handler receives what a Follower reads. Until expiryGraceUntil, which is zero
// unless the store was unavailable or restored shortly before, missing items may be
// those of expired leases or of lost writes, whose owners are about to write them again.
type Handler interface {
	// Resync replaces all items.
	Resync(items []store.Item, now, expiryGraceUntil time.Time)
	// Change applies changes in order of their revision.
	Change(items []store.Item, now, expiryGraceUntil time.Time)
}

// expiryGrace is the time after the store's recovery or restore in which owners may
// write entries again whose leases expired or that the store lost.
const expiryGrace = 1600 * time.Millisecond

// Subscription is a prefix to watch and the handler of its items.
type Subscription struct {
	Prefix  string
	Handler Handler
}

// Follower follows several prefixes of the store with a single watch, to save
// calls to the store.
type Follower struct {
	Store         store.Reader
	Subscriptions []Subscription
	// Pause returns the time to wait after a call that returned changes, but not after one
	// that may lack some.
	Pause func() time.Duration
	// MaxRetry bounds the time between two calls while the store does not answer; nil means
	// MinRetry.
	MaxRetry func() time.Duration
	// Role returns the instance's current role; nil means Direct.
	Role func() Role
	// Feed delivers the batches of the zone's relay.
	Feed <-chan Batch
	// Publish sends a batch to the zone; it is called while the role is Relay.
	Publish func(Batch)
	// ReplayFrom returns the revision of an era after which instances that do not reach
	// the store lack changes; zero when there is no such instance. May be nil.
	ReplayFrom func(era uint64) store.Revision
	Log        *logrus.Entry

	// revision is the one up to which changes were applied, except values still to be read
	// in omitted.
	revision atomic.Pointer[store.Revision]
	recent   recentChanges
	omitted  omittedValues
	// readAt is when the store last answered this instance or its relay.
	readAt time.Time
	// behind is set while changes are known to be missing.
	behind bool
	// changed is set when the last call returned changes, and seemingly all of them.
	changed bool
	// disconnected is set while there are no updates, neither from the store nor
	// from the relay. reconnectedAt is when they resumed.
	disconnected atomic.Bool
	// storeUnreachable is set while this instance's own calls fail, whether or not
	// relayed batches arrive.
	storeUnreachable atomic.Bool
	// incompleteSince is when the store recovered or was found to be restored, after
	// which owners write missing entries again.
	incompleteSince time.Time
	era             atomic.Pointer[Era]
}

// Era is an era of the store as seen by this process.
type Era struct {
	Number uint64
	// Since is when this process first read the store in this era.
	Since time.Time
}

// MaybeRestored reports whether changes before Since may be lost. A store that reports an
// era may have been restored before this process started.
func (e Era) MaybeRestored() bool { return e.Number > 0 }

// Era returns the store's era; zero before the store was first read. It is safe for
// concurrent use.
func (f *Follower) Era() Era {
	if era := f.era.Load(); era != nil {
		return *era
	}
	return Era{}
}

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	defer f.omitted.readers.Wait()
	retry := newRetry()
	for ctx.Err() == nil {
		retry.MaxInterval = f.maxRetry()
		f.applyReads(ctx)
		if f.awaitRelay(ctx) {
			continue
		}
		err := f.poll(ctx)
		if err == nil {
			retry.Reset()
			f.pauseAfterChanges(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.recordFailure(err)
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

func (f *Follower) maxRetry() time.Duration {
	if f.MaxRetry == nil {
		return MinRetry
	}
	return f.MaxRetry()
}

// manyChanges is the number of changes from which an answer may lack others that the store
// has: it returns a limited number at once, some 500 on the users' platform.
const manyChanges = 100

// pauseAfterChanges waits for Pause if the last call returned all the changes there were.
func (f *Follower) pauseAfterChanges(ctx context.Context) {
	if !f.changed {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(f.Pause()):
	}
}

// poll makes one watch call, or lists all prefixes if there is no revision to
// watch from.
func (f *Follower) poll(ctx context.Context) error {
	known := f.Revision()
	if known.IsZero() {
		return f.readFirst(ctx)
	}
	items, revision, err := f.Store.Watch(ctx, allKeys, known, f.wait())
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored) {
		f.Log.WithFields(logrus.Fields{"event": "watch_gap", "era": known.Era, "revision": known.Number}).WithError(err).Info("the changes since the known revision cannot be read; listing the keys of all subscribed prefixes again")
		return f.resync(ctx)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	f.recordSuccess(now)
	f.readAt, f.behind = now, false
	f.storeUnreachable.Store(false)
	f.publish(known, revision, items, now)
	f.revision.Store(&revision)
	f.changed = len(items) > 0 && len(items) < manyChanges
	f.dispatch(items, now, f.expiryGraceUntil(now))
	return nil
}

// wait returns how long the store may hold the next watch.
func (f *Follower) wait() time.Duration {
	switch {
	case f.disconnected.Load(), f.role() == Relayed:
		return probeWait
	case f.role() == Relay:
		return relayWatchWait
	default:
		return watchWait
	}
}

// allKeys is the prefix of all keys.
const allKeys = ""

// dispatch passes each change to the handlers of the prefixes that match its key. A change
// takes the place of an earlier one whose value is still to be read.
func (f *Follower) dispatch(items []store.Item, now, expiryGraceUntil time.Time) {
	for _, item := range items {
		delete(f.omitted.pending, item.Key)
	}
	for _, p := range f.Subscriptions {
		if matching := withPrefix(items, p.Prefix); len(matching) > 0 {
			p.Handler.Change(matching, now, expiryGraceUntil)
		}
	}
}

// withPrefix returns the items whose keys have a prefix.
func withPrefix(items []store.Item, prefix string) []store.Item {
	var matching []store.Item
	for _, item := range items {
		if strings.HasPrefix(item.Key, prefix) {
			matching = append(matching, item)
		}
	}
	return matching
}

// readFirst reads the store for the first time: lists that may be stale, which cost little,
// and the changes since. If the store does not have those any more, it lists again.
func (f *Follower) readFirst(ctx context.Context) error {
	lists, from, err := f.listAll(ctx, store.MaybeStale)
	if err != nil {
		return err
	}
	changes, revision, err := f.Store.Watch(ctx, allKeys, from, probeWait)
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored) {
		return f.resync(ctx)
	}
	if err != nil {
		return err
	}
	for i, p := range f.Subscriptions {
		lists[i] = merge(lists[i], withPrefix(changes, p.Prefix))
	}
	f.replace(lists, revision)
	return nil
}

// merge applies changes to a list, which may have some of them already.
func merge(list, changes []store.Item) []store.Item {
	newest := make(map[string]store.Item, len(list))
	for _, items := range [][]store.Item{list, changes} {
		for _, item := range items {
			if known, ok := newest[item.Key]; !ok || item.Revision.After(known.Revision) {
				newest[item.Key] = item
			}
		}
	}
	merged := make([]store.Item, 0, len(newest))
	for _, item := range newest {
		if !item.Removed {
			merged = append(merged, item)
		}
	}
	return merged
}

// resync lists all prefixes. The watch continues from the oldest revision of the
// lists, so that it may repeat changes but misses none.
func (f *Follower) resync(ctx context.Context) error {
	lists, oldest, err := f.listAll(ctx, store.Linearizable)
	if err != nil {
		return err
	}
	f.replace(lists, oldest)
	return nil
}

// replace passes lists of all prefixes to the handlers. revision is the one to watch from.
func (f *Follower) replace(lists [][]store.Item, revision store.Revision) {
	now := time.Now()
	f.recordSuccess(now)
	f.recordEra(revision.Era, now)
	f.readAt, f.behind, f.changed = now, false, false
	f.storeUnreachable.Store(false)
	f.revision.Store(&revision)
	f.recent.reset(revision)
	clear(f.omitted.pending)
	for i, p := range f.Subscriptions {
		p.Handler.Resync(lists[i], now, f.expiryGraceUntil(now))
	}
}

// listAll returns the items of each prefix and the oldest revision of the lists. It
// fails if the store was restored between two lists, or answers from an earlier era
// than it did before.
func (f *Follower) listAll(ctx context.Context, consistency store.Consistency) ([][]store.Item, store.Revision, error) {
	lists := make([][]store.Item, len(f.Subscriptions))
	var oldest store.Revision
	for i, p := range f.Subscriptions {
		items, revision, err := f.Store.List(ctx, p.Prefix, consistency)
		if err != nil {
			return nil, oldest, err
		}
		if i > 0 && revision.Era != oldest.Era || revision.Era < f.Era().Number {
			return nil, oldest, store.ErrRestored
		}
		lists[i] = items
		if i == 0 || oldest.After(revision) {
			oldest = revision
		}
	}
	return lists, oldest, nil
}

// recordEra records the era of a list.
func (f *Follower) recordEra(number uint64, now time.Time) {
	before := f.Era()
	if !before.Since.IsZero() && number == before.Number {
		return
	}
	era := Era{Number: number, Since: now}
	f.era.Store(&era)
	if before.Since.IsZero() {
		f.Log.WithFields(logrus.Fields{"event": "store_read", "era": number}).Info("store read for the first time")
		return
	}
	f.incompleteSince = now
	f.Log.WithFields(logrus.Fields{"event": "store_restored", "era_before": before.Number, "era": number}).Warn("the store was restored from an older copy; its latest changes are lost until their writers repeat them")
}

// expiryGraceUntil returns the end of the grace period after the last outage or
// restore, or zero when it is over.
func (f *Follower) expiryGraceUntil(now time.Time) time.Time {
	until := f.incompleteSince.Add(expiryGrace)
	if f.incompleteSince.IsZero() || !now.Before(until) {
		return time.Time{}
	}
	return until
}

// StoreUnreachable reports whether this instance's own calls to the store fail. It
// is safe for concurrent use.
func (f *Follower) StoreUnreachable() bool { return f.storeUnreachable.Load() }

// Revision returns the revision up to which changes were applied, except large values that
// are still being read. It is safe for concurrent use.
func (f *Follower) Revision() store.Revision {
	if revision := f.revision.Load(); revision != nil {
		return *revision
	}
	return store.Revision{}
}

// Disconnected reports whether no updates arrive, neither from the store nor from
// the relay. It is safe for concurrent use.
func (f *Follower) Disconnected() bool { return f.disconnected.Load() }

func (f *Follower) recordFailure(err error) {
	f.storeUnreachable.Store(true)
	if f.disconnected.Swap(true) {
		return
	}
	f.Log.WithFields(logrus.Fields{"event": "store_lost", "era": f.Revision().Era, "revision": f.Revision().Number}).WithError(err).Warn("store is not reachable; continuing with the last known state")
}

func (f *Follower) recordSuccess(now time.Time) {
	if !f.disconnected.Swap(false) {
		return
	}
	f.incompleteSince = now
	f.Log.WithFields(logrus.Fields{"event": "store_regained"}).Info("store updates resumed")
}
