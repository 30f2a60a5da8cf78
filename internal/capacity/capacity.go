// Package capacity chooses how many servers to run: the cheapest mix of zones,
// machine classes and markets that covers the demand, also when all reclaimable
// servers of any one zone are lost at the same time. It does no I/O.
package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Market is the purchase option of a server.
type Market uint8

const (
	// OnDemand servers run until they are released.
	OnDemand Market = iota + 1
	// Reclaimable servers may be reclaimed by the cloud, all of a zone at once.
	Reclaimable
)

// String returns the name of the market as used in inventories.
func (m Market) String() string {
	if m == Reclaimable {
		return "reclaimable"
	}
	return "on_demand"
}

// Kind identifies a set of interchangeable servers: those of one zone, machine class
// and market.
type Kind struct {
	Zone   string
	Class  string
	Market Market
}

// compare orders kinds by zone, class and market.
func (k Kind) compare(other Kind) int {
	return cmp.Or(strings.Compare(k.Zone, other.Zone), strings.Compare(k.Class, other.Class), cmp.Compare(k.Market, other.Market))
}

// Offer is the cloud's offer of servers of one kind.
type Offer struct {
	Kind
	PricePerHour float64
	// TokensPerSecond is the generation rate of one server within the latency target.
	TokensPerSecond float64
	// Max is the maximum number of servers.
	Max int
}

// price returns the hourly price per token per second.
func (o Offer) price() float64 { return o.PricePerHour / o.TokensPerSecond }

// Demand is the generation rate to cover, in tokens per second.
type Demand struct {
	Interactive float64
	Deferrable  float64
}

// Rules limit which mixes are allowed.
type Rules struct {
	// InteractiveOnReclaimable lets reclaimable servers count for interactive demand.
	InteractiveOnReclaimable bool
	// SurviveZoneLoss requires that the interactive demand is still covered after the
	// loss of any one zone's reclaimable servers.
	SurviveZoneLoss bool
}

// Count is the number of servers of one kind.
type Count struct {
	Kind
	Servers int
}

// Plan is a mix of servers.
type Plan struct {
	// Counts are sorted by kind, without those of 0 servers.
	Counts       []Count
	PricePerHour float64
	// Shortfall is the largest requirement that the offers cannot meet under the rules,
	// in tokens per second; 0 when the plan meets all of them.
	Shortfall float64
}

// capSteps is the number of bounds that are tried for one zone's reclaimable capacity.
const capSteps = 48

// Cheapest returns the cheapest mix that it finds for the demand. The result depends
// only on the arguments. When the offers cannot cover the demand, the plan uses all of
// them and Plan.Shortfall says how much is missing.
//
// The loss of a zone costs at most the largest reclaimable capacity of any zone. Cheapest
// therefore tries several bounds on that capacity. For each of them it fills the mix in
// order of the price per token per second, and then removes unneeded servers, the most
// expensive first. Finally it replaces single servers of the best mix by cheaper ones.
// Filling without a bound gives the initial mix: it succeeds whenever some mix does,
// because additional servers never make a requirement harder to meet.
func Cheapest(offers []Offer, demand Demand, rules Rules) Plan {
	usable := make([]Offer, 0, len(offers))
	for _, o := range offers {
		if o.TokensPerSecond > 0 && o.Max > 0 {
			usable = append(usable, o)
		}
	}
	slices.SortFunc(usable, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.price(), b.price()), a.compare(b.Kind))
	})
	best := newMix(usable, demand, rules)
	best.fill(math.Inf(1))
	best.trim()
	if best.shortfall() > 0 {
		return best.plan()
	}
	most := demand.Interactive + demand.Deferrable
	for step := range capSteps {
		m := newMix(usable, demand, rules)
		m.fill(most * float64(step) / capSteps)
		m.trim()
		if m.shortfall() <= 0 && m.cost() < best.cost() {
			best = m
		}
	}
	for best.substituteCheaper() {
		best.trim()
	}
	return best.plan()
}

