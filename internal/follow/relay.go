package follow

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/store"
)

// Role says how an instance reads the store.
type Role int

const (
	// Direct reads the store for itself only.
	Direct Role = iota
	// Relay reads the store and relays the changes to the other instances of its
	// zone.
	Relay
	// Relayed receives the changes from the zone's relay.
	Relayed
)

const (
	// relayWatchWait is how long the store may hold a watch of the relay. Every
	// answer, also an empty one, shows the relayed instances that the relay
	// reaches the store.
	relayWatchWait = 400 * time.Millisecond
	// relayTimeout is how old the last relayed answer of the store may be before a
	// relayed instance reads the store itself. It leaves time to act on a change
	// within the platform's two seconds.
	relayTimeout = 1100 * time.Millisecond
)

// Batch is the result of one read of the store's changes.
type Batch struct {
	// Changes holds all changes after revision After up to and including Revision, which
	// are of the same era.
	After    store.Revision
	Revision store.Revision
	Changes  []Change
	// ReadAt is when the store answered.
	ReadAt time.Time
	// ExpiryGraceUntil is the end of the period in which removals may be lease
	// expiries caused by a store outage; zero outside of such a period.
	ExpiryGraceUntil time.Time
}

// Change is a change of an item.
type Change struct {
	store.Item
	// ValueOmitted is set when the value was too large to be relayed.
	ValueOmitted bool
}

func (f *Follower) role() Role {
	if f.Role == nil {
		return Direct
	}
	return f.Role()
}

// publish records the changes that this instance read and, if it is the relay,
// sends them to the zone.
func (f *Follower) publish(after, revision store.Revision, items []store.Item, now time.Time) {
	b := Batch{After: after, Revision: revision, ReadAt: now, ExpiryGraceUntil: f.expiryGraceUntil(now)}
	for _, item := range items {
		if f.subscribed(item.Key) {
			b.Changes = append(b.Changes, Change{Item: item})
		}
	}
	f.recent.add(after, b.Changes)
	if f.role() != Relay || f.Publish == nil {
		return
	}
	if f.ReplayFrom != nil {
		b.After, b.Changes = f.recent.since(f.ReplayFrom(revision.Era), b)
	}
	f.Publish(b)
}

func (f *Follower) subscribed(key string) bool {
	for _, p := range f.Subscriptions {
		if strings.HasPrefix(key, p.Prefix) {
			return true
		}
	}
	return false
}

// awaitRelay waits for a relayed batch and applies it. It returns false when this
// instance must read the store itself: the relay sends nothing or does not reach the
// store, or changes between the last known revision and the batch are missing.
func (f *Follower) awaitRelay(ctx context.Context) bool {
	if f.Revision().IsZero() || f.role() != Relayed {
		return false
	}
	remaining := time.Until(f.readAt.Add(relayTimeout))
	if f.behind {
		remaining = 0
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return true
	case b := <-f.Feed:
		return f.applyBatch(ctx, b)
	case item := <-f.omitted.read:
		f.applyRead(ctx, item)
		return true
	case <-timer.C:
	}
	select {
	case b := <-f.Feed:
		return f.applyBatch(ctx, b)
	default:
		return false
	}
}

// applyBatch applies a batch, except values that it omits, which are read beside it; it
// ignores a batch of an earlier era. It returns false when changes before the batch are
// missing, as they are when the store was restored.
func (f *Follower) applyBatch(ctx context.Context, b Batch) bool {
	known := f.Revision()
	if b.Revision.Era < known.Era {
		return true
	}
	if b.After.After(known) {
		f.Log.WithFields(logrus.Fields{"event": "feed_gap", "era": known.Era, "revision": known.Number, "after_era": b.After.Era, "after": b.After.Number}).Debug("store changes relayed by another instance were missed; reading them from the store")
		f.behind = true
		return false
	}
	now := time.Now()
	f.behind = false
	if now.Sub(b.ReadAt) < relayTimeout {
		f.recordSuccess(now)
	}
	if b.ReadAt.After(f.readAt) {
		f.readAt = b.ReadAt
	}
	if b.Revision.After(known) {
		f.revision.Store(&b.Revision)
	}
	unseen := changesAfter(b.Changes, known)
	f.recent.add(known, unseen)
	f.dispatch(withValues(unseen), b.ReadAt, later(f.expiryGraceUntil(now), b.ExpiryGraceUntil))
	for _, c := range lastOmitted(unseen) {
		f.readOmitted(ctx, c)
	}
	return true
}

// changesAfter returns the changes after a revision.
func changesAfter(changes []Change, known store.Revision) []Change {
	var after []Change
	for _, c := range changes {
		if c.Revision.After(known) {
			after = append(after, c)
		}
	}
	return after
}

// withValues returns the changes whose values are not omitted.
func withValues(changes []Change) []store.Item {
	var items []store.Item
	for _, c := range changes {
		if !c.ValueOmitted {
			items = append(items, c.Item)
		}
	}
	return items
}

// lastOmitted returns the changes whose values are omitted and that are the last of their
// keys.
func lastOmitted(changes []Change) map[string]Change {
	omitted := make(map[string]Change)
	for _, c := range changes {
		if delete(omitted, c.Key); c.ValueOmitted {
			omitted[c.Key] = c
		}
	}
	return omitted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
