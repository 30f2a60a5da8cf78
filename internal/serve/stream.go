package serve

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
)

// eventReader splits a stream into complete events.
type eventReader struct {
	source  io.Reader
	pending []byte
	chunk   []byte
	err     error
	// incomplete is the number of bytes after the last complete event, set at the end.
	incomplete int
}

const (
	readChunkBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var errEventTooLong = fmt.Errorf("event of the stream exceeds %d bytes", maxEventBytes)

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, chunk: make([]byte, readChunkBytes)}
}

// next returns one or more complete events as soon as they arrive. At the end of the
// stream it returns the remaining bytes and io.EOF. After a failure it drops an
// incomplete event.
func (e *eventReader) next() ([]byte, error) {
	for {
		if e.err != nil {
			return e.rest()
		}
		n, err := e.source.Read(e.chunk)
		e.pending = append(e.pending, e.chunk[:n]...)
		e.err = err
		if end := lastEventEnd(e.pending); end > 0 {
			events := bytes.Clone(e.pending[:end])
			e.pending = append(e.pending[:0], e.pending[end:]...)
			return events, nil
		}
		if len(e.pending) > maxEventBytes {
			e.err = errEventTooLong
		}
	}
}

// rest returns the remaining bytes after a regular end of the stream.
func (e *eventReader) rest() ([]byte, error) {
	e.incomplete = len(e.pending)
	if errors.Is(e.err, io.EOF) {
		rest := e.pending
		e.pending = nil
		return rest, e.err
	}
	return nil, e.err
}

// lastEventEnd returns the length of the complete events at the start of b.
func lastEventEnd(b []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, separator); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}

// lastEventID returns the id of the last event that has one, or "".
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// relayStream forwards events as they arrive. After a failure, a resumable stream
// continues at another server.
func (r *run) relayStream(a *Answer, job *forecast.Job, server *fleet.Server, stopTimer func()) (done bool, err error) {
	if !a.Authentic {
		return false, r.recordUnauthenticated()
	}
	a.Length = -1
	events := newEventReader(a.Body)
	registered := false
	for {
		part, err := events.next()
		r.incompleteBytes = events.incomplete
		if len(part) > 0 {
			stopTimer()
			job.FirstToken(time.Now())
			if err := r.forward(a, part); err != nil {
				return true, err
			}
		}
		if err == nil && !registered {
			registered = true
			r.server.streams.add(server, r)
			defer r.server.streams.remove(server.ID, r)
		}
		if err != nil {
			if moved := r.server.streams.remove(server.ID, r).outcome(); moved != nil {
				return false, moved
			}
		}
		if errors.Is(err, io.EOF) {
			r.server.observe(server.ID, false)
			return true, r.begin(a)
		}
		if err != nil {
			r.mayHaveRun = true
			if r.ctx.Err() == nil {
				r.server.observe(server.ID, true)
			}
			return false, contract.Unavailable(contract.MayHaveRun, "the server's stream broke off", err)
		}
	}
}

// forward sends complete events to the caller and records the last event id.
func (r *run) forward(a *Answer, events []byte) error {
	if err := r.begin(a); err != nil {
		return err
	}
	if id := lastEventID(events); id != "" {
		r.lastEvent = id
	}
	if err := r.caller.Write(events); err != nil {
		return ErrTruncated
	}
	return nil
}
