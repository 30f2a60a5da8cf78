package configstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/config"
	"kumquatyard/internal/link"
	pb "kumquatyard/proto/kumquat/v1"
)

var (
	versionGauge  = metrics.NewGauge("kumquat_config_version", nil)
	adoptedTotal  = metrics.NewCounter("kumquat_config_adopted_total")
	rejectedTotal = metrics.NewCounter("kumquat_config_rejected_total")
	behindTotal   = metrics.NewCounter("kumquat_config_store_behind_total")
	pullsTotal    = metrics.NewCounter("kumquat_config_pulls_total")
	collected     = metrics.NewCounter("kumquat_config_blobs_deleted_total")
	watchesTotal  = metrics.NewCounter("kumquat_config_watches_replaced_total")
)

// Options configure a Replica. NewReplica replaces zero durations by defaults.
type Options struct {
	KV     KV
	Caller link.Caller
	// Peers returns the addresses of other agents that may have the configuration.
	Peers func() []string
	Log   *logrus.Entry
	// WatchWait is how long the key-value service may delay the answer to a watch
	// while nothing changes.
	WatchWait time.Duration
	// WatchMargin is the time beyond WatchWait after which a watch without an
	// answer is replaced.
	WatchMargin time.Duration
	// PollEvery is the mean interval at which a Replica that is not a watcher
	// polls the key-value service for changes that no peer announced.
	PollEvery time.Duration
	// PullTimeout bounds a pull from a peer.
	PullTimeout time.Duration
}

