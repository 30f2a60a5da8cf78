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
	// retainedHeads is the number of heads, the current one included, whose
	// documents are retained.
	retainedHeads = 256
	// collectInterval is the minimum time between two collections of a store. A
	// blob survives at least one of them.
	collectInterval = time.Hour
	// collectionKey holds the record of the last collection.
	collectionKey = "config/collection"
)

// collection is the record of a store's last collection.
type collection struct {
	AtUnix int64 `json:"at"`
	// Index is the largest ModifyIndex among the listed blobs. The service numbers
	// all writes in one sequence, so blobs with an index up to this one were
	// written before the collection.
	Index uint64 `json:"index"`

	modifyIndex uint64
}

// Collector garbage-collects blobs that no recent head references. Any process
// may run one at any time: a collection is due once per collectInterval, and a
// compare-and-swap decides which process makes it.
//
// A blob that is about to be referenced is never deleted: Collect lists the
// blobs, then rewrites the head by compare-and-swap, then deletes each blob only
// if it still has the listed ModifyIndex. A Writer whose compare-and-swap
// succeeds after the rewrite has read the rewritten head and rewritten its blobs
// after that, so their deletion fails. Safety does not depend on the interval,
// which only limits the rate of collections.
type Collector struct {
	kv KV
}

// NewCollector returns a Collector of kv's blobs.
func NewCollector(kv KV) *Collector { return &Collector{kv: timedKV{kv}} }

// Collect makes a collection if one is due at the time now, and returns the
// number of blobs deleted.
func (c *Collector) Collect(ctx context.Context, now time.Time) (int, error) {
	last, err := c.last(ctx)
	if err != nil || now.Sub(time.Unix(last.AtUnix, 0)) < collectInterval {
		return 0, err
	}
	blobs, err := c.kv.List(ctx, blobPrefix)
	if err != nil {
		return 0, fmt.Errorf("list configuration blobs: %w", err)
	}
	head, err := readHead(ctx, c.kv)
	if err != nil {
		return 0, err
	}
	if begun, err := c.begin(ctx, last, blobs, now); err != nil || !begun {
		return 0, err
	}
	garbage := garbageBlobs(blobs, references(head.Head, blobs), last.Index)
	if len(garbage) == 0 {
		return 0, nil
	}
	if err := c.rewriteHead(ctx, head); err != nil {
		return 0, err
	}
	return c.remove(ctx, garbage)
}

// last returns the record of the last collection, empty if there was none.
func (c *Collector) last(ctx context.Context) (collection, error) {
	entry, err := c.kv.Get(ctx, collectionKey)
	if err != nil {
		return collection{}, fmt.Errorf("read the record of the last garbage collection: %w", err)
	}
	last := collection{modifyIndex: entry.ModifyIndex}
	if entry.ModifyIndex == 0 {
		return last, nil
	}
	if err := json.Unmarshal(entry.Value, &last); err != nil {
		return collection{}, fmt.Errorf("decode the value of key %s: %w", collectionKey, err)
	}
	return last, nil
}

// begin records a collection of blobs. It reports false if another process has
// recorded one since last.
func (c *Collector) begin(ctx context.Context, last collection, blobs []platform.Entry, now time.Time) (bool, error) {
	next := collection{AtUnix: now.Unix()}
	for _, blob := range blobs {
		next.Index = max(next.Index, blob.ModifyIndex)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return false, err
	}
	_, swapped, err := c.kv.CompareAndSwap(ctx, collectionKey, data, last.modifyIndex)
	if err != nil {
		return false, fmt.Errorf("record the garbage collection: %w", err)
	}
	return swapped, nil
}

// remove deletes the blobs that still have their listed ModifyIndex, and returns
// their number.
func (c *Collector) remove(ctx context.Context, garbage []platform.Entry) (int, error) {
	deleted := 0
	for _, blob := range garbage {
		ok, err := c.kv.Delete(ctx, blob.Key, blob.ModifyIndex)
		if err != nil {
			return deleted, fmt.Errorf("delete configuration blob: %w", err)
		}
		if ok {
			deleted++
		}
	}
	return deleted, nil
}

// garbageBlobs returns the unreferenced blobs with a ModifyIndex of at most
// index.
func garbageBlobs(blobs []platform.Entry, referenced map[string]bool, index uint64) []platform.Entry {
	return slices.DeleteFunc(slices.Clone(blobs), func(blob platform.Entry) bool {
		return referenced[blob.Key] || blob.ModifyIndex > index
	})
}

// rewriteHead stores the head again with only its collection count changed, so
// that the compare-and-swap of a Writer that read it before fails.
func (c *Collector) rewriteHead(ctx context.Context, head storedHead) error {
	next := head.Head
	next.Collections++
	data, err := next.Marshal()
	if err != nil {
		return err
	}
	_, swapped, err := c.kv.CompareAndSwap(ctx, headKey, data, head.index)
	if err != nil {
		return fmt.Errorf("rewrite the configuration head: %w", err)
	}
	if !swapped {
		return errors.New("rewrite the configuration head: it was modified after the garbage collection read it")
	}
	return nil
}

// references returns the keys of the blobs that head and its recent ancestors
// reference.
func references(head config.Head, blobs []platform.Entry) map[string]bool {
	bodies := make(map[string][]byte, len(blobs))
	for _, blob := range blobs {
		bodies[blob.Key] = blob.Value
	}
	referenced := make(map[string]bool)
	for range retainedHeads {
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
