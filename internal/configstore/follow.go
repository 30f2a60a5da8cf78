package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/config"
)

const (
	minWatchRetryDelay = 100 * time.Millisecond
	maxWatchRetryDelay = 2 * time.Second
	// maxMarginDoublings bounds how often WatchMargin doubles after failures, to
	// tolerate a slow key-value service.
	maxMarginDoublings = 4
)

// fromKV is the fetchFunc of the key-value service.
func (r *Replica) fromKV(ctx context.Context, head config.Head, bodies map[config.Hash][]byte) error {
	return readBlobs(ctx, r.kv, head, bodies)
}

// follow watches the key-value service while the Replica is a watcher, and polls
// it otherwise.
func (r *Replica) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if r.watcher.Load() {
			r.watch(ctx)
			continue
		}
		r.pollOnce(ctx)
	}
}

// pollOnce waits for PollEvery on average, with jitter, then reads the key-value
// service once. It returns early when the Replica's watcher role changes.
func (r *Replica) pollOnce(ctx context.Context) {
	delay := r.options.PollEvery/2 + rand.N(r.options.PollEvery)
	select {
	case <-ctx.Done():
	case <-r.watchSwitch:
	case <-time.After(delay):
		if err := r.readKV(ctx); err != nil {
			r.options.Log.WithError(err).Warn("reading the configuration from the key-value service failed; keeping the current one and reading again at the next poll")
		}
	}
}

func (r *Replica) readKV(ctx context.Context) error {
	head, err := readHead(ctx, r.kv)
	if err != nil {
		return err
	}
	return r.adoptStored(ctx, head)
}

// adoptStored adopts a head that was read from the key-value service. A store
// whose version is older than the one held is logged and ignored.
func (r *Replica) adoptStored(ctx context.Context, head storedHead) error {
	if held := r.current.Load().head.Version; head.Version < held {
		behindTotal.Inc()
		r.options.Log.WithField("version", head.Version).WithField("held", held).Error("the key-value service holds an older configuration than this process; keeping the newer one")
		return nil
	}
	return r.adopt(ctx, head.data, "kv", r.fromKV)
}

// watch keeps a watch open on the head until the Replica stops being a watcher.
// It replaces a watch that fails or does not answer within WatchWait plus its
// margin.
func (r *Replica) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var roleChanges conc.WaitGroup
	defer roleChanges.Wait()
	defer cancel()
	roleChanges.Go(func() { r.cancelWhenNotWatcher(ctx, cancel) })
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minWatchRetryDelay, maxWatchRetryDelay
	var after uint64
	failures := 0
	for ctx.Err() == nil {
		index, err := r.watchOnce(ctx, after, failures)
		if err == nil {
			after, failures = index, 0
			delays.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		watchesTotal.Inc()
		r.options.Log.WithError(err).Warn("watching the configuration in the key-value service failed; starting a new watch")
		sleep(ctx, delays.NextBackOff())
	}
}

// cancelWhenNotWatcher calls cancel as soon as the Replica stops being a watcher
// or ctx is done.
func (r *Replica) cancelWhenNotWatcher(ctx context.Context, cancel func()) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.watchSwitch:
			if !r.watcher.Load() {
				return
			}
		}
	}
}

// watchOnce waits once for a head newer than after, adopts it, and returns the
// ModifyIndex after which to watch next. That index is still after when adopting
// the head fails, so that the next watch returns the same head again.
func (r *Replica) watchOnce(ctx context.Context, after uint64, failures int) (uint64, error) {
	margin := r.options.WatchMargin << min(failures, maxMarginDoublings)
	watchCtx, cancel := context.WithTimeout(ctx, r.options.WatchWait+margin)
	defer cancel()
	entry, err := r.options.KV.Watch(watchCtx, headKey, after, r.options.WatchWait)
	if err != nil {
		return after, err
	}
	head, err := decodeHead(entry)
	if err != nil {
		return after, err
	}
	if err := r.adoptStored(ctx, head); err != nil {
		return after, err
	}
	if head.index <= after {
		// Limits the rate of watches that the service answers without waiting.
		sleep(ctx, minWatchRetryDelay)
	}
	return head.index, nil
}

// collectLoop runs Collect every collectInterval on average, with jitter, while
// the Replica is a watcher.
func (r *Replica) collectLoop(ctx context.Context) {
	collector := NewCollector(r.options.KV)
	for ctx.Err() == nil {
		sleep(ctx, collectInterval/2+rand.N(collectInterval))
		if ctx.Err() != nil || !r.watcher.Load() {
			continue
		}
		deleted, err := collector.Collect(ctx, time.Now())
		collected.Add(deleted)
		if err != nil {
			r.options.Log.WithError(err).Warn("deleting unused configuration documents failed; repeated at the next collection")
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
