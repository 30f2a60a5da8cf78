// Package answer assembles the one answer that a caller gets from the chunks
// of all attempts that produced it, and signs the tokens with which a caller
// resumes it. It is pure.
package answer

// Chunk is one token of an answer as an engine sent it.
type Chunk struct {
	// Attempt is the attempt that produced the chunk.
	Attempt uint32
	// Offset is the token's index in the whole answer.
	Offset uint32
	// Text is the token's text.
	Text string
	// Finish is the finish reason; it is set on the last token only.
	Finish string
	// Raw is the engine's encoding of the chunk.
	Raw []byte
}

// Assembler emits every token of an answer once and in order, whatever the
// order and number in which chunks arrive. Only chunks of the current attempt
// count: an earlier attempt may have sampled other tokens.
type Assembler struct {
	attempt uint32
	next    uint32
	limit   int
	ahead   map[uint32]Chunk
	done    bool
}

// NewAssembler returns an Assembler whose first emitted token has index next.
// It holds at most limit chunks that arrived ahead of order.
func NewAssembler(next uint32, limit int) *Assembler {
	return &Assembler{next: next, limit: limit, ahead: make(map[uint32]Chunk)}
}

// Next returns the index of the next token to emit.
func (a *Assembler) Next() uint32 { return a.next }

// Done reports whether the last token was emitted.
func (a *Assembler) Done() bool { return a.done }

// Begin starts an attempt; chunks of earlier attempts are dropped from now on.
// It returns the index from which the attempt has to continue. Attempts that
// are not newer than the current one are ignored.
func (a *Assembler) Begin(attempt uint32) uint32 {
	if attempt > a.attempt {
		a.attempt = attempt
		clear(a.ahead)
	}
	return a.next
}

// Add takes a chunk and appends to dst the chunks that may be emitted now. It
// reports false when the chunk is so far ahead that the attempt has to be
// started again from Next.
func (a *Assembler) Add(dst []Chunk, c Chunk) ([]Chunk, bool) {
	if a.done || c.Attempt != a.attempt || c.Offset < a.next {
		return dst, true
	}
	if c.Offset > a.next {
		return dst, a.hold(c)
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

func (a *Assembler) hold(c Chunk) bool {
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
