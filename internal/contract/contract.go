package contract

import "time"

// Priority ranks requests that compete for a server.
type Priority uint8

const (
	// Interactive requests have a user waiting for the answer.
	Interactive Priority = iota + 1
	// Deferrable requests may wait until capacity that is already paid for is free.
	Deferrable
)

// String returns the priority's name in rules.
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

// Contract says how a class of requests is served. The rules define it.
type Contract struct {
	// Name identifies the contract in metrics and logs.
	Name string
	// Method and PathPrefix select the requests; an empty Method matches any.
	Method     string
	PathPrefix string
	Target     Target
	// Pool names the group of servers that serves the contract.
	Pool string
	// Idempotent requests may be retried and hedged.
	Idempotent bool
	// KeyRequired means that requests without an Idempotency-Key header are refused.
	KeyRequired bool
	Priority    Priority
	// Deadline limits the time to the first byte of the answer.
	Deadline time.Duration
	// MaxBodyBytes limits the size of the request body.
	MaxBodyBytes int
}
