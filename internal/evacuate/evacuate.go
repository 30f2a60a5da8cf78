// Package evacuate plans how to evacuate the requests that run on servers about
// to be reclaimed. All requests of all these servers are planned together,
// within the notice, the link bandwidth and the capacity of the receivers.
package evacuate

import (
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
)

// Kind is the way in which a request is evacuated.
type Kind uint8

const (
	// Finish leaves the request on its server, where it ends within the notice.
	Finish Kind = iota + 1
	// Export moves the KV cache to a receiver; nothing is recomputed.
	Export
	// Resume continues the request at a receiver that has cached a prefix.
	Resume
	// Recompute continues the request at a receiver that has to recompute all
	// tokens.
	Recompute
	// Requeue returns the request to the gateway's queue at the end of the notice,
	// because no receiver has the capacity.
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

// PrefixHolder is a server that has cached a prefix of a request.
type PrefixHolder struct {
	Server machine.ID
	// Tokens is the length of the prefix.
	Tokens int
}

// Request is a request that runs on a leaving server.
type Request struct {
	ID     uint64
	Server machine.ID
	// PromptTokens and GeneratedTokens are in the server's KV cache and are lost
	// with it.
	PromptTokens    int
	GeneratedTokens int
	// RemainingTokens is the maximum number of tokens still to be generated.
	RemainingTokens int
	// Deadline is when the next token is due; zero means none.
	Deadline time.Time
	Priority contract.Priority
	// Holders lists other servers that have cached a prefix.
	Holders []PrefixHolder
}

// computedTokens returns the number of tokens in the KV cache, which have to be
// recomputed unless they are exported or cached elsewhere.
func (r *Request) computedTokens() int { return r.PromptTokens + r.GeneratedTokens }

// LeavingServer is a server that is about to be reclaimed.
type LeavingServer struct {
	ID machine.ID
	// Notice is the time until the server is stopped.
	Notice time.Duration
	// BytesPerSecond is the bandwidth for exports; 0 means that the server cannot
	// export.
	BytesPerSecond float64
	// TokensPerSecond is the generation rate of one request.
	TokensPerSecond float64
}

// Receiver is a server that can take over requests.
type Receiver struct {
	ID machine.ID
	// Requests and Tokens are the free capacity of the server.
	Requests int
	Tokens   int
	// ImportsKV is true if the server can import a KV cache.
	ImportsKV bool
	// BytesPerSecond is the bandwidth for imports.
	BytesPerSecond float64
}

// Input is the evacuation to be planned.
type Input struct {
	Requests  []Request
	Leaving   []LeavingServer
	Receivers []Receiver
	// Started lists the actions of an earlier plan that are in progress. The
	// capacity they use must already be subtracted from Receivers. A request whose
	// receiver is now leaving is planned again.
	Started []Action
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken float64
	// Margin is the time kept free at the end of each notice.
	Margin time.Duration
}

// Action is the planned evacuation of one request.
type Action struct {
	Request uint64
	Kind    Kind
	// From is the leaving server and To the receiver, if any.
	From, To machine.ID
	// Start is when the action begins, relative to the plan, and End when an export
	// ends.
	Start, End time.Duration
	// Tokens is the capacity that the request needs at the receiver.
	Tokens int
	// Recomputed is the number of tokens to be recomputed.
	Recomputed int
}
