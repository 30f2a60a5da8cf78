package load

import "kumquatyard/internal/prefix"

// idealCache counts the prompt tokens that one engine with unlimited memory
// would compute, in units of full blocks and the rest of each prompt.
type idealCache struct {
	blocks map[uint64]struct{}
	tokens int
	chain  []uint64
}

func newIdealCache() *idealCache { return &idealCache{blocks: make(map[uint64]struct{})} }

// add counts an answered request, whose answer also becomes a cached prefix.
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
