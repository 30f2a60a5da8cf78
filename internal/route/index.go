package route

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"kumquatyard/internal/machine"
)

// Index maps a block to the server that last reported it as cached. It is a
// direct-mapped table of fixed size: a block may be displaced by another and a
// holder may be out of date, so a hit is only a candidate and the server's
// CacheView decides. It is safe for concurrent use and shared by all views.
type Index struct {
	// slots hold the upper half of the block's hash and the lower half of the
	// holder's hash; 0 is an empty slot.
	slots []atomic.Uint64
}

// indexHalf is the width in bits of each half of a slot.
const indexHalf = 32

// NewIndex returns an empty Index with 2^bits slots of 8 bytes each.
func NewIndex(bits int) *Index { return &Index{slots: make([]atomic.Uint64, 1<<bits)} }

func (x *Index) slot(block uint64) *atomic.Uint64 {
	return &x.slots[block&uint64(len(x.slots)-1)]
}

// added records holder as the server that caches block.
func (x *Index) added(holder uint32, block uint64) {
	x.slot(block).Store(block>>indexHalf<<indexHalf | uint64(holder))
}

// removed deletes the entry of block if it names holder.
func (x *Index) removed(holder uint32, block uint64) {
	x.slot(block).CompareAndSwap(block>>indexHalf<<indexHalf|uint64(holder), 0)
}

// holder returns the lower half of the hash of the server that last reported
// block as cached, and false when the index has none.
func (x *Index) holder(block uint64) (uint32, bool) {
	value := x.slot(block).Load()
	if value == 0 || value>>indexHalf != block>>indexHalf {
		return 0, false
	}
	return uint32(value), true
}

// serverHash returns the hash that identifies a server in the index and in
// rendezvous scores.
func serverHash(id machine.ID) uint64 { return xxhash.Sum64String(string(id)) }
