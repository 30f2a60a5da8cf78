package peers

import (
	"maps"
	"net"
	"slices"
	"time"

	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

// InstanceCount returns the number of instances, including this one, that the store lists
// or whose states are in the last sum.
func (e *Exchange) InstanceCount(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(len(e.listed)+1, int(e.freshSum(now).GetInstances()))
}

// Others returns the other instances that the store lists.
func (e *Exchange) Others() []*pb.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.listed))
}

// freshSum returns the last sum, nil if it is too old.
func (e *Exchange) freshSum(now time.Time) *pb.FleetSum {
	if now.Sub(e.sumAt) >= sumTimeout {
		return nil
	}
	return e.sum
}

// minCoverage is the share of the listed instances that a sum must hold to stand for all of them.
const minCoverage = 0.7

// Covers reports whether the last sum holds the states of nearly all instances that the store lists.
// It does not after a partition, and while aggregators start.
func (e *Exchange) Covers(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return covers(int(e.freshSum(now).GetInstances()), len(e.listed)+1)
}

// covers reports whether a sum of so many instances stands for all listed ones.
func covers(summed, listed int) bool {
	return float64(max(summed, 1)) >= minCoverage*float64(listed)
}

// AllReported reports whether the usage counts of every other instance that the store lists
// arrived within the given time.
func (e *Exchange) AllReported(within time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := time.Now().Add(-within)
	for name := range e.listed {
		if e.usageSeen[name].Before(since) {
			return false
		}
	}
	return true
}

// NewestConfig returns the greatest configuration version with which an instance serves,
// and the status address of one that does. The version is 0 if it is not known.
func (e *Exchange) NewestConfig(now time.Time) (version uint64, statusAddress string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	config := e.freshSum(now).GetConfig()
	return config.GetVersion(), config.GetStatusAddress()
}

// ZoneSize returns the number of instances of this zone in the last sum, 0 without one.
func (e *Exchange) ZoneSize(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.freshSum(now).GetMembers())
}

// IsAggregator reports whether this instance is one of its zone's aggregators.
func (e *Exchange) IsAggregator(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isAggregator(now)
}

// Relay returns the name of the instance that reads the store for the zone; empty if there
// is none that reaches it, or no other instance in the zone. While instances disagree,
// they only read the store more often than needed.
func (e *Exchange) Relay(now time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := e.freshSum(now)
	if len(sum.GetMembers()) < 2 {
		return ""
	}
	return sum.GetRelay()
}

// ReplayFrom returns the lowest store revision of an era that was applied by an instance of
// the zone that does not reach the store; zero if there is no such instance.
func (e *Exchange) ReplayFrom(era uint64, now time.Time) store.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := e.freshSum(now)
	if sum.GetReplayRevision() == 0 || sum.GetReplayEra() != era {
		return store.Revision{}
	}
	return store.Revision{Era: era, Number: sum.GetReplayRevision()}
}

// memberAddresses returns the addresses of instances of the zone, this one left out.
func (e *Exchange) memberAddresses(members []*pb.Instance) []*net.UDPAddr {
	names := make(map[string]bool)
	addNames(names, members)
	return e.addressesOf(names)
}

// zoneMembers returns the instances of the zone that the store lists, and those that report to
// this one; most are both.
func (e *Exchange) zoneMembers(now time.Time) []*pb.Instance {
	return slices.Concat(e.zones[e.options.Self.GetZone()], e.aggregator.Members(now))
}
