package configstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// heartbeatEvery is the interval at which agents announce their version.
const heartbeatEvery = time.Second

// beat announces a node's version to the nodes of its zone, and to one node of
// another zone, once an interval.
func (r *fleetRun) beat(ctx context.Context, i int) {
	sleep(ctx, heartbeatEvery*time.Duration(i)/time.Duration(len(r.nodes)))
	for ctx.Err() == nil {
		zone := i / nodesPerZone
		for j, peer := range r.nodes {
			if j/nodesPerZone == zone || j == (i+nodesPerZone)%len(r.nodes) {
				peer.keeper.Seen(ctx, r.nodes[i].name, r.nodes[i].keeper.Version())
			}
		}
		sleep(ctx, heartbeatEvery)
	}
}

// BenchmarkInForce measures the time from acceptance until all nodes hold a
// change, with the product's intervals, over the stand-in.
func BenchmarkInForce(b *testing.B) {
	for _, silent := range []bool{false, true} {
		b.Run(fmt.Sprintf("watches_silent=%v", silent), func(b *testing.B) {
			s := newStandinKV(b, 1)
			r := newRun(s)
			for z := range zonesInTest {
				for i := range nodesPerZone {
					r.addNodeWith(Options{}, fmt.Sprintf("z%d", z), fmt.Sprintf("z%d-n%d", z, i), i < watchersAZone)
				}
			}
			ctx, stop := context.WithCancel(b.Context())
			var fleet conc.WaitGroup
			defer fleet.Wait()
			defer stop()
			mustApply(b, s.open(), "first", "overrides/a", "drain: true\n")
			for i, n := range r.nodes {
				fleet.Go(func() { _ = n.keeper.Run(ctx) })
				fleet.Go(func() { r.beat(ctx, i) })
			}
			r.final = 1
			r.awaitAll(b)
			longest := time.Duration(0)
			for b.Loop() {
				r.final++
				if silent {
					s.inject(faults{silent: true})
				}
				mustApply(b, s.open(), fmt.Sprint(r.final), "overrides/a", fmt.Sprintf("note: %d\n", r.final))
				accepted := time.Now()
				r.awaitAll(b)
				longest = max(longest, time.Since(accepted))
			}
			b.ReportMetric(longest.Seconds(), "longest_s")
		})
	}
}
