package standin

import (
	"strings"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/prefix"
)

// streamState is the phase of a stream; it only moves to larger values.
type streamState uint8

const (
	streamQueued streamState = iota
	streamPrefill
	streamDecode
	// streamDone has generated its whole answer.
	streamDone
	// streamCancelled was cancelled, exported or abandoned.
	streamCancelled
)

// stream is one request on an engine. Engine.mu guards it.
type stream struct {
	id       string
	model    string
	prompt   string
	max      int
	attempt  int
	priority contract.Priority

	tokens []string
	// start is the number of tokens that were delivered before this run.
	start int
	// emitted is the number of tokens that exist, delivered ones included.
	emitted int
	state   streamState
	// imported streams came with their KV cache.
	imported bool

	// promptLeft and continuedLeft are the tokens still to be prefilled.
	promptLeft    int
	continuedLeft int
	promptTokens  int
	cachedTokens  int

	readers    int
	detachedAt time.Time
	endedAt    time.Time
	changed    chan struct{}
}

func newStream(id string, r *ChatRequest, offset int, now time.Time) *stream {
	prompt := r.Prompt()
	tokens := Answer(r.Model, prompt, r.MaxTokens)
	offset = min(max(offset, 0), len(tokens))
	return &stream{
		id:         id,
		model:      r.Model,
		prompt:     prompt,
		max:        r.MaxTokens,
		tokens:     tokens,
		start:      offset,
		emitted:    offset,
		detachedAt: now,
		changed:    make(chan struct{}),
	}
}

// notify wakes the stream's readers.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) ended() bool { return s.state >= streamDone }

// chain names the blocks of the prompt and the tokens that exist.
func (s *stream) chain() []uint64 {
	text := s.prompt + strings.Join(s.tokens[:s.emitted], "")
	return prefix.Chain(nil, s.model, []byte(text))
}

// plan works out what has to be prefilled when cachedBlocks are held.
func (s *stream) plan(cachedBlocks int) {
	cachedBytes := cachedBlocks * prefix.BlockBytes
	s.promptTokens = prefix.Tokens(len(s.prompt))
	s.promptLeft, s.continuedLeft = 0, 0
	s.cachedTokens = s.promptTokens + s.start
	if s.imported {
		return
	}
	s.promptLeft = prefix.Tokens(max(0, len(s.prompt)-cachedBytes))
	at := len(s.prompt)
	for _, token := range s.tokens[:s.start] {
		if at >= cachedBytes {
			s.continuedLeft++
		}
		at += len(token)
	}
	s.cachedTokens = s.promptTokens - s.promptLeft + s.start - s.continuedLeft
}

// work returns the tokens of work not yet done.
func (s *stream) work() int {
	left := len(s.tokens) - s.emitted
	if s.state == streamQueued {
		return left + prefix.Tokens(len(s.prompt)) + s.start
	}
	return left + s.promptLeft + s.continuedLeft
}
