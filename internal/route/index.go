package route

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"kumquatyard/internal/machine"
)

// Index remembers for a block which server was last heard to cache it. It is a
// direct-mapped table of fixed size: a block may be displaced by another and a
// holder may be out of date, so a hit only proposes a server whose CacheView
// decides. It is safe for concurrent use and shared by all views.
type Index struct {
	// slots hold the upper half of a block's hash and the lower half of its
	// holder's; 0 is empty.
	slots []atomic.Uint64
}

// indexHalf is the width of the two parts of a slot.
const indexHalf = 32

// NewIndex returns an Index with 2^bits slots of 8 bytes.
func NewIndex(bits int) *Index { return &Index{slots: make([]atomic.Uint64, 1<<bits)} }

func (x *Index) slot(block uint64) *atomic.Uint64 {
	return &x.slots[block&uint64(len(x.slots)-1)]
}

// added records that a server caches a block.
func (x *Index) added(holder uint32, block uint64) {
	x.slot(block).Store(block>>indexHalf<<indexHalf | uint64(holder))
}

// removed forgets that a server caches a block.
func (x *Index) removed(holder uint32, block uint64) {
	x.slot(block).CompareAndSwap(block>>indexHalf<<indexHalf|uint64(holder), 0)
}

// holder returns the server last heard to cache a block.
func (x *Index) holder(block uint64) (uint32, bool) {
	value := x.slot(block).Load()
	if value == 0 || value>>indexHalf != block>>indexHalf {
		return 0, false
	}
	return uint32(value), true
}

// serverHash is the hash that stands for a server.
func serverHash(id machine.ID) uint64 { return xxhash.Sum64String(string(id)) }
