package forecast

// partCache holds the prompt parts that were sent to an engine, as an estimate of its
// KV cache. It evicts the least recently used ones.
type partCache struct {
	parts map[uint64]uint64
	clock uint64
}

const (
	// maxParts is the number of parts per engine above which add evicts.
	maxParts = 2048
	// recentPrompts is the number of latest prompts whose parts are never evicted.
	recentPrompts = maxParts / 4
)

func newPartCache() partCache { return partCache{parts: make(map[uint64]uint64)} }

// add records the parts of a prompt that is sent to the engine.
func (c *partCache) add(p *Prompt) {
	c.clock++
	for _, part := range p.Parts {
		c.parts[part.ID] = c.clock
	}
	if len(c.parts) > maxParts {
		c.evict()
	}
}

// evict removes the parts that none of the last recentPrompts prompts used.
func (c *partCache) evict() {
	if c.clock <= recentPrompts {
		return
	}
	oldest := c.clock - recentPrompts
	for id, used := range c.parts {
		if used <= oldest {
			delete(c.parts, id)
		}
	}
}

// reusable returns the number of leading tokens of the prompt that the engine has
// probably cached.
func (c *partCache) reusable(p *Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		if _, ok := c.parts[part.ID]; !ok {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
