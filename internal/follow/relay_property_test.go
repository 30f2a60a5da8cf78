package follow

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Batches are lost, repeated and reordered, and omit values; the role changes, and the store is restored
// from older copies of itself: the revision never decreases, and the follower ends with
// the store's state.
func TestRelayedStateConvergesToStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := &history{era: 1}
		h.set("k0", "0")
		synctest.Test(t, func(t *testing.T) {
			role := Relayed
			f, m, feed := newRelayedFollower(h, &role)
			var sent []Batch
			for step := range rapid.IntRange(1, 60).Draw(r, "steps") {
				switch rapid.IntRange(0, 6).Draw(r, "kind") {
				case 0:
					h.set(fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(r, "key")), fmt.Sprint(step))
				case 1:
					h.remove(fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(r, "key")))
				case 2:
					b := h.batch(uint64(rapid.IntRange(0, len(h.all())).Draw(r, "after")))
					sent = append(sent, omit(b, fmt.Sprintf("k%d", rapid.IntRange(0, 9).Draw(r, "omitted"))))
				case 3:
					if len(sent) > 0 {
						feed <- sent[rapid.IntRange(0, len(sent)-1).Draw(r, "batch")]
					}
				case 4:
					role = rapid.SampledFrom([]Role{Direct, Relay, Relayed}).Draw(r, "role")
				case 5:
					h.restore(rapid.IntRange(0, len(h.all())).Draw(r, "kept"))
				default:
					time.Sleep(time.Duration(rapid.IntRange(0, 1500).Draw(r, "ms")) * time.Millisecond)
				}
				before := f.Revision()
				if !f.awaitRelay(t.Context()) && f.poll(t.Context()) != nil {
					r.Fatal("poll failed")
				}
				if before.After(f.Revision()) {
					r.Fatalf("revision went back from %v to %v", before, f.Revision())
				}
			}
			role = Direct
			if err := f.poll(t.Context()); err != nil {
				r.Fatal(err)
			}
			for len(f.omitted.reading) > 0 {
				time.Sleep(MinRetry)
				f.applyReads(t.Context())
			}
			if diff := cmp.Diff(h.state(), m.state); diff != "" {
				r.Fatal(diff)
			}
		})
	})
}
