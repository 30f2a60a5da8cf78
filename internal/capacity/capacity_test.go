package capacity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func drawOffers(t *rapid.T, zones, maxServers int) []Offer {
	var offers []Offer
	for z := range zones {
		for c := range rapid.IntRange(1, 2).Draw(t, "classes") {
			for _, market := range []Market{OnDemand, Reclaimable} {
				offers = append(offers, Offer{
					Kind:            Kind{Zone: fmt.Sprint("z", z), Class: fmt.Sprint("c", c), Market: market},
					PricePerHour:    float64(rapid.IntRange(1, 40).Draw(t, "price")) / 4,
					TokensPerSecond: float64(rapid.IntRange(1, 8).Draw(t, "tokens")) * 100,
					Max:             rapid.IntRange(0, maxServers).Draw(t, "max"),
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

// unmet returns the largest unmet requirement of a mix, computed independently of
// mix.shortfall.
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

func TestPlanCoversTheDemandWheneverTheOffersAllowIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers := drawOffers(t, rapid.IntRange(1, 4).Draw(t, "zones"), 6)
		demand, rules := drawDemand(t)
		plan := Cheapest(offers, demand, rules)
		all, limit, chosen := map[Kind]int{}, map[Kind]int{}, map[Kind]int{}
		for _, o := range offers {
			all[o.Kind], limit[o.Kind] = o.Max, o.Max
		}
		for _, c := range plan.Counts {
			chosen[c.Kind] = c.Servers
			if c.Servers > limit[c.Kind] || c.Servers <= 0 {
				t.Fatalf("%d servers of %v, want 1 to %d", c.Servers, c.Kind, limit[c.Kind])
			}
		}
		short := unmet(offers, chosen, demand, rules)
		if possible := unmet(offers, all, demand, rules); (short > 0) != (possible > 0) || math.Abs(short-plan.Shortfall) > 1e-3 {
			t.Fatalf("the plan lacks %v and reports a shortfall of %v; all offers together lack %v", short, plan.Shortfall, possible)
		}
		if again := Cheapest(offers, demand, rules); !cmp.Equal(plan, again) {
			t.Fatal("a second call with the same arguments returned another plan")
		}
		for kind, n := range chosen {
			chosen[kind] = n - 1
			if short == 0 && unmet(offers, chosen, demand, rules) == 0 {
				t.Fatalf("the plan has a server of %v that is not needed", kind)
			}
			chosen[kind] = n
		}
	})
}

func TestRefusedKindIsReplacedByTheNextCheapest(t *testing.T) {
	kind := func(zone string, m Market) Kind { return Kind{Zone: zone, Class: "c", Market: m} }
	offers := []Offer{
		{kind("a", Reclaimable), 1, 100, 10},
		{kind("b", Reclaimable), 2, 100, 10},
		{kind("b", OnDemand), 4, 100, 10},
	}
	demand, rules := Demand{Deferrable: 300}, Rules{InteractiveOnReclaimable: true}
	running := map[Kind]int{kind("a", Reclaimable): 1}
	now := time.Unix(0, 0)
	var r Refusals
	step := func() []Change { return Changes(Cheapest(r.Offers(offers, running, now), demand, rules), running) }
	r.RecordRefusal(kind("a", Reclaimable), now)
	if diff := cmp.Diff([]Change{{kind("b", Reclaimable), 2}}, step()); diff != "" {
		t.Errorf("changes after zone a refused: %s", diff)
	}
	r.RecordRefusal(kind("b", Reclaimable), now)
	if diff := cmp.Diff([]Change{{kind("b", OnDemand), 2}}, step()); diff != "" {
		t.Errorf("changes after zones a and b refused: %s", diff)
	}
	now = now.Add(initialRefusalDelay)
	if diff := cmp.Diff([]Change{{kind("a", Reclaimable), 2}}, step()); diff != "" {
		t.Errorf("changes after the backoff: %s", diff)
	}
	r.RecordRefusal(kind("a", Reclaimable), now)
	now = now.Add(initialRefusalDelay)
	if diff := cmp.Diff([]Change{{kind("b", Reclaimable), 2}}, step()); diff != "" {
		t.Errorf("changes after a second refusal, whose backoff is twice as long: %s", diff)
	}
	r.RecordStart(kind("a", Reclaimable))
	if diff := cmp.Diff([]Change{{kind("a", Reclaimable), 2}}, step()); diff != "" {
		t.Errorf("changes after an accepted start: %s", diff)
	}
}
