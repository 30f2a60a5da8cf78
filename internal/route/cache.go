package route

import "maps"

// CacheView is what is known of a server's prefix cache. Its events come late
// and with gaps, so a view may be wrong in both directions.
type CacheView interface {
	// Known reports whether the block with this chained hash is believed cached.
	Known(hash uint64) bool
	// Suspect reports that events were lost and that Known may be out of date.
	Suspect() bool
}

// overlayShare and overlayMin bound a layer's overlay: it is merged once it is
// larger than overlayMin plus a share of the base.
const (
	overlayShare = 4
	overlayMin   = 64
)

// layer is a set of hashes, as an immutable base and a small overlay.
type layer struct {
	base    map[uint64]struct{}
	overlay map[uint64]bool
}

func (l *layer) has(hash uint64) bool {
	if present, ok := l.overlay[hash]; ok {
		return present
	}
	_, ok := l.base[hash]
	return ok
}

func (l *layer) set(hash uint64, present bool) {
	if l.overlay == nil {
		l.overlay = make(map[uint64]bool)
	}
	l.overlay[hash] = present
}

// freeze returns a layer that later changes to l do not reach.
func (l *layer) freeze() layer {
	if len(l.overlay) > overlayMin+len(l.base)/overlayShare {
		l.base = l.merged()
		l.overlay = nil
	}
	return layer{base: l.base, overlay: maps.Clone(l.overlay)}
}

func (l *layer) merged() map[uint64]struct{} {
	merged := make(map[uint64]struct{}, len(l.base)+len(l.overlay))
	for hash := range l.base {
		merged[hash] = struct{}{}
	}
	for hash, present := range l.overlay {
		if present {
			merged[hash] = struct{}{}
		} else {
			delete(merged, hash)
		}
	}
	return merged
}

// CacheBuilder follows the cache events of one server. It is not safe for
// concurrent use; the views it publishes are. The zero CacheBuilder is empty.
//
// After a gap the blocks known so far are kept apart as suspect. They are
// dropped once as many blocks have been added anew, or at the next gap, so a
// builder never holds more than twice the blocks that were added between gaps.
type CacheBuilder struct {
	fresh, old layer
	oldSize    int
	added      int
}

// Added records that blocks are cached.
func (b *CacheBuilder) Added(hashes ...uint64) {
	for _, hash := range hashes {
		b.fresh.set(hash, true)
	}
	b.added += len(hashes)
	if b.oldSize > 0 && b.added >= b.oldSize {
		b.old = layer{}
		b.oldSize = 0
	}
}

// Removed records that blocks were evicted.
func (b *CacheBuilder) Removed(hashes ...uint64) {
	for _, hash := range hashes {
		b.fresh.set(hash, false)
		if b.oldSize > 0 {
			b.old.set(hash, false)
		}
	}
}

// Gap records that events were lost.
func (b *CacheBuilder) Gap() {
	b.old = layer{base: b.fresh.merged()}
	b.oldSize = len(b.old.base)
	b.fresh = layer{}
	b.added = 0
}

// Reset forgets everything, as after a restart of the server.
func (b *CacheBuilder) Reset() { *b = CacheBuilder{} }

// View publishes what is known now.
func (b *CacheBuilder) View() CacheView {
	return &cacheSet{fresh: b.fresh.freeze(), old: b.old.freeze(), suspect: b.oldSize > 0}
}

// cacheSet is an immutable CacheView.
type cacheSet struct {
	fresh, old layer
	suspect    bool
}

func (s *cacheSet) Known(hash uint64) bool {
	return s.fresh.has(hash) || (s.suspect && s.old.has(hash))
}

func (s *cacheSet) Suspect() bool { return s.suspect }
