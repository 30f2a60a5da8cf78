package configstore

import (
	"context"
	"fmt"
	"time"

	"kumquatyard/internal/config"
	"kumquatyard/internal/platform"
)

// KV is what the package needs of the platform's key-value service. Errors
// carry a contract.Verdict.
type KV interface {
	// Get answers an entry with ModifyIndex 0 when the key is absent.
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	// CompareAndSwap writes value when the key's ModifyIndex is index, 0 for an absent key.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (newIndex uint64, swapped bool, err error)
	// Watch answers once the key's ModifyIndex exceeds after, or when wait has passed.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Entry, error)
	Delete(ctx context.Context, key string, index uint64) (bool, error)
}

// Keys of the configuration.
const (
	headKey    = "config/head"
	blobPrefix = "config/blob/"
)

// maxDocumentBytes is the largest value that the key-value service takes.
const maxDocumentBytes = 1_000_000

// callTimeout bounds one call to the key-value service other than a watch.
const callTimeout = 5 * time.Second

// timedKV bounds each call, so that a connection gone silent does not hold its
// caller for good.
type timedKV struct{ KV }

func (t timedKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.KV.Get(ctx, key)
}

func (t timedKV) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.KV.List(ctx, prefix)
}

func (t timedKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.KV.CompareAndSwap(ctx, key, value, index)
}

func (t timedKV) Delete(ctx context.Context, key string, index uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.KV.Delete(ctx, key, index)
}

func blobKey(hash config.Hash) string { return blobPrefix + string(hash) }

// storedHead is the head as read from the key-value service.
type storedHead struct {
	config.Head
	data  []byte
	index uint64
}

func readHead(ctx context.Context, kv KV) (storedHead, error) {
	entry, err := kv.Get(ctx, headKey)
	if err != nil {
		return storedHead{}, fmt.Errorf("read head: %w", err)
	}
	return decodeHead(entry)
}

func decodeHead(entry platform.Entry) (storedHead, error) {
	head, err := config.UnmarshalHead(entry.Value)
	if err != nil {
		return storedHead{}, fmt.Errorf("key %s: %w", headKey, err)
	}
	return storedHead{Head: head, data: entry.Value, index: entry.ModifyIndex}, nil
}

// readBlob returns the body that hash names, verified.
func readBlob(ctx context.Context, kv KV, hash config.Hash) ([]byte, error) {
	entry, err := kv.Get(ctx, blobKey(hash))
	if err != nil {
		return nil, fmt.Errorf("read blob %s: %w", hash, err)
	}
	if config.HashOf(entry.Value) != hash {
		return nil, fmt.Errorf("blob %s: content is missing or damaged", hash)
	}
	return entry.Value, nil
}

// writeBlob stores body under its hash. It writes even when the blob is there:
// the new ModifyIndex keeps a Collector that listed the blob before from
// deleting it.
func writeBlob(ctx context.Context, kv KV, body []byte) error {
	key := blobKey(config.HashOf(body))
	entry, err := kv.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("write blob: %w", err)
	}
	// A swap that fails lost to another writer of the same body, whose write
	// renewed the blob as well.
	if _, _, err := kv.CompareAndSwap(ctx, key, body, entry.ModifyIndex); err != nil {
		return fmt.Errorf("write blob: %w", err)
	}
	return nil
}
