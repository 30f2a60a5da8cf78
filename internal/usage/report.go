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
	// collectionTime is the time after a window's end in which its counts may still
	// arrive from peers.
	collectionTime = 2500 * time.Millisecond
	// reportMargin is how long before ReportDeadline a report is sent even though an
	// instance, possibly frozen, has sent no message since the window's end.
	reportMargin = 2500 * time.Millisecond
	// reportInterval is the interval of the checks for windows to report.
	reportInterval = 500 * time.Millisecond
	// retainedReports is the number of windows whose reports stay in the store.
	retainedReports = 30
	keyPrefix       = "kumquat/usage/"
)

// Sink receives the usage reports. Repeating a report with the same counts has
// no effect.
type Sink interface {
	ReportUsage(ctx context.Context, fencingToken uint64, w Window, counts Counts) error
}

// Reporter reports the usage of each window. It writes the counts to the store before
// it sends them, so that a repeated report, also by another holder of the duty, has
// the same counts.
type Reporter struct {
	Counter *Counter
	Store   store.Store
	Sink    Sink
	// ReportDeadline is the time after a window's end within which its report must
	// arrive.
	ReportDeadline time.Duration
	// AllAlive reports whether all instances sent a message within the given time; nil
	// means always.
	AllAlive func(within time.Duration) bool
	// Now returns the corrected time of day.
	Now func() time.Time
	Log *logrus.Entry

	// Incarnation is the name under which peers record this process's counts.
	Incarnation string

	next Window
	// loaded is set once the checkpoint of the previous holder was read.
	loaded bool
	// saved is the last checkpoint that was written, encoded.
	saved   []byte
	savedAt time.Time
}

// Run reports the windows as they end, until ctx is done. check must fail once
// another instance may hold the duty.
func (r *Reporter) Run(ctx context.Context, fencingToken uint64, check func() error) error {
	if oldest := r.Counter.WindowAt(r.Now().Add(-r.ReportDeadline)); oldest > r.next {
		r.next = oldest
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if err := check(); err != nil {
			return err
		}
		if err := r.runOnce(ctx, fencingToken); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// runOnce reports the windows that are due and saves a checkpoint. It fails if
// another instance holds the duty.
func (r *Reporter) runOnce(ctx context.Context, fencingToken uint64) error {
	if err := r.loadCheckpoint(ctx); err != nil {
		r.Log.WithError(err).WithField("event", "usage_checkpoint").Info("usage counts that the previous holder of the duty stored could not be read; retrying")
		return nil
	}
	if err := r.reportDue(ctx, fencingToken); err != nil {
		return err
	}
	r.saveCheckpoint(ctx)
	return nil
}

// reportDue reports the windows that have ended. It fails if another instance holds
// the duty.
func (r *Reporter) reportDue(ctx context.Context, fencingToken uint64) error {
	for {
		now := r.Now()
		end := r.Counter.WindowEnd(r.next)
		if now.Before(end.Add(collectionTime)) {
			return nil
		}
		if r.AllAlive != nil && !r.AllAlive(now.Sub(end)) && now.Before(end.Add(r.ReportDeadline-reportMargin)) {
			return nil
		}
		if now.After(end.Add(r.ReportDeadline)) {
			r.Log.WithFields(logrus.Fields{"event": "usage_missed", "window": r.next}).Warn("usage of the window was not reported before its deadline; skipping the window")
			r.next++
			continue
		}
		counts, err := r.storedCounts(ctx, r.next)
		if err == nil {
			err = r.Sink.ReportUsage(ctx, fencingToken, r.next, counts)
		}
		if errors.Is(err, duty.ErrFenced) {
			return err
		}
		if err != nil {
			r.Log.WithFields(logrus.Fields{"event": "usage_delayed", "window": r.next}).WithError(err).Info("reporting the usage of the window failed; retrying")
			return nil
		}
		r.Log.WithFields(logrus.Fields{"event": "usage_reported", "window": r.next, "fence": fencingToken, "workspaces": len(counts), "requests": counts.sum()}).Info("usage of the window reported")
		r.next++
	}
}

// storedCounts returns the counts of a window from the store. If there are none, it
// stores the current ones.
func (r *Reporter) storedCounts(ctx context.Context, w Window) (Counts, error) {
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
		return nil, fmt.Errorf("encode usage report of window %d: %w", w, err)
	}
	if _, err := r.Store.CompareAndSwap(ctx, store.Put{Key: key, Value: value}); errors.Is(err, store.ErrConflict) {
		return nil, fmt.Errorf("usage of window %d was already stored by another holder of the duty: %w", w, err)
	} else if err != nil {
		return nil, err
	}
	r.prune(ctx, w)
	return counts, nil
}

// sum returns the number of requests of all workspaces.
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
		return nil, fmt.Errorf("decode stored usage report: %w", err)
	}
	counts := Counts(report.GetCounts())
	if counts == nil {
		counts = make(Counts)
	}
	return counts, nil
}

// prune removes the report that is retainedReports windows older than w.
func (r *Reporter) prune(ctx context.Context, w Window) {
	key := keyPrefix + strconv.FormatInt(int64(w-retainedReports), 10)
	if err := r.Store.Remove(ctx, key); err != nil {
		r.Log.WithError(err).WithField("key", key).Debug("old usage report not removed from the store")
	}
}
