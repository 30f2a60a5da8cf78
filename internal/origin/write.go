package origin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/store"
)

const (
	// minInterval is the least time between two writes of records.
	minInterval = 100 * time.Millisecond
	// writeTimeout bounds one write, and conflictDelay is the time until a list is written
	// again that another instance has just written.
	writeTimeout  = 500 * time.Millisecond
	conflictDelay = 300 * time.Millisecond
	// observeInterval is how often the servers' versions are noted while nothing changes.
	observeInterval = time.Second
)

// interval returns the time between two writes of records of this instance.
func (t *Tracker) interval() time.Duration {
	if t.options.WritesPerSecond <= 0 {
		return minInterval
	}
	shared := float64(t.options.Instances()) / t.options.WritesPerSecond
	return max(minInterval, time.Duration(shared*float64(time.Second)))
}

// Run keeps the lists of versions and the records of streams in the store until ctx is done.
// era returns the store's era.
func (t *Tracker) Run(ctx context.Context, era func() uint64) {
	var observed *fleet.Snapshot
	var observedAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		snapshot := t.options.Snapshot()
		if snapshot != nil && (snapshot != observed || now.Sub(observedAt) >= observeInterval) {
			t.versions.observe(snapshot, era(), now)
			t.ledger.expire(now)
			observed, observedAt = snapshot, now
		}
		if snapshot != nil {
			t.writeLists(ctx, snapshot.Config.ResumablePools(), now)
			t.writeRecords(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(t.interval()):
		}
	}
}

// writeLists writes the lists that have to change.
func (t *Tracker) writeLists(ctx context.Context, pools []string, now time.Time) {
	if !t.options.WritesLists() || now.Before(t.listsAfter) {
		return
	}
	for _, c := range t.versions.changes(pools, now) {
		if err := t.writeList(ctx, c); err != nil {
			t.listsAfter = time.Now().Add(conflictDelay)
			if !errors.Is(err, store.ErrConflict) {
				t.options.Log.WithError(err).WithFields(logrus.Fields{"event": "versions_unwritten", "pool": c.pool}).Info("the list of a pool's versions could not be written; writing it again")
			}
			return
		}
	}
}

func (t *Tracker) writeList(ctx context.Context, c change) error {
	value, err := encodeList(c.list)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, err := t.options.Store.CompareAndSwap(ctx, store.Put{Key: VersionsPrefix + c.pool, Value: value, Expected: c.expected})
	if err != nil {
		return err
	}
	c.list.revision = revision
	t.versions.set(c.pool, c.list, time.Now())
	return nil
}

// writeRecords writes the records that the store lacks, of pools that may have streams of
// several versions.
func (t *Tracker) writeRecords(ctx context.Context) {
	needsRecord := func(pool string) bool {
		_, ok := t.versions.get(pool).single()
		return !ok
	}
	if !t.anyNeedsRecord(needsRecord) {
		return
	}
	for ctx.Err() == nil {
		records := t.ledger.due(needsRecord, store.MaxSetAll, time.Now())
		if len(records) == 0 {
			return
		}
		if err := t.writer.write(ctx, records, time.Now()); err != nil {
			unstoredTotal.Inc()
			t.options.Log.WithError(err).WithFields(logrus.Fields{"event": "records_unwritten", "records": len(records)}).Debug("records of streams could not be written; writing them again")
			return
		}
		t.ledger.recorded(records, time.Now())
		recordsTotal.Add(len(records))
		if len(records) < store.MaxSetAll {
			return
		}
	}
}

func (t *Tracker) anyNeedsRecord(needsRecord func(string) bool) bool {
	for _, pool := range t.options.Snapshot().Config.ResumablePools() {
		if needsRecord(pool) {
			return true
		}
	}
	return false
}

// writer writes records under leases of its own, which end some time after the streams.
type writer struct {
	store store.Store

	mu       sync.Mutex
	lease    store.Lease
	leasedAt time.Time
}

// write writes records.
func (w *writer) write(ctx context.Context, records []Record, now time.Time) error {
	values, err := encodeAll(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	lease, err := w.currentLease(ctx, now)
	if err != nil {
		return err
	}
	err = w.store.SetAll(ctx, values, lease)
	if errors.Is(err, store.ErrLeaseExpired) {
		w.dropLease(lease)
	}
	return err
}

// currentLease returns a lease that lasts for a while.
func (w *writer) currentLease(ctx context.Context, now time.Time) (store.Lease, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lease.IsZero() && now.Sub(w.leasedAt) < leaseAge {
		return w.lease, nil
	}
	lease, err := w.store.CreateLease(ctx, recordTTL)
	if err != nil {
		return store.Lease{}, err
	}
	w.lease, w.leasedAt = lease, now
	return lease, nil
}

func (w *writer) dropLease(lease store.Lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease == lease {
		w.lease = store.Lease{}
	}
}
