// Package evacuate plans what becomes of the requests that run on servers
// which are about to be reclaimed. A whole wave is planned at once, within the
// notice, the link bandwidth and the receivers' room.
package evacuate

import (
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
)

// Kind is what becomes of a request.
type Kind uint8

const (
	// Finish leaves the request where it is: it ends within the notice.
	Finish Kind = iota + 1
	// Export moves the KV cache to a receiver; nothing is recomputed.
	Export
	// Resume goes on at a receiver that holds a cached prefix.
	Resume
	// Recompute starts over at a receiver.
	Recompute
	// Requeue returns the request to the gateway's queue, since no receiver
	// has room.
	Requeue
)

var kindNames = [...]string{"none", "finish", "export", "resume", "recompute", "requeue"}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// PrefixHolder is a server that caches a prefix of a request's tokens.
type PrefixHolder struct {
	Server machine.ID
	Tokens int
}

// Request is a request that runs on a leaving server.
type Request struct {
	ID     uint64
	Server machine.ID
	// PromptTokens and GeneratedTokens are in the server's KV cache and lost
	// with it.
	PromptTokens    int
	GeneratedTokens int
	// RemainingTokens is the most that is still to be generated.
	RemainingTokens int
	// Deadline is when the next token is due; zero is never.
	Deadline time.Time
	Priority contract.Priority
	// Holders lists other servers that cache a prefix.
	Holders []PrefixHolder
}

// atStake returns the tokens that are computed again when nothing is saved.
func (r *Request) atStake() int { return r.PromptTokens + r.GeneratedTokens }

// LeavingServer is a server that is about to be reclaimed.
type LeavingServer struct {
	ID machine.ID
	// Notice is the time until it is stopped.
	Notice time.Duration
	// BytesPerSecond is its bandwidth for exports; 0 means that it exports nothing.
	BytesPerSecond float64
	// TokensPerSecond is the generation rate of one request.
	TokensPerSecond float64
}

// Receiver is a server that stays.
type Receiver struct {
	ID machine.ID
	// Requests and Tokens are the room that it has.
	Requests int
	Tokens   int
	// ImportsKV is true when it can import a KV cache.
	ImportsKV bool
	// BytesPerSecond is its bandwidth for imports.
	BytesPerSecond float64
}

// Input is a wave to be planned.
type Input struct {
	Requests  []Request
	Leaving   []LeavingServer
	Receivers []Receiver
	// Started are the actions of an earlier plan that are under way.
	// Receivers' room must not count them; those whose receiver leaves itself
	// are planned again.
	Started []Action
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken float64
	// Margin is kept free at the end of each notice.
	Margin time.Duration
}

// Action is what becomes of one request.
type Action struct {
	Request uint64
	Kind    Kind
	// From is the leaving server and To the receiver, if any.
	From, To machine.ID
	// Start and End bound an export, counted from the time of the plan.
	Start, End time.Duration
	// Tokens is the room taken at the receiver.
	Tokens int
	// Recomputed are the tokens computed again.
	Recomputed int
}
