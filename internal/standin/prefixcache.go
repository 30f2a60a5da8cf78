package standin

import "container/list"

// prefixCache is an engine's bounded LRU cache of prompt prefixes. Its blocks
// are identified by chained hashes.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// match returns how many leading blocks of chain are cached and marks them as
// used.
func (c *prefixCache) match(chain []uint64) int {
	n := 0
	for n < len(chain) && c.blocks[chain[n]] != nil {
		n++
	}
	c.touch(chain[:n])
	return n
}

// touch marks the blocks of chain as used, in reverse order, so that a block is
// evicted after the blocks that extend it.
func (c *prefixCache) touch(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[chain[i]])
	}
}

// insert adds the blocks of chain, evicts blocks beyond the capacity and returns
// the hashes of both. Of a chain longer than the capacity it adds only the
// leading blocks.
func (c *prefixCache) insert(chain []uint64) (added, removed []uint64) {
	chain = chain[:min(len(chain), c.capacity)]
	for _, hash := range chain {
		if c.blocks[hash] == nil {
			c.blocks[hash] = c.order.PushFront(hash)
			added = append(added, hash)
		}
	}
	c.touch(chain)
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		hash, _ := c.order.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		removed = append(removed, hash)
	}
	return added, removed
}
