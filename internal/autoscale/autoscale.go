// Package autoscale decides how many servers of which market each zone should
// have: reclaimable ones in place of those on demand, enough that the loss of
// any one zone's is borne, and servers on demand where reclaimable ones cannot
// be had. It is pure; internal/capacity finds the cheapest mix.
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

// Settings tune a Scaler. They are parts and times, so that they fit any pool.
type Settings struct {
	// Utilization is the part of a server's prompt rate that is planned with where
	// instances know each other's requests at once. For each second that they know
	// them later, StaleUtilization less is, since requests spread less evenly; and
	// LeastUtilization at least.
	Utilization      float64
	StalenessPenalty float64
	MinUtilization   float64
	// Occupancy is the part of a server's slots that is planned with at most.
	Occupancy float64
	// SlotReserve is the reserve of slots by the square-root staffing rule (Halfin
	// and Whitt, 1981): of n slots, SlotReserve*sqrt(n) are kept free, so that
	// servers with few slots are filled less.
	SlotReserve float64
	// ScaleDownDelay is how long a lower need has to last before servers are given back.
	ScaleDownDelay time.Duration
	// DiscoveryQuietPeriod is how long no further server has to register before servers are
	// ordered without knowing the load.
	DiscoveryQuietPeriod time.Duration
	// RefusalBackoff is how long reclaimable servers of a zone are not asked for
	// after an order was refused.
	RefusalBackoff time.Duration
	// ResendAfter is how long the servers may differ from an order, beside the
	// time they take to boot, before it is sent again.
	ResendAfter time.Duration
}

// DefaultSettings suit pools that boot within seconds.
var DefaultSettings = Settings{
	Utilization: 0.76, StalenessPenalty: 0.12, MinUtilization: 0.6, Occupancy: 0.65, SlotReserve: 1.6, ScaleDownDelay: 6 * time.Second, DiscoveryQuietPeriod: 1200 * time.Millisecond,
	RefusalBackoff: 2 * time.Second, ResendAfter: 1500 * time.Millisecond,
}

// Load is what a pool is asked for.
type Load struct {
	// TokensPerSecond is the prompt work that callers ask for.
	TokensPerSecond float64
	// ServerRate is the prompt work that one server does, in tokens a second.
	ServerRate float64
	// Running is the number of requests at the servers.
	Running int
	// Slots is the number of requests that one server runs at once.
	Slots int
	// MaxStaleness is how old what instances know of each other may be.
	MaxStaleness time.Duration
	// Known is false until this instance has seen enough traffic to judge.
	Known bool
}

// Input is what a plan depends on.
type Input struct {
	Pool    *fleet.Pool
	Servers []*fleet.Server
	Load    Load
	Now     time.Time
}

