// Package frame decides whether an answer of a server is whole: from the framing that the server
// chose, for a stream of events from its last event, and for a body that ends with its connection
// from what else may have ended that.
package frame

import "net/http"

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

// Of returns the framing of an answer. One that has no body, by its status or its
// request's method, has the length 0.
func Of(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return Chunks
	case resp.ContentLength >= 0 || resp.StatusCode == http.StatusNotModified || resp.Request != nil && resp.Request.Method == http.MethodHead:
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
