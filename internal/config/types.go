// Package config defines the configuration that operators edit: its documents,
// their validation, the linear history of changes and the immutable Config that
// processes read. It does no I/O; internal/configstore stores the configuration
// in the platform's key-value service and distributes it.
package config

import (
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/zone"
)

// Config is one validated version of the configuration. It is immutable once
// built.
type Config struct {
	// Version is the number of accepted changes.
	Version    uint64
	Zones      zone.Map
	Servers    map[machine.ID]machine.Server
	Workspaces map[string]Workspace
	// Contracts are ordered: the first that matches a request applies.
	Contracts []contract.Contract
	Routing   Routing
	Limits    Limits
	Placement Placement
	// TokenKeys are the keys for resume tokens: the first signs, all verify.
	TokenKeys []TokenKey
	// Drained holds the servers and entry instances that receive no new work.
	Drained map[machine.ID]bool
	// Warnings describe suspicious entries that do not make the configuration
	// invalid.
	Warnings []string

	workspaceByKey map[Digest]string
}

// Workspace is a customer's group of callers.
type Workspace struct {
	Name string `yaml:"name" validate:"required"`
	// APIKeySHA256 lists the hex digests of the workspace's API keys.
	APIKeySHA256 []string `yaml:"api_key_sha256" validate:"required,min=1,dive,len=64,hexadecimal"`
	// Weight is the workspace's relative share of servers under contention.
	Weight int `yaml:"weight" validate:"min=1,max=1000"`
	// MaxInFlight bounds the workspace's running and queued requests on one
	// gateway.
	MaxInFlight int `yaml:"max_in_flight" validate:"min=1"`
	// RetryRatio is the number of retries allowed per request on average, 0 to 1.
	RetryRatio float64 `yaml:"retry_ratio" validate:"min=0,max=1"`
}

// Routing selects the routing policy and its parameters.
type Routing struct {
	// Policy is "kumquat" or one of the baselines "round_robin",
	// "least_outstanding" and "prefix_hash".
	Policy string `yaml:"policy" validate:"omitempty,oneof=kumquat round_robin least_outstanding prefix_hash"`
	// Evacuation is "planned", which moves requests off servers that are about
	// to be reclaimed, or the baseline "none", which lets them fail.
	Evacuation string `yaml:"evacuation" validate:"omitempty,oneof=planned none"`
	// LoadBound is the multiple of the mean load at which a preferred server is
	// skipped.
	LoadBound float64 `yaml:"load_bound" validate:"omitempty,min=1,max=10"`
	// StaleAfter is the age of a view after which a gateway probes a server
	// before using it.
	StaleAfter time.Duration `yaml:"stale_after"`
}

// Limits bound the queues and the stream heartbeats of one gateway.
type Limits struct {
	// QueueTokens bounds the tokens of work waiting on one gateway.
	QueueTokens int `yaml:"queue_tokens" validate:"min=0"`
	// QueueRequests bounds the requests waiting on one gateway.
	QueueRequests int `yaml:"queue_requests" validate:"min=0"`
	// HeartbeatEvery is the interval of comment events on an idle stream.
	HeartbeatEvery time.Duration `yaml:"heartbeat_every"`
}

// Placement configures which work may run on reclaimable instances and how much
// capacity is kept.
type Placement struct {
	// InteractiveOnReclaimable allows interactive work on reclaimable instances.
	InteractiveOnReclaimable bool `yaml:"interactive_on_reclaimable"`
	// SurviveZoneLoss keeps enough capacity for interactive work to survive the
	// simultaneous loss of any one zone's reclaimable instances.
	SurviveZoneLoss bool `yaml:"survive_zone_loss"`
	// TargetFirstToken is the 95th percentile target of the time to the first token.
	TargetFirstToken time.Duration `yaml:"target_first_token"`
	// TargetBetweenTokens is the 95th percentile target of the time between
	// tokens.
	TargetBetweenTokens time.Duration `yaml:"target_between_tokens"`
}

// TokenKey is a key that signs and verifies resume tokens.
type TokenKey struct {
	ID string `yaml:"id" validate:"required"`
	// SecretHex is at least 32 bytes in hexadecimal.
	SecretHex string `yaml:"secret_hex" validate:"required,min=64,hexadecimal"`
}
