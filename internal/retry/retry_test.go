package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/retry"
)

var epoch = time.Unix(1_000_000, 0)

// A request that may have run is sent again only if it is idempotent. No request is sent
// again after it ran or past its deadline.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		verdict := contract.Verdict(rapid.IntRange(0, 3).Draw(t, "verdict"))
		idempotent := rapid.Bool().Draw(t, "idempotent")
		attempt := rapid.IntRange(1, 6).Draw(t, "attempt")
		left := time.Duration(rapid.IntRange(0, 3000).Draw(t, "left")) * time.Millisecond
		delay, ok := retry.Decide(verdict, idempotent, attempt, epoch.Add(left), epoch, rapid.Uint64().Draw(t, "seed"))
		safe := verdict == contract.NotRun || (verdict == contract.MayHaveRun && idempotent)
		if ok && (!safe || attempt >= retry.MaxAttempts || delay >= left || delay < 0) {
			t.Fatalf("unsafe or late retry after %v: attempt %d, verdict %v, idempotent %v, %v left", delay, attempt, verdict, idempotent, left)
		}
		if !ok && safe && attempt < retry.MaxAttempts && left > 2*time.Second {
			t.Fatal("a safe retry within the deadline was refused")
		}
	})
}

// For any failures, the retries of a workspace and those at a server stay within their
// ratio plus the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst, serverRatio = 10, 0.2
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		b := retry.NewBudget(func(string) float64 { return ratio })
		requests, byWorkspace, byServer := 0, 0, map[machine.ID]int{}
		granted := map[machine.ID]int{}
		for range rapid.IntRange(0, 300).Draw(t, "requests") {
			id := machine.ID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"))
			b.Request("w", id)
			requests++
			byServer[id]++
			for range rapid.IntRange(0, 3).Draw(t, "failures") {
				if b.Take("w", id) {
					byWorkspace++
					granted[id]++
				}
			}
		}
		if float64(byWorkspace) > ratio*float64(requests)+burst {
			t.Fatalf("%d retries for %d requests exceed the ratio %f plus the burst", byWorkspace, requests, ratio)
		}
		if ratio == 0 && byWorkspace > 0 {
			t.Fatalf("%d retries of a workspace with ratio 0, want none", byWorkspace)
		}
		for id, n := range granted {
			if float64(n) > serverRatio*float64(byServer[id])+burst {
				t.Fatalf("%d retries at server %s for %d requests exceed the server ratio plus the burst", n, id, byServer[id])
			}
		}
	})
}

// Reads are hedged after the 95th percentile of recent latency; other requests
// never are.
func TestHedge(t *testing.T) {
	h := retry.NewHedge()
	if _, ok := h.Delay(true); ok {
		t.Fatal("Delay allows a hedge without samples")
	}
	for i := range 3000 {
		latency := 10 * time.Millisecond
		if i%100 >= 90 {
			latency = 200 * time.Millisecond
		}
		h.Observe(latency)
	}
	delay, ok := h.Delay(true)
	if !ok || delay < 190*time.Millisecond || delay > 210*time.Millisecond {
		t.Fatalf("Delay = %v, %v, want about 200 ms", delay, ok)
	}
	if _, ok := h.Delay(false); ok {
		t.Fatal("Delay allows a hedge of a request that is not idempotent")
	}
}
