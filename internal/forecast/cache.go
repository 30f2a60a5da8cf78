package forecast

// partCache remembers which parts of prompts an engine was sent, the least
// recently used ones first to be forgotten.
type partCache struct {
	parts map[uint64]uint64
	clock uint64
}

// maxParts bounds the parts that are remembered of one engine.
const maxParts = 2048

func newPartCache() partCache { return partCache{parts: make(map[uint64]uint64)} }

// add records that the engine reads a prompt.
func (c *partCache) add(p *Prompt) {
	c.clock++
	for _, part := range p.Parts {
		c.parts[part.ID] = c.clock
	}
	if len(c.parts) > maxParts {
		c.evict()
	}
}

// evict forgets the older half.
func (c *partCache) evict() {
	limit := c.clock - uint64(maxParts/4)
	for id, used := range c.parts {
		if used < limit {
			delete(c.parts, id)
		}
	}
}

// reusable is the number of leading tokens of the prompt that the engine keeps.
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
