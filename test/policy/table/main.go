// Command table runs the routing policies on the mixes of both deployments and
// prints their results and the ratios between them.
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/sourcegraph/conc/pool"

	"kumquatyard/test/policy"
)

// parallel is the number of concurrent runs.
const parallel = 3

// filter selects runs by case and policy. An empty field selects all.
type filter struct{ scenario, policy string }

// outcome is a case and its result.
type outcome struct {
	policy.Case
	*policy.Result
}

func main() {
	seed := uint64(1)
	duration := 6 * time.Minute
	var only filter
	flaggy.SetName("table")
	flaggy.UInt64(&seed, "", "seed", "seed of the arrivals")
	flaggy.Duration(&duration, "", "duration", "modelled time of a run")
	flaggy.String(&only.scenario, "", "case", "the only case to run")
	flaggy.String(&only.policy, "", "policy", "the only policy to run")
	flaggy.Parse()

	fmt.Printf("seed %d, %s a run\n", seed, duration)
	outcomes := run(expand(policy.Cases(seed, duration), policy.Policies, only))
	printRuns(os.Stdout, outcomes)
	printRatios(os.Stdout, outcomes)
	printGoodput(os.Stdout, run(expand(policy.Sweep(seed, duration), []string{"kumquat", "least_outstanding"}, only)))
}

// expand returns the selected cases, each with every mix and selected policy.
func expand(cases []policy.Case, policies []string, only filter) []policy.Case {
	var out []policy.Case
	for _, c := range cases {
		if only.scenario != "" && c.Name != only.scenario {
			continue
		}
		for _, mix := range []policy.Mix{policy.Lanternfold(), policy.Matrizeria()} {
			for _, name := range policies {
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

// run runs the cases and returns their outcomes in the same order.
func run(cases []policy.Case) []outcome {
	outcomes := make([]outcome, len(cases))
	p := pool.New().WithMaxGoroutines(parallel)
	for i, c := range cases {
		p.Go(func() { outcomes[i] = outcome{Case: c, Result: policy.Run(c.Scenario)} })
	}
	p.Wait()
	return outcomes
}

func newTable(w io.Writer, header string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\n%s\t\n", header)
	return t
}

func printRuns(w io.Writer, outcomes []outcome) {
	t := newTable(w, "case\tmix\tpolicy\tserved\trefused\trecomputed\treused\tttft p50 ms\tttft p95 ms\tgoodput\timbalance")
	for _, o := range outcomes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.2f\t\n",
			o.Name, o.Mix.Name, o.Policy, o.Served, o.Refused, o.Recomputed, o.Reused,
			o.FirstToken(50).Milliseconds(), o.FirstToken(95).Milliseconds(), o.Goodput, o.Imbalance())
	}
	_ = t.Flush()
}

// printRatios prints the results of the kumquat policy relative to those of the
// baselines least_outstanding and prefix_hash in the same case.
func printRatios(w io.Writer, outcomes []outcome) {
	t := newTable(w, "case\tmix\trecomputed / least_outstanding\trecomputed / prefix_hash\tttft p95 / least_outstanding\tttft p95 / prefix_hash")
	for _, o := range outcomes {
		if o.Policy != "kumquat" {
			continue
		}
		least, hash := find(outcomes, o, "least_outstanding"), find(outcomes, o, "prefix_hash")
		if least == nil || hash == nil {
			continue
		}
		p95 := float64(o.FirstToken(95))
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t\n", o.Name, o.Mix.Name,
			float64(o.Recomputed)/float64(least.Recomputed), float64(o.Recomputed)/float64(hash.Recomputed),
			p95/float64(least.FirstToken(95)), p95/float64(hash.FirstToken(95)))
	}
	_ = t.Flush()
}

// find returns the outcome of the named policy with the case and mix of like, or
// nil.
func find(outcomes []outcome, like outcome, name string) *outcome {
	for i, o := range outcomes {
		if o.Name == like.Name && o.Mix.Name == like.Mix.Name && o.Policy == name {
			return &outcomes[i]
		}
	}
	return nil
}

// printGoodput prints the goodput at each load of a sweep, also relative to the
// peak of its mix and policy.
func printGoodput(w io.Writer, outcomes []outcome) {
	t := newTable(w, "mix\tpolicy\tload\tgoodput\tttft p95 ms\trefused\tof the peak")
	peaks := make(map[string]float64)
	for _, o := range outcomes {
		key := o.Mix.Name + o.Policy
		peaks[key] = max(peaks[key], o.Goodput)
	}
	for _, o := range outcomes {
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%.0f\t%d\t%d\t%.2f\t\n", o.Mix.Name, o.Policy, o.Load, o.Goodput,
			o.FirstToken(95).Milliseconds(), o.Refused, o.Goodput/peaks[o.Mix.Name+o.Policy])
	}
	_ = t.Flush()
}
