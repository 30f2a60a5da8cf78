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
	firstWatchRetry = 100 * time.Millisecond
	lastWatchRetry  = 2 * time.Second
	// maxMarginDoublings lets the margin grow for a slow key-value service.
	maxMarginDoublings = 4
)

func (k *Replica) fromKV(ctx context.Context, head config.Head, bodies map[config.Hash][]byte) error {
	return readBlobs(ctx, k.kv, head, bodies)
}

// follow holds the watch while the Keeper is a watcher, and polls otherwise.
func (k *Replica) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if k.watcher.Load() {
			k.watch(ctx)
			continue
		}
		k.idle(ctx)
	}
}

// idle waits about PollEvery, then looks at the key-value service once.
func (k *Replica) idle(ctx context.Context) {
	delay := k.options.PollEvery/2 + rand.N(k.options.PollEvery)
	select {
	case <-ctx.Done():
	case <-k.watchSwitch:
	case <-time.After(delay):
		if err := k.readKV(ctx); err != nil {
			k.options.Log.WithError(err).Warn("configuration poll failed")
		}
	}
}

func (k *Replica) readKV(ctx context.Context) error {
	head, err := readHead(ctx, k.kv)
	if err != nil {
		return err
	}
	return k.adoptStored(ctx, head)
}

func (k *Replica) adoptStored(ctx context.Context, head storedHead) error {
	if held := k.current.Load().head.Version; head.Version < held {
		behindTotal.Inc()
		k.options.Log.WithField("version", head.Version).WithField("held", held).Error("the key-value service holds an older configuration than this process; keeping the newer one")
		return nil
	}
	return k.adopt(ctx, head.data, "kv", k.fromKV)
}

// watch holds one watch after the other until the Keeper stops being a
// watcher. A watch without an answer within its wait and margin is replaced.
func (k *Replica) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var switches conc.WaitGroup
	defer switches.Wait()
	defer cancel()
	switches.Go(func() { k.cancelOnSwitch(ctx, cancel) })
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstWatchRetry, lastWatchRetry
	var after uint64
	failures := 0
	for ctx.Err() == nil {
		index, err := k.watchOnce(ctx, after, failures)
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
		k.options.Log.WithError(err).Warn("configuration watch replaced")
		sleep(ctx, delays.NextBackOff())
	}
}

// cancelOnSwitch ends the watch at once when the Keeper stops being a watcher.
func (k *Replica) cancelOnSwitch(ctx context.Context, cancel func()) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.watchSwitch:
			if !k.watcher.Load() {
				return
			}
		}
	}
}

// watchOnce returns the ModifyIndex after which to watch next. It stays the
// same until the head was dealt with, so that a failed read is made again.
func (k *Replica) watchOnce(ctx context.Context, after uint64, failures int) (uint64, error) {
	margin := k.options.WatchMargin << min(failures, maxMarginDoublings)
	watchCtx, cancel := context.WithTimeout(ctx, k.options.WatchWait+margin)
	defer cancel()
	entry, err := k.options.KV.Watch(watchCtx, headKey, after, k.options.WatchWait)
	if err != nil {
		return after, err
	}
	head, err := decodeHead(entry)
	if err != nil {
		return after, err
	}
	if err := k.adoptStored(ctx, head); err != nil {
		return after, err
	}
	if head.index <= after {
		// Bounds the rate of watches that are answered without waiting.
		sleep(ctx, firstWatchRetry)
	}
	return head.index, nil
}

// collectLoop lets a watcher look about every collectEvery whether a collection is due.
func (k *Replica) collectLoop(ctx context.Context) {
	collector := NewCollector(k.options.KV)
	for ctx.Err() == nil {
		sleep(ctx, collectEvery/2+rand.N(collectEvery))
		if ctx.Err() != nil || !k.watcher.Load() {
			continue
		}
		deleted, err := collector.Collect(ctx, time.Now())
		collected.Add(deleted)
		if err != nil {
			k.options.Log.WithError(err).Warn("configuration collection failed")
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
