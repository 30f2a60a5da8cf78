package frame

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	readChunkBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 64 << 10
)

var (
	// ErrInsideEvent means that a stream ended inside an event.
	ErrInsideEvent = errors.New("the stream ended inside an event")
	// ErrNoEvent means that a stream that ends with its connection ended before its
	// first event, which nothing tells from a server that was lost.
	ErrNoEvent = errors.New("the connection ended before the first event")
	// ErrEventTooLong means that an event exceeds its bound.
	ErrEventTooLong = fmt.Errorf("event of the stream exceeds %d bytes", maxEventBytes)
)

// Events splits the body of a stream into complete events.
type Events struct {
	source  io.Reader
	framing Framing
	// seen is set once an event was complete.
	seen    bool
	pending []byte
	chunk   []byte
	err     error
}

// NewEvents returns the events of a body with the given framing.
func NewEvents(source io.Reader, framing Framing) *Events {
	return &Events{source: source, framing: framing, chunk: make([]byte, readChunkBytes)}
}

// Next returns one or more complete events as soon as they arrive. At the end of the
// stream it returns io.EOF if the stream is whole, and otherwise the reason why it is
// not. It never returns bytes of an incomplete event.
func (e *Events) Next() ([]byte, error) {
	for {
		if e.err != nil {
			return e.end()
		}
		n, err := e.source.Read(e.chunk)
		e.pending = append(e.pending, e.chunk[:n]...)
		e.err = err
		if end := completeLength(e.pending); end > 0 {
			e.seen = true
			events := bytes.Clone(e.pending[:end])
			e.pending = append(e.pending[:0], e.pending[end:]...)
			return events, nil
		}
		if len(e.pending) > maxEventBytes {
			e.err = ErrEventTooLong
		}
	}
}

// IncompleteBytes returns the number of bytes after the last complete event.
func (e *Events) IncompleteBytes() int { return len(e.pending) }

// end returns io.EOF, with line ends that may follow the last event, if the body ended as
// a whole stream does.
func (e *Events) end() ([]byte, error) {
	if !errors.Is(e.err, io.EOF) {
		return nil, e.err
	}
	if len(bytes.Trim(e.pending, "\r\n")) > 0 {
		return nil, ErrInsideEvent
	}
	if e.framing == Close && !e.seen {
		return nil, ErrNoEvent
	}
	rest := e.pending
	e.pending = nil
	return rest, io.EOF
}

// completeLength returns the length of the complete events at the start of b. An event
// ends with an empty line; lines end with LF or CRLF.
func completeLength(b []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\n\r\n")} {
		if i := bytes.LastIndex(b, separator); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}
