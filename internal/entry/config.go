package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/httpcall"
	"kumquatyard/internal/packed"
)

const (
	// configPath is the path of the status address at which an instance serves its
	// configuration as it was read from the store.
	configPath = "/config"
	// configCheckInterval is the interval of the checks for a newer configuration at
	// other instances.
	configCheckInterval = 50 * time.Millisecond
	// configLag is how long other instances may serve with a newer configuration before
	// it is read from one of them: usually the store delivers it before.
	configLag = time.Second
	// startupWait is how long a starting instance waits for a message of a serving one,
	// to learn whether the store lost a newer configuration.
	startupWait        = 600 * time.Millisecond
	configFetchTimeout = 500 * time.Millisecond
	// firstConfigRetry is the time between a failed read of another instance's
	// configuration and the next; it doubles up to maxConfigRetry.
	firstConfigRetry = 100 * time.Millisecond
	maxConfigRetry   = 800 * time.Millisecond
	// compression is the content coding of configurations between instances.
	compression = "zstd"
	// maxConfigBytes bounds a configuration after decompression.
	maxConfigBytes = 16 << 20
)

// serveConfig writes the configuration as it was read from the store, compressed if the
// caller asks for it: a hundred instances may read it at once.
func (i *Instance) serveConfig(w http.ResponseWriter, r *http.Request) {
	encoded := i.snapshots.encodedConfig()
	if encoded == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.Header.Get("Accept-Encoding") == compression {
		if compressed, err := i.snapshots.compressedConfig(); err != nil {
			i.Log.WithError(err).WithField("event", "config_uncompressed").Warn("configuration cannot be compressed for another instance; sending it as it is")
		} else {
			w.Header().Set("Content-Encoding", compression)
			encoded = compressed
		}
	}
	// An error means that the other instance has disconnected.
	_, _ = w.Write(encoded)
}

// configKeeper keeps an instance from serving with a configuration older than that of
// other instances: a store that was restored from an older copy may have lost the newest
// one, and an instance may be cut off from the store.
type configKeeper struct {
	// version returns the version of this instance's configuration, and newest the
	// greatest one with which another instance serves, and that instance's address.
	version func() uint64
	newest  func() (version uint64, address string)
	// maybeRestored reports whether the store was read and, if so, whether it may have
	// been restored.
	maybeRestored func() (restored, known bool)
	// release makes a starting instance serve.
	release func()
	// fetch reads and applies the configuration of another instance.
	fetch func(ctx context.Context, address string) error
	log   *logrus.Entry

	startedAt   time.Time
	released    bool
	behindSince time.Time
	// retryAt is when a read may follow a failed one, and retryTime the time between them.
	retryAt   time.Time
	retryTime time.Duration
}

// run checks for newer configurations until ctx is done.
func (k *configKeeper) run(ctx context.Context) error {
	k.startedAt = time.Now()
	ticker := time.NewTicker(configCheckInterval)
	defer ticker.Stop()
	for {
		k.check(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// check fetches a newer configuration that is due, and releases a starting instance once
// it has the newest one that can be known.
func (k *configKeeper) check(ctx context.Context, now time.Time) {
	restored, known := k.maybeRestored()
	if !known {
		return
	}
	newest, address := k.newest()
	if newest <= k.version() {
		k.behindSince, k.retryAt, k.retryTime = time.Time{}, time.Time{}, 0
		if !restored || newest > 0 || now.Sub(k.startedAt) >= startupWait {
			k.releaseOnce()
		}
		return
	}
	if k.behindSince.IsZero() {
		k.behindSince = now
	}
	starting := !k.released && restored
	if !starting {
		k.releaseOnce()
		if now.Sub(k.behindSince) < configLag {
			return
		}
	}
	if now.Before(k.retryAt) {
		return
	}
	fields := logrus.Fields{"event": "config_behind", "version": k.version(), "newest": newest, "address": address, "starting": starting}
	if err := k.fetch(ctx, address); err != nil {
		k.retryTime = min(max(2*k.retryTime, firstConfigRetry), maxConfigRetry)
		k.retryAt = now.Add(k.retryTime)
		k.log.WithError(err).WithFields(fields).Warn("another instance serves with a newer configuration, which could not be read from it; trying again")
		return
	}
	k.log.WithFields(fields).Info("another instance served with a newer configuration, which was read from it")
}

func (k *configKeeper) releaseOnce() {
	if !k.released {
		k.released = true
		k.release()
	}
}

// fetchConfig reads and applies the configuration of another instance.
func (i *Instance) fetchConfig(ctx context.Context, address string) error {
	client := httpcall.New(address, configFetchTimeout)
	client.AnswerHeader = "Content-Encoding"
	reply, err := client.Do(ctx, httpcall.Call{Method: http.MethodGet, Path: configPath, Header: map[string]string{"Accept-Encoding": compression}})
	if err != nil {
		return fmt.Errorf("read the configuration of the instance at %s: %w", address, err)
	}
	if reply.Status != http.StatusOK {
		return fmt.Errorf("read the configuration of the instance at %s: status %d", address, reply.Status)
	}
	encoded := reply.Body
	if reply.Header == compression {
		if encoded, err = packed.Decompress(reply.Body, maxConfigBytes); err != nil {
			return fmt.Errorf("decompress the configuration of the instance at %s: %w", address, err)
		}
	}
	config, err := i.DecodeConfig(encoded)
	if err != nil {
		return fmt.Errorf("decode the configuration of the instance at %s: %w", address, err)
	}
	i.snapshots.setConfig(config, encoded)
	return nil
}

func (i *Instance) newConfigKeeper() *configKeeper {
	return &configKeeper{
		version: i.snapshots.configVersion,
		newest:  func() (uint64, string) { return i.exchange.NewestConfig(time.Now()) },
		maybeRestored: func() (restored, known bool) {
			era := i.follower.Era()
			return era.MaybeRestored(), !era.Since.IsZero()
		},
		release: func() { i.snapshots.setWithheld(false) },
		fetch:   i.fetchConfig, log: i.Log,
	}
}
