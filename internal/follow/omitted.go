package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/store"
)

// omittedValues are the values that relayed batches leave out. They are read from the store
// beside the batches, so that a large value does not delay the small changes behind it.
type omittedValues struct {
	// pending holds, by key, the revision of the last change whose value is missing.
	pending map[string]store.Revision
	// reading holds, by key, the revision for which it is being read.
	reading map[string]store.Revision
	// read delivers the items that were read.
	read    chan store.Item
	readers conc.WaitGroup
}

// readOmitted starts to read the value of a change.
func (f *Follower) readOmitted(ctx context.Context, c Change) {
	if f.omitted.pending == nil {
		f.omitted.pending, f.omitted.reading, f.omitted.read = make(map[string]store.Revision), make(map[string]store.Revision), make(chan store.Item)
	}
	f.omitted.pending[c.Key] = c.Revision
	if _, reading := f.omitted.reading[c.Key]; reading {
		return
	}
	f.omitted.reading[c.Key] = c.Revision
	f.omitted.readers.Go(func() { f.readItem(ctx, c.Key, c.Revision) })
}

// errOlder means that the store returned an item as it was before a change.
var errOlder = errors.New("the store returned an earlier revision of the item")

// isOlder reports whether a revision that was read is from before a change. A key that does
// not exist any more has the revision 0.
func isOlder(read, change store.Revision) bool {
	return read.Era < change.Era || !read.IsZero() && change.After(read)
}

// readItem reads an item until the store returns it, no older than a revision.
func (f *Follower) readItem(ctx context.Context, key string, revision store.Revision) {
	retry := newRetry()
	for first := true; ctx.Err() == nil; first = false {
		item, err := f.Store.Item(ctx, key)
		if err == nil && isOlder(item.Revision, revision) {
			err = fmt.Errorf("%w: %+v", errOlder, item.Revision)
		}
		if err == nil {
			select {
			case f.omitted.read <- item:
			case <-ctx.Done():
			}
			return
		}
		if first {
			f.Log.WithError(err).WithFields(logrus.Fields{"event": "value_unread", "key": key, "era": revision.Era, "revision": revision.Number}).Info("value that a relayed store change omits could not be read; trying again")
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// applyRead applies an item that was read for a change whose value was omitted, unless a
// later change of the key was applied meanwhile.
func (f *Follower) applyRead(ctx context.Context, item store.Item) {
	begun := f.omitted.reading[item.Key]
	delete(f.omitted.reading, item.Key)
	revision, wanted := f.omitted.pending[item.Key]
	switch {
	case !wanted:
		return
	case item.Revision.Era > revision.Era:
		f.Log.WithFields(logrus.Fields{"event": "value_of_later_era", "key": item.Key, "era": item.Revision.Era, "era_before": revision.Era}).Info("value that a relayed store change omits is of a later era; reading the changes from the store")
		f.behind = true
		return
	case revision != begun && revision.After(item.Revision):
		f.readOmitted(ctx, Change{Item: store.Item{Key: item.Key, Revision: revision}})
		return
	}
	if item.Revision.IsZero() {
		item.Removed, item.Revision = true, revision
	}
	now := time.Now()
	f.Log.WithFields(logrus.Fields{"event": "value_read", "key": item.Key, "revision": item.Revision.Number, "bytes": len(item.Value)}).Debug("value that a relayed store change omits was read")
	f.dispatch([]store.Item{item}, now, f.expiryGraceUntil(now))
}

// applyReads applies the items that were read, without waiting for others.
func (f *Follower) applyReads(ctx context.Context) {
	for {
		select {
		case item := <-f.omitted.read:
			f.applyRead(ctx, item)
		default:
			return
		}
	}
}

func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryFirst, MinRetry
	return retry
}
