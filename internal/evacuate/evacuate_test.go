package evacuate_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/evacuate"
	"kumquatyard/internal/machine"
)

func genInput(t *rapid.T) evacuate.Input {
	in := evacuate.Input{KVBytesPerToken: 1e5, Margin: time.Second}
	for i := range rapid.IntRange(1, 3).Draw(t, "leaving") {
		in.Leaving = append(in.Leaving, evacuate.LeavingServer{
			ID:              machine.ID(fmt.Sprint("l", i)),
			Notice:          time.Duration(rapid.IntRange(0, 30).Draw(t, "notice")) * time.Second,
			BytesPerSecond:  rapid.SampledFrom([]float64{0, 1e8, 1e9}).Draw(t, "uplink"),
			TokensPerSecond: 30,
		})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "receivers") {
		in.Receivers = append(in.Receivers, evacuate.Receiver{
			ID:       machine.ID(fmt.Sprint("r", i)),
			Requests: rapid.IntRange(0, 4).Draw(t, "room"), Tokens: rapid.IntRange(0, 40000).Draw(t, "token room"),
			ImportsKV: rapid.Bool().Draw(t, "imports"), BytesPerSecond: rapid.SampledFrom([]float64{0, 5e8}).Draw(t, "downlink"),
		})
	}
	for i := range rapid.IntRange(0, 25).Draw(t, "requests") {
		r := evacuate.Request{
			ID: uint64(i + 1), Server: rapid.SampledFrom(in.Leaving).Draw(t, "on").ID,
			PromptTokens:    rapid.IntRange(0, 8000).Draw(t, "prompt"),
			GeneratedTokens: rapid.IntRange(0, 800).Draw(t, "generated"),
			RemainingTokens: rapid.IntRange(0, 1500).Draw(t, "remaining"),
			Priority:        contract.Priority(rapid.IntRange(1, 2).Draw(t, "priority")),
		}
		if len(in.Receivers) > 0 && rapid.Bool().Draw(t, "cached") {
			holder := rapid.SampledFrom(in.Receivers).Draw(t, "holder").ID
			r.Holders = append(r.Holders, evacuate.PrefixHolder{Server: holder, Tokens: rapid.IntRange(0, 9000).Draw(t, "cached tokens")})
		}
		in.Requests = append(in.Requests, r)
	}
	return in
}

// check fails the test unless each request has exactly one action or is in kept,
// no receiver exceeds its capacity, and exports over one link neither overlap,
// nor exceed its bandwidth, nor end after the notice.
func check(t *rapid.T, in evacuate.Input, plan []evacuate.Action, kept map[uint64]bool) {
	leaving, receivers := map[machine.ID]evacuate.LeavingServer{}, map[machine.ID]evacuate.Receiver{}
	for _, l := range in.Leaving {
		leaving[l.ID] = l
	}
	for _, r := range in.Receivers {
		receivers[r.ID] = r
	}
	requests := map[uint64]evacuate.Request{}
	for _, r := range in.Requests {
		requests[r.ID] = r
	}
	seen, busy := map[uint64]bool{}, map[machine.ID]time.Duration{}
	for _, a := range plan {
		r, ok := requests[a.Request]
		if !ok || seen[a.Request] || kept[a.Request] {
			t.Fatalf("action for an unknown, already planned or kept request: %+v", a)
		}
		seen[a.Request] = true
		if a.Kind != evacuate.Finish && a.Kind != evacuate.Requeue {
			to := receivers[a.To]
			to.Requests--
			to.Tokens -= r.PromptTokens + r.GeneratedTokens + r.RemainingTokens
			if to.Requests < 0 || to.Tokens < 0 || to.ID == "" {
				t.Fatalf("receiver over its capacity: %+v after %+v", to, a)
			}
			receivers[a.To] = to
		}
		if a.Kind != evacuate.Export {
			continue
		}
		from, to := leaving[a.From], receivers[a.To]
		bytes := float64(r.PromptTokens+r.GeneratedTokens) * in.KVBytesPerToken
		if possible := min(from.BytesPerSecond, to.BytesPerSecond) * (a.End - a.Start).Seconds(); bytes > possible*1.001+1 || !to.ImportsKV {
			t.Fatalf("export %+v of %.0f bytes: bandwidth allows %.0f, receiver imports: %v", a, bytes, possible, to.ImportsKV)
		}
		if a.Start < busy[a.From] || a.Start < busy[a.To] || a.End > from.Notice-in.Margin {
			t.Fatalf("export %+v overlaps another or ends too late: links busy until %v, notice %v", a, busy, from.Notice)
		}
		busy[a.From], busy[a.To] = a.End, a.End
	}
	if len(seen)+len(kept) != len(in.Requests) {
		t.Fatalf("%d actions and %d kept requests, want %d in total", len(seen), len(kept), len(in.Requests))
	}
}