// mix is the number of servers for each offer, with its sums.
type mix struct {
	offers []Offer
	demand Demand
	rules  Rules
	counts []int
	// zones holds the reclaimable tokens per second of each zone, and zoneOf the index
	// into zones of each offer.
	zones  []float64
	zoneOf []int
	// onDemand and total are in tokens per second.
	onDemand, total float64
}

func newMix(offers []Offer, demand Demand, rules Rules) *mix {
	m := &mix{offers: offers, demand: demand, rules: rules, counts: make([]int, len(offers)), zoneOf: make([]int, len(offers))}
	index := make(map[string]int)
	for i, o := range offers {
		z, ok := index[o.Zone]
		if !ok {
			z = len(index)
			index[o.Zone] = z
		}
		m.zoneOf[i] = z
	}
	m.zones = make([]float64, len(index))
	return m
}

// add changes the number of servers of offer i by n.
func (m *mix) add(i, n int) {
	tokens := float64(n) * m.offers[i].TokensPerSecond
	m.counts[i] += n
	m.total += tokens
	if m.offers[i].Market == Reclaimable {
		m.zones[m.zoneOf[i]] += tokens
		return
	}
	m.onDemand += tokens
}

// shortfall returns the largest unmet requirement in tokens per second, 0 when all are
// met. roundingSlack covers rounding errors of the sums.
func (m *mix) shortfall() float64 {
	const roundingSlack = 1e-6
	short := m.demand.Interactive + m.demand.Deferrable - m.total
	if m.rules.SurviveZoneLoss {
		lost := 0.0
		for _, tokens := range m.zones {
			lost = max(lost, tokens)
		}
		short = max(short, m.demand.Interactive-(m.total-lost))
	}
	if !m.rules.InteractiveOnReclaimable {
		short = max(short, m.demand.Interactive-m.onDemand)
	}
	if short <= roundingSlack*(m.demand.Interactive+m.demand.Deferrable) {
		return 0
	}
	return short
}

// fill adds the cheapest servers until the demand is met, with at most zoneCap tokens
// per second of reclaimable servers per zone.
func (m *mix) fill(zoneCap float64) {
	for i, o := range m.offers {
		for m.counts[i] < o.Max && m.shortfall() > 0 {
			if o.Market == Reclaimable && m.zones[m.zoneOf[i]]+o.TokensPerSecond > zoneCap {
				break
			}
			m.add(i, 1)
		}
	}
}

// trim removes servers that are not needed, the most expensive first.
func (m *mix) trim() {
	for i := len(m.offers) - 1; i >= 0; i-- {
		for m.counts[i] > 0 {
			m.add(i, -1)
			if m.shortfall() > 0 {
				m.add(i, 1)
				break
			}
		}
	}
}

// substituteCheaper replaces one server by a cheaper one of another offer if the mix
// still meets the demand, and reports whether it found one. Each success lowers the cost.
func (m *mix) substituteCheaper() bool {
	for i, current := range m.offers {
		if m.counts[i] == 0 {
			continue
		}
		m.add(i, -1)
		for j, other := range m.offers {
			if other.PricePerHour >= current.PricePerHour || m.counts[j] == other.Max {
				continue
			}
			m.add(j, 1)
			if m.shortfall() <= 0 {
				return true
			}
			m.add(j, -1)
		}
		m.add(i, 1)
	}
	return false
}

// cost returns the hourly price of the mix.
func (m *mix) cost() float64 {
	sum := 0.0
	for i, n := range m.counts {
		sum += float64(n) * m.offers[i].PricePerHour
	}
	return sum
}

// plan returns the mix as a Plan.
func (m *mix) plan() Plan {
	p := Plan{PricePerHour: m.cost(), Shortfall: m.shortfall()}
	for i, n := range m.counts {
		if n > 0 {
			p.Counts = append(p.Counts, Count{Kind: m.offers[i].Kind, Servers: n})
		}
	}
	slices.SortFunc(p.Counts, func(a, b Count) int { return a.compare(b.Kind) })
	return p
}
