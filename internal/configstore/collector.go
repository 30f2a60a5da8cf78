package configstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"kumquatyard/internal/config"
	"kumquatyard/internal/platform"
)

const (
	// keptHeads is the number of earlier heads whose documents are kept.
	keptHeads = 256
	// minBlobAge is the time for which a blob has to be seen unreferenced.
	minBlobAge = time.Hour
)

// Collector deletes blobs that no recent head refers to. Several Collectors
// and Writers may run at once. It is not safe for concurrent use.
//
// A blob that is about to be referenced is never deleted: Collect lists the
// blobs, then renews the head by compare-and-swap, then deletes by the listed
// ModifyIndex. A Writer whose compare-and-swap comes after the renewal has read
// the renewed head, and renewed its blobs after that, so the delete fails.
type Collector struct {
	kv   KV
	seen map[string]unreferenced
}

// unreferenced is a blob that was found without a reference.
type unreferenced struct {
	index uint64
	since time.Time
}

// NewCollector returns a Collector of kv's blobs.
func NewCollector(kv KV) *Collector {
	return &Collector{kv: timedKV{kv}, seen: make(map[string]unreferenced)}
}

// Collect makes one pass at the time now and returns the number of blobs deleted.
func (c *Collector) Collect(ctx context.Context, now time.Time) (int, error) {
	blobs, err := c.kv.List(ctx, blobPrefix)
	if err != nil {
		return 0, fmt.Errorf("list blobs: %w", err)
	}
	head, err := readHead(ctx, c.kv)
	if err != nil {
		return 0, err
	}
	old := c.findOld(blobs, references(head.Head, blobs), now)
	if len(old) == 0 {
		return 0, nil
	}
	if err := c.renew(ctx, head); err != nil {
		return 0, err
	}
	deleted := 0
	for _, blob := range old {
		ok, err := c.kv.Delete(ctx, blob.Key, blob.ModifyIndex)
		if err != nil {
			return deleted, fmt.Errorf("delete blob: %w", err)
		}
		if ok {
			deleted++
		}
		delete(c.seen, blob.Key)
	}
	return deleted, nil
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

// findOld returns the blobs that have been unreferenced and unwritten for
// minBlobAge, and remembers the others.
func (c *Collector) findOld(blobs []platform.Entry, referenced map[string]bool, now time.Time) []platform.Entry {
	seen := make(map[string]unreferenced)
	var old []platform.Entry
	for _, blob := range blobs {
		if referenced[blob.Key] {
			continue
		}
		earlier, ok := c.seen[blob.Key]
		if !ok || earlier.index != blob.ModifyIndex {
			earlier = unreferenced{index: blob.ModifyIndex, since: now}
		}
		seen[blob.Key] = earlier
		if now.Sub(earlier.since) >= minBlobAge {
			old = append(old, blob)
		}
	}
	c.seen = seen
	return old
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
