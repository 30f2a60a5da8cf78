package placementduty

import (
	"time"

	"kumquatyard/internal/duty"
	"kumquatyard/internal/placement"
)

// Settings are the placement keys of an agent's settings file.
type Settings struct {
	// Enabled lets the agent hold the duty and give orders.
	Enabled bool `yaml:"enabled"`
	// MaxModels bounds the models of one engine.
	MaxModels int `yaml:"max_models" validate:"min=1,max=64"`
	// MaxLoads bounds the loads in progress in the zone.
	MaxLoads int `yaml:"max_loads" validate:"min=1,max=64"`
}

// DefaultSettings are the planner's own limits.
func DefaultSettings() Settings {
	l := placement.DefaultLimits
	return Settings{Enabled: true, MaxModels: l.MaxModels, MaxLoads: l.MaxLoads}
}

func (s Settings) limits() placement.Limits {
	l := placement.DefaultLimits
	l.MaxModels, l.MaxLoads = s.MaxModels, s.MaxLoads
	return l
}

// Timing are the times of the duty.
type Timing struct {
	// Interval is the time between two rounds of orders.
	Interval time.Duration
	// Lifetime is the time from the making of an order to its deadline. While it
	// is below the part of TTL in which the holder no longer orders (three
	// tenths), each order is void before the lease can pass to another.
	Lifetime time.Duration
	// ClockMargin is how far the clocks of a holder and an engine may differ. A
	// new holder waits for Lifetime and ClockMargin before its first order.
	ClockMargin time.Duration
	// Timeout bounds one order's exchange.
	Timeout time.Duration
	// Cooldown is the shortest time between two changes of an engine that only
	// follow demand.
	Cooldown time.Duration
	// TTL and Retry are those of the duty's lease.
	TTL, Retry time.Duration
}

// DefaultTiming keeps orders shorter than three tenths of the lease.
var DefaultTiming = Timing{
	Interval: time.Second, Lifetime: 2 * time.Second, ClockMargin: time.Second, Timeout: time.Second,
	Cooldown: 30 * time.Second, TTL: duty.DefaultSettings.TTL, Retry: duty.DefaultSettings.RetryInterval,
}

func (t Timing) duty() duty.Settings {
	return duty.Settings{TTL: t.TTL, MaxOrderLifetime: t.Lifetime + t.ClockMargin, RetryInterval: t.Retry}
}
