package main

import (
	"sync/atomic"

	"kumquatyard/internal/connlimit"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/upstream"
	"kumquatyard/platform"
)

// operatorLimits are the bounds on callers in the latest configuration.
type operatorLimits struct {
	snapshot atomic.Pointer[func() *fleet.Snapshot]
}

// current returns the bounds, the zero Limits before a configuration is known.
func (l *operatorLimits) current() fleet.Limits {
	latest := l.snapshot.Load()
	if latest == nil {
		return fleet.Limits{}
	}
	s := (*latest)()
	if s == nil || s.Config == nil {
		return fleet.Limits{}
	}
	return s.Config.Limits
}

// upstreamSettings returns the settings of connections to servers and other instances.
func upstreamSettings(s platform.Settings) upstream.Settings {
	settings := upstream.DefaultSettings
	settings.MaxOpen = connlimit.NewPlan(connlimit.Machine{MemoryBytes: s.MemoryBytes, Descriptors: s.MaxDescriptors}).Upstream
	return settings
}
