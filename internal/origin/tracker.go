package origin

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/store"
)

var (
	recordsTotal  = metrics.NewCounter("kumquat_stream_records_written_total")
	knownTotal    = metrics.NewCounter(`kumquat_resumptions_total{origin="known"}`)
	unknownTotal  = metrics.NewCounter(`kumquat_resumptions_total{origin="unknown"}`)
	unstoredTotal = metrics.NewCounter("kumquat_stream_record_failures_total")
)

// Options configures a Tracker.
type Options struct {
	// Store is nil for an instance that knows only its own streams; servers of all versions
	// may then begin streams.
	Store    store.Store
	Snapshot func() *fleet.Snapshot
	// Instances returns the number of entry instances.
	Instances func() int
	// WritesLists reports whether this instance keeps the lists of versions; one that reads
	// the store for its zone does.
	WritesLists func() bool
	// WritesPerSecond is the number of calls that the store takes from all instances
	// together for records of streams; 0 means no limit.
	WritesPerSecond float64
	Log             *logrus.Entry
}

// Tracker knows what began streams. It is safe for concurrent use.
type Tracker struct {
	options  Options
	ledger   ledger
	versions *versions
	writer   writer
	// listsAfter is when lists may be written again; only Run uses it.
	listsAfter time.Time
}

// New returns a Tracker.
func New(o Options) *Tracker {
	return &Tracker{options: o, versions: newVersions(), writer: writer{store: o.Store}}
}

// MayBegin reports whether a server may begin a stream that can be resumed: its version is in
// the store's list.
func (t *Tracker) MayBegin(s *fleet.Server) bool {
	return t.options.Store == nil || t.versions.isListed(s.Pool, s.Version)
}

// Begin records that a stream is about to be sent to a server, which may begin it.
func (t *Tracker) Begin(id string, s *fleet.Server) { t.ledger.begin(id, Of(s)) }

// Adopt records that this instance continues a stream.
func (t *Tracker) Adopt(id string, o Origin) { t.ledger.begin(id, o) }

// Confirm is called before the first event of a stream is forwarded. It returns once no
// instance can take another version for the one that began the stream, and fails if that
// cannot be brought about.
func (t *Tracker) Confirm(ctx context.Context, id string, s *fleet.Server) error {
	o := Of(s)
	if t.ledger.confirm(id, o) {
		return nil
	}
	if t.options.Store != nil {
		if err := t.writer.write(ctx, []Record{{id, o}}, time.Now()); err != nil {
			unstoredTotal.Inc()
			return err
		}
	}
	t.ledger.replace(id, o, time.Now())
	return nil
}

// End records that this instance no longer serves a stream. begun is set if the stream has a
// first event. Whether its caller has received the last one is not known.
func (t *Tracker) End(id string, begun bool) { t.ledger.end(id, begun, time.Now()) }

const (
	// resolveTimeout bounds the question what began a stream, and resolveInterval is the
	// time between two reads of the store for it.
	resolveTimeout  = 600 * time.Millisecond
	resolveInterval = 40 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 250 * time.Millisecond
)

// Resolve returns what began a stream that a caller resumes. pool is the one that has begun it
// if no record says otherwise. It fails with ErrUnknown if nobody knows, and with another
// error if the store does not answer.
func (t *Tracker) Resolve(ctx context.Context, pool, id string) (Origin, error) {
	o, err := t.resolve(ctx, pool, id)
	if err != nil {
		unknownTotal.Inc()
		return o, err
	}
	knownTotal.Inc()
	return o, nil
}

func (t *Tracker) resolve(ctx context.Context, pool, id string) (Origin, error) {
	if o, ok := t.ledger.origin(id); ok {
		return o, nil
	}
	if t.options.Store == nil {
		return Origin{}, ErrUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	unknownAt := time.Now().Add(2*t.interval() + resolveInterval)
	for {
		o, err := t.read(ctx, pool, id)
		if err == nil {
			return o, nil
		}
		if errors.Is(err, ErrUnknown) && (id == "" || time.Now().After(unknownAt)) {
			return Origin{}, err
		}
		select {
		case <-ctx.Done():
			return Origin{}, err
		case <-time.After(resolveInterval):
		}
	}
}

// read reads from the store what began a stream: the pool's only version or, if there may be
// several, the stream's record.
func (t *Tracker) read(ctx context.Context, pool, id string) (Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, ok := t.versions.get(pool).single(); ok || id == "" {
		item, err := t.options.Store.Item(ctx, VersionsPrefix+pool)
		if err != nil {
			return Origin{}, err
		}
		current, err := decodeList(item)
		if err != nil {
			return Origin{}, err
		}
		if version, ok := current.single(); ok {
			return Origin{Pool: pool, Version: version}, nil
		}
	}
	if id == "" {
		return Origin{}, ErrUnknown
	}
	items, _, err := t.options.Store.List(ctx, recordsPrefix(id), store.Linearizable)
	if err != nil {
		return Origin{}, err
	}
	return decodeRecords(items)
}

// Resync implements follow.Handler for VersionsPrefix.
func (t *Tracker) Resync(items []store.Item, now, _ time.Time) {
	lists := make(map[string]list, len(items))
	for _, item := range items {
		if l, ok := t.decode(item); ok {
			lists[strings.TrimPrefix(item.Key, VersionsPrefix)] = l
		}
	}
	t.versions.replaceAll(lists, now)
}

// Change implements follow.Handler for VersionsPrefix.
func (t *Tracker) Change(items []store.Item, now, _ time.Time) {
	for _, item := range items {
		if l, ok := t.decode(item); ok {
			t.versions.set(strings.TrimPrefix(item.Key, VersionsPrefix), l, now)
		}
	}
}

func (t *Tracker) decode(item store.Item) (list, bool) {
	l, err := decodeList(item)
	if err != nil {
		t.options.Log.WithError(err).WithField("event", "versions_unreadable").Warn("the list of a pool's versions cannot be read; keeping the previous one")
		return l, false
	}
	t.options.Log.WithFields(logrus.Fields{
		"event": "versions_listed", "key": item.Key, "versions": strings.Join(l.versions, ","), "retiring": strings.Join(l.retiring, ","), "era": l.era, "revision": l.revision.Number,
	}).Info("the versions that may have begun streams of a pool changed")
	return l, true
}
