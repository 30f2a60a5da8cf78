// Package autoscale decides how many servers of which market to run in each zone. It
// prefers reclaimable servers, with enough spare capacity to survive the loss of all
// of them in any one zone, and uses on-demand servers where reclaimable ones are
// unavailable. Runner orders the servers on behalf of the holder of the duty. Scaler
// makes the plans and does no I/O; internal/capacity finds the cheapest mix.
package autoscale

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"kumquatyard/internal/capacity"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
)

// Settings configure a Scaler. They are fractions and durations, so that the same
// settings fit pools of any size.
type Settings struct {
	// Utilization is the planned fraction of a server's prompt rate when instances
	// learn of each other's requests without delay. Each second of delay lowers it by
	// StalenessPenalty, down to MinUtilization, since requests then spread less evenly.
	Utilization      float64
	StalenessPenalty float64
	MinUtilization   float64
	// Occupancy is the maximum planned fraction of a server's slots.
	Occupancy float64
	// SlotReserve is the factor of the square-root staffing rule (Halfin and Whitt,
	// 1981): of n slots, SlotReserve*sqrt(n) are kept free, so that servers with few
	// slots are planned with a lower occupancy.
	SlotReserve float64
	// ScaleDownDelay is how long the need has to stay lower before servers are released.
	ScaleDownDelay time.Duration
	// DiscoveryQuietPeriod is the time without a newly registered server after which
	// servers are ordered although the load is unknown. It has to exceed the time between two
	// reads of the servers' entries, which is 1.3 s for many instances.
	DiscoveryQuietPeriod time.Duration
	// RefusalBackoff is how long no reclaimable servers are ordered in a zone after
	// an order was refused there.
	RefusalBackoff time.Duration
	// ResendAfter is how long the servers may differ from an order, in addition to
	// the boot time, before the order is sent again.
	ResendAfter time.Duration
}

// DefaultSettings suit pools whose servers boot within seconds.
var DefaultSettings = Settings{
	Utilization: 0.76, StalenessPenalty: 0.12, MinUtilization: 0.6, Occupancy: 0.65, SlotReserve: 1.6, ScaleDownDelay: 6 * time.Second, DiscoveryQuietPeriod: 2600 * time.Millisecond,
	RefusalBackoff: 2 * time.Second, ResendAfter: 1500 * time.Millisecond,
}

// Load is the load of a pool.
type Load struct {
	// TokensPerSecond is the prompt work that callers request.
	TokensPerSecond float64
	// ServerRate is the prompt work that one server processes, in tokens per second.
	ServerRate float64
	// Running is the number of requests in flight at the servers.
	Running int
	// Slots is the number of requests that one server runs concurrently.
	Slots int
	// MaxStaleness bounds the age of what instances know of each other's requests.
	MaxStaleness time.Duration
	// Known is false until this instance has seen the pool's traffic for long enough.
	Known bool
	// Partial is set while this instance does not know what many of the others request: the load is
	// then at least this, and no servers are released.
	Partial bool
}

// Input holds the inputs of a plan.
type Input struct {
	Pool    *fleet.Pool
	Servers []*fleet.Server
	Load    Load
	Now     time.Time
}

