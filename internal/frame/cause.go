package frame

import (
	"fmt"
	"io"
)

// Cause is what may have ended the connection of an answer other than the end of the answer.
type Cause int

const (
	// NoCause means that nothing else is known to have ended it.
	NoCause Cause = iota
	// Stop means that the server was, or may have been, made to stop the work behind the answer.
	Stop
	// Deadline means that the server may have given up at the deadline that it was given.
	Deadline
	// Loss means that the server has ended.
	Loss
	// Relay means that another instance passes the answer on. It frames every answer, so that
	// only a cut leaves one without its end.
	Relay
	// Unsent means that the request could not be sent whole: the connection was reset or given up.
	Unsent
)

// String implements fmt.Stringer.
func (c Cause) String() string {
	switch c {
	case Stop:
		return "stop"
	case Deadline:
		return "deadline"
	case Loss:
		return "loss"
	case Relay:
		return "relay"
	case Unsent:
		return "unsent"
	default:
		return "none"
	}
}

// CutError means that an answer that ends with its connection may have been cut off.
type CutError struct{ Cause Cause }

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("the connection ended, which may not be the end of the answer (cause: %s)", e.Cause)
}

// End returns io.EOF if the regular end of a body is the end of its answer, and a *CutError
// otherwise. The frame of a body shows its end, whatever happens; without one, anything else that
// may have ended the connection leaves it open.
func End(f Framing, cause Cause) error {
	if f != Close || cause == NoCause {
		return io.EOF
	}
	return &CutError{Cause: cause}
}
