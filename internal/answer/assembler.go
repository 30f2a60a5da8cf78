// Package answer assembles the answer to a caller from the chunks of all attempts
// that produce it, and signs the tokens with which a caller resumes it. It does no
// I/O.
package answer

// Chunk is one token of an answer as an engine sent it.
type Chunk struct {
	// Attempt is the attempt that produced the chunk.
	Attempt uint32
	// Offset is the token's index in the whole answer.
	Offset uint32
	// Text is the token's text.
	Text string
	// Finish is the finish reason; it is set only on the last token.
	Finish string
	// Raw is the engine's encoding of the chunk.
	Raw []byte
}

// completeReasons are the finish reasons that the OpenAI API defines.
var completeReasons = map[string]bool{"stop": true, "length": true, "content_filter": true, "tool_calls": true, "function_call": true}

// IsComplete reports whether an answer with a finish reason is complete. Any other reason, such as
// "abort", means that the engine stopped the run before its last token.
func IsComplete(finish string) bool { return completeReasons[finish] }

// Assembler emits every token of an answer once and in order, even if chunks
// arrive out of order or repeatedly. It ignores chunks of earlier attempts,
// which may have sampled other tokens.
type Assembler struct {
	attempt uint32
	next    uint32
	limit   int
	ahead   map[uint32]Chunk
	done    bool
}

// NewAssembler returns an Assembler that emits tokens from index next. It buffers
// at most limit chunks that arrive ahead of their turn.
func NewAssembler(next uint32, limit int) *Assembler {
	return &Assembler{next: next, limit: limit, ahead: make(map[uint32]Chunk)}
}

// Next returns the index of the next token to emit.
func (a *Assembler) Next() uint32 { return a.next }

// Done reports whether the last token has been emitted.
func (a *Assembler) Done() bool { return a.done }

// Begin starts an attempt and returns the index of the first token that it has to
// produce. Chunks of earlier attempts are ignored from now on. Begin does not
// start an attempt that is not newer than the current one.
func (a *Assembler) Begin(attempt uint32) uint32 {
	if attempt > a.attempt {
		a.attempt = attempt
		clear(a.ahead)
	}
	return a.next
}

// Add adds a chunk and appends the chunks that can be emitted now to dst. It
// reports false if the chunk is ahead and the buffer is full; the attempt then
// has to be restarted from Next.
func (a *Assembler) Add(dst []Chunk, c Chunk) ([]Chunk, bool) {
	if a.done || c.Attempt != a.attempt || c.Offset < a.next {
		return dst, true
	}
	if c.Offset > a.next {
		return dst, a.buffer(c)
	}
	dst = a.emit(dst, c)
	for !a.done {
		held, ok := a.ahead[a.next]
		if !ok {
			break
		}
		delete(a.ahead, a.next)
		dst = a.emit(dst, held)
	}
	return dst, true
}

func (a *Assembler) buffer(c Chunk) bool {
	if _, ok := a.ahead[c.Offset]; !ok && len(a.ahead) >= a.limit {
		return false
	}
	a.ahead[c.Offset] = c
	return true
}

func (a *Assembler) emit(dst []Chunk, c Chunk) []Chunk {
	a.next++
	if c.Finish != "" {
		a.done = true
		clear(a.ahead)
	}
	return append(dst, c)
}
