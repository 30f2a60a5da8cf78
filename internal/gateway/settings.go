// Package gateway serves callers in kumquat-gateway: it authenticates, admits,
// routes and relays their requests, and answers each with the complete answer or
// with a refusal that carries a verdict. The gateway is the only process of an entry
// instance on the path of a request, except that claims of idempotency keys go
// through the agent. Package serve does the same work for kumquat-entry, which has
// no agent.
package gateway

import (
	"time"

	"kumquatyard/internal/link"
	"kumquatyard/internal/telemetry"
)

// Settings are the keys of kumquat-gateway's settings file.
type Settings struct {
	ID   string `yaml:"id" validate:"required"`
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the address that callers connect to.
	Listen string        `yaml:"listen" validate:"required,hostname_port"`
	Link   link.Settings `yaml:"link" validate:"required"`
	// Agent is the link address of the agent on this entry instance.
	Agent     string             `yaml:"agent" validate:"required,hostname_port"`
	Telemetry telemetry.Settings `yaml:"telemetry"`
	// ReadTimeout bounds the time to receive a whole request.
	ReadTimeout time.Duration `yaml:"read_timeout"`
	// IdleTimeout is the time after which unused callers' connections are closed.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// WriteTimeout bounds the time a caller may take to accept a write.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int `yaml:"max_header_bytes" validate:"min=1024"`
	// MaxBodyBytes bounds the body of a request; contracts may set lower limits.
	MaxBodyBytes int `yaml:"max_body_bytes" validate:"min=1024"`
	// DrainDelay is the time between failing /readyz and refusing new requests,
	// so that the load balancer stops sending requests first.
	DrainDelay time.Duration `yaml:"drain_delay"`
	// GracePeriod bounds the time that accepted requests have to finish on a
	// planned stop, before the remaining streams are ended with a reconnect
	// event.
	GracePeriod time.Duration `yaml:"grace_period"`
}

// DefaultSettings returns the values of keys that the settings file omits.
func DefaultSettings() Settings {
	return Settings{
		ReadTimeout:    15 * time.Second,
		IdleTimeout:    60 * time.Second,
		WriteTimeout:   10 * time.Second,
		MaxHeaderBytes: 16 << 10,
		MaxBodyBytes:   8 << 20,
		DrainDelay:     2 * time.Second,
		GracePeriod:    25 * time.Second,
	}
}
