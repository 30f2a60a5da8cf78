package serve

import (
	"bytes"
	"mime"
	"strconv"

	"kumquatyard/internal/contract"
)

const headerContentType = "Content-Type"

// mediaType returns the media type that a Content-Type header names, without parameters; "" if it
// names none that can be read.
func mediaType(header string) string {
	name, _, err := mime.ParseMediaType(header)
	if err != nil {
		return ""
	}
	return name
}

// checkContinuation returns an error if events of an answer that was to continue a stream do not
// go on after the last event that the caller has: nothing of such an answer must reach it. Events
// that go on have ids, as those before, and the first one is later if ids are numbers. Comments may
// come first.
func (r *run) checkContinuation(events []byte) error {
	if r.continued {
		return nil
	}
	for id := range eventIDs(events) {
		r.continued = isLater(id, r.lastEvent)
		break
	}
	if r.continued || isComment(events) {
		return nil
	}
	r.execution.record(contract.MayHaveRun)
	return contract.Unavailable(contract.MayHaveRun, "the server's answer does not continue the stream after event "+r.lastEvent, nil)
}

// isLater reports whether the id of an event may come after another one: it is greater, or not both
// are numbers.
func isLater(id, last string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return err != nil || n > before
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
