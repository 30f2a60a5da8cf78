package usage

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"time"

	"kumquatyard/internal/packed"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	checkpointKey = keyPrefix + "open"
	// checkpointInterval is the time between two checkpoints. If all instances stop at
	// once, at most the counts of this interval are lost.
	checkpointInterval = time.Second
	// checkpointTimeout bounds the write of a checkpoint, so that it does not delay
	// reports.
	checkpointTimeout = 400 * time.Millisecond
	// maxCheckpointBytes bounds a checkpoint after decompression.
	maxCheckpointBytes = 8 << 20
)

// checkpoint returns the counts of all incarnations in window from and later ones.
func (c *Counter) checkpoint(self string, from Window) *pb.UsageCheckpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &pb.UsageCheckpoint{Instances: []*pb.InstanceUsage{instanceUsage(self, c.own, from)}}
	for incarnation, windows := range c.others {
		if u := instanceUsage(incarnation, windows, from); len(u.GetWindows()) > 0 {
			m.Instances = append(m.Instances, u)
		}
	}
	return m
}

// instanceUsage returns a copy of the counts in window from and later ones: the message is encoded
// after the lock of the counts was released.
func instanceUsage(incarnation string, windows map[Window]Counts, from Window) *pb.InstanceUsage {
	u := &pb.InstanceUsage{Incarnation: incarnation}
	for w, counts := range windows {
		if w >= from && len(counts) > 0 {
			u.Windows = append(u.Windows, &pb.UsageWindow{Window: int64(w), Counts: maps.Clone(counts)})
		}
	}
	return u
}

// EncodeWindows converts counts by window to their protobuf form, which shares them: they must not
// change any more.
func EncodeWindows(windows map[Window]Counts) []*pb.UsageWindow {
	list := make([]*pb.UsageWindow, 0, len(windows))
	for w, counts := range windows {
		list = append(list, &pb.UsageWindow{Window: int64(w), Counts: counts})
	}
	return list
}

// DecodeWindows converts counts by window from their protobuf form.
func DecodeWindows(list []*pb.UsageWindow) map[Window]Counts {
	windows := make(map[Window]Counts, len(list))
	for _, w := range list {
		windows[Window(w.GetWindow())] = w.GetCounts()
	}
	return windows
}

// Restore records counts of instances that another one knew. Counts of an incarnation that
// also reports itself are the same or older, and change nothing; those of self, which is
// the incarnation of this process, are ignored.
func (c *Counter) Restore(self string, instances []*pb.InstanceUsage) {
	for _, u := range instances {
		if u.GetIncarnation() == self {
			continue
		}
		c.RecordPeerReport(u.GetIncarnation(), DecodeWindows(u.GetWindows()))
	}
}

// OtherCounts returns the counts of other instances that are known here.
func (c *Counter) OtherCounts() []*pb.InstanceUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*pb.InstanceUsage, 0, len(c.others))
	for incarnation, windows := range c.others {
		list = append(list, instanceUsage(incarnation, windows, 0))
	}
	return list
}

// loadCheckpoint restores the last checkpoint, unless that was done before.
func (r *Reporter) loadCheckpoint(ctx context.Context) error {
	if r.loaded {
		return nil
	}
	item, err := r.Store.Item(ctx, checkpointKey)
	if err != nil {
		return err
	}
	r.loaded = true
	r.Stored.noteEra(item.Revision.Era, r.Now())
	if !item.Exists() {
		return nil
	}
	m, err := decodeCheckpoint(item.Value)
	if err != nil {
		r.Log.WithError(err).WithField("event", "usage_checkpoint").Error("usage checkpoint cannot be decoded; counts of instances that have stopped are lost")
		return nil
	}
	r.Stored.noteEra(m.GetEra(), time.UnixMilli(m.GetEraSinceUnixMs()))
	r.Counter.Restore(r.Incarnation, m.GetInstances())
	return nil
}

func decodeCheckpoint(value []byte) (*pb.UsageCheckpoint, error) {
	var m pb.UsageCheckpoint
	if err := packed.Unmarshal(value, maxCheckpointBytes, &m); err != nil {
		return nil, fmt.Errorf("decode usage checkpoint: %w", err)
	}
	return &m, nil
}

// saveCheckpoint stores the counts of the windows that are not reported yet, if they
// have changed. If the write fails, the next checkpoint replaces it.
func (r *Reporter) saveCheckpoint(ctx context.Context) {
	now := time.Now()
	if now.Sub(r.savedAt) < checkpointInterval {
		return
	}
	m := r.Counter.checkpoint(r.Incarnation, r.next)
	r.noteStoreEra()
	if era, since := r.Stored.latestEra(); era > 0 {
		m.Era, m.EraSinceUnixMs = era, since.UnixMilli()
	}
	value, err := packed.Marshal(m)
	if err != nil {
		r.Log.WithError(err).Error("usage checkpoint cannot be encoded; not storing it")
		return
	}
	if bytes.Equal(value, r.saved) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	r.savedAt = now
	if err := r.Store.Set(ctx, checkpointKey, value, store.Lease{}); err != nil {
		r.Log.WithError(err).WithField("event", "usage_checkpoint").Debug("usage checkpoint not written; retrying with the next one")
		return
	}
	r.saved = value
}
