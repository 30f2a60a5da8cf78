// Package agent is the control process beside each gateway. It maintains
// membership, observes its share of the backend servers, exchanges their states
// within its scope and pushes views to its gateway. It is not on the path of a
// request, except for the claims of idempotency keys.
package agent

import (
	"time"

	"kumquatyard/internal/claimshard"
	"kumquatyard/internal/link"
	"kumquatyard/internal/placementduty"
	"kumquatyard/internal/telemetry"
)

// Settings are the keys of kumquat-agent's settings file.
type Settings struct {
	ID     string        `yaml:"id" validate:"required"`
	Zone   string        `yaml:"zone" validate:"required"`
	Region string        `yaml:"region" validate:"required"`
	Link   link.Settings `yaml:"link" validate:"required"`
	// Gateway is the link address of the gateway on this entry instance.
	Gateway string `yaml:"gateway" validate:"required,hostname_port"`
	// KV, InstanceList and Cloud are the addresses of the platform's services.
	KV           string `yaml:"kv" validate:"required,hostname_port"`
	InstanceList string `yaml:"instance_list" validate:"required,hostname_port"`
	Cloud        string `yaml:"cloud" validate:"omitempty,hostname_port"`

	Telemetry telemetry.Settings `yaml:"telemetry"`
	Intervals Intervals          `yaml:"intervals"`
	// Claims must be the same at all agents.
	Claims claimshard.Settings `yaml:"claims"`
	// Placement should be the same at all agents of a zone.
	Placement placementduty.Settings `yaml:"placement"`
}

// Intervals are the mean times between the agent's periodic actions. Each is
// jittered by up to a tenth.
type Intervals struct {
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=100000000"`
	// Digest is the time between digests without urgent changes.
	Digest time.Duration `yaml:"digest" validate:"min=100000000"`
	// Observe is the time between polls of a server by its first observer; its
	// second observer polls half as often.
	Observe time.Duration `yaml:"observe" validate:"min=100000000"`
	// View is the time between views without urgent changes.
	View time.Duration `yaml:"view" validate:"min=100000000"`
	// Summary is the time between zone summaries.
	Summary time.Duration `yaml:"summary" validate:"min=1000000000"`
	// List is the minimum time between reads of the instance list in a scope.
	List time.Duration `yaml:"list" validate:"min=1000000000"`
}

// DefaultSettings returns the values of keys that the settings file omits.
func DefaultSettings() Settings {
	return Settings{Claims: claimshard.DefaultSettings(), Placement: placementduty.DefaultSettings(), Intervals: Intervals{
		Heartbeat: time.Second,
		Digest:    2500 * time.Millisecond,
		Observe:   time.Second,
		View:      time.Second,
		Summary:   20 * time.Second,
		List:      2 * time.Second,
	}}
}
