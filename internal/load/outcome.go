package load

import (
	"time"

	"kumquatyard/internal/contract"
)

// Result is how a request ended for its caller.
type Result string

const (
	// OK is a whole and correct answer.
	OK Result = "ok"
	// Refused is an error answer with a verdict.
	Refused Result = "refused"
	// Failed is a stream that ended with an error event after it had begun.
	Failed Result = "failed"
	// Lost is an answer that broke off and could not be resumed.
	Lost Result = "lost"
	// Unsent is a request whose connection was refused.
	Unsent Result = "unsent"
	// Wrong is a whole answer with wrong bytes.
	Wrong Result = "wrong"
)

// Outcome is what the caller of a request saw.
type Outcome struct {
	Request *Request
	Result  Result
	// Verdict and ErrorType are the refusal's.
	Verdict   string
	ErrorType string
	Status    int
	// RequestID is the id that the gateway gave to the request, if it said so.
	RequestID string
	// SendDelay is how long after its arrival time the request was sent.
	SendDelay time.Duration
	// FirstToken and Total are measured from the arrival time.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the times between tokens.
	Gaps    []time.Duration
	Tokens  int
	Resumes int
	Detail  string
}

// notRun reports whether the caller was told that the request did not run.
func (o *Outcome) notRun() bool {
	return o.Result == Unsent || (o.Result == Refused && o.Verdict == contract.NotRun.String())
}
