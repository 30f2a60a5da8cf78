package standin

import (
	"strings"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/prefix"
)

// streamState is the phase of a stream; its value only increases.
type streamState uint8

const (
	streamQueued streamState = iota
	streamPrefill
	streamDecode
	// streamDone means that the whole answer is generated.
	streamDone
	// streamCanceled means that the stream was canceled, exported, replaced
	// or evicted.
	streamCanceled
)

// stream is the state of one request on an engine. Engine.mu guards it.
type stream struct {
	id        string
	model     string
	prompt    string
	maxTokens int
	attempt   int
	priority  contract.Priority

	tokens []string
	// start is the number of tokens delivered before this run.
	start int
	// emitted is the number of tokens generated so far, including those
	// delivered before this run.
	emitted int
	state   streamState
	// imported is set if the stream was imported with its KV cache.
	imported bool

	// promptLeft and continuedLeft count the prompt tokens and the tokens
	// before start that are still to be prefilled.
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
		maxTokens:  r.MaxTokens,
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

// chain returns the block hashes of the prompt and the tokens generated so far.
func (s *stream) chain() []uint64 {
	text := s.prompt + strings.Join(s.tokens[:s.emitted], "")
	return prefix.Chain(nil, s.model, []byte(text))
}

// planPrefill determines which tokens have to be prefilled if the first
// cachedBlocks blocks are cached.
func (s *stream) planPrefill(cachedBlocks int) {
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

// remainingTokens returns the number of tokens still to be prefilled or
// generated.
func (s *stream) remainingTokens() int {
	left := len(s.tokens) - s.emitted
	if s.state == streamQueued {
		return left + prefix.Tokens(len(s.prompt)) + s.start
	}
	return left + s.promptLeft + s.continuedLeft
}
