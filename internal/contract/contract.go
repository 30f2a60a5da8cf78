package contract

import "time"

// Priority orders requests that compete for a server.
type Priority uint8

const (
	// Interactive requests have a person waiting.
	Interactive Priority = iota + 1
	// Deferrable requests may wait for capacity that is already paid for.
	Deferrable
)

// String returns the name used in rules.
func (p Priority) String() string {
	if p == Deferrable {
		return "deferrable"
	}
	return "interactive"
}

// Target is the kind of backend that serves a contract.
type Target uint8

const (
	// Model contracts are served by model engines.
	Model Target = iota + 1
	// Service contracts are served by plain services.
	Service
)

// Contract is the treatment that the rules give to a class of requests.
type Contract struct {
	// Name identifies the contract in metrics and logs.
	Name string
	// Method and PathPrefix select the requests; an empty method selects all.
	Method     string
	PathPrefix string
	Target     Target
	// Pool names the group of servers that serves the contract.
	Pool string
	// Idempotent requests may be retried and hedged.
	Idempotent bool
	// KeyRequired refuses requests without an Idempotency-Key header.
	KeyRequired bool
	Priority    Priority
	// Deadline bounds the time to the first byte of the answer.
	Deadline time.Duration
	// MaxBodyBytes bounds the request body.
	MaxBodyBytes int
}
