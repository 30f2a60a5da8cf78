// Package capacity chooses how many instances to run: the cheapest mix of
// zones, machine classes and markets that carries the demand, also when any
// one zone's reclaimable instances go at once. It is pure.
package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Market is the way an instance is paid for.
type Market uint8

const (
	// OnDemand instances stay until they are given back.
	OnDemand Market = iota + 1
	// Reclaimable instances are taken back by a zone at a time.
	Reclaimable
)

// String returns the market's name in inventories.
func (m Market) String() string {
	if m == Reclaimable {
		return "reclaimable"
	}
	return "on_demand"
}

// Kind names interchangeable instances.
type Kind struct {
	Zone   string
	Class  string
	Market Market
}

func (l Kind) compare(other Kind) int {
	return cmp.Or(strings.Compare(l.Zone, other.Zone), strings.Compare(l.Class, other.Class), cmp.Compare(l.Market, other.Market))
}

// Offer is what the cloud offers in one lot.
type Offer struct {
	Kind
	PricePerHour float64
	// TokensPerSecond is what one instance generates within the latency target.
	TokensPerSecond float64
	// Max bounds the instances of the lot.
	Max int
}

// price is the price of a token a second.
func (o Offer) price() float64 { return o.PricePerHour / o.TokensPerSecond }

// Demand is the generation rate to carry, in tokens per second.
type Demand struct {
	Interactive float64
	Deferrable  float64
}

// Rules limit which mixes are allowed.
type Rules struct {
	// InteractiveOnReclaimable lets reclaimable instances count for interactive demand.
	InteractiveOnReclaimable bool
	// SurviveZoneLoss asks that interactive demand is carried without any one
	// zone's reclaimable instances.
	SurviveZoneLoss bool
}

// Count is the number of instances of one lot.
type Count struct {
	Kind
	Instances int
}

// Plan is a mix of instances.
type Plan struct {
	// Counts are sorted by lot and leave out empty ones.
	Counts       []Count
	PricePerHour float64
	// Shortfall is the demand, in tokens per second, that the offers cannot
	// carry under the rules; 0 when the plan meets them all.
	Shortfall float64
}

// capSteps is the number of bounds tried for one zone's reclaimable capacity.
const capSteps = 48

// Cheapest returns the cheapest mix that it finds for the demand. The result
// depends on the arguments alone. When the offers cannot carry the demand, it
// takes them all and says what is short.
//
// A zone's loss costs at most the largest reclaimable capacity of one zone, so
// for each of some bounds on that capacity the mix is filled from the cheapest
// token a second up, and what is not needed is taken off again from the
// dearest down; single instances of the best mix are then exchanged for cheaper
// ones. Filling without a bound is tried last: it finds a mix whenever
// there is one, because each requirement only grows easier with more instances.
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
	for best.exchange() {
		best.trim()
	}
	return best.plan()
}

// mix is a number of instances for each offer, with its sums.
type mix struct {
	offers []Offer
	demand Demand
	rules  Rules
	counts []int
	// zones are the reclaimable tokens per second of each zone; zoneOf maps
	// offers to them.
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

// add changes the number of instances of offer i by n.
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

// shortfall returns the largest unmet requirement, at most 0 when all are met.
// roundingSlack covers the sums' rounding.
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

// fill adds the cheapest instances until the demand is met, with at most
// zoneCap tokens per second of reclaimable instances in a zone.
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

// trim takes off the dearest instances that are not needed.
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

// exchange replaces one instance by a cheaper one of another offer that still
// meets the demand, and reports whether it found one. The cost falls each time.
func (m *mix) exchange() bool {
	for i, dear := range m.offers {
		if m.counts[i] == 0 {
			continue
		}
		m.add(i, -1)
		for j, cheap := range m.offers {
			if cheap.PricePerHour >= dear.PricePerHour || m.counts[j] == cheap.Max {
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

func (m *mix) cost() float64 {
	sum := 0.0
	for i, n := range m.counts {
		sum += float64(n) * m.offers[i].PricePerHour
	}
	return sum
}

func (m *mix) plan() Plan {
	p := Plan{PricePerHour: m.cost(), Shortfall: m.shortfall()}
	for i, n := range m.counts {
		if n > 0 {
			p.Counts = append(p.Counts, Count{Kind: m.offers[i].Kind, Instances: n})
		}
	}
	slices.SortFunc(p.Counts, func(a, b Count) int { return a.compare(b.Kind) })
	return p
}
