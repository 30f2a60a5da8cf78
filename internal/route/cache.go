package route

import (
	"maps"

	"kumquatyard/internal/machine"
)

// CacheView is what is known of a server's prefix cache. Its events come late
// and with gaps, so a view may be wrong in both directions.
type CacheView interface {
	// Known reports whether the block with this chained hash is believed cached.
	Known(hash uint64) bool
	// Stale reports that events were lost and that Known may be out of date.
	Stale() bool
}

const (
	// overlayShare and overlayMin bound the overlay of changes: it is merged
	// into the base once it is larger than overlayMin plus a share of the base.
	overlayShare = 4
	overlayMin   = 64
	// keptGaps is the number of gaps that a block is believed to outlive
	// without being added again.
	keptGaps = 16
	// maxBlocks bounds the blocks of one server that are remembered.
	maxBlocks = 1 << 17
	// absent marks a removed block in an overlay.
	absent = 0
)

// CacheBuilder follows the cache events of one server. It is not safe for
// concurrent use; the views it publishes are. The zero CacheBuilder is empty.
//
// Blocks known before a gap are still believed, since most of them survive it,
// but the view is suspect until as many blocks have been added again as were
// known at the gap. A block is forgotten after a number of gaps, so that a
// lost removal is not believed for ever.
type CacheBuilder struct {
	// base and overlay map blocks to the generation in which they were added;
	// base is never changed once it is published.
	base, overlay map[uint64]uint32
	// generation counts gaps from 1.
	generation uint32
	// suspect counts the blocks to be added before the view is trusted again.
	suspect int
	// index, if any, is told of the server's blocks under its hash.
	index  *Index
	holder uint32
}

// NewCacheBuilder returns a builder that also keeps an Index up to date.
func NewCacheBuilder(id machine.ID, index *Index) *CacheBuilder {
	return &CacheBuilder{index: index, holder: uint32(serverHash(id))}
}

// Added records that blocks are cached: by an event, or because the server has
// just answered a prompt with them.
func (b *CacheBuilder) Added(hashes ...uint64) {
	for _, hash := range hashes {
		b.set(hash, b.generation+1)
		if b.index != nil {
			b.index.added(b.holder, hash)
		}
	}
	b.suspect = max(0, b.suspect-len(hashes))
}

// Removed records that blocks were evicted.
func (b *CacheBuilder) Removed(hashes ...uint64) {
	for _, hash := range hashes {
		b.set(hash, absent)
		if b.index != nil {
			b.index.removed(b.holder, hash)
		}
	}
}

// Gap records that events were lost.
func (b *CacheBuilder) Gap() {
	b.merge()
	b.generation++
	b.suspect = len(b.base)
}

// Reset forgets everything, as after a restart of the server.
func (b *CacheBuilder) Reset() { *b = CacheBuilder{index: b.index, holder: b.holder} }

// View publishes what is known now.
func (b *CacheBuilder) View() CacheView {
	if len(b.overlay) > overlayMin+len(b.base)/overlayShare {
		b.merge()
	}
	return &cacheSet{base: b.base, overlay: maps.Clone(b.overlay), suspect: b.suspect > 0}
}

func (b *CacheBuilder) set(hash uint64, generation uint32) {
	if b.overlay == nil {
		b.overlay = make(map[uint64]uint32)
	}
	b.overlay[hash] = generation
}

// merge builds a new base without the removed and the forgotten blocks.
func (b *CacheBuilder) merge() {
	merged := make(map[uint64]uint32, len(b.base)+len(b.overlay))
	maps.Copy(merged, b.base)
	maps.Copy(merged, b.overlay)
	maps.DeleteFunc(merged, func(_ uint64, generation uint32) bool {
		return generation == absent || generation+keptGaps <= b.generation
	})
	if len(merged) > maxBlocks {
		clear(merged)
	}
	b.base, b.overlay = merged, nil
}

// cacheSet is an immutable CacheView.
type cacheSet struct {
	base, overlay map[uint64]uint32
	suspect       bool
}

func (s *cacheSet) Known(hash uint64) bool {
	if generation, ok := s.overlay[hash]; ok {
		return generation != absent
	}
	_, ok := s.base[hash]
	return ok
}

func (s *cacheSet) Stale() bool { return s.suspect }
