package standin

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCacheEventsDescribeTheCache checks that the events without losses lead
// to exactly the blocks held, that the bound holds, and that a lost event
// shows as a gap.
func TestCacheEventsDescribeTheCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		cache := newPrefixCache(capacity)
		var log eventLog
		now := time.Unix(0, 0)
		lost := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "inserts") {
			// Chains share prefixes: the blocks of one family are a trie path.
			family := uint64(rapid.IntRange(1, 3).Draw(t, "family")) * 100
			var chain []uint64
			for i := range rapid.IntRange(1, 15).Draw(t, "length") {
				chain = append(chain, family+uint64(i))
			}
			held := cache.match(chain)
			drop := rapid.IntRange(0, 9).Draw(t, "drop") == 0
			added, removed := cache.insert(chain)
			log.add(now, added, removed, drop)
			if drop && len(added)+len(removed) > 0 {
				lost++
			}
			if len(cache.blocks) > capacity || cache.order.Len() != len(cache.blocks) {
				t.Fatalf("%d blocks in a cache of %d", len(cache.blocks), capacity)
			}
			if got := cache.match(chain); got != min(len(chain), capacity) || got < held {
				t.Fatalf("after insert %d of %d blocks match", got, len(chain))
			}
		}
		events := log.since(0, now, 0)
		if uint64(len(events.Events)) != log.last-lost {
			t.Fatalf("%d events of %d with %d lost", len(events.Events), log.last, lost)
		}
		view := make(map[string]bool)
		for i, e := range events.Events {
			if lost == 0 && e.Seq != uint64(i+1) {
				t.Fatalf("gap at %d without a lost event", e.Seq)
			}
			for _, h := range e.Added {
				view[h] = true
			}
			for _, h := range e.Removed {
				delete(view, h)
			}
		}
		if lost > 0 {
			return
		}
		for hash := range cache.blocks {
			if name := hexHashes([]uint64{hash})[0]; !view[name] {
				t.Fatalf("block %s is held and no event says so", name)
			}
		}
		if len(view) != len(cache.blocks) {
			t.Fatalf("events say %d blocks, %d are held", len(view), len(cache.blocks))
		}
	})
}

// TestTransactionsAreAtomicAndIndexesGrow drives the store with random
// transactions against a plain map.
func TestTransactionsAreAtomicAndIndexesGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var touched []string
		store := newKVStore(func(keys []string) { touched = keys })
		keys := []string{"a", "a/b", "c"}
		verbs := []kvVerb{verbSet, verbCAS, verbGet, verbDelete, verbDeleteCAS, verbCheckIndex, verbCheckNotExists}
		for range rapid.IntRange(1, 40).Draw(t, "transactions") {
			before := make(map[string]kvEntry)
			for key, e := range store.entries {
				before[key] = *e
			}
			index := store.index
			var ops []kvOp
			for range rapid.IntRange(1, 4).Draw(t, "operations") {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				op := kvOp{Verb: rapid.SampledFrom(verbs).Draw(t, "verb"), Key: key}
				if e, ok := before[key]; ok && rapid.Bool().Draw(t, "current") {
					op.Index = e.ModifyIndex
				}
				ops = append(ops, op)
			}
			touched = nil
			_, failure := store.txn(ops)
			if failure != nil && (store.index != index || len(touched) > 0) {
				t.Fatalf("a failed transaction %+v had an effect", ops)
			}
			for _, key := range keys {
				old, existed := before[key]
				current, waitIndex := store.get(key)
				unchanged := existed == (current != nil) && (current == nil || current.ModifyIndex == old.ModifyIndex)
				if unchanged == slices.Contains(touched, key) && existed {
					t.Fatalf("%q: unchanged %v, woken %v after %+v", key, unchanged, touched, ops)
				}
				if existed && waitIndex < old.ModifyIndex {
					t.Fatalf("the index of %q went back from %d to %d", key, old.ModifyIndex, waitIndex)
				}
				if !unchanged && waitIndex != index+1 {
					t.Fatalf("%q changed at index %d, want %d", key, waitIndex, index+1)
				}
			}
		}
	})
}