// zones are the zones of the pool, the cheapest first.
func (in *Input) zones() []string {
	prices := in.Pool.Scaling.ZonePrices
	return slices.SortedFunc(maps.Keys(prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
}

// Order asks for a number of servers of one market in a zone.
type Order struct {
	Pool        string
	Zone        string
	Reclaimable bool
	Servers     int
}

type lotKey struct {
	zone        string
	reclaimable bool
}

func (o Order) lot() lotKey { return lotKey{o.Zone, o.Reclaimable} }

// lot is what is known of one market in one zone.
type lot struct {
	// ordered is the number last ordered, -1 before the first order.
	ordered   int
	orderedAt time.Time
	accepted  bool
	refusedAt time.Time
}

// Scaler plans one pool. It is not safe for concurrent use.
type Scaler struct {
	settings Settings
	lots     map[lotKey]*lot
	// needs are past needs, for a slow decrease.
	needs []pastNeed
	// found is the number of servers that were there before any was ordered, and
	// foundAt when the last of them was seen first.
	found   int
	foundAt time.Time
	// noted are the servers whose leaving was taken notice of; a holder of the duty
	// sees few enough of them to keep all.
	noted map[machine.ID]bool
}

type pastNeed struct {
	at   time.Time
	need float64
}

// New returns a Scaler.
func New(s Settings) *Scaler {
	return &Scaler{settings: s, lots: make(map[lotKey]*lot), noted: make(map[machine.ID]bool)}
}

func (s *Scaler) lot(key lotKey) *lot {
	l := s.lots[key]
	if l == nil {
		l = &lot{ordered: -1}
		s.lots[key] = l
	}
	return l
}

// census counts the servers of a pool that serve and stay, by zone and market.
type census struct{ present map[lotKey]int }

func count(servers []*fleet.Server) census {
	c := census{present: make(map[lotKey]int)}
	for _, s := range servers {
		if s.Usable() {
			c.present[lotKey{s.Zone, s.Reclaimable}]++
		}
	}
	return c
}

// total is the number of servers of all zones and markets.
func (c census) total() int {
	n := 0
	for _, present := range c.present {
		n += present
	}
	return n
}

// Plan returns the orders to send now. Reclaimable servers are ordered as if all
// could be had but for those that were refused; servers on demand make up for the
// ones that were refused, and for those that are overdue.
func (s *Scaler) Plan(in Input) []Order {
	have := count(in.Servers)
	growing := !in.Load.Known && s.growing(in, &have)
	s.noteReclaims(in, &have)
	need := s.need(in)
	wished := s.cheapest(in, &have, need, func(key lotKey) int { return s.available(in, &have, key) })
	sure := s.cheapest(in, &have, need, func(key lotKey) int {
		if s.overdue(in, key, have.present[key]) {
			return min(wished[key], have.present[key])
		}
		return wished[key]
	})
	target := make(map[lotKey]int)
	for _, zone := range in.zones() {
		target[lotKey{zone, true}] = wished[lotKey{zone, true}]
		target[lotKey{zone, false}] = sure[lotKey{zone, false}]
	}
	s.keepWhileRefused(in, &have, target)
	s.fillZones(in, &have, target)
	s.keepUntilReplaced(in, &have, target, need)
	orders := s.orders(in, &have, target)
	if growing {
		return slices.DeleteFunc(orders, func(o Order) bool { return !o.Reclaimable || o.Servers <= have.present[o.lot()] })
	}
	return orders
}

// noteReclaims takes it as a refusal that reclaimable servers of a zone leave of
// which fewer are there than were ordered: they are taken back, and no others
// are to be had there for now.
func (s *Scaler) noteReclaims(in Input, have *census) {
	for _, server := range in.Servers {
		if !server.Reclaimable || server.Lifecycle != machine.Leaving || s.noted[server.ID] {
			continue
		}
		s.noted[server.ID] = true
		key := lotKey{server.Zone, true}
		if l := s.lot(key); have.present[key] < l.ordered {
			l.refusedAt = in.Now
		}
	}
}

// growing reports whether servers may still register that run since before this
// Scaler: they do so one by one. Meanwhile reclaimable ones are ordered for those
// that were found, and none is given back. What was ordered does not count as found.
func (s *Scaler) growing(in Input, have *census) bool {
	total := have.total()
	for key, l := range s.lots {
		if key.reclaimable && l.ordered > 0 {
			total -= have.present[key]
		}
	}
	if total > s.found {
		s.found, s.foundAt = total, in.Now
	}
	return in.Now.Sub(s.foundAt) < s.settings.DiscoveryQuietPeriod
}

// available is the number of reclaimable servers that a zone may have.
func (s *Scaler) available(in Input, have *census, key lotKey) int {
	if s.refused(in, key) {
		return min(in.Pool.Scaling.Max, have.present[key])
	}
	return in.Pool.Scaling.Max
}

// refused reports whether reclaimable servers of a zone were refused lately.
func (s *Scaler) refused(in Input, key lotKey) bool {
	l := s.lots[key]
	return l != nil && !l.refusedAt.IsZero() && in.Now.Sub(l.refusedAt) < s.settings.RefusalBackoff
}

// need is the number of servers that the load needs, held up for a while
// after it falls.
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
		// Without traffic to judge by, what was there at first stays.
		need = max(need, float64(s.found)*unknownShare)
	}
	s.needs = append(s.needs, pastNeed{in.Now, need})
	s.needs = slices.DeleteFunc(s.needs, func(p pastNeed) bool { return in.Now.Sub(p.at) > s.settings.ScaleDownDelay })
	for _, p := range s.needs {
		need = max(need, p.need)
	}
	return max(need, 1)
}

func (s *Scaler) utilization(newsAge time.Duration) float64 {
	return max(s.settings.Utilization-s.settings.StalenessPenalty*newsAge.Seconds(), s.settings.MinUtilization)
}

// unknownShare is the part of the servers found at the start that is kept
// until the load is known.
const unknownShare = 0.55

