package entry

import (
	"time"

	"kumquatyard/internal/follow"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// maxFedBytes bounds the values that are sent along in one datagram; what does
	// not fit is read from the store by each instance.
	maxFedBytes = 48 << 10
	// feedBuffer is the number of batches that may wait for the follower; a full
	// buffer is like a lost datagram.
	feedBuffer = 32
)

// storeRole says who reads the store for this instance.
func (i *Instance) storeRole() follow.Role {
	fit := !i.stopping.Load() && !i.follower.StoreUnreachable()
	switch i.exchange.Relay(fit, time.Now()) {
	case "":
		return follow.Direct
	case i.Settings.Name:
		return follow.Relay
	default:
		return follow.Relayed
	}
}

// publishChanges passes on what this instance read of the store.
func (i *Instance) publishChanges(b follow.Batch) {
	now := time.Now()
	m := &pb.StoreChanges{From: i.Settings.Name, After: b.After, Revision: b.Revision, AgeUs: now.Sub(b.ReadAt).Microseconds()}
	if !b.ExpiryGraceUntil.IsZero() {
		m.LapseLeftUs = b.ExpiryGraceUntil.Sub(now).Microseconds()
	}
	room := maxFedBytes
	for _, c := range b.Changes {
		item := &pb.StoreItem{Key: c.Key, Value: c.Value, Revision: c.Revision, Removed: c.Removed}
		if len(c.Value) > room {
			item.Value, item.ValueOmitted = nil, true
		}
		room -= len(item.Value)
		m.Items = append(m.Items, item)
	}
	i.fedBytes.Store(int64(i.exchange.SendChanges(m)))
}

// feedBytesPerSecond bounds what passing changes on takes of the link: half of
// one of 10 Mbit/s.
const feedBytesPerSecond = 600 << 10

// feedPause is the time between two reads for the zone: longer after a batch that
// filled the link.
func (i *Instance) feedPause() time.Duration {
	sending := time.Duration(i.fedBytes.Load()) * time.Second / feedBytesPerSecond
	return max(watchPauseBase, sending)
}

// takeChanges hands what another instance read to the follower.
func (i *Instance) takeChanges(m *pb.StoreChanges, now time.Time) {
	b := follow.Batch{
		After: m.GetAfter(), Revision: m.GetRevision(),
		ReadAt: now.Add(-time.Duration(m.GetAgeUs()) * time.Microsecond),
	}
	if left := m.GetLapseLeftUs(); left > 0 {
		b.ExpiryGraceUntil = now.Add(time.Duration(left) * time.Microsecond)
	}
	for _, item := range m.GetItems() {
		b.Changes = append(b.Changes, follow.Change{
			Item:         store.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Removed: item.GetRemoved()},
			ValueOmitted: item.GetValueOmitted(),
		})
	}
	select {
	case i.feed <- b:
	default:
		i.Log.WithField("event", "feed_full").Debug("changes passed on by another instance were dropped")
	}
}
