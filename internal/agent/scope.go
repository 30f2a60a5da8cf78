package agent

import (
	"slices"

	"kumquatyard/internal/config"
)

// scopeServers is the maximum number of servers of a region up to which all of
// its agents share server states. In larger regions, each zone shares its own.
const scopeServers = 128

// scopeOf returns the zones whose agents exchange heartbeats and digests with
// those of zone. In a region of up to scopeServers servers these are all zones of
// the region, so that gateways know servers of other zones. In a larger region
// it is only the zone itself, so that traffic does not grow with the region.
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