// cheapest is the cheapest mix that carries the need, with at most limit
// reclaimable servers in a zone, also without any one zone's reclaimable servers.
// A zone's limit holds for both markets together.
func (s *Scaler) cheapest(in Input, have *census, need float64, limit func(lotKey) int) map[lotKey]int {
	var offers []capacity.Offer
	for _, zone := range in.zones() {
		price := in.Pool.Scaling.ZonePrices[zone]
		room := in.Pool.Scaling.Max
		if in.Pool.Scaling.ReclaimablePrice > 0 {
			reclaimable := limit(lotKey{zone, true})
			room -= max(reclaimable, have.present[lotKey{zone, true}])
			offers = append(offers, capacity.Offer{
				Kind:         capacity.Kind{Zone: zone, Market: capacity.Reclaimable},
				PricePerHour: price * in.Pool.Scaling.ReclaimablePrice, TokensPerSecond: 1, Max: reclaimable,
			})
		}
		offers = append(offers, capacity.Offer{
			Kind: capacity.Kind{Zone: zone, Market: capacity.OnDemand}, PricePerHour: price, TokensPerSecond: 1, Max: room,
		})
	}
	plan := capacity.Cheapest(offers, capacity.Demand{Interactive: math.Ceil(need)}, capacity.Rules{
		InteractiveOnReclaimable: true, SurviveZoneLoss: true,
	})
	mix := make(map[lotKey]int)
	for _, c := range plan.Counts {
		mix[lotKey{c.Zone, c.Market == capacity.Reclaimable}] = c.Instances
	}
	return mix
}

// keepWhileRefused keeps all reclaimable servers while others cannot be had, and
// for a while after the last refusal: they cost little, and could not be had again.
func (s *Scaler) keepWhileRefused(in Input, have *census, target map[lotKey]int) {
	refused := false
	for _, l := range s.lots {
		refused = refused || (!l.refusedAt.IsZero() && in.Now.Sub(l.refusedAt) < s.settings.ScaleDownDelay)
	}
	if !refused {
		return
	}
	for _, zone := range in.zones() {
		key := lotKey{zone, true}
		target[key] = max(target[key], have.present[key])
	}
}

// fillZones raises zones to their least number of servers and cuts them to
// their largest: first by reclaimable ones that are not there.
func (s *Scaler) fillZones(in Input, have *census, target map[lotKey]int) {
	for _, zone := range in.zones() {
		spot, demand := lotKey{zone, true}, lotKey{zone, false}
		if missing := in.Pool.Scaling.Min - target[spot] - target[demand]; missing > 0 {
			if in.Pool.Scaling.ReclaimablePrice > 0 {
				target[spot] += missing
			} else {
				target[demand] += missing
			}
		}
		if over := target[spot] + target[demand] - in.Pool.Scaling.Max; over > 0 {
			absent := max(target[spot]-have.present[spot], 0)
			cut := min(over, absent)
			target[spot] -= cut
			target[demand] -= min(over-cut, target[demand])
		}
	}
}

// keepUntilReplaced keeps servers that are to be given back until those in
// their place serve: as many as the load needs, even where that leaves less room
// for others, and up to what the plan has with its reserve where there is room.
func (s *Scaler) keepUntilReplaced(in Input, have *census, target map[lotKey]int, need float64) {
	serving, planned := 0, 0
	for key, n := range target {
		serving += min(n, have.present[key])
		planned += n
	}
	missing := s.keep(in, have, target, int(math.Ceil(need))-serving, false)
	if in.Load.Known {
		s.keep(in, have, target, missing+planned-int(math.Ceil(need)), true)
	}
}

// keep raises targets of servers that are there or booting until missing servers
// more are kept that serve, and returns how many are still missing. sparing takes no
// room from others.
func (s *Scaler) keep(in Input, have *census, target map[lotKey]int, missing int, sparing bool) int {
	for _, reclaimable := range []bool{true, false} {
		for _, zone := range in.zones() {
			key, other := lotKey{zone, reclaimable}, lotKey{zone, !reclaimable}
			serving := min(target[key], have.present[key])
			kept := min(max(have.present[key], s.coming(in, key))-target[key], missing)
			if sparing {
				kept = min(kept, in.Pool.Scaling.Max-target[key]-target[other])
			}
			if kept <= 0 {
				continue
			}
			target[key] += kept
			missing -= min(target[key], have.present[key]) - serving
			if !sparing {
				target[other] = min(target[other], max(in.Pool.Scaling.Max-target[key], have.present[other]))
			}
		}
	}
	return missing
}
