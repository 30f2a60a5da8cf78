package usage

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/duty"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// settleTime is how long after a window's end its counts may still come in.
	settleTime = 2500 * time.Millisecond
	// lastMoment is how long before it is due a report is sent although an
	// instance has not been heard since the window's end: it may be frozen.
	lastMoment = 2500 * time.Millisecond
	// reportInterval is the time between looks for windows to report.
	reportInterval = 500 * time.Millisecond
	// keptReports is the number of windows whose reports stay in the store.
	keptReports = 30
	keyPrefix   = "kumquat/usage/"
)

// Destination takes the report of a window; an exact repeat does no harm.
type Destination interface {
	ReportUsage(ctx context.Context, fence uint64, w Window, counts Counts) error
}

// Reporter reports each window once. The counts are created in the store
// before they are sent, so that a repeat, also by another holder of the
// duty, sends the same.
type Reporter struct {
	Counter     *Counter
	Store       store.Store
	Destination Destination
	// ReportDeadline is how long after a window's end its report counts.
	ReportDeadline time.Duration
	// AllAlive reports whether all instances were heard in the time ago; nil is always.
	AllAlive func(ago time.Duration) bool
	// Now tells the corrected time of day.
	Now func() time.Time
	Log *logrus.Entry

	// Incarnation names this incarnation of this instance as the others know it.
	Incarnation string

	next Window
	// loaded is set once the former holder's counts are restored.
	loaded bool
	// saved is the last checkpoint, encoded.
	saved   []byte
	savedAt time.Time
}

// Run reports until ctx is done. check fails once the duty may be another's.
func (r *Reporter) Run(ctx context.Context, fence uint64, check func() error) error {
	if oldest := r.Counter.WindowAt(r.Now().Add(-r.ReportDeadline)); oldest > r.next {
		r.next = oldest
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if err := check(); err != nil {
			return err
		}
		if err := r.round(ctx, fence); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// round reports what is due. It fails when the duty is another's.
func (r *Reporter) round(ctx context.Context, fence uint64) error {
	if err := r.load(ctx); err != nil {
		r.Log.WithError(err).WithField("event", "usage_checkpoint").Info("the former holder's counts cannot be read yet")
		return nil
	}
	if err := r.reportDue(ctx, fence); err != nil {
		return err
	}
	r.save(ctx)
	return nil
}

// reportDue reports the windows that ended. It fails when the duty is another's.
func (r *Reporter) reportDue(ctx context.Context, fence uint64) error {
	for {
		now := r.Now()
		end := r.Counter.WindowEnd(r.next)
		if now.Before(end.Add(settleTime)) {
			return nil
		}
		if r.AllAlive != nil && !r.AllAlive(now.Sub(end)) && now.Before(end.Add(r.ReportDeadline-lastMoment)) {
			return nil
		}
		if now.After(end.Add(r.ReportDeadline)) {
			r.Log.WithFields(logrus.Fields{"event": "usage_missed", "window": r.next}).Warn("the window could not be reported in time")
			r.next++
			continue
		}
		counts, err := r.fix(ctx, r.next)
		if err == nil {
			err = r.Destination.ReportUsage(ctx, fence, r.next, counts)
		}
		if errors.Is(err, duty.ErrFenced) {
			return err
		}
		if err != nil {
			r.Log.WithFields(logrus.Fields{"event": "usage_delayed", "window": r.next}).WithError(err).Info("the report is tried again")
			return nil
		}
		r.Log.WithFields(logrus.Fields{"event": "usage_reported", "window": r.next, "fence": fence, "workspaces": len(counts), "requests": counts.sum()}).Info("usage reported")
		r.next++
	}
}

// fix returns the counts of a window as stored, after storing them if no one has.
func (r *Reporter) fix(ctx context.Context, w Window) (Counts, error) {
	key := keyPrefix + strconv.FormatInt(int64(w), 10)
	item, err := r.Store.Item(ctx, key)
	if err != nil {
		return nil, err
	}
	if item.Revision != 0 {
		return decodeReport(item.Value)
	}
	counts := r.Counter.Total(w)
	value, err := proto.Marshal(&pb.UsageReport{Window: int64(w), Counts: counts})
	if err != nil {
		return nil, fmt.Errorf("encode the report of window %d: %w", w, err)
	}
	if _, err := r.Store.CompareAndSwap(ctx, store.Put{Key: key, Value: value}); errors.Is(err, store.ErrConflict) {
		return nil, fmt.Errorf("window %d was stored by another holder: %w", w, err)
	} else if err != nil {
		return nil, err
	}
	r.prune(ctx, w)
	return counts, nil
}

// sum is the number of requests of all workspaces.
func (c Counts) sum() int64 {
	total := int64(0)
	for _, n := range c {
		total += n
	}
	return total
}

func decodeReport(value []byte) (Counts, error) {
	var report pb.UsageReport
	if err := proto.Unmarshal(value, &report); err != nil {
		return nil, fmt.Errorf("stored report: %w", err)
	}
	counts := Counts(report.GetCounts())
	if counts == nil {
		counts = make(Counts)
	}
	return counts, nil
}

// prune removes a report that is past all use.
func (r *Reporter) prune(ctx context.Context, w Window) {
	key := keyPrefix + strconv.FormatInt(int64(w-keptReports), 10)
	if err := r.Store.Remove(ctx, key); err != nil {
		r.Log.WithError(err).WithField("key", key).Debug("old report not removed")
	}
}