func (o *Options) setDefaults() {
	o.WatchWait = orDefault(o.WatchWait, 2*time.Second)
	o.WatchMargin = orDefault(o.WatchMargin, time.Second)
	o.PollEvery = orDefault(o.PollEvery, time.Minute)
	o.PullTimeout = orDefault(o.PullTimeout, time.Second)
	if o.Peers == nil {
		o.Peers = func() []string { return nil }
	}
	if o.Log == nil {
		o.Log = logrus.NewEntry(logrus.StandardLogger())
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// snapshot is one adopted version. It is immutable.
type snapshot struct {
	head   config.Head
	data   []byte
	bodies map[config.Hash][]byte
	config *config.Config
}

var emptySnapshot = &snapshot{config: &config.Config{}}

// Replica holds a process's copy of the configuration and keeps it up to date:
// from peers and, if it is a watcher, by a watch on the key-value service. The
// version it holds never decreases.
type Replica struct {
	options Options
	kv      KV
	parser  Parser
	current atomic.Pointer[snapshot]
	changed chan struct{}
	started atomic.Bool
	watcher atomic.Bool
	// watchSwitch wakes the follow loop when SetWatcher changes the role.
	watchSwitch chan struct{}

	adoptMu sync.Mutex
	// rejected is the largest version that failed validation; it is not tried
	// again.
	rejected atomic.Uint64

	candidates candidates
}

// NewReplica returns a Replica without a configuration; Run obtains one.
func NewReplica(options Options) *Replica {
	options.setDefaults()
	r := &Replica{
		options: options, kv: timedKV{options.KV},
		changed: make(chan struct{}, 1), watchSwitch: make(chan struct{}, 1),
		candidates: newCandidates(),
	}
	r.current.Store(emptySnapshot)
	return r
}

// Run obtains the configuration and follows its changes until ctx is done.
func (r *Replica) Run(ctx context.Context) error {
	r.start(ctx)
	var loops conc.WaitGroup
	loops.Go(func() { r.follow(ctx) })
	loops.Go(func() { r.pullLoop(ctx) })
	loops.Go(func() { r.collectLoop(ctx) })
	loops.Wait()
	return nil
}

// Ready reports whether the Replica has finished its start: it holds a
// configuration, and it has asked the key-value service and peers for a newer
// one.
func (r *Replica) Ready() bool { return r.started.Load() }

// visible returns the snapshot that others may see: the empty one until Ready.
func (r *Replica) visible() *snapshot {
	if !r.started.Load() {
		return emptySnapshot
	}
	return r.current.Load()
}

// Version returns the version in force, or 0 before Ready.
func (r *Replica) Version() uint64 { return r.visible().head.Version }

// Config returns the configuration in force, which is empty at version 0.
func (r *Replica) Config() *config.Config { return r.visible().config }

// known returns the largest version that was adopted or rejected already.
// Versions up to it need not be fetched.
func (r *Replica) known() uint64 {
	return max(r.current.Load().head.Version, r.rejected.Load())
}

// Changed returns a channel that receives a value after the version has
// increased. It supports one receiver, for which several versions may be
// combined into one value.
func (r *Replica) Changed() <-chan struct{} { return r.changed }

// SetWatcher sets whether the Replica keeps a watch on the key-value service.
func (r *Replica) SetWatcher(watcher bool) {
	if r.watcher.Swap(watcher) == watcher {
		return
	}
	select {
	case r.watchSwitch <- struct{}{}:
	default:
	}
}

// Bundle returns the version in force with all its documents.
func (r *Replica) Bundle() *pb.ConfigBundle { return r.visible().bundle(allDocuments) }

func allDocuments(string, config.Hash) bool { return true }

// bundle returns the snapshot's head with the documents for which include
// returns true.
func (s *snapshot) bundle(include func(name string, hash config.Hash) bool) *pb.ConfigBundle {
	bundle := &pb.ConfigBundle{Version: s.head.Version, Head: s.data}
	for name, hash := range s.head.Documents {
		if include(name, hash) {
			bundle.Documents = append(bundle.Documents, &pb.ConfigDocument{Name: name, Hash: string(hash), Body: s.bodies[hash]})
		}
	}
	return bundle
}

// fetchFunc adds to bodies the bodies of head's documents that it lacks.
type fetchFunc func(ctx context.Context, head config.Head, bodies map[config.Hash][]byte) error

// adopt replaces the held version by that of the head in data if it is newer.
// It gets the bodies that it does not hold from fetch and verifies them by their
// hash.
func (r *Replica) adopt(ctx context.Context, data []byte, source string, fetch fetchFunc) error {
	head, err := config.UnmarshalHead(data)
	if err != nil {
		return err
	}
	held := r.current.Load()
	if head.Version <= r.known() {
		return nil
	}
	bodies := make(map[config.Hash][]byte, len(head.Documents))
	for _, hash := range head.Documents {
		if body, ok := held.bodies[hash]; ok {
			bodies[hash] = body
		}
	}
	if err := fetch(ctx, head, bodies); err != nil {
		return err
	}
	if err := verify(head, bodies); err != nil {
		return err
	}
	r.adoptMu.Lock()
	defer r.adoptMu.Unlock()
	if head.Version <= r.known() {
		return nil
	}
	r.install(data, head, bodies, source)
	return nil
}

var errMissing = errors.New("documents are missing or do not match their hash")

// verify returns errMissing unless bodies holds every document of head.
func verify(head config.Head, bodies map[config.Hash][]byte) error {
	for name, hash := range head.Documents {
		if body, ok := bodies[hash]; !ok || config.HashOf(body) != hash {
			return fmt.Errorf("%w: %s", errMissing, name)
		}
	}
	return nil
}

// install validates a complete version and puts it in force. A version that
// fails validation is logged and remembered as rejected.
func (r *Replica) install(data []byte, head config.Head, bodies map[config.Hash][]byte, source string) {
	log := r.options.Log.WithFields(logrus.Fields{"version": head.Version, "source": source})
	built, err := r.parser.build(head, func(hash config.Hash) ([]byte, bool) {
		body, ok := bodies[hash]
		return body, ok
	})
	if err != nil {
		rejectedTotal.Inc()
		r.rejected.Store(head.Version)
		log.WithError(err).Error("configuration failed validation; keeping the previous version")
		return
	}
	r.current.Store(&snapshot{head: head, data: data, bodies: maps.Clone(bodies), config: built})
	adoptedTotal.Inc()
	versionGauge.Set(float64(head.Version))
	log.Info("configuration adopted")
	if r.started.Load() {
		r.notify()
	}
}

// notify sends on the Changed channel unless a value is pending.
func (r *Replica) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}
