package placementduty

import (
	"time"

	"kumquatyard/internal/duty"
	"kumquatyard/internal/placement"
)

// Settings are the placement keys of an agent's settings file.
type Settings struct {
	// Enabled allows the agent to hold the duty and send orders.
	Enabled bool `yaml:"enabled"`
	// MaxModels limits the models of one engine.
	MaxModels int `yaml:"max_models" validate:"min=1,max=64"`
	// MaxLoads limits the concurrent loads in the zone.
	MaxLoads int `yaml:"max_loads" validate:"min=1,max=64"`
}

// DefaultSettings returns settings with placement.DefaultLimits, enabled.
func DefaultSettings() Settings {
	l := placement.DefaultLimits
	return Settings{Enabled: true, MaxModels: l.MaxModels, MaxLoads: l.MaxLoads}
}

func (s Settings) limits() placement.Limits {
	l := placement.DefaultLimits
	l.MaxModels, l.MaxLoads = s.MaxModels, s.MaxLoads
	return l
}

// Timing is the timing of the duty.
type Timing struct {
	// Interval is the time between two rounds of orders.
	Interval time.Duration
	// Lifetime is the time from the creation of an order to its deadline. The holder
	// stops sending orders in the last three tenths of TTL. If Lifetime is shorter
	// than that, each order is void before the lease can pass to another holder.
	Lifetime time.Duration
	// ClockMargin is the tolerated clock difference between a holder and an engine.
	// A new holder waits for Lifetime plus ClockMargin before its first order.
	ClockMargin time.Duration
	// Timeout limits the exchange of one order.
	Timeout time.Duration
	// Cooldown is the minimum time between two changes of an engine that only
	// follow demand.
	Cooldown time.Duration
	// TTL and RetryInterval are the settings of the same names of the duty's lease.
	TTL, RetryInterval time.Duration
}

// DefaultTiming is the timing in production. Lifetime is less than three tenths
// of TTL.
var DefaultTiming = Timing{
	Interval: time.Second, Lifetime: 2 * time.Second, ClockMargin: time.Second, Timeout: time.Second,
	Cooldown: 30 * time.Second, TTL: duty.DefaultSettings.TTL, RetryInterval: duty.DefaultSettings.RetryInterval,
}

func (t Timing) duty() duty.Settings {
	return duty.Settings{TTL: t.TTL, MaxOrderLifetime: t.Lifetime + t.ClockMargin, RetryInterval: t.RetryInterval}
}
