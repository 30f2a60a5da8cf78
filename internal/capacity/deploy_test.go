package capacity_test

import (
	"fmt"
	"os"
	"testing"

	"kumquatyard/internal/capacity"
	"kumquatyard/internal/ctl"
)

// tokensPerSecond is what the benchmarks take an instance of a class to
// generate within the latency target.
var tokensPerSecond = map[string]float64{"acc1-24g": 900, "acc1-48g": 1600, "acc2-80g": 5200, "acc4-80g": 10400}

// lotRoom is the number of instances that each lot is taken to have room for.
const lotRoom = 20

// offersOf returns offers in each zone of each class and market of an example
// deployment's engines, at their mean price, and the tokens per second of its
// engines.
func offersOf(tb testing.TB, deployment string) ([]capacity.Offer, float64) {
	data, err := os.ReadFile("../../deploy/" + deployment + "/inventory.csv")
	if err != nil {
		tb.Fatal(err)
	}
	zones, err := ctl.ReadAssets("inventory.csv", data)
	if err != nil {
		tb.Fatal(err)
	}
	sums, numbers, installed := map[capacity.Kind]float64{}, map[capacity.Kind]float64{}, 0.0
	for _, entries := range zones {
		for _, e := range entries {
			lot := capacity.Kind{Class: e.Class, Market: capacity.OnDemand}
			if e.Reclaimable {
				lot.Market = capacity.Reclaimable
			}
			sums[lot] += e.PricePerHour
			numbers[lot]++
			installed += tokensPerSecond[e.Class]
		}
	}
	var offers []capacity.Offer
	for zone := range zones {
		for lot, sum := range sums {
			price, tokens := sum/numbers[lot], tokensPerSecond[lot.Class]
			lot.Zone = zone
			offers = append(offers, capacity.Offer{Kind: lot, PricePerHour: price, TokensPerSecond: tokens, Max: lotRoom})
		}
	}
	return offers, installed
}

func only(offers []capacity.Offer, market capacity.Market) []capacity.Offer {
	var out []capacity.Offer
	for _, o := range offers {
		if o.Market == market {
			out = append(out, o)
		}
	}
	return out
}

// BenchmarkDeployments plans for a half of the installed rate as interactive
// and a quarter as deferrable demand, and reports the cost over that of
// on-demand instances alone.
func BenchmarkDeployments(b *testing.B) {
	for _, deployment := range []string{"lanternfold", "matrizeria"} {
		b.Run(deployment, func(b *testing.B) {
			offers, installed := offersOf(b, deployment)
			demand := capacity.Demand{Interactive: installed / 2, Deferrable: installed / 4}
			rules := capacity.Rules{InteractiveOnReclaimable: true, SurviveZoneLoss: true}
			onDemand := capacity.Cheapest(only(offers, capacity.OnDemand), demand, rules)
			var plan capacity.Plan
			for b.Loop() {
				plan = capacity.Cheapest(offers, demand, rules)
			}
			if plan.Shortfall > 0 || onDemand.Shortfall > 0 {
				b.Fatal("the demand is not covered")
			}
			b.ReportMetric(plan.PricePerHour/onDemand.PricePerHour, "cost_ratio")
		})
	}
}

// BenchmarkZones plans at the size to design for: 18 zones with 190 servers each.
func BenchmarkZones(b *testing.B) {
	for _, zones := range []int{3, 9, 18} {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) {
			var offers []capacity.Offer
			for z := range zones {
				for class, tokens := range tokensPerSecond {
					for _, market := range []capacity.Market{capacity.OnDemand, capacity.Reclaimable} {
						lot := capacity.Kind{Zone: fmt.Sprint("z", z), Class: class, Market: market}
						offers = append(offers, capacity.Offer{Kind: lot, PricePerHour: tokens / 1000 / float64(market), TokensPerSecond: tokens, Max: 24})
					}
				}
			}
			demand := capacity.Demand{Interactive: 100_000 * float64(zones), Deferrable: 55_000 * float64(zones)}
			for b.Loop() {
				capacity.Cheapest(offers, demand, capacity.Rules{InteractiveOnReclaimable: true, SurviveZoneLoss: true})
			}
		})
	}
}