func TestPlanRespectsCapacityAndBandwidth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := genInput(t)
		check(t, in, evacuate.Plan(in), nil)
	})
}

// When a receiver of the first plan is reclaimed as well, the second plan keeps
// the started actions with other receivers and plans the remaining requests
// again within the remaining capacity.
func TestReplanAfterReceiverIsReclaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := genInput(t)
		if len(in.Receivers) == 0 {
			return
		}
		first := evacuate.Plan(in)
		lost := in.Receivers[0].ID
		second := in
		second.Leaving = append(second.Leaving, evacuate.LeavingServer{ID: lost, Notice: 10 * time.Second})
		second.Receivers = nil
		kept := map[uint64]bool{}
		taken := map[machine.ID][2]int{}
		for _, a := range first {
			if a.To == "" {
				continue
			}
			second.Started = append(second.Started, a)
			if a.To != lost {
				kept[a.Request] = true
				taken[a.To] = [2]int{taken[a.To][0] + 1, taken[a.To][1] + a.Tokens}
			}
		}
		for _, r := range in.Receivers[1:] {
			r.Requests -= taken[r.ID][0]
			r.Tokens -= taken[r.ID][1]
			second.Receivers = append(second.Receivers, r)
		}
		check(t, second, evacuate.Plan(second), kept)
	})
}

// zoneReclaim returns an input in which the servers of a zone are reclaimed at
// short notice while other servers have free capacity.
func zoneReclaim() evacuate.Input {
	in := evacuate.Input{KVBytesPerToken: 1.5e5, Margin: 2 * time.Second}
	for i := range 7 {
		in.Leaving = append(in.Leaving, evacuate.LeavingServer{
			ID: machine.ID(fmt.Sprint("l", i)), Notice: 20 * time.Second, BytesPerSecond: 1e8, TokensPerSecond: 30,
		})
	}
	for i := range 13 {
		in.Receivers = append(in.Receivers, evacuate.Receiver{
			ID: machine.ID(fmt.Sprint("r", i)), Requests: 8, Tokens: 60000, ImportsKV: true, BytesPerSecond: 3e8,
		})
	}
	for i := range 84 {
		r := evacuate.Request{
			ID: uint64(i + 1), Server: in.Leaving[i%7].ID, Priority: contract.Interactive,
			PromptTokens: 700 + 37*i%500, GeneratedTokens: i % 60, RemainingTokens: 100,
		}
		if i%3 == 0 {
			r.Priority, r.PromptTokens, r.GeneratedTokens, r.RemainingTokens = contract.Deferrable, 5000+113*i%4000, 7*i, 900
		}
		if i%4 == 0 {
			r.Holders = []evacuate.PrefixHolder{{Server: in.Receivers[i%13].ID, Tokens: r.PromptTokens * 3 / 4}}
		}
		in.Requests = append(in.Requests, r)
	}
	return in
}

// recomputed returns the number of tokens that plan recomputes.
func recomputed(plan []evacuate.Action) int {
	sum := 0
	for _, a := range plan {
		sum += a.Recomputed
	}
	return sum
}

// BenchmarkPlanZoneReclaim reports the tokens that the plan recomputes relative
// to recomputing everything and to planning the requests one at a time.
func BenchmarkPlanZoneReclaim(b *testing.B) {
	in := zoneReclaim()
	all := 0
	for _, r := range in.Requests {
		all += r.PromptTokens + r.GeneratedTokens
	}
	var plan []evacuate.Action
	for b.Loop() {
		plan = evacuate.Plan(in)
	}
	b.ReportMetric(float64(recomputed(plan))/float64(all), "x-recompute-all")
	b.ReportMetric(float64(recomputed(plan))/float64(recomputed(evacuate.PlanInOrder(in))), "x-first-come")
}
