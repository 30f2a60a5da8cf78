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
	// takeoverTime is how long a new holder of the duty waits for the others' counts beyond
	// that, until takeoverMargin before ReportDeadline: they learn only now where to send
	// them.
	takeoverTime   = 1200 * time.Millisecond
	takeoverMargin = time.Second
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
// the same counts. If the store was restored and has lost a report, it is repeated from
// Stored; a window that another holder may have reported before the restore is skipped.
type Reporter struct {
	Counter *Counter
	// Stored holds the reports that this process stored or read while it held the duty.
	Stored *Reports
	// StoreEra returns the store's era and when this process first read the store in it,
	// by the corrected time of day: reports that were stored before may be lost. Era 0 is
	// that of a store that is never restored. Nil means era 0.
	StoreEra func() (era uint64, since time.Time)
	Store    store.Store
	Sink     Sink
	// ReportDeadline is the time after a window's end within which its report must
	// arrive.
	ReportDeadline time.Duration
	// AllReported reports whether the counts of all instances arrived within the given
	// time; nil means always.
	AllReported func(within time.Duration) bool
	// Now returns the corrected time of day.
	Now func() time.Time
	Log *logrus.Entry

	// Incarnation is the name under which peers record this process's counts.
	Incarnation string

	next Window
	// takenAt is when this process took the duty.
	takenAt time.Time
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
	r.takenAt = r.Now()
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
		if r.AllReported != nil && !r.AllReported(now.Sub(end)) && now.Before(end.Add(r.ReportDeadline-r.margin(now))) {
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
		if errors.Is(err, errMaybeReported) {
			r.Log.WithFields(logrus.Fields{"event": "usage_skipped", "window": r.next}).WithError(err).Warn("usage of the window is not reported, since it must not be reported twice with different counts")
			r.next++
			continue
		}
		if err != nil {
			r.Log.WithFields(logrus.Fields{"event": "usage_delayed", "window": r.next}).WithError(err).Info("reporting the usage of the window failed; retrying")
			return nil
		}
		r.Log.WithFields(logrus.Fields{"event": "usage_reported", "window": r.next, "fence": fencingToken, "workspaces": len(counts), "requests": counts.sum()}).Info("usage of the window reported")
		r.next++
	}
}

// margin returns how long before ReportDeadline a report is sent even though counts of an
// instance are missing.
func (r *Reporter) margin(now time.Time) time.Duration {
	if now.Sub(r.takenAt) < takeoverTime {
		return takeoverMargin
	}
	return reportMargin
}

// errMaybeReported means that another holder of the duty may have reported a window
// with counts that the store has lost.
var errMaybeReported = errors.New("another holder may have reported the window before the store was restored")

// storedCounts returns the counts of a window from the store. If there are none, it
// stores those of Stored, or else the current ones. It fails with errMaybeReported if
// the window may have been reported with unknown counts.
func (r *Reporter) storedCounts(ctx context.Context, w Window) (Counts, error) {
	key := keyPrefix + strconv.FormatInt(int64(w), 10)
	item, err := r.Store.Item(ctx, key)
	if err != nil {
		return nil, err
	}
	era := item.Revision.Era
	r.Stored.noteEra(era, r.Now())
	r.noteStoreEra()
	counts, known := r.Stored.get(w)
	if item.Exists() {
		return r.readCounts(w, item, counts, known)
	}
	latest, _ := r.Stored.latestEra()
	fields := logrus.Fields{"window": w, "era": era, "latest_era": latest}
	switch {
	case known:
		r.Log.WithFields(fields).WithField("event", "usage_restored").Warn("the store has lost the stored report of the window; storing it again with the same counts")
	case r.maybeReported(w, era):
		return nil, errMaybeReported
	default:
		counts = r.Counter.Total(w)
		r.Log.WithFields(fields).WithField("event", "usage_stored").Debug("the window was not reported in the store's era, nor before it")
	}
	value, err := proto.Marshal(&pb.UsageReport{Window: int64(w), Counts: counts, Era: era})
	if err != nil {
		return nil, fmt.Errorf("encode usage report of window %d: %w", w, err)
	}
	if _, err := r.Store.CompareAndSwap(ctx, store.Put{Key: key, Value: value, Expected: item.Revision}); errors.Is(err, store.ErrConflict) {
		return nil, fmt.Errorf("usage of window %d was already stored by another holder of the duty: %w", w, err)
	} else if err != nil {
		return nil, err
	}
	r.Stored.record(w, counts)
	r.prune(ctx, w)
	return counts, nil
}

// restoreMargin is by how much the corrected clocks of two instances may differ.
const restoreMargin = time.Second

// readCounts returns the counts of a window for which the store has a report. known tells whether
// this process knows the counts of one.
//
// A report that was decided on in an earlier era counts only if it is known: it may have been
// written late, into a store that had lost another report of the window.
func (r *Reporter) readCounts(w Window, item store.Item, counts Counts, known bool) (Counts, error) {
	stored, decidedIn, err := decodeReport(item.Value)
	switch {
	case err != nil:
		return nil, err
	case known:
		return counts, nil
	case decidedIn != 0 && decidedIn != item.Revision.Era:
		return nil, errMaybeReported
	}
	r.Stored.record(w, stored)
	return stored, nil
}

// maybeReported reports whether a window of which the store has no report in an era may have been
// reported in an earlier one: reports are stored collectionTime after the end of their window at
// the earliest. The era is that of the answer without the report, which other parts of this
// process may not have seen yet.
func (r *Reporter) maybeReported(w Window, era uint64) bool {
	if era == 0 {
		return false
	}
	since, ok := r.Stored.eraSince(era)
	return !ok || r.Counter.WindowEnd(w).Add(collectionTime).Before(since.Add(restoreMargin))
}

// noteStoreEra notes the era that StoreEra tells.
func (r *Reporter) noteStoreEra() {
	if r.StoreEra != nil {
		r.Stored.noteEra(r.StoreEra())
	}
}

// sum returns the number of requests of all workspaces.
func (c Counts) sum() int64 {
	total := int64(0)
	for _, n := range c {
		total += n
	}
	return total
}

// decodeReport returns the counts of a stored report, and the store's era in which it was decided
// on; 0 if an earlier build wrote it.
func decodeReport(value []byte) (counts Counts, era uint64, err error) {
	var report pb.UsageReport
	if err := proto.Unmarshal(value, &report); err != nil {
		return nil, 0, fmt.Errorf("decode stored usage report: %w", err)
	}
	counts = report.GetCounts()
	if counts == nil {
		counts = make(Counts)
	}
	return counts, report.GetEra(), nil
}

// prune removes the report that is retainedReports windows older than w.
func (r *Reporter) prune(ctx context.Context, w Window) {
	key := keyPrefix + strconv.FormatInt(int64(w-retainedReports), 10)
	if err := r.Store.Remove(ctx, key); err != nil {
		r.Log.WithError(err).WithField("key", key).Debug("old usage report not removed from the store")
	}
}
