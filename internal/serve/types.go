// Package serve runs a request in kumquat-entry: it sends the request to backend
// servers, one attempt after the other, until the caller has one complete answer or
// an error whose verdict says whether the request ran. It is independent of the
// protocols of callers and servers, which implementations of Caller and Backend handle.
package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/frame"
	"kumquatyard/internal/ratelimit"
)

// Request is one request of a caller.
type Request struct {
	// ID is the caller's id of this attempt, unique over all callers.
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	// Header holds the headers that are forwarded to servers unchanged.
	Header http.Header
	Body   []byte

	Route *fleet.Route
	// Workspace is nil on public routes.
	Workspace *fleet.Workspace
	// Prompt is nil for plain services.
	Prompt *forecast.Prompt
	// LastEventID is the id of the last event that the caller received of a stream
	// that it resumes; empty for a new stream.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream that the
	// caller resumes; empty for a new stream.
	Resumes string

	// HandedOver is set if another instance has handed the request over, which has charged it
	// and hands it to nobody else.
	HandedOver bool
	// AttemptLimit is the number of servers to which a request that was handed over may still be
	// sent; otherwise the route's MaxAttempts counts.
	AttemptLimit int

	Arrived time.Time
	// Deadline is when the caller stops waiting, and Timeout when the route requires
	// the final answer. Zero means no limit.
	Deadline time.Time
	Timeout  time.Time
}

// MaxAttempts returns the number of servers to which the request may be sent.
func (r *Request) MaxAttempts() int {
	if r.HandedOver && r.AttemptLimit > 0 {
		return r.AttemptLimit
	}
	return max(r.Route.MaxAttempts, 1)
}

// IsResumption reports whether the caller resumes a stream.
func (r *Request) IsResumption() bool { return r.LastEventID != "" }

// StreamID identifies the request's stream: the ID of the request that brought its first
// event. It is empty if a caller that resumes a stream does not say.
func (r *Request) StreamID() string {
	if r.IsResumption() {
		return r.Resumes
	}
	return r.ID
}

// EffectiveDeadline returns the earlier of Deadline and Timeout, by which the final
// answer is due; zero when neither is set.
func (r *Request) EffectiveDeadline() time.Time {
	if r.Deadline.IsZero() || (!r.Timeout.IsZero() && r.Timeout.Before(r.Deadline)) {
		return r.Timeout
	}
	return r.Deadline
}

// PromptTokens returns the length of the prompt, 0 if the request describes none.
func (r *Request) PromptTokens() int {
	if r.Prompt == nil {
		return 0
	}
	return r.Prompt.Tokens
}

// WorkspaceName returns the workspace's name, empty on public routes.
func (r *Request) WorkspaceName() string {
	if r.Workspace == nil {
		return ""
	}
	return r.Workspace.Name
}

// Priority returns the rank of the request among those of its pool: 0 is served
// first. A workspace's priority overrides that of the route.
func (r *Request) Priority() int {
	if r.Workspace != nil && r.Workspace.HasPriority {
		return r.Workspace.Priority
	}
	return r.Route.Priority
}

// Attempt is one transmission of a request to a server.
type Attempt struct {
	Request *Request
	Server  *fleet.Server
	// LastEventID is the id of the event after which the answer resumes.
	LastEventID string
	// Deadline is when the server may abort the request; zero means no limit.
	Deadline time.Time
	// MaxConnections bounds this instance's connections to the server; 0 means no limit.
	MaxConnections int
	// Continue names the KV cache of the stopped run that the attempt continues; its
	// ID is empty for a new run.
	Continue Handle
	// Wanted reports whether the server still accepts requests. It is called right before
	// the request is sent, as the server may have turned others away meanwhile.
	Wanted func() bool
}

// Answer is a server's answer to an attempt.
type Answer struct {
	Status int
	// Header holds the headers that are forwarded to the caller unchanged.
	Header http.Header
	// Length is the length of the body, -1 when it is unknown.
	Length int64
	// Framing is how the server marks the end of the body.
	Framing frame.Framing
	Body    io.ReadCloser
	// Refused is set when the server states that it did not run the request.
	Refused bool
	// Misdirected is set when the address now belongs to another server.
	Misdirected bool
	// Authentic is set when the answer carries the server's proof that it is its own.
	Authentic bool
	// Load is the server's load, nil when it reported none.
	Load *Load
	// Leaving is set when the server states that it is leaving.
	Leaving bool
	// RetryAfter is how long the server wants no further requests; 0 when it did not say
	// so.
	RetryAfter time.Duration
	// Brittle is set if the server states that it falls over when it has to turn many requests
	// away for want of room.
	Brittle bool
	// RateLimit is the rate of requests that the server takes from all instances.
	RateLimit ratelimit.Limit
}

// Load is the load that a server reports with an answer.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how much longer than usual work takes on the server's machine at present; 1 is
	// as usual, and 0 unknown.
	Slowdown float64
}

// report returns the load as the Predictor takes it.
func (l *Load) report() forecast.Report {
	return forecast.Report{Active: l.Running + l.Waiting, Waiting: l.Waiting, Slowdown: l.Slowdown}
}

// ErrNoConnection means that this instance's connections to a server are all in
// use and that nothing was sent.
var ErrNoConnection = errors.New("all of this instance's connections to the server are in use")

// ErrUnwanted means that an attempt's Wanted returned false and that nothing was sent.
var ErrUnwanted = errors.New("the server accepts no requests at present")

// Backend sends attempts to servers. Its errors are *contract.Error, whose verdict
// says whether the attempt may have run.
type Backend interface {
	Send(ctx context.Context, a *Attempt) (*Answer, error)
}

// Caller receives the answer to a request.
type Caller interface {
	// Begin sends the status and headers. A length of -1 means that the length is
	// not known yet.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the body without buffering it.
	Write(p []byte) error
}
