// Package contract defines what kumquatyard guarantees to a caller: the contract
// of a request with its priority and deadline, and the verdict on a failed
// request, which says whether it may have run.
package contract

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run on a backend server.
type Verdict uint8

const (
	// NotRun means that no byte of the request can have reached a server, or that
	// the server is known not to have executed it.
	NotRun Verdict = iota + 1
	// MayHaveRun means that it is unknown whether a server executed the request.
	MayHaveRun
	// Ran means that a server is known to have executed the request.
	Ran
)

// String returns the verdict's name on the wire.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// ParseVerdict returns the verdict with a name on the wire.
func ParseVerdict(name string) (Verdict, bool) {
	for v := NotRun; v <= Ran; v++ {
		if v.String() == name {
			return v, true
		}
	}
	return 0, false
}

// ErrorKind classifies an error by what the caller can do about it.
type ErrorKind uint8

const (
	// KindInvalid is a malformed request.
	KindInvalid ErrorKind = iota + 1
	// KindUnauthorized is a missing or unknown API key.
	KindUnauthorized
	// KindConflict is an idempotency key that is in use, or that was used for
	// another request.
	KindConflict
	// KindTooLarge is a body over the limit.
	KindTooLarge
	// KindOverloaded is a refusal by admission control.
	KindOverloaded
	// KindUnavailable means that no server or no platform service could be reached.
	KindUnavailable
	// KindDeadline means that the request's deadline passed or cannot be met.
	KindDeadline
	// KindNotFound is a path, model or stream that is not configured.
	KindNotFound
)

var kindNames = map[ErrorKind]string{
	KindInvalid:      "invalid_request",
	KindUnauthorized: "unauthorized",
	KindConflict:     "conflict",
	KindTooLarge:     "too_large",
	KindOverloaded:   "overloaded",
	KindUnavailable:  "unavailable",
	KindDeadline:     "deadline",
	KindNotFound:     "not_found",
}

// String returns the kind's name on the wire.
func (k ErrorKind) String() string { return kindNames[k] }

// ParseKind returns the kind with a name on the wire.
func ParseKind(name string) (ErrorKind, bool) {
	for kind := KindInvalid; kind.String() != ""; kind++ {
		if kind.String() == name {
			return kind, true
		}
	}
	return 0, false
}

var kindStatuses = map[ErrorKind]int{
	KindInvalid:      400,
	KindUnauthorized: 401,
	KindConflict:     409,
	KindTooLarge:     413,
	KindOverloaded:   429,
	KindUnavailable:  503,
	KindDeadline:     504,
	KindNotFound:     404,
}

// Status returns the HTTP status code with which the kind is reported.
func (k ErrorKind) Status() int {
	if status, ok := kindStatuses[k]; ok {
		return status
	}
	return 500
}

// Error is the refusal or failure of a request, with its verdict.
type Error struct {
	Kind    ErrorKind
	Verdict Verdict
	Message string
	// RetryAfter is how long the caller should wait before a retry; 0 means that a
	// retry of the same request does not help.
	RetryAfter time.Duration
	// Err is the cause, if any.
	Err error
}

// Unavailable returns an error of KindUnavailable for a failed call to a server
// or a platform service. err is the cause, if any.
func Unavailable(verdict Verdict, message string, err error) *Error {
	return &Error{Kind: KindUnavailable, Verdict: verdict, Message: message, Err: err}
}

// Refusal returns an error with the verdict NotRun. retryAfter is how long the
// caller should wait before a retry, 0 if a retry does not help.
func Refusal(kind ErrorKind, retryAfter time.Duration, message string) *Error {
	return &Error{Kind: kind, Verdict: NotRun, Message: message, RetryAfter: retryAfter}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s): %s", e.Kind, e.Verdict, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %v", e.Kind, e.Verdict, e.Message, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// VerdictOf returns the verdict of the Error in err's chain. Without one it
// returns MayHaveRun, the only verdict that cannot be wrong.
func VerdictOf(err error) Verdict {
	var e *Error
	if errors.As(err, &e) && e.Verdict != 0 {
		return e.Verdict
	}
	return MayHaveRun
}
