package load

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventBytes limits the length of one line of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event.
type event struct {
	id   string
	name string
	data []byte
}

// eventReader reads server-sent events.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{lines: lines}
}

// next returns the next event that has data, or io.EOF at the end of the stream.
// It skips comments.
func (r *eventReader) next() (event, error) {
	var e event
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			e = event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			e.id = string(value)
		case "event":
			e.name = string(value)
		case "data":
			e.data = append(e.data, value...)
		}
	}
	if err := r.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.EOF
}
