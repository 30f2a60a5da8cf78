package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkJudge measures a judgment of as many suspected parts as are tracked.
func BenchmarkJudge(b *testing.B) {
	for _, losses := range []int{2, 4} {
		b.Run(fmt.Sprint(losses, " ends each"), func(b *testing.B) {
			tr := newTracker()
			for part := range uint64(maxParts) {
				for n := range losses {
					server := fmt.Sprint(n, "/", part%60)
					tr.RecordLoss(Loss{Server: server, Request: fmt.Sprint(n, "r", part), Identity: 1 + part*8 + uint64(n), Parts: []uint64{1 + part}}, at(1000*n+int(part)))
				}
			}
			now := at(10_000)
			for b.Loop() {
				now = now.Add(judgeInterval)
				tr.changed = true
				tr.update(now)
			}
			b.ReportMetric(float64(b.Elapsed()/time.Duration(b.N))/float64(time.Millisecond), "ms/judgment")
		})
	}
}
