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
