package entry

import (
	"time"

	"kumquatyard/internal/follow"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

// feedBuffer is the number of batches queued for the follower; a batch that finds the queue
// full is dropped, as a lost datagram would be.
const feedBuffer = 32

// storeRole returns how this instance reads the store at present.
func (i *Instance) storeRole() follow.Role {
	switch i.exchange.Relay(time.Now()) {
	case "":
		return follow.Direct
	case i.Settings.Name:
		if i.follower.StoreUnreachable() {
			return follow.Direct
		}
		return follow.Relay
	default:
		return follow.Relayed
	}
}

// readsStore reports whether this instance reads the store itself.
func (i *Instance) readsStore() bool { return i.storeRole() != follow.Relayed }

// publishChanges relays a batch that this instance read to the zone's other
// instances.
func (i *Instance) publishChanges(b follow.Batch) {
	now := time.Now()
	m := &pb.StoreChanges{From: i.Settings.Name, Era: b.Revision.Era, After: b.After.Number, Revision: b.Revision.Number, AgeUs: now.Sub(b.ReadAt).Microseconds()}
	if !b.ExpiryGraceUntil.IsZero() {
		m.LapseLeftUs = b.ExpiryGraceUntil.Sub(now).Microseconds()
	}
	for _, c := range b.Changes {
		m.Items = append(m.Items, &pb.StoreItem{Key: c.Key, Value: c.Value, ValueOmitted: c.ValueOmitted, Revision: c.Revision.Number, Removed: c.Removed})
	}
	i.relayTime.Store(int64(i.exchange.SendChanges(m)))
}

// relayLinkShare is the fraction of its link that the relay may fill with changes.
const relayLinkShare = 0.5

// relayPause returns the time between two reads of the relay. It is longer after a
// large batch, to keep within relayLinkShare.
func (i *Instance) relayPause() time.Duration {
	return max(watchPauseBase, time.Duration(float64(i.relayTime.Load())/relayLinkShare))
}

const (
	// retryPerInstance is by how much each instance of a zone lengthens the time between two
	// calls of each while the store does not answer, up to maxZoneRetry: the first that gets
	// an answer becomes the relay.
	retryPerInstance = 60 * time.Millisecond
	maxZoneRetry     = 1500 * time.Millisecond
)

// maxStoreRetry returns the longest time between two calls of an instance while the store
// does not answer. Those that would be the relay ask the most often.
func maxStoreRetry(zoneInstances int, isAggregator bool) time.Duration {
	if isAggregator {
		return follow.MinRetry
	}
	return min(max(time.Duration(zoneInstances)*retryPerInstance, follow.MinRetry), maxZoneRetry)
}

// receiveChanges queues a batch relayed by another instance for the follower.
func (i *Instance) receiveChanges(m *pb.StoreChanges, now time.Time) {
	b := follow.Batch{
		After:    store.Revision{Era: m.GetEra(), Number: m.GetAfter()},
		Revision: store.Revision{Era: m.GetEra(), Number: m.GetRevision()},
		ReadAt:   now.Add(-time.Duration(m.GetAgeUs()) * time.Microsecond),
	}
	if left := m.GetLapseLeftUs(); left > 0 {
		b.ExpiryGraceUntil = now.Add(time.Duration(left) * time.Microsecond)
	}
	for _, item := range m.GetItems() {
		b.Changes = append(b.Changes, follow.Change{
			Item: store.Item{
				Key: item.GetKey(), Value: item.GetValue(), Removed: item.GetRemoved(),
				Revision: store.Revision{Era: m.GetEra(), Number: item.GetRevision()},
			},
			ValueOmitted: item.GetValueOmitted(),
		})
	}
	select {
	case i.feed <- b:
	default:
		i.Log.WithField("event", "feed_full").Debug("queue of store changes relayed by other instances is full; dropping changes, which are read from the store later")
	}
}
