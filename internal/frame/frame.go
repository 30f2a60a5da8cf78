// Package frame decides whether an answer of a server is whole, from the framing that
// the server chose and, for a stream of events, from its last event.
package frame

// Framing is how the end of an answer's body is marked.
type Framing int

const (
	// Length means that the header gives the number of bytes.
	Length Framing = iota
	// Chunks means that the body comes in chunks, of which the last is empty.
	Chunks
	// Close means that the body ends with its connection, so that nothing but a reset
	// shows that bytes are missing.
	Close
)

// Of returns the framing of a body whose header gives length bytes, -1 if it gives none.
func Of(length int64, chunked bool) Framing {
	switch {
	case chunked:
		return Chunks
	case length >= 0:
		return Length
	default:
		return Close
	}
}

// String implements fmt.Stringer.
func (f Framing) String() string {
	switch f {
	case Length:
		return "length"
	case Chunks:
		return "chunks"
	default:
		return "close"
	}
}
