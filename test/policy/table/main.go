// Command table prints the ratios between the routing policies on both
// deployments' mixes.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/sourcegraph/conc/pool"

	"kumquatyard/test/policy"
)

func main() {
	seed := uint64(1)
	duration := 6 * time.Minute
	var only filter
	flaggy.SetName("table")
	flaggy.UInt64(&seed, "", "seed", "seed of the arrivals")
	flaggy.Duration(&duration, "", "duration", "modelled time of a run")
	flaggy.String(&only.scenario, "", "case", "the only case to run")
	flaggy.String(&only.policy, "", "policy", "the only policy to run")
	sweep := false
	flaggy.Bool(&sweep, "", "sweep", "sweep the load instead of the cases")
	flaggy.Parse()
	cases := policy.Cases(seed, duration)
	if sweep {
		cases = policy.Sweep(seed, duration)
	}
	fmt.Printf("seed %d, %s a run\n", seed, duration)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tmix\tpolicy\tserved\trefused\trecomputed\treused\tttft p50 ms\tttft p95 ms\tgoodput\timbalance\t")
	for _, row := range run(scenarios(cases, only)) {
		fmt.Fprintln(w, row)
	}
	_ = w.Flush()
}

// filter selects runs; empty fields select all.
type filter struct{ scenario, policy string }

// scenarios returns each case on each mix with each policy.
func scenarios(cases []policy.Case, only filter) []policy.Case {
	var out []policy.Case
	for _, c := range cases {
		if only.scenario != "" && c.Name != only.scenario {
			continue
		}
		for _, mix := range []policy.Mix{policy.Lanternfold(), policy.Matrizeria()} {
			for _, name := range policy.Policies {
				if only.policy != "" && name != only.policy {
					continue
				}
				c.Mix, c.Policy = mix, name
				out = append(out, c)
			}
		}
	}
	return out
}

// parallel is the number of runs at once.
const parallel = 4

func run(cases []policy.Case) []string {
	rows := make([]string, len(cases))
	p := pool.New().WithMaxGoroutines(parallel)
	for i, c := range cases {
		p.Go(func() { rows[i] = row(c, policy.Run(c.Scenario)) })
	}
	p.Wait()
	return rows
}

func row(c policy.Case, r *policy.Result) string {
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.2f\t",
		c.Name, c.Mix.Name, c.Policy, r.Served, r.Refused, r.Recomputed, r.Reused,
		r.FirstToken(50).Milliseconds(), r.FirstToken(95).Milliseconds(), r.Goodput, r.Imbalance())
}
