package load

import (
	"time"

	"kumquatyard/internal/contract"
)

// Result classifies how a request ended for its caller.
type Result string

const (
	// OK is a complete and correct answer.
	OK Result = "ok"
	// Refused is an error response before any token.
	Refused Result = "refused"
	// Failed is a stream that ended with an error after its first token.
	Failed Result = "failed"
	// Lost is a missing or truncated answer that could not be resumed.
	Lost Result = "lost"
	// Unsent is a request for which no connection could be opened.
	Unsent Result = "unsent"
	// Wrong is an answer with unexpected content.
	Wrong Result = "wrong"
)

// Outcome is the result of a request as its caller saw it.
type Outcome struct {
	Request *Request
	Result  Result
	// Verdict and ErrorType are those of the error response.
	Verdict   string
	ErrorType string
	Status    int
	// RequestID is the X-Request-Id of the response, if any.
	RequestID string
	// SendDelay is the time from arrival until the request was sent.
	SendDelay time.Duration
	// FirstToken is the time from arrival to the first token, or to the response
	// of a call. Total is the time from arrival to the end.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the intervals between tokens.
	Gaps    []time.Duration
	Tokens  int
	Resumes int
	Detail  string
}

// notRun reports whether the outcome implies that the request did not run: it was
// not sent or it was refused with verdict not_run.
func (o *Outcome) notRun() bool {
	return o.Result == Unsent || (o.Result == Refused && o.Verdict == contract.NotRun.String())
}
