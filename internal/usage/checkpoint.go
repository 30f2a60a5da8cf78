package usage

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"kumquatyard/internal/packed"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	checkpointKey = keyPrefix + "open"
	// checkpointInterval is the time between two checkpoints: at most this much
	// of the counts is lost when all instances end at once.
	checkpointInterval = time.Second
	// checkpointTimeout bounds one write, so that reports are not held up.
	checkpointTimeout = 400 * time.Millisecond
	// maxCheckpointBytes bounds a checkpoint after decompression.
	maxCheckpointBytes = 8 << 20
)

// checkpoint returns the counts of all incarnations from a window on.
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

func instanceUsage(incarnation string, windows map[Window]Counts, from Window) *pb.InstanceUsage {
	u := &pb.InstanceUsage{Incarnation: incarnation}
	for _, w := range EncodeWindows(windows) {
		if Window(w.GetWindow()) >= from && len(w.GetCounts()) > 0 {
			u.Windows = append(u.Windows, w)
		}
	}
	return u
}

// EncodeWindows returns the counts of windows as a message's field.
func EncodeWindows(windows map[Window]Counts) []*pb.UsageWindow {
	list := make([]*pb.UsageWindow, 0, len(windows))
	for w, counts := range windows {
		list = append(list, &pb.UsageWindow{Window: int64(w), Counts: counts})
	}
	return list
}

// DecodeWindows returns the counts that a message's field holds.
func DecodeWindows(list []*pb.UsageWindow) map[Window]Counts {
	windows := make(map[Window]Counts, len(list))
	for _, w := range list {
		windows[Window(w.GetWindow())] = w.GetCounts()
	}
	return windows
}

// restore takes the counts that a former holder of the duty stored. Those of an
// incarnation that is heard itself are the same or older, and change nothing.
func (c *Counter) restore(self string, m *pb.UsageCheckpoint) {
	for _, u := range m.GetInstances() {
		if u.GetIncarnation() == self {
			continue
		}
		c.RecordPeerReport(u.GetIncarnation(), DecodeWindows(u.GetWindows()))
	}
}

// load restores the last checkpoint, once.
func (r *Reporter) load(ctx context.Context) error {
	if r.loaded {
		return nil
	}
	item, err := r.Store.Item(ctx, checkpointKey)
	if err != nil {
		return err
	}
	r.loaded = true
	if item.Revision == 0 {
		return nil
	}
	m, err := decodeCheckpoint(item.Value)
	if err != nil {
		r.Log.WithError(err).WithField("event", "usage_checkpoint").Error("the stored counts cannot be read; what instances that ended have counted is lost")
		return nil
	}
	r.Counter.restore(r.Incarnation, m)
	return nil
}

func decodeCheckpoint(value []byte) (*pb.UsageCheckpoint, error) {
	var m pb.UsageCheckpoint
	if err := packed.Unmarshal(value, maxCheckpointBytes, &m); err != nil {
		return nil, fmt.Errorf("checkpoint of usage: %w", err)
	}
	return &m, nil
}

// save stores the counts of the windows that are not reported yet, when they
// have changed. A save that fails is made up for by the next.
func (r *Reporter) save(ctx context.Context) {
	now := time.Now()
	if now.Sub(r.savedAt) < checkpointInterval {
		return
	}
	value, err := packed.Marshal(r.Counter.checkpoint(r.Incarnation, r.next))
	if err != nil {
		r.Log.WithError(err).Error("counts of usage cannot be encoded")
		return
	}
	if bytes.Equal(value, r.saved) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	r.savedAt = now
	if err := r.Store.Set(ctx, checkpointKey, value, 0); err != nil {
		r.Log.WithError(err).WithField("event", "usage_checkpoint").Debug("counts not stored; the next time again")
		return
	}
	r.saved = value
}
