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

// sendHeartbeats announces a node's version to all nodes of its zone and to one
// node of another zone once per heartbeatEvery.
func (r *fleetRun) sendHeartbeats(ctx context.Context, i int) {
	sleep(ctx, heartbeatEvery*time.Duration(i)/time.Duration(len(r.nodes)))
	for ctx.Err() == nil {
		zone := i / nodesPerZone
		for j, peer := range r.nodes {
			if j/nodesPerZone == zone || j == (i+nodesPerZone)%len(r.nodes) {
				peer.replica.RecordPeerVersion(ctx, r.nodes[i].name, r.nodes[i].replica.Version())
			}
		}
		sleep(ctx, heartbeatEvery)
	}
}

// BenchmarkInForce measures the time from the acceptance of a change until all
// nodes hold it, with the default intervals of Replica and the stand-in of the
// key-value service.
func BenchmarkInForce(b *testing.B) {
	for _, silent := range []bool{false, true} {
		b.Run(fmt.Sprintf("watches_silent=%v", silent), func(b *testing.B) {
			s := newStandinKV(b, 1)
			r := newRun(s)
			for z := range zoneCount {
				for i := range nodesPerZone {
					r.addNodeWith(Options{}, fmt.Sprintf("z%d", z), fmt.Sprintf("z%d-n%d", z, i), i < watchersPerZone)
				}
			}
			ctx, stop := context.WithCancel(b.Context())
			var fleet conc.WaitGroup
			defer fleet.Wait()
			defer stop()
			mustApply(b, s.open(), "first", "overrides/a", "drain: true\n")
			for i, n := range r.nodes {
				fleet.Go(func() { _ = n.replica.Run(ctx) })
				fleet.Go(func() { r.sendHeartbeats(ctx, i) })
			}
			r.finalVersion = 1
			r.awaitAll(b)
			longest := time.Duration(0)
			for b.Loop() {
				r.finalVersion++
				if silent {
					s.inject(faults{silent: true})
				}
				mustApply(b, s.open(), fmt.Sprint(r.finalVersion), "overrides/a", fmt.Sprintf("note: %d\n", r.finalVersion))
				accepted := time.Now()
				r.awaitAll(b)
				longest = max(longest, time.Since(accepted))
			}
			b.ReportMetric(longest.Seconds(), "longest_s")
		})
	}
}
