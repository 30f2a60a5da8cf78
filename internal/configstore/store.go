package configstore

import (
	"context"
	"fmt"
	"time"

	"kumquatyard/internal/config"
	"kumquatyard/internal/platform"
)

// KV is the part of the platform's key-value service that the package uses.
// Errors carry a contract.Verdict.
type KV interface {
	// Get returns an entry with ModifyIndex 0 when the key is absent.
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	// CompareAndSwap writes value if the key's ModifyIndex is index, which is 0 for
	// an absent key.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (newIndex uint64, swapped bool, err error)
	// Watch returns the entry once the key's ModifyIndex exceeds after, or when
	// wait has passed.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Entry, error)
	// Delete removes the key if its ModifyIndex is index, and reports whether it
	// did.
	Delete(ctx context.Context, key string, index uint64) (bool, error)
}

// Keys of the configuration in the key-value service.
const (
	headKey    = "config/head"
	blobPrefix = "config/blob/"
)

// maxDocumentBytes is the largest value that the key-value service accepts.
const maxDocumentBytes = 1_000_000

// callTimeout bounds one call to the key-value service other than a watch.
const callTimeout = 5 * time.Second

// timedKV applies callTimeout to each call, so that an unresponsive connection
// does not block its caller forever.
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

// storedHead is the head as read from the key-value service: decoded, encoded
// and with its ModifyIndex.
type storedHead struct {
	config.Head
	data  []byte
	index uint64
}

func readHead(ctx context.Context, kv KV) (storedHead, error) {
	entry, err := kv.Get(ctx, headKey)
	if err != nil {
		return storedHead{}, fmt.Errorf("read the configuration head: %w", err)
	}
	return decodeHead(entry)
}

func decodeHead(entry platform.Entry) (storedHead, error) {
	head, err := config.UnmarshalHead(entry.Value)
	if err != nil {
		return storedHead{}, fmt.Errorf("decode the value of key %s: %w", headKey, err)
	}
	return storedHead{Head: head, data: entry.Value, index: entry.ModifyIndex}, nil
}

// readBlob returns the body with the given hash, which it verifies.
func readBlob(ctx context.Context, kv KV, hash config.Hash) ([]byte, error) {
	entry, err := kv.Get(ctx, blobKey(hash))
	if err != nil {
		return nil, fmt.Errorf("read configuration blob %s: %w", hash, err)
	}
	if config.HashOf(entry.Value) != hash {
		return nil, fmt.Errorf("read configuration blob %s: the content is missing or does not match the hash", hash)
	}
	return entry.Value, nil
}

// writeBlob stores body under its hash. It writes even if the blob exists: the
// new ModifyIndex keeps a Collector that has already listed the blob from
// deleting it.
func writeBlob(ctx context.Context, kv KV, body []byte) error {
	key := blobKey(config.HashOf(body))
	entry, err := kv.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("read configuration blob before writing it: %w", err)
	}
	// A failed swap means that another writer wrote the same body in between,
	// which changed the ModifyIndex as well.
	if _, _, err := kv.CompareAndSwap(ctx, key, body, entry.ModifyIndex); err != nil {
		return fmt.Errorf("write configuration blob: %w", err)
	}
	return nil
}
