package standin

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"kumquatyard/internal/contract"
)

// EngineOptions configure an Engine. NewEngine replaces zero values by the
// ones in parentheses.
type EngineOptions struct {
	Seed uint64
	// Slots is the number of requests that run at once (16).
	Slots int
	// QueueLimit bounds the waiting requests (64).
	QueueLimit int
	// CacheBlocks bounds the prefix cache (4096).
	CacheBlocks int
	// TokenTime is the time of a step that generates one token for each
	// running request (15 ms), to which TokenTimePerRequest is added for each (1 ms).
	TokenTime           time.Duration
	TokenTimePerRequest time.Duration
	// PrefillTokensPerSecond is the rate for prompt tokens (8000).
	PrefillTokensPerSecond int
	// PrefillChunk bounds the prompt tokens of one step (512).
	PrefillChunk int
	// StreamRetention is how long a stream without a reader is kept (10 s).
	StreamRetention time.Duration
	// LoadTime is how long loading a model takes (2 s).
	LoadTime time.Duration
	// TimeScale multiplies the times of work (1).
	TimeScale float64
	// Models are loaded at the start; an engine without any takes every model.
	Models []string
	Role   string
	// Fencing refuses orders with an old fencing number.
	Fencing bool
	// FetchWeights is called before a model is loaded; nil fetches nothing.
	FetchWeights func(model string) error
}

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.Slots, 16)
	setDefault(&o.QueueLimit, 64)
	setDefault(&o.CacheBlocks, 4096)
	setDefault(&o.TokenTime, 15*time.Millisecond)
	setDefault(&o.TokenTimePerRequest, time.Millisecond)
	setDefault(&o.PrefillTokensPerSecond, 8000)
	setDefault(&o.PrefillChunk, 512)
	setDefault(&o.StreamRetention, 10*time.Second)
	setDefault(&o.LoadTime, 2*time.Second)
	setDefault(&o.TimeScale, 1)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// EngineCounts are the tokens that an engine has worked on.
type EngineCounts struct {
	TokensGenerated      uint64 `json:"tokens_generated"`
	PromptTokensComputed uint64 `json:"prompt_tokens_computed"`
	PromptTokensReused   uint64 `json:"prompt_tokens_reused"`
	// TokensRecomputed are continued tokens that were not in the cache.
	TokensRecomputed uint64 `json:"tokens_recomputed"`
	// PromptTokensRecomputed are the computed prompt tokens of later attempts.
	PromptTokensRecomputed uint64 `json:"prompt_tokens_recomputed"`
	// Runs counts the runs of each request id.
	Runs map[string]int `json:"runs"`
}

// Engine is a stand-in of a model engine that batches continuously.
type Engine struct {
	*Endpoint
	*lifecycle
	options EngineOptions
	runs    *runCounter

	mu      sync.Mutex
	streams map[string]*stream
	running []*stream
	queues  map[contract.Priority][]*stream
	cache   *prefixCache
	events  eventLog
	reports lagged[ServerState]
	counts  EngineCounts
	models  []string
	loading map[string]bool
	wanted  []string
	role    string
	fence   uint64
	rate    int
	anon    int
	work    chan struct{}
}

// NewEngine returns an Engine that works until Close.
func NewEngine(o EngineOptions) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options: o,
		runs:    newRunCounter(),
		streams: make(map[string]*stream),
		queues:  make(map[contract.Priority][]*stream),
		cache:   newPrefixCache(o.CacheBlocks),
		models:  slices.Clone(o.Models),
		wanted:  slices.Clone(o.Models),
		loading: make(map[string]bool),
		role:    o.Role,
		work:    make(chan struct{}, 1),
	}
	e.Endpoint = newEndpoint(o.Seed, e.handle)
	e.lifecycle = newLifecycle(e.Endpoint.Close)
	go e.run()
	go e.retire()
	return e
}

func (e *Engine) inherit(from Standin) {
	earlier, ok := from.(*Engine)
	if !ok {
		return
	}
	counts := earlier.Counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts = counts
	e.runs = earlier.runs
}

// Reclaim announces that the engine is stopped after in.
func (e *Engine) Reclaim(in time.Duration) { e.reclaim(in) }

// Counts returns the work done so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	counts := e.counts
	e.mu.Unlock()
	counts.Runs = e.runs.get().ByRequest
	return counts
}

// refusal is why an engine did no work.
type refusal string

const (
	refusedLeaving   refusal = "leaving"
	refusedQueueFull refusal = "queue is full"
	refusedModel     refusal = "model is not loaded"
)

// submit queues s, replacing an earlier stream of the same id.
func (e *Engine) submit(s *stream) refusal {
	if e.leaving() {
		return refusedLeaving
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasModel(s.model) {
		return refusedModel
	}
	if e.queuedLocked() >= e.options.QueueLimit {
		return refusedQueueFull
	}
	if s.id == "" {
		e.anon++
		s.id = "anonymous-" + strconv.Itoa(e.anon)
	}
	e.endLocked(e.streams[s.id], streamCancelled)
	e.streams[s.id] = s
	if s.emitted == len(s.tokens) {
		e.endLocked(s, streamDone)
		return ""
	}
	e.queues[s.priority] = append(e.queues[s.priority], s)
	e.signal()
	return ""
}

func (e *Engine) hasModel(model string) bool {
	return len(e.models) == 0 && len(e.wanted) == 0 || slices.Contains(e.models, model)
}

func (e *Engine) queuedLocked() int {
	n := 0
	for _, queue := range e.queues {
		n += len(queue)
	}
	return n
}

// signal wakes the scheduler.
func (e *Engine) signal() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

// endLocked moves a stream that has not ended to its final state.
func (e *Engine) endLocked(s *stream, state streamState) {
	if s == nil || s.ended() {
		return
	}
	s.state = state
	s.endedAt = time.Now()
	e.running = remove(e.running, s)
	e.queues[s.priority] = remove(e.queues[s.priority], s)
	s.notify()
}

func remove(streams []*stream, s *stream) []*stream {
	return slices.DeleteFunc(streams, func(other *stream) bool { return other == s })
}

// cancel ends a stream and forgets it; it reports whether there was one.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	e.endLocked(s, streamCancelled)
	delete(e.streams, id)
	return s != nil
}

// attach counts a reader of the stream, nil when the engine does not hold it.
func (e *Engine) attach(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s != nil {
		s.readers++
	}
	return s
}

func (e *Engine) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.detachedAt = time.Now()
}

// retire forgets streams that nobody has read for the hold time.
func (e *Engine) retire() {
	ticker := time.NewTicker(min(max(e.options.StreamRetention/4, 10*time.Millisecond), time.Second))
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.retireBefore(now.Add(-e.options.StreamRetention))
		case <-e.done:
			return
		}
	}
}

func (e *Engine) retireBefore(limit time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.streams {
		if s.readers > 0 || s.detachedAt.After(limit) || s.endedAt.After(limit) {
			continue
		}
		e.endLocked(s, streamCancelled)
		delete(e.streams, id)
	}
}