// zones returns the zones of the pool, the cheapest first.
func (in *Input) zones() []string {
	prices := in.Pool.Scaling.ZonePrices
	return slices.SortedFunc(maps.Keys(prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
}

// Order sets the number of servers of one market in a zone.
type Order struct {
	Pool        string
	Zone        string
	Reclaimable bool
	Servers     int
}

// groupKey identifies the servers of one market in one zone.
type groupKey struct {
	zone        string
	reclaimable bool
}

func (o Order) group() groupKey { return groupKey{o.Zone, o.Reclaimable} }

// groupState is the state of the orders for one group.
type groupState struct {
	// ordered is the number of servers of the last order, -1 before the first one.
	ordered   int
	orderedAt time.Time
	accepted  bool
	refusedAt time.Time
}

// Scaler plans one pool. It is not safe for concurrent use.
type Scaler struct {
	settings Settings
	groups   map[groupKey]*groupState
	// needs holds the needs of the last ScaleDownDelay.
	needs []pastNeed
	// discovered is the number of servers that were running before this Scaler ordered
	// any, and discoveredAt when the last of them was first seen.
	discovered   int
	discoveredAt time.Time
	// reclaimsSeen holds the leaving servers that recordReclaims has handled. It is
	// never pruned, since the holder of the duty sees few of them.
	reclaimsSeen map[machine.ID]bool
}

// pastNeed is the need at an earlier time.
type pastNeed struct {
	at   time.Time
	need float64
}

// New returns a Scaler.
func New(s Settings) *Scaler {
	return &Scaler{settings: s, groups: make(map[groupKey]*groupState), reclaimsSeen: make(map[machine.ID]bool)}
}

// group returns the state of a group and creates it on first use.
func (s *Scaler) group(key groupKey) *groupState {
	g := s.groups[key]
	if g == nil {
		g = &groupState{ordered: -1}
		s.groups[key] = g
	}
	return g
}

// serverCounts holds the number of usable servers of a pool by zone and market.
type serverCounts struct{ present map[groupKey]int }

// countServers counts the usable servers; leaving ones do not count.
func countServers(servers []*fleet.Server) serverCounts {
	c := serverCounts{present: make(map[groupKey]int)}
	for _, s := range servers {
		if s.Usable() {
			c.present[groupKey{s.Zone, s.Reclaimable}]++
		}
	}
	return c
}

// total returns the number of servers of all zones and markets.
func (c serverCounts) total() int {
	n := 0
	for _, present := range c.present {
		n += present
	}
	return n
}

// Plan returns the orders to send now. Reclaimable servers are assumed to be available
// except where an order was recently refused. On-demand servers replace the refused
// ones and those that are overdue.
func (s *Scaler) Plan(in Input) []Order {
	counts := countServers(in.Servers)
	discovering := !in.Load.Known && s.discovering(in, &counts)
	s.recordReclaims(in, &counts)
	need := s.need(in)
	desired := s.cheapestMix(in, &counts, need, func(key groupKey) int { return s.maxReclaimable(in, &counts, key) })
	confirmed := s.cheapestMix(in, &counts, need, func(key groupKey) int {
		if s.overdue(in, key, counts.present[key]) {
			return min(desired[key], counts.present[key])
		}
		return desired[key]
	})
	target := make(map[groupKey]int)
	for _, zone := range in.zones() {
		target[groupKey{zone, true}] = desired[groupKey{zone, true}]
		target[groupKey{zone, false}] = confirmed[groupKey{zone, false}]
	}
	s.keepWhileRefused(in, &counts, target)
	s.applyZoneLimits(in, &counts, target)
	s.keepUntilReplaced(in, &counts, target, need)
	s.keepCover(in, &counts, target, need)
	if in.Load.Partial {
		keepAll(in, &counts, target)
	}
	orders := s.orders(in, &counts, target)
	if discovering {
		return slices.DeleteFunc(orders, func(o Order) bool { return !o.Reclaimable || o.Servers <= counts.present[o.group()] })
	}
	return orders
}

// recordReclaims treats the reclaim of a zone's servers as a refused order: when
// reclaimable servers leave and fewer remain than were ordered, the zone has no others
// for now.
func (s *Scaler) recordReclaims(in Input, counts *serverCounts) {
	for _, server := range in.Servers {
		if !server.Reclaimable || server.Lifecycle != machine.Leaving || s.reclaimsSeen[server.ID] {
			continue
		}
		s.reclaimsSeen[server.ID] = true
		key := groupKey{server.Zone, true}
		if g := s.group(key); counts.present[key] < g.ordered {
			g.refusedAt = in.Now
		}
	}
}

// discovering reports whether servers that were running before this Scaler started
// may still register, which they do one after the other. During this time reclaimable
// servers are ordered to replace the discovered ones, and none are released. Servers
// that this Scaler ordered do not count as discovered.
func (s *Scaler) discovering(in Input, counts *serverCounts) bool {
	total := counts.total()
	for key, g := range s.groups {
		if key.reclaimable && g.ordered > 0 {
			total -= counts.present[key]
		}
	}
	if total > s.discovered {
		s.discovered, s.discoveredAt = total, in.Now
	}
	return in.Now.Sub(s.discoveredAt) < s.settings.DiscoveryQuietPeriod
}

// maxReclaimable returns the maximum number of reclaimable servers of a zone: those
// it has while orders are refused there, and otherwise the zone's limit.
func (s *Scaler) maxReclaimable(in Input, counts *serverCounts, key groupKey) int {
	if s.recentlyRefused(in, key) {
		return min(in.Pool.Scaling.Max, counts.present[key])
	}
	return in.Pool.Scaling.Max
}

// recentlyRefused reports whether an order of the group was refused within the last
// RefusalBackoff.
func (s *Scaler) recentlyRefused(in Input, key groupKey) bool {
	g := s.groups[key]
	return g != nil && !g.refusedAt.IsZero() && in.Now.Sub(g.refusedAt) < s.settings.RefusalBackoff
}

// need returns the number of servers that the load needs: the highest need of the last
// ScaleDownDelay, and at least 1.
func (s *Scaler) need(in Input) float64 {
	l := in.Load
	need := 0.0
	if l.ServerRate > 0 {
		need = l.TokensPerSecond / (l.ServerRate * s.utilization(l.MaxStaleness))
	}
	if l.Slots > 0 {
		slots := float64(l.Slots)
		need = max(need, float64(l.Running)/max(min(s.settings.Occupancy*slots, slots-s.settings.SlotReserve*math.Sqrt(slots)), 1))
	}
	if !l.Known {
		// The number of servers that ran before is all that is known of the load.
		need = max(need, float64(s.discovered)*unknownLoadShare)
	}
	s.needs = append(s.needs, pastNeed{in.Now, need})
	s.needs = slices.DeleteFunc(s.needs, func(p pastNeed) bool { return in.Now.Sub(p.at) > s.settings.ScaleDownDelay })
	for _, p := range s.needs {
		need = max(need, p.need)
	}
	return max(need, 1)
}

// utilization returns the planned utilization at the given staleness.
func (s *Scaler) utilization(staleness time.Duration) float64 {
	return max(s.settings.Utilization-s.settings.StalenessPenalty*staleness.Seconds(), s.settings.MinUtilization)
}

// unknownLoadShare is the fraction of the discovered servers that is kept until the
// load is known.
const unknownLoadShare = 0.75

// cheapestMix returns the cheapest mix of servers that covers the need, also after the
// loss of any one zone's reclaimable servers. limit bounds the reclaimable servers of
// a zone; Scaling.Max bounds both markets of a zone together.
func (s *Scaler) cheapestMix(in Input, counts *serverCounts, need float64, limit func(groupKey) int) map[groupKey]int {
	var offers []capacity.Offer
	for _, zone := range in.zones() {
		price := in.Pool.Scaling.ZonePrices[zone]
		remaining := in.Pool.Scaling.Max
		if in.Pool.Scaling.ReclaimablePrice > 0 {
			reclaimable := limit(groupKey{zone, true})
			remaining -= max(reclaimable, counts.present[groupKey{zone, true}])
			offers = append(offers, capacity.Offer{
				Kind:         capacity.Kind{Zone: zone, Market: capacity.Reclaimable},
				PricePerHour: price * in.Pool.Scaling.ReclaimablePrice, TokensPerSecond: 1, Max: reclaimable,
			})
		}
		offers = append(offers, capacity.Offer{
			Kind: capacity.Kind{Zone: zone, Market: capacity.OnDemand}, PricePerHour: price, TokensPerSecond: 1, Max: remaining,
		})
	}
	plan := capacity.Cheapest(offers, capacity.Demand{Interactive: math.Ceil(need)}, capacity.Rules{
		InteractiveOnReclaimable: true, SurviveZoneLoss: true,
	})
	mix := make(map[groupKey]int)
	for _, c := range plan.Counts {
		mix[groupKey{c.Zone, c.Market == capacity.Reclaimable}] = c.Servers
	}
	return mix
}

// keepWhileRefused keeps all reclaimable servers for ScaleDownDelay after the last
// refusal in any zone: they are cheap, and once released could not be replaced.
func (s *Scaler) keepWhileRefused(in Input, counts *serverCounts, target map[groupKey]int) {
	refused := false
	for _, g := range s.groups {
		refused = refused || (!g.refusedAt.IsZero() && in.Now.Sub(g.refusedAt) < s.settings.ScaleDownDelay)
	}
	if !refused {
		return
	}
	for _, zone := range in.zones() {
		key := groupKey{zone, true}
		target[key] = max(target[key], counts.present[key])
	}
}

// applyZoneLimits raises the targets of a zone to its minimum number of servers, and
// cuts them to its maximum: first by reclaimable servers that do not exist yet, then
// by on-demand servers.
func (s *Scaler) applyZoneLimits(in Input, counts *serverCounts, target map[groupKey]int) {
	for _, zone := range in.zones() {
		spot, onDemand := groupKey{zone, true}, groupKey{zone, false}
		if missing := in.Pool.Scaling.Min - target[spot] - target[onDemand]; missing > 0 {
			if in.Pool.Scaling.ReclaimablePrice > 0 {
				target[spot] += missing
			} else {
				target[onDemand] += missing
			}
		}
		if over := target[spot] + target[onDemand] - in.Pool.Scaling.Max; over > 0 {
			absent := max(target[spot]-counts.present[spot], 0)
			cut := min(over, absent)
			target[spot] -= cut
			target[onDemand] -= min(over-cut, target[onDemand])
		}
	}
}

// keepUntilReplaced keeps servers that are due for release until their replacements
// serve. It keeps as many as the load needs, even where that lowers the target of the
// zone's other market, and as many as the plan has with its reserve within the limits
// of the zones.
func (s *Scaler) keepUntilReplaced(in Input, counts *serverCounts, target map[groupKey]int, need float64) {
	serving, planned := 0, 0
	for key, n := range target {
		serving += min(n, counts.present[key])
		planned += n
	}
	missing := s.retain(in, counts, target, int(math.Ceil(need))-serving, false)
	if in.Load.Known {
		s.retain(in, counts, target, missing+planned-int(math.Ceil(need)), true)
	}
}

// retain raises the targets of groups with servers that are running or booting, until
// missing more running servers are kept, and returns how many are still missing. With
// withinLimit it does not lower the target of the zone's other market.
func (s *Scaler) retain(in Input, counts *serverCounts, target map[groupKey]int, missing int, withinLimit bool) int {
	for _, reclaimable := range []bool{true, false} {
		for _, zone := range in.zones() {
			key, other := groupKey{zone, reclaimable}, groupKey{zone, !reclaimable}
			serving := min(target[key], counts.present[key])
			kept := min(max(counts.present[key], s.expectedServers(in, key))-target[key], missing)
			if withinLimit {
				kept = min(kept, in.Pool.Scaling.Max-target[key]-target[other])
			}
			if kept <= 0 {
				continue
			}
			target[key] += kept
			missing -= min(target[key], counts.present[key]) - serving
			if !withinLimit {
				target[other] = min(target[other], max(in.Pool.Scaling.Max-target[key], counts.present[other]))
			}
		}
	}
	return missing
}
