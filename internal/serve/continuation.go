package serve

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"

	"kumquatyard/internal/contract"
)

// mediaType returns the media type of an answer, without parameters; "" if it names none that
// can be read.
func mediaType(h http.Header) string {
	name, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return name
}

// continues reports whether the first events of an answer go on after the last event that the
// caller has: they have ids, as those before, and the first one is later if ids are numbers.
// Comments may come first.
func continues(events []byte, last string) bool {
	id, ok := firstEventID(events)
	if !ok {
		return isComment(events)
	}
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	first, err := strconv.ParseUint(id, 10, 64)
	return err != nil || first > before
}

// firstEventID returns the id of the first event that has one.
func firstEventID(events []byte) (string, bool) {
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// isComment reports whether all lines are comments of an event stream, or empty.
func isComment(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// checkContinuation returns an error if an answer that was to continue a stream is something
// else: nothing of it must reach the caller.
func (r *run) checkContinuation(events []byte) error {
	if r.continued {
		return nil
	}
	if !continues(events, r.lastEvent) {
		r.mayHaveRun = true
		return contract.Unavailable(contract.MayHaveRun, "the server's answer does not continue the stream after event "+r.lastEvent, nil)
	}
	r.continued = !isComment(events)
	return nil
}
