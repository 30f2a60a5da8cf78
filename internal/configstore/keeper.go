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

// Options are what a Keeper works with.
type Options struct {
	KV     KV
	Caller link.Caller
	// Peers returns the addresses of other agents that may hold the configuration.
	Peers func() []string
	Log   *logrus.Entry
	// WatchWait is the longest time a watch waits in the key-value service.
	WatchWait time.Duration
	// WatchMargin is the time over WatchWait after which a watch counts as silent.
	WatchMargin time.Duration
	// PollEvery is the mean interval at which a Keeper without a watch looks
	// for changes that no peer told it of.
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

// snapshot is one adopted version, never changed.
type snapshot struct {
	head   config.Head
	data   []byte
	bodies map[config.Hash][]byte
	config *config.Config
}

var noSnapshot = &snapshot{config: &config.Config{}}

// Replica holds the newest configuration that it knows of and follows it: by a
// watch on the key-value service when it is a watcher, and from peers. The
// version it holds only grows.
type Replica struct {
	options Options
	kv      KV
	parser  Parser
	current atomic.Pointer[snapshot]
	changed chan struct{}
	started atomic.Bool
	watcher atomic.Bool
	// watchSwitch wakes the watch loop after SetWatcher.
	watchSwitch chan struct{}

	adoptMu sync.Mutex
	// rejected is the largest version that failed the checks; it is not tried again.
	rejected atomic.Uint64

	candidates candidates
}

// NewReplica returns a Keeper that holds nothing yet.
func NewReplica(options Options) *Replica {
	options.setDefaults()
	k := &Replica{
		options: options, kv: timedKV{options.KV},
		changed: make(chan struct{}, 1), watchSwitch: make(chan struct{}, 1),
		candidates: newCandidates(),
	}
	k.current.Store(noSnapshot)
	return k
}

// Run follows the configuration until ctx is done.
func (k *Replica) Run(ctx context.Context) error {
	k.start(ctx)
	var loops conc.WaitGroup
	loops.Go(func() { k.follow(ctx) })
	loops.Go(func() { k.pullLoop(ctx) })
	loops.Go(func() { k.collectLoop(ctx) })
	loops.Wait()
	return nil
}

// Ready reports whether the Keeper holds a configuration and has looked for a
// newer one since it started.
func (k *Replica) Ready() bool { return k.started.Load() }

// visible returns what others may see: nothing until the first round of
// looking for the greatest version is over.
func (k *Replica) visible() *snapshot {
	if !k.started.Load() {
		return noSnapshot
	}
	return k.current.Load()
}

// Version returns the version in force, 0 when there is none.
func (k *Replica) Version() uint64 { return k.visible().head.Version }

// Config returns the configuration in force; it is empty at version 0.
func (k *Replica) Config() *config.Config { return k.visible().config }

// known returns the largest version that needs no look at: the one held, or a
// larger one that failed the checks.
func (k *Replica) known() uint64 {
	return max(k.current.Load().head.Version, k.rejected.Load())
}

// Changed receives a value after the version grew. It is meant for one
// receiver, which may see several versions as one change.
func (k *Replica) Changed() <-chan struct{} { return k.changed }

// SetWatcher says whether this Keeper holds a watch on the key-value service.
func (k *Replica) SetWatcher(watcher bool) {
	if k.watcher.Swap(watcher) == watcher {
		return
	}
	select {
	case k.watchSwitch <- struct{}{}:
	default:
	}
}

// Bundle returns the version in force with all its documents.
func (k *Replica) Bundle() *pb.ConfigBundle { return k.visible().bundle(everyDocument) }

func everyDocument(string, config.Hash) bool { return true }

func (s *snapshot) bundle(wanted func(name string, hash config.Hash) bool) *pb.ConfigBundle {
	bundle := &pb.ConfigBundle{Version: s.head.Version, Head: s.data}
	for name, hash := range s.head.Documents {
		if wanted(name, hash) {
			bundle.Documents = append(bundle.Documents, &pb.ConfigDocument{Name: name, Hash: string(hash), Body: s.bodies[hash]})
		}
	}
	return bundle
}

// fetchFunc adds the bodies of head's documents that bodies lacks.
type fetchFunc func(ctx context.Context, head config.Head, bodies map[config.Hash][]byte) error

// adopt moves to the head in data unless it is older than what is held. The
// bodies that are not held yet come from fetch and are verified by their hash.
func (k *Replica) adopt(ctx context.Context, data []byte, source string, fetch fetchFunc) error {
	head, err := config.UnmarshalHead(data)
	if err != nil {
		return err
	}
	held := k.current.Load()
	if head.Version <= k.known() {
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
	k.adoptMu.Lock()
	defer k.adoptMu.Unlock()
	if head.Version <= k.known() {
		return nil
	}
	k.install(data, head, bodies, source)
	return nil
}

var errMissing = errors.New("documents are missing or damaged")

func verify(head config.Head, bodies map[config.Hash][]byte) error {
	for name, hash := range head.Documents {
		if body, ok := bodies[hash]; !ok || config.HashOf(body) != hash {
			return fmt.Errorf("%w: %s", errMissing, name)
		}
	}
	return nil
}

func (k *Replica) install(data []byte, head config.Head, bodies map[config.Hash][]byte, source string) {
	log := k.options.Log.WithFields(logrus.Fields{"version": head.Version, "source": source})
	built, err := k.parser.build(head, func(hash config.Hash) ([]byte, bool) {
		body, ok := bodies[hash]
		return body, ok
	})
	if err != nil {
		rejectedTotal.Inc()
		k.rejected.Store(head.Version)
		log.WithError(err).Error("configuration does not pass the checks; the old one stays in force")
		return
	}
	k.current.Store(&snapshot{head: head, data: data, bodies: maps.Clone(bodies), config: built})
	adoptedTotal.Inc()
	versionGauge.Set(float64(head.Version))
	log.Info("configuration adopted")
	if k.started.Load() {
		k.notify()
	}
}

func (k *Replica) notify() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}
