// Package zone describes availability zones, their regions and the network delay
// between them.
package zone

import "time"

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
}

// Map holds the zones of a deployment. The zero Map treats different zones as
// lying in different regions.
type Map struct {
	zones map[string]Zone
}

// One-way delays that a Map assumes between two instances.
const (
	// SameZoneDelay is the delay within a zone.
	SameZoneDelay = 100 * time.Microsecond
	// SameRegionDelay is the delay between the zones of a region.
	SameRegionDelay = 500 * time.Microsecond
	// CrossRegionDelay is the delay between regions.
	CrossRegionDelay = 30 * time.Millisecond
)

// NewMap returns a Map with the given zones.
func NewMap(zones []Zone) Map {
	m := Map{zones: make(map[string]Zone, len(zones))}
	for _, z := range zones {
		m.zones[z.Name] = z
	}
	return m
}

// Delay returns the assumed one-way delay between two zones.
func (m Map) Delay(a, b string) time.Duration {
	if a == b {
		return SameZoneDelay
	}
	za, okA := m.zones[a]
	zb, okB := m.zones[b]
	if okA && okB && za.Region == zb.Region {
		return SameRegionDelay
	}
	return CrossRegionDelay
}

// Zones returns the zones in no particular order.
func (m Map) Zones() []Zone {
	out := make([]Zone, 0, len(m.zones))
	for _, z := range m.zones {
		out = append(out, z)
	}
	return out
}
