package agent

import (
	"slices"

	"kumquatyard/internal/config"
)

// scopeServers is the largest number of servers of a region whose states are
// shared by all of its agents. Larger regions share by zone.
const scopeServers = 128

// scopeOf returns the zones that share heartbeats and digests with zone: the
// whole region while it is small, so that gateways know servers of other zones,
// and the zone alone in a large fleet, so that traffic is per zone.
func scopeOf(cfg *config.Config, zone string) []string {
	region := regionOf(cfg, zone)
	if region == "" {
		return []string{zone}
	}
	var zones []string
	for _, z := range cfg.Zones.Zones() {
		if z.Region == region {
			zones = append(zones, z.Name)
		}
	}
	servers := 0
	for _, s := range cfg.Servers {
		if slices.Contains(zones, s.Zone) {
			servers++
		}
	}
	if servers > scopeServers {
		return []string{zone}
	}
	return zones
}

func regionOf(cfg *config.Config, zone string) string {
	for _, z := range cfg.Zones.Zones() {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

func contains(ids []string, id string) bool { return slices.Contains(ids, id) }
