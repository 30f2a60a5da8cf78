package policy

import (
	"container/list"
	"math"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/prefix"
)

const (
	// prefillRate is the number of prompt tokens an engine processes per second.
	prefillRate = 8000
	// prefillChunk is the number of prompt tokens that an engine processes before
	// it may switch to another request.
	prefillChunk = 2048
	// tokenTime is the time between tokens with an empty batch. A full batch adds
	// batchTime, a partial one its fraction of it.
	tokenTime = 20 * time.Millisecond
	batchTime = 20 * time.Millisecond
)

// cacheEvents are the blocks added to and removed from a cache since the last
// report.
type cacheEvents struct{ added, removed []uint64 }

// blockCache is a prefix cache with least-recently-used eviction.
type blockCache struct {
	capacity int
	order    *list.List
	entries  map[uint64]*list.Element
	events   cacheEvents
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are cached.
func (c *blockCache) match(chain []uint64) int {
	for i, hash := range chain {
		if c.entries[hash] == nil {
			return i
		}
	}
	return len(chain)
}

// insert makes the chain the most recently used one and evicts blocks over the
// capacity. It inserts the blocks in reverse, so that the first block of the
// chain is evicted last.
func (c *blockCache) insert(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		hash := chain[i]
		if e := c.entries[hash]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[hash] = c.order.PushFront(hash)
		c.events.added = append(c.events.added, hash)
	}
	for c.order.Len() > c.capacity {
		hash := c.order.Remove(c.order.Back()).(uint64)
		delete(c.entries, hash)
		c.events.removed = append(c.events.removed, hash)
	}
}

// engine models an inference engine with continuous batching: slots, a queue per
// priority class, chunked prompt processing and a bounded prefix cache.
type engine struct {
	model    *Model
	server   machine.Server
	slots    int
	cache    *blockCache
	queue    [2][]*job
	prefills [2][]*job
	running  map[*job]struct{}
	busy     bool
	// slowdown multiplies every duration. The engine does not report it.
	slowdown     float64
	leavingSince time.Duration
	gone         bool
}

// priorityClass returns the index of a priority in the engine's queues and in
// the results: 1 for deferrable requests, 0 for all others.
func priorityClass(p contract.Priority) int {
	if p == contract.Deferrable {
		return 1
	}
	return 0
}

func (e *engine) enqueue(j *job) {
	if e.gone {
		j.resend(e)
		return
	}
	c := priorityClass(j.priority)
	e.queue[c] = append(e.queue[c], j)
	e.start()
}

// start moves queued requests into free slots and starts their prefill.
func (e *engine) start() {
	for len(e.running) < e.slots {
		j := pop(&e.queue)
		if j == nil {
			return
		}
		e.running[j] = struct{}{}
		cached := e.cache.match(j.chain)
		e.model.recordPrefill(j, cached)
		j.uncomputed = j.promptTokens - cached*prefix.BlockTokens
		c := priorityClass(j.priority)
		e.prefills[c] = append(e.prefills[c], j)
		e.prefill()
	}
}

// prefill processes the next chunk of the first waiting prompt, unless a chunk
// is being processed.
func (e *engine) prefill() {
	if e.busy || e.gone {
		return
	}
	j := pop(&e.prefills)
	if j == nil {
		return
	}
	e.busy = true
	chunk := min(j.uncomputed, prefillChunk)
	took := time.Duration(e.slowdown * float64(chunk) / prefillRate * float64(time.Second))
	e.model.schedule(took, func() {
		e.busy = false
		if e.gone {
			return
		}
		j.uncomputed -= chunk
		if j.uncomputed > 0 {
			c := priorityClass(j.priority)
			e.prefills[c] = append([]*job{j}, e.prefills[c]...)
		} else {
			e.cache.insert(j.chain)
			e.decode(j)
		}
		e.prefill()
	})
}

func (e *engine) decode(j *job) {
	step := e.tokenInterval()
	attempt := j.attempt
	e.model.schedule(step, func() { j.recordFirstToken(attempt) })
	e.model.schedule(step*time.Duration(j.outputTokens), func() {
		if e.gone {
			return
		}
		delete(e.running, j)
		j.finish()
		e.start()
	})
}

// tokenInterval returns the current time between tokens.
func (e *engine) tokenInterval() time.Duration {
	load := float64(len(e.running)) / float64(e.slots)
	return time.Duration(e.slowdown * (float64(tokenTime) + load*float64(batchTime)))
}

// state returns the state that the engine reports at the given time.
func (e *engine) state(now time.Time) machine.State {
	queued, tokens := 0, 0
	for _, q := range e.queue {
		queued += len(q)
		for _, j := range q {
			tokens += j.promptTokens + j.outputTokens
		}
	}
	for j := range e.running {
		tokens += j.uncomputed + j.outputTokens/2
	}
	s := machine.State{ID: e.server.ID, Incarnation: 1, Lifecycle: machine.Serving}
	if e.leavingSince > 0 {
		s.Lifecycle = machine.Leaving
	}
	if e.gone {
		s.Lifecycle = machine.Gone
	}
	s.Load = machine.Load{
		At: now, Running: len(e.running), Queued: queued, QueuedTokens: tokens, Slots: e.slots,
		TokensPerSecond: int(math.Round(float64(e.slots) / (tokenTime + batchTime).Seconds())),
	}
	return s
}

// kill stops the engine. Its queued and running requests are resent.
func (e *engine) kill() {
	e.gone = true
	for c := range e.queue {
		for _, j := range e.queue[c] {
			j.resend(e)
		}
		e.queue[c] = nil
		e.prefills[c] = nil
	}
	for _, j := range sortedJobs(e.running) {
		j.resend(e)
	}
	clear(e.running)
}

// pop removes and returns the first request, interactive before deferrable, or
// nil if there is none.
func pop(queues *[2][]*job) *job {
	for c := range queues {
		if len(queues[c]) > 0 {
			j := queues[c][0]
			queues[c] = queues[c][1:]
			return j
		}
	}
	return nil
}
