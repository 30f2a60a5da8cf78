package standin

import "container/list"

// prefixCache is the bounded memory of an engine for prompt prefixes: blocks
// named by chained hashes, the least recently used evicted first.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// match returns how many leading blocks of chain are held, and uses them.
func (c *prefixCache) match(chain []uint64) int {
	n := 0
	for n < len(chain) && c.blocks[chain[n]] != nil {
		n++
	}
	c.touch(chain[:n])
	return n
}

// touch marks blocks as used, the first of them last, so that a prefix
// outlives what was built on it.
func (c *prefixCache) touch(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[chain[i]])
	}
}

// insert adds the blocks of chain. A chain longer than the capacity keeps its
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
