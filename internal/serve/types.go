// Package serve is the path of a request: a typed request is driven over
// attempts at backend servers to one whole answer or an honest refusal. It
// knows neither the protocol of callers nor that of servers.
package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
)

// Request is one request of a caller.
type Request struct {
	// ID is the caller's id of this attempt, unique over all callers.
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	// Header holds the headers that servers get as they are.
	Header http.Header
	Body   []byte

	Route *fleet.Route
	// Workspace is nil on public routes.
	Workspace *fleet.Workspace
	// Prompt is nil for plain services.
	Prompt *forecast.Prompt
	// LastEventID is the id of the last event that the caller has of a stream that
	// it resumes; empty at the start.
	LastEventID string

	Arrived time.Time
	// Deadline is when the caller leaves, and Timeout when the route's rule
	// wants the final answer; zero is never.
	Deadline time.Time
	Timeout  time.Time
}

// EffectiveDeadline is when the final answer is due; zero is never.
func (r *Request) EffectiveDeadline() time.Time {
	if r.Deadline.IsZero() || (!r.Timeout.IsZero() && r.Timeout.Before(r.Deadline)) {
		return r.Timeout
	}
	return r.Deadline
}

// WorkspaceName returns the workspace's name, empty on public routes.
func (r *Request) WorkspaceName() string {
	if r.Workspace == nil {
		return ""
	}
	return r.Workspace.Name
}

// Priority ranks the request among those of its pool: 0 goes first. A workspace's
// goes before the route's.
func (r *Request) Priority() int {
	if r.Workspace != nil && r.Workspace.HasPriority {
		return r.Workspace.Priority
	}
	return r.Route.Priority
}

// Attempt is one send of a request to a server.
type Attempt struct {
	Request *Request
	Server  *fleet.Server
	// LastEventID is the id of the last event that the answer goes on after.
	LastEventID string
	// Deadline is when the server may stop its work; zero is never.
	Deadline time.Time
	// MaxConnections bounds this instance's connections to the server; 0 does not.
	MaxConnections int
	// Continue names the memory of the stopped run that the attempt goes on with;
	// its ID is empty for one that starts anew.
	Continue Handle
}

// Answer is a server's answer to an attempt.
type Answer struct {
	Status int
	// Header holds the headers that the caller gets as they are.
	Header http.Header
	// Length is the length of the body, -1 when it is not known.
	Length int64
	Body   io.ReadCloser
	// Refused is set when the server states that it did not run the request.
	Refused bool
	// Misdirected is set when another server has the address.
	Misdirected bool
	// Authentic is set when the server vouches for the answer as its own.
	Authentic bool
	// Load is the server's load, if it tells.
	Load *Load
}

// Load is what a server says of its work beside an answer.
type Load struct{ Running, Waiting, Slots int }

// ErrNoConnection means that all connections that this instance may have to a
// server are in use: nothing was sent.
var ErrNoConnection = errors.New("no connection to the server is free")

// Backend sends attempts to servers. Errors are *contract.Error, whose verdict
// says whether the attempt may have run.
type Backend interface {
	Send(ctx context.Context, a *Attempt) (*Answer, error)
}

// Caller receives the answer to a request.
type Caller interface {
	// Begin sends the status and headers; a length of -1 is not known yet.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the body at once.
	Write(p []byte) error
}
