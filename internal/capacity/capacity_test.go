package capacity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func drawOffers(t *rapid.T, zones, maxInstances int) []Offer {
	var offers []Offer
	for z := range zones {
		for c := range rapid.IntRange(1, 2).Draw(t, "classes") {
			for _, market := range []Market{OnDemand, Reclaimable} {
				offers = append(offers, Offer{
					Kind:            Kind{Zone: fmt.Sprint("z", z), Class: fmt.Sprint("c", c), Market: market},
					PricePerHour:    float64(rapid.IntRange(1, 40).Draw(t, "price")) / 4,
					TokensPerSecond: float64(rapid.IntRange(1, 8).Draw(t, "tokens")) * 100,
					Max:             rapid.IntRange(0, maxInstances).Draw(t, "max"),
				})
			}
		}
	}
	return offers
}

func drawDemand(t *rapid.T) (Demand, Rules) {
	return Demand{
		Interactive: float64(rapid.IntRange(0, 30).Draw(t, "interactive")) * 100,
		Deferrable:  float64(rapid.IntRange(0, 20).Draw(t, "deferrable")) * 100,
	}, Rules{
		InteractiveOnReclaimable: rapid.Bool().Draw(t, "interactive on reclaimable"),
		SurviveZoneLoss:          rapid.Bool().Draw(t, "survive"),
	}
}

// unmet recomputes the largest unmet requirement of a mix from the rules' text.
func unmet(offers []Offer, counts map[Kind]int, demand Demand, rules Rules) float64 {
	total, onDemand, reclaimable := 0.0, 0.0, map[string]float64{}
	for _, o := range offers {
		tokens := float64(counts[o.Kind]) * o.TokensPerSecond
		total += tokens
		if o.Market == OnDemand {
			onDemand += tokens
		} else {
			reclaimable[o.Zone] += tokens
		}
	}
	short := max(0, demand.Interactive+demand.Deferrable-total)
	if !rules.InteractiveOnReclaimable {
		short = max(short, demand.Interactive-onDemand)
	}
	for _, lost := range reclaimable {
		if rules.SurviveZoneLoss {
			short = max(short, demand.Interactive-(total-lost))
		}
	}
	return short
}

func TestPlanCoversWheneverTheOffersAllowIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers := drawOffers(t, rapid.IntRange(1, 4).Draw(t, "zones"), 6)
		demand, rules := drawDemand(t)
		plan := Cheapest(offers, demand, rules)
		all, limit, chosen := map[Kind]int{}, map[Kind]int{}, map[Kind]int{}
		for _, o := range offers {
			all[o.Kind], limit[o.Kind] = o.Max, o.Max
		}
		for _, c := range plan.Counts {
			chosen[c.Kind] = c.Instances
			if c.Instances > limit[c.Kind] || c.Instances <= 0 {
				t.Fatalf("%d instances of %v, at most %d", c.Instances, c.Kind, limit[c.Kind])
			}
		}
		short := unmet(offers, chosen, demand, rules)
		if possible := unmet(offers, all, demand, rules); (short > 0) != (possible > 0) || math.Abs(short-plan.Shortfall) > 1e-3 {
			t.Fatalf("the plan is short of %v and says %v; all offers together are short of %v", short, plan.Shortfall, possible)
		}
		if again := Cheapest(offers, demand, rules); !cmp.Equal(plan, again) {
			t.Fatal("the same arguments give another plan")
		}
		for lot, n := range chosen {
			chosen[lot] = n - 1
			if short == 0 && unmet(offers, chosen, demand, rules) == 0 {
				t.Fatalf("an instance of %v is not needed", lot)
			}
			chosen[lot] = n
		}
	})
}

func TestRefusedLotFallsToTheNextCheapest(t *testing.T) {
	lot := func(zone string, m Market) Kind { return Kind{Zone: zone, Class: "c", Market: m} }
	offers := []Offer{
		{lot("a", Reclaimable), 1, 100, 10},
		{lot("b", Reclaimable), 2, 100, 10},
		{lot("b", OnDemand), 4, 100, 10},
	}
	demand, rules := Demand{Deferrable: 300}, Rules{InteractiveOnReclaimable: true}
	running := map[Kind]int{lot("a", Reclaimable): 1}
	now := time.Unix(0, 0)
	var r Refusals
	step := func() []Change { return Changes(Cheapest(r.Offers(offers, running, now), demand, rules), running) }
	r.RecordRefusal(lot("a", Reclaimable), now)
	if diff := cmp.Diff([]Change{{lot("b", Reclaimable), 2}}, step()); diff != "" {
		t.Errorf("a refused: %s", diff)
	}
	r.RecordRefusal(lot("b", Reclaimable), now)
	if diff := cmp.Diff([]Change{{lot("b", OnDemand), 2}}, step()); diff != "" {
		t.Errorf("a and b refused: %s", diff)
	}
	now = now.Add(firstRefusalDelay)
	if diff := cmp.Diff([]Change{{lot("a", Reclaimable), 2}}, step()); diff != "" {
		t.Errorf("after the delay: %s", diff)
	}
	r.RecordRefusal(lot("a", Reclaimable), now)
	now = now.Add(firstRefusalDelay)
	if diff := cmp.Diff([]Change{{lot("b", Reclaimable), 2}}, step()); diff != "" {
		t.Errorf("a refused again has to wait twice as long: %s", diff)
	}
	r.RecordStart(lot("a", Reclaimable))
	if diff := cmp.Diff([]Change{{lot("a", Reclaimable), 2}}, step()); diff != "" {
		t.Errorf("after an accepted start: %s", diff)
	}
}
