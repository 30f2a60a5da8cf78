package follow

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/store"
)

// Role says who reads the store for an instance.
type Role int

const (
	// Direct reads for itself only.
	Direct Role = iota
	// Relay reads for itself and for the other instances of its zone.
	Relay
	// Relayed is told of changes by the instance that reads for the zone.
	Relayed
)

const (
	// readerWait is how long the store may hold a watch of the instance that
	// reads for others; each answer tells them that it reaches the store.
	readerWait = 400 * time.Millisecond
	// feedSilence is the time without news, of a store that answers, after which
	// an instance reads for itself. It leaves time to act on a change within the
	// platform's two seconds.
	feedSilence = 1100 * time.Millisecond
)

// Batch is what one read of the store's changes gave.
type Batch struct {
	// After and Revision bound the changes: all after After up to Revision.
	After    uint64
	Revision uint64
	Changes  []Change
	// ReadAt is when the store answered.
	ReadAt time.Time
	// ExpiryGraceUntil is the end of the time in which removals may be lapses, zero
	// when they are none.
	ExpiryGraceUntil time.Time
}

// Change is a change of an item.
type Change struct {
	store.Item
	// ValueOmitted is set when the value was too large to be sent along.
	ValueOmitted bool
}

func (f *Follower) role() Role {
	if f.Role == nil {
		return Direct
	}
	return f.Role()
}

// publish passes on what this instance read, if it reads for others.
func (f *Follower) publish(after, revision uint64, items []store.Item, now time.Time) {
	b := Batch{After: after, Revision: revision, ReadAt: now, ExpiryGraceUntil: f.lapsedUntil(now)}
	for _, item := range items {
		if f.follows(item.Key) {
			b.Changes = append(b.Changes, Change{Item: item})
		}
	}
	f.recent.add(after, b.Changes)
	if f.role() != Relay || f.Publish == nil {
		return
	}
	if f.ReplayFrom != nil {
		b.After, b.Changes = f.recent.since(f.ReplayFrom(), b)
	}
	f.Publish(b)
}

func (f *Follower) follows(key string) bool {
	for _, p := range f.Subscriptions {
		if strings.HasPrefix(key, p.Prefix) {
			return true
		}
	}
	return false
}

// fed waits for news from the instance that reads for this one. It returns
// false when this instance must read for itself: that instance is silent or
// does not reach the store, or changes between its news and what is known here
// are missing.
func (f *Follower) fed(ctx context.Context) bool {
	if f.revision.Load() == 0 || f.role() != Relayed {
		return false
	}
	patience := time.Until(f.readAt.Add(feedSilence))
	if f.behind {
		patience = 0
	}
	silence := time.NewTimer(patience)
	defer silence.Stop()
	select {
	case <-ctx.Done():
		return true
	case b := <-f.Feed:
		return f.take(ctx, b)
	case <-silence.C:
	}
	select {
	case b := <-f.Feed:
		return f.take(ctx, b)
	default:
		return false
	}
}

// take applies a batch, unless changes before it are missing.
func (f *Follower) take(ctx context.Context, b Batch) bool {
	if b.After > f.revision.Load() {
		f.Log.WithFields(logrus.Fields{"event": "feed_gap", "revision": f.revision.Load(), "after": b.After}).Debug("changes were missed; reading them from the store")
		f.behind = true
		return false
	}
	items, err := f.news(ctx, b)
	if err != nil {
		f.Log.WithError(err).WithFields(logrus.Fields{"event": "feed_incomplete", "revision": f.revision.Load()}).Info("a value is missing; reading the changes from the store")
		f.behind = true
		return false
	}
	now, before := time.Now(), f.revision.Load()
	f.behind = false
	if now.Sub(b.ReadAt) < feedSilence {
		f.succeeded(now)
	}
	if b.ReadAt.After(f.readAt) {
		f.readAt = b.ReadAt
	}
	f.revision.Store(max(f.revision.Load(), b.Revision))
	f.recent.add(before, changesOf(items))
	f.dispatch(items, b.ReadAt, later(f.lapsedUntil(now), b.ExpiryGraceUntil))
	return true
}

// news returns the changes that are not known yet, with all values.
func (f *Follower) news(ctx context.Context, b Batch) ([]store.Item, error) {
	var items []store.Item
	for _, c := range b.Changes {
		if c.Revision <= f.revision.Load() {
			continue
		}
		if c.ValueOmitted {
			item, err := f.Store.Item(ctx, c.Key)
			if err != nil {
				return nil, fmt.Errorf("read %s: %w", c.Key, err)
			}
			if item.Revision == 0 {
				item.Removed, item.Revision = true, c.Revision
			}
			c.Item = item
		}
		items = append(items, c.Item)
	}
	return items, nil
}

func changesOf(items []store.Item) []Change {
	changes := make([]Change, 0, len(items))
	for _, item := range items {
		changes = append(changes, Change{Item: item})
	}
	return changes
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
