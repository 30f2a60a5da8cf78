package policy_test

import (
	"testing"
	"time"

	"kumquatyard/test/policy"
)

// runTime is the modelled time of a run; make policy runs longer ones.
const runTime = 80 * time.Second

func run(c policy.Case, mix policy.Mix, name string) *policy.Result {
	c.Mix, c.Policy = mix, name
	return policy.Run(c.Scenario)
}

func named(t *testing.T, name string) policy.Case {
	t.Helper()
	for _, c := range policy.Cases(1, runTime) {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("no case %q", name)
	return policy.Case{}
}

// Against least outstanding: at most half of the tokens recomputed and no
// later first token of interactive work, also when a zone is lost, events are
// late and lost, and a server turns slow.
func TestAgainstLeastOutstanding(t *testing.T) {
	for _, name := range []string{"half load", "zone lost", "5 % of events lost, 5 s late", "slow server"} {
		for _, mix := range []policy.Mix{policy.Lanternfold(), policy.Matrizeria()} {
			t.Run(name+"/"+mix.Name, func(t *testing.T) {
				t.Parallel()
				c := named(t, name)
				ours, theirs := run(c, mix, "kumquat"), run(c, mix, "least_outstanding")
				if 2*ours.Recomputed > theirs.Recomputed {
					t.Errorf("recomputed %d tokens, least outstanding %d", ours.Recomputed, theirs.Recomputed)
				}
				if ours.FirstToken(95) > theirs.FirstToken(95) {
					t.Errorf("p95 of the first token %v, least outstanding %v", ours.FirstToken(95), theirs.FirstToken(95))
				}
				if ours.Refused > theirs.Refused {
					t.Errorf("refused %d requests, least outstanding %d", ours.Refused, theirs.Refused)
				}
			})
		}
	}
}

// Reports that are four times as late draw the gateways to one server no more
// than fresh ones do: the most loaded server is no more than a quarter further
// over the mean.
func TestLateReportsMakeNoHerd(t *testing.T) {
	for _, mix := range []policy.Mix{policy.Lanternfold(), policy.Matrizeria()} {
		t.Run(mix.Name, func(t *testing.T) {
			t.Parallel()
			fresh, late := run(named(t, "half load"), mix, "kumquat"), run(named(t, "reports 4 s late"), mix, "kumquat")
			if late.Imbalance() > 1.25*fresh.Imbalance() {
				t.Errorf("imbalance %.2f with late reports, %.2f with fresh ones", late.Imbalance(), fresh.Imbalance())
			}
		})
	}
}

// A run is a function of its scenario.
func TestRunIsDeterministic(t *testing.T) {
	c := named(t, "twice saturation")
	c.Duration, c.WarmUp, c.CoolDown = 20*time.Second, 0, 0
	a, b := run(c, policy.Lanternfold(), "kumquat"), run(c, policy.Lanternfold(), "kumquat")
	if a.Offered == 0 || a.Offered != b.Offered || a.Recomputed != b.Recomputed || a.Refused != b.Refused || a.FirstToken(95) != b.FirstToken(95) {
		t.Errorf("two runs differ: %d offered, %d recomputed, %d refused against %d, %d, %d",
			a.Offered, a.Recomputed, a.Refused, b.Offered, b.Recomputed, b.Refused)
	}
}
