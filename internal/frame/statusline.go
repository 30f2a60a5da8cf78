package frame

import (
	"fmt"
	"net/http"
)

// StatusLineBytes is the length of a status line up to the character after the status.
const StatusLineBytes = len("HTTP/1.1 200 ")

// StatusLineError means that what was sent is no answer: it does not begin with a status line of
// HTTP/1.0 or HTTP/1.1, or its status is that of neither a final answer nor an interim one.
type StatusLineError struct{ Line string }

// Error implements error.
func (e *StatusLineError) Error() string { return fmt.Sprintf("%q begins no answer", e.Line) }

// ParseStatusLine returns the status in the first StatusLineBytes of an answer, from 100 to 599 and
// not 101, or a *StatusLineError. It is for readers that do not tell a status of 000 from 200.
func ParseStatusLine(line []byte) (status int, err error) {
	const version = "HTTP/1.1 "
	malformed := &StatusLineError{Line: string(line)}
	if len(line) < StatusLineBytes {
		return 0, malformed
	}
	switch string(line[:len(version)]) {
	case version, "HTTP/1.0 ":
	default:
		return 0, malformed
	}
	for _, digit := range line[len(version) : StatusLineBytes-1] {
		if digit < '0' || digit > '9' {
			return 0, malformed
		}
		status = 10*status + int(digit-'0')
	}
	switch line[StatusLineBytes-1] {
	case ' ', '\r', '\n':
	default:
		return 0, malformed
	}
	if status < minInterimStatus || status > maxFinalStatus || status == http.StatusSwitchingProtocols {
		return 0, malformed
	}
	return status, nil
}
