package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"kumquatyard/internal/config"
	"kumquatyard/internal/platform"
)

const (
	// keptHeads is the number of earlier heads whose documents are kept.
	keptHeads = 256
	// collectEvery is the least time between two collections of a store. A blob
	// outlives at least one of them.
	collectEvery = time.Hour
	// collectionKey holds the last collection.
	collectionKey = "config/collection"
)

// collection is the last one of a store.
type collection struct {
	AtUnix int64 `json:"at"`
	// Index is the largest ModifyIndex seen. The service numbers its writes in
	// one sequence, so blobs with a smaller one are older than the collection.
	Index uint64 `json:"index"`

	modifyIndex uint64
}

// Collector deletes blobs that no recent head refers to. Any process may run
// one at any time: a collection is due once per collectEvery, and one process
// gets it by compare-and-swap.
//
// A blob that is about to be referenced is never deleted: Collect lists the
// blobs, then renews the head by compare-and-swap, then deletes by the listed
// ModifyIndex. A Writer whose compare-and-swap comes after the renewal has read
// the renewed head, and renewed its blobs after that, so the delete fails. The
// time only sets the pace.
type Collector struct {
	kv KV
}

// NewCollector returns a Collector of kv's blobs.
func NewCollector(kv KV) *Collector { return &Collector{kv: timedKV{kv}} }

// Collect makes a collection when one is due at the time now. It returns the
// number of blobs deleted.
func (c *Collector) Collect(ctx context.Context, now time.Time) (int, error) {
	last, err := c.last(ctx)
	if err != nil || now.Sub(time.Unix(last.AtUnix, 0)) < collectEvery {
		return 0, err
	}
	blobs, err := c.kv.List(ctx, blobPrefix)
	if err != nil {
		return 0, fmt.Errorf("list blobs: %w", err)
	}
	head, err := readHead(ctx, c.kv)
	if err != nil {
		return 0, err
	}
	if won, err := c.begin(ctx, last, blobs, now); err != nil || !won {
		return 0, err
	}
	old := oldBlobs(blobs, references(head.Head, blobs), last.Index)
	if len(old) == 0 {
		return 0, nil
	}
	if err := c.renew(ctx, head); err != nil {
		return 0, err
	}
	return c.remove(ctx, old)
}

func (c *Collector) last(ctx context.Context) (collection, error) {
	entry, err := c.kv.Get(ctx, collectionKey)
	if err != nil {
		return collection{}, fmt.Errorf("read last collection: %w", err)
	}
	last := collection{modifyIndex: entry.ModifyIndex}
	if entry.ModifyIndex == 0 {
		return last, nil
	}
	if err := json.Unmarshal(entry.Value, &last); err != nil {
		return collection{}, fmt.Errorf("key %s: %w", collectionKey, err)
	}
	return last, nil
}

// begin records a collection of blobs, unless another process did meanwhile.
func (c *Collector) begin(ctx context.Context, last collection, blobs []platform.Entry, now time.Time) (bool, error) {
	next := collection{AtUnix: now.Unix()}
	for _, blob := range blobs {
		next.Index = max(next.Index, blob.ModifyIndex)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return false, err
	}
	_, won, err := c.kv.CompareAndSwap(ctx, collectionKey, data, last.modifyIndex)
	if err != nil {
		return false, fmt.Errorf("record collection: %w", err)
	}
	return won, nil
}

func (c *Collector) remove(ctx context.Context, old []platform.Entry) (int, error) {
	deleted := 0
	for _, blob := range old {
		ok, err := c.kv.Delete(ctx, blob.Key, blob.ModifyIndex)
		if err != nil {
			return deleted, fmt.Errorf("delete blob: %w", err)
		}
		if ok {
			deleted++
		}
	}
	return deleted, nil
}

// oldBlobs returns the unreferenced blobs that were last written before index.
func oldBlobs(blobs []platform.Entry, referenced map[string]bool, index uint64) []platform.Entry {
	return slices.DeleteFunc(slices.Clone(blobs), func(blob platform.Entry) bool {
		return referenced[blob.Key] || blob.ModifyIndex > index
	})
}

// renew rewrites the head with the same content, so that Writers that read it
// before have to start again.
func (c *Collector) renew(ctx context.Context, head storedHead) error {
	next := head.Head
	next.Collections++
	data, err := next.Marshal()
	if err != nil {
		return err
	}
	_, swapped, err := c.kv.CompareAndSwap(ctx, headKey, data, head.index)
	if err != nil {
		return fmt.Errorf("renew head: %w", err)
	}
	if !swapped {
		return errors.New("renew head: a change came first")
	}
	return nil
}

// references returns the keys of the blobs that head and its recent ancestors need.
func references(head config.Head, blobs []platform.Entry) map[string]bool {
	bodies := make(map[string][]byte, len(blobs))
	for _, blob := range blobs {
		bodies[blob.Key] = blob.Value
	}
	referenced := make(map[string]bool)
	for range keptHeads {
		for _, hash := range head.Documents {
			referenced[blobKey(hash)] = true
		}
		parent, ok := bodies[blobKey(head.Parent)]
		if !ok {
			return referenced
		}
		referenced[blobKey(head.Parent)] = true
		ancestor, err := config.UnmarshalHead(parent)
		if err != nil {
			return referenced
		}
		head = ancestor
	}
	return referenced
}
