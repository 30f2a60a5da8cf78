package load

import "kumquatyard/internal/prefix"

// idealCache counts the prompt tokens that a single engine with unlimited memory
// would compute. Like an engine's cache, it reuses only full blocks.
type idealCache struct {
	blocks map[uint64]struct{}
	tokens int
	chain  []uint64
}

func newIdealCache() *idealCache { return &idealCache{blocks: make(map[uint64]struct{})} }

// add counts the uncached prompt tokens of an answered request and caches its
// prompt and answer.
func (c *idealCache) add(r *Request) {
	c.chain = prefix.Chain(c.chain[:0], r.Chat.Model, []byte(r.Prompt+r.Answer))
	cached := 0
	for _, hash := range c.chain {
		if _, ok := c.blocks[hash]; !ok {
			break
		}
		cached++
	}
	for _, hash := range c.chain {
		c.blocks[hash] = struct{}{}
	}
	c.tokens += prefix.Tokens(max(0, len(r.Prompt)-cached*prefix.BlockBytes))
}
