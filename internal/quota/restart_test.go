package quota

import (
	"fmt"
	"testing"
	"time"

	"kumquatyard/internal/fleet"
)

// Pattern: hot tenant over 72 instances of which all but one start again. A workspace asks five
// times its quota all the time. What is granted before the restart, after it, and as the
// allowance of the start, stays within the bound of every window, whichever instance remains and
// however long the others take (hunt-5ca7-3 of matrices-norte-grown, QUOTA).
func TestHotTenantWhileAllButOneRestart(t *testing.T) {
	const (
		instances, zones = 72, 4
		interval         = 97 * time.Millisecond
		rate             = 648_559.0
		hot              = 5.0
	)
	for _, spread := range []time.Duration{0, 1500 * time.Millisecond} {
		for _, remaining := range []int{0, 5, 71} {
			for _, pause := range []time.Duration{100 * time.Millisecond, time.Second} {
				for _, killAt := range []time.Duration{13 * time.Second} {
					t.Run(fmt.Sprint("instance ", remaining, " remains, ", pause, " and ", spread, " at ", killAt), func(t *testing.T) {
						t.Parallel()
						f := newFleet(instances, zones, interval, &fleet.Workspace{Name: "hot", Quota: fleet.Quota{PerSecond: rate, Burst: rate, InTokens: true}})
						f.sizes = largeSizes
						demand := func(string, int, time.Duration) float64 { return hot * rate / instances }
						admitted := f.run(demand, 22*time.Second, deliverAll, func(at time.Duration) {
							if at != killAt {
								return
							}
							var others []int
							for _, n := range f.all() {
								if n != remaining {
									others = append(others, n)
								}
							}
							for n, other := range others {
								f.kill(at, pause+time.Duration(n*7%60)*spread/60, other)
							}
						})
						t.Logf("worst window %.4f of the bound", worstWindow(admitted)/largeBound(rate))
						checkWindows(t, admitted, largeBound(rate))
					})
				}
			}
		}
	}
}

// Pattern: 71 of 72 instances start within a moment and read the configuration one after the
// other, the aggregators last, while callers whose requests broke off come again at once. An
// aggregator without a configuration knows no quotas, which must not be taken for quotas that
// nobody uses (hunt-5ca7-3 of matrices-norte-grown, QUOTA).
func TestAggregatorsReadTheConfigurationLate(t *testing.T) {
	const (
		instances, zones = 72, 4
		rate             = 648_559.0
		killAt, pause    = 13 * time.Second, 500 * time.Millisecond
	)
	f := newFleet(instances, zones, 97*time.Millisecond, &fleet.Workspace{Name: "hot", Quota: fleet.Quota{PerSecond: rate, Burst: rate, InTokens: true}})
	f.sizes = largeSizes
	demand := func(_ string, _ int, at time.Duration) float64 {
		if at >= killAt && at < killAt+pause+time.Second {
			return 15 * rate / instances
		}
		return 5 * rate / instances
	}
	admitted := f.run(demand, 22*time.Second, deliverAll, func(at time.Duration) {
		if at != killAt {
			return
		}
		late := make(map[int]bool)
		for z := range zones {
			for _, n := range f.aggregators(fmt.Sprint("z", z), at) {
				late[n] = true
			}
		}
		f.configDelay = func(n int) time.Duration {
			if late[n] {
				return 400 * time.Millisecond
			}
			return time.Duration(n%10) * 10 * time.Millisecond
		}
		f.kill(at, pause, f.all()[1:]...)
	})
	checkWindows(t, admitted, largeBound(rate))
}
