package standin

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCacheEventsMatchCacheContents checks that the cache never exceeds its
// capacity, that replaying all events yields exactly the cached blocks, and that
// only a lost event leaves a gap.
func TestCacheEventsMatchCacheContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		cache := newPrefixCache(capacity)
		var log eventLog
		now := time.Unix(0, 0)
		lost := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "inserts") {
			// Of two chains of one family, the shorter is a prefix of the longer.
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
				t.Fatalf("%d blocks in a cache with capacity %d, or order and blocks differ", len(cache.blocks), capacity)
			}
			if got := cache.match(chain); got != min(len(chain), capacity) || got < held {
				t.Fatalf("after insert %d of %d blocks are cached", got, len(chain))
			}
		}
		events := log.since(0, now, 0)
		if uint64(len(events.Events)) != log.last-lost {
			t.Fatalf("log has %d events, want %d less %d lost ones", len(events.Events), log.last, lost)
		}
		view := make(map[string]bool)
		for i, e := range events.Events {
			if lost == 0 && e.Seq != uint64(i+1) {
				t.Fatalf("gap before event %d although no event was lost", e.Seq)
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
				t.Fatalf("block %s is cached, but the events do not add it", name)
			}
		}
		if len(view) != len(cache.blocks) {
			t.Fatalf("replayed events yield %d blocks, cache holds %d", len(view), len(cache.blocks))
		}
	})
}

// TestTransactionsAreAtomicAndIndexesIncrease runs random transactions and
// compares the entries before and after each.
func TestTransactionsAreAtomicAndIndexesIncrease(t *testing.T) {
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
				t.Fatalf("failed transaction %+v changed the store", ops)
			}
			for _, key := range keys {
				old, existed := before[key]
				current, waitIndex := store.get(key)
				unchanged := existed == (current != nil) && (current == nil || current.ModifyIndex == old.ModifyIndex)
				if unchanged == slices.Contains(touched, key) && existed {
					t.Fatalf("%q: unchanged %v, but keys %v were notified after %+v", key, unchanged, touched, ops)
				}
				if existed && waitIndex < old.ModifyIndex {
					t.Fatalf("index of %q decreased from %d to %d", key, old.ModifyIndex, waitIndex)
				}
				if !unchanged && waitIndex != index+1 {
					t.Fatalf("%q changed at index %d, want %d", key, waitIndex, index+1)
				}
			}
		}
	})
}
