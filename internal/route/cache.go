package route

import (
	"maps"

	"kumquatyard/internal/machine"
)

// CacheView is a snapshot of the known contents of a server's prefix cache.
// Cache events arrive late and some are lost, so a view may list blocks that
// were evicted and miss blocks that are cached.
type CacheView interface {
	// Known reports whether the block with this chained hash is thought to be cached.
	Known(hash uint64) bool
	// Stale reports whether events were lost, so that Known may be out of date.
	Stale() bool
}

const (
	// overlayDivisor and overlayMin bound the overlay: it is merged into the base
	// once it has more than overlayMin + len(base)/overlayDivisor blocks.
	overlayDivisor = 4
	overlayMin     = 64
	// maxGaps is the number of gaps for which a block is kept without being added
	// again.
	maxGaps = 16
	// maxBlocks bounds the blocks kept for one server.
	maxBlocks = 1 << 17
	// absent marks a removed block in an overlay.
	absent = 0
)

// CacheBuilder applies the cache events of one server. It is not safe for
// concurrent use; the views it returns are. The zero CacheBuilder is empty.
//
// A gap, that is a loss of events, does not discard the known blocks, since most
// of them are still cached. The view is stale until as many blocks have been
// added as were known at the gap. A block that is not added again is dropped
// after more than maxGaps gaps, so that a lost removal does not keep it forever.
type CacheBuilder struct {
	// base and overlay map block hashes to 1 plus the generation in which the block
	// was added, or to absent. base is immutable because views share it.
	base, overlay map[uint64]uint32
	// generation is the number of gaps so far.
	generation uint32
	// staleBlocks is the number of blocks to be added before the view is no
	// longer stale.
	staleBlocks int
	// index, if not nil, records the server's blocks under the hash in holder.
	index  *Index
	holder uint32
}

// NewCacheBuilder returns an empty builder for the server id that also updates
// index.
func NewCacheBuilder(id machine.ID, index *Index) *CacheBuilder {
	return &CacheBuilder{index: index, holder: uint32(serverHash(id))}
}

// Added records that blocks are cached, because an event says so or because the
// server has just answered a prompt that contains them.
func (b *CacheBuilder) Added(hashes ...uint64) {
	for _, hash := range hashes {
		b.set(hash, b.generation+1)
		if b.index != nil {
			b.index.added(b.holder, hash)
		}
	}
	b.staleBlocks = max(0, b.staleBlocks-len(hashes))
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
	b.staleBlocks = len(b.base)
}

// Reset discards all blocks, for use after a restart of the server.
func (b *CacheBuilder) Reset() { *b = CacheBuilder{index: b.index, holder: b.holder} }

// View returns a snapshot of the known blocks.
func (b *CacheBuilder) View() CacheView {
	if len(b.overlay) > overlayMin+len(b.base)/overlayDivisor {
		b.merge()
	}
	return &cacheSet{base: b.base, overlay: maps.Clone(b.overlay), stale: b.staleBlocks > 0}
}

func (b *CacheBuilder) set(hash uint64, generation uint32) {
	if b.overlay == nil {
		b.overlay = make(map[uint64]uint32)
	}
	b.overlay[hash] = generation
}

// merge moves the overlay into a new base, without removed blocks and blocks
// that were added more than maxGaps gaps ago. A base over maxBlocks is emptied.
func (b *CacheBuilder) merge() {
	merged := make(map[uint64]uint32, len(b.base)+len(b.overlay))
	maps.Copy(merged, b.base)
	maps.Copy(merged, b.overlay)
	maps.DeleteFunc(merged, func(_ uint64, generation uint32) bool {
		return generation == absent || generation+maxGaps <= b.generation
	})
	if len(merged) > maxBlocks {
		clear(merged)
	}
	b.base, b.overlay = merged, nil
}

// cacheSet is an immutable CacheView.
type cacheSet struct {
	base, overlay map[uint64]uint32
	stale         bool
}

func (s *cacheSet) Known(hash uint64) bool {
	if generation, ok := s.overlay[hash]; ok {
		return generation != absent
	}
	_, ok := s.base[hash]
	return ok
}

func (s *cacheSet) Stale() bool { return s.stale }
