package policy_test

import (
	"testing"
	"time"

	"kumquatyard/test/policy"
)

// runTime is the modelled time of a run. Runs of make policy are longer.
const runTime = 80 * time.Second

func run(c policy.Case, mix policy.Mix, policyName string) *policy.Result {
	c.Mix, c.Policy = mix, policyName
	return policy.Run(c.Scenario)
}

func findCase(t *testing.T, name string) policy.Case {
	t.Helper()
	for _, c := range policy.Cases(1, runTime) {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("no case %q", name)
	return policy.Case{}
}

// Compared with least outstanding, the kumquat policy recomputes at most half of
// the tokens, refuses no more requests, and has no later p95 of the first token
// of interactive requests. This also holds when a zone is lost, when events are
// late and lost, and when a server becomes slow.
func TestRecomputesHalfOfLeastOutstanding(t *testing.T) {
	for _, name := range []string{"half load", "zone lost", "5 % of events lost, 5 s late", "slow server"} {
		for _, mix := range []policy.Mix{policy.Lanternfold(), policy.Matrizeria()} {
			t.Run(name+"/"+mix.Name, func(t *testing.T) {
				t.Parallel()
				c := findCase(t, name)
				kumquat, baseline := run(c, mix, "kumquat"), run(c, mix, "least_outstanding")
				if 2*kumquat.Recomputed > baseline.Recomputed {
					t.Errorf("recomputed %d tokens, want at most half of the %d of least outstanding", kumquat.Recomputed, baseline.Recomputed)
				}
				if kumquat.FirstToken(95) > baseline.FirstToken(95) {
					t.Errorf("p95 of the first token is %v, want at most the %v of least outstanding", kumquat.FirstToken(95), baseline.FirstToken(95))
				}
				if kumquat.Refused > baseline.Refused {
					t.Errorf("refused %d requests, want at most the %d of least outstanding", kumquat.Refused, baseline.Refused)
				}
			})
		}
	}
}

// With reports four times as late, the gateways do not herd to one server: the
// imbalance, the load of the most loaded server over the mean, is at most a
// quarter higher than with fresh reports.
func TestLateReportsDoNotCauseHerding(t *testing.T) {
	for _, mix := range []policy.Mix{policy.Lanternfold(), policy.Matrizeria()} {
		t.Run(mix.Name, func(t *testing.T) {
			t.Parallel()
			fresh, late := run(findCase(t, "half load"), mix, "kumquat"), run(findCase(t, "reports 4 s late"), mix, "kumquat")
			if late.Imbalance() > 1.25*fresh.Imbalance() {
				t.Errorf("imbalance %.2f with late reports, want at most 1.25 times the %.2f with fresh ones", late.Imbalance(), fresh.Imbalance())
			}
		})
	}
}

// Two runs of the same scenario give the same result.
func TestRunIsDeterministic(t *testing.T) {
	c := findCase(t, "twice saturation")
	c.Duration, c.WarmUp, c.CoolDown = 20*time.Second, 0, 0
	a, b := run(c, policy.Lanternfold(), "kumquat"), run(c, policy.Lanternfold(), "kumquat")
	if a.Offered == 0 || a.Offered != b.Offered || a.Recomputed != b.Recomputed || a.Refused != b.Refused || a.FirstToken(95) != b.FirstToken(95) {
		t.Errorf("two runs differ: %d offered, %d recomputed, %d refused against %d, %d, %d",
			a.Offered, a.Recomputed, a.Refused, b.Offered, b.Recomputed, b.Refused)
	}
}
