package capacity_test

import (
	"fmt"
	"os"
	"testing"

	"kumquatyard/internal/capacity"
	"kumquatyard/internal/ctl"
)

// tokensPerSecond is the generation rate within the latency target that the benchmarks
// assume for a server of each class.
var tokensPerSecond = map[string]float64{"acc1-24g": 900, "acc1-48g": 1600, "acc2-80g": 5200, "acc4-80g": 10400}

// maxPerKind is the number of servers of each kind that the benchmarks assume to be
// available.
const maxPerKind = 20

// offersOf returns offers in each zone for every class and market of the engines of an
// example deployment, at their mean price, and the tokens per second of all its engines.
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
			kind := capacity.Kind{Class: e.Class, Market: capacity.OnDemand}
			if e.Reclaimable {
				kind.Market = capacity.Reclaimable
			}
			sums[kind] += e.PricePerHour
			numbers[kind]++
			installed += tokensPerSecond[e.Class]
		}
	}
	var offers []capacity.Offer
	for zone := range zones {
		for kind, sum := range sums {
			price, tokens := sum/numbers[kind], tokensPerSecond[kind.Class]
			kind.Zone = zone
			offers = append(offers, capacity.Offer{Kind: kind, PricePerHour: price, TokensPerSecond: tokens, Max: maxPerKind})
		}
	}
	return offers, installed
}

// only returns the offers of one market.
func only(offers []capacity.Offer, market capacity.Market) []capacity.Offer {
	var out []capacity.Offer
	for _, o := range offers {
		if o.Market == market {
			out = append(out, o)
		}
	}
	return out
}

// BenchmarkDeployments plans for an interactive demand of half the installed rate and a
// deferrable demand of a quarter, and reports the cost relative to on-demand servers
// only.
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
				b.Fatal("the plan does not cover the demand")
			}
			b.ReportMetric(plan.PricePerHour/onDemand.PricePerHour, "cost_ratio")
		})
	}
}

// BenchmarkZones plans for up to the design size of 18 zones with 190 servers each.
func BenchmarkZones(b *testing.B) {
	for _, zones := range []int{3, 9, 18} {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) {
			var offers []capacity.Offer
			for z := range zones {
				for class, tokens := range tokensPerSecond {
					for _, market := range []capacity.Market{capacity.OnDemand, capacity.Reclaimable} {
						kind := capacity.Kind{Zone: fmt.Sprint("z", z), Class: class, Market: market}
						offers = append(offers, capacity.Offer{Kind: kind, PricePerHour: tokens / 1000 / float64(market), TokensPerSecond: tokens, Max: 24})
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
