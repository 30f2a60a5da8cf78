package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatyard/internal/admit"
	"kumquatyard/internal/contract"
)

var epoch = time.Unix(1_000_000, 0)

func equalWeights(string) int { return 1 }

// For any sequence of calls: every offered request is admitted, refused or
// queued and ends exactly once, no requests are admitted without a free slot,
// the queue stays within its limits, and no workspace exceeds its limit in
// flight.
func TestControllerRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const inFlight = 12
		limits := admit.Limits{
			Slots: rapid.IntRange(0, 6).Draw(t, "slots"), QueueTokens: 2000, QueueRequests: 10, WorkspaceTokens: 1500,
			MaxInFlight: func(string) int { return inFlight },
		}
		c := admit.New(limits, equalWeights)
		state := make(map[uint64]string)
		held := make(map[string]int)
		workspace := make(map[uint64]string)
		move := func(id uint64, from, to string) {
			if state[id] != from {
				t.Fatalf("request %d: %s from state %q, want from %q", id, to, state[id], from)
			}
			state[id] = to
			if to == "ended" {
				held[workspace[id]]--
			}
		}
		slots, now, last := limits.Slots, epoch, uint64(0)
		for range rapid.IntRange(0, 150).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			var admitted []uint64
			switch rapid.IntRange(0, 6).Draw(t, "call") {
			default:
				last++
				r := admit.Request{
					ID: last, Workspace: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace")),
					Priority: contract.Priority(rapid.IntRange(1, 2).Draw(t, "priority")),
					Tokens:   rapid.IntRange(1, 600).Draw(t, "tokens"),
				}
				if rapid.Bool().Draw(t, "with deadline") {
					r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond)
				}
				workspace[r.ID] = r.Workspace
				before := c.QueuedRequests()
				d := c.Offer(now, r)
				switch d.Status {
				case admit.Admitted:
					state[r.ID] = "running"
				case admit.Queued:
					state[r.ID] = "queued"
				default:
					if d.RetryAfter <= 0 || d.Reason == 0 {
						t.Fatalf("refusal without RetryAfter or Reason: %+v", d)
					}
					if c.QueuedRequests() != before {
						t.Fatalf("a refused request displaced %d queued ones", before-c.QueuedRequests())
					}
				}
				if d.Status != admit.Refused {
					held[r.Workspace]++
				}
			case 3, 4:
				id := uint64(rapid.IntRange(0, int(last)).Draw(t, "done"))
				if state[id] == "running" {
					move(id, "running", "ended")
				}
				admitted = c.Done(now, id, admit.Outcome{Latency: time.Second, FirstByte: 100 * time.Millisecond})
			case 5:
				id := uint64(rapid.IntRange(0, int(last)).Draw(t, "cancel"))
				c.Cancel(now, id)
				if state[id] == "queued" {
					move(id, "queued", "ended")
				}
			case 6:
				slots = rapid.IntRange(0, 6).Draw(t, "new slots")
				admitted = c.SetCapacity(now, slots)
			}
			for _, id := range admitted {
				move(id, "queued", "running")
				if c.Running() > slots {
					t.Fatalf("%d requests running after an admission, with %d slots", c.Running(), slots)
				}
			}
			due := c.NextExpiry()
			refusals := c.Expire(now)
			if len(refusals) > 0 != (!due.IsZero() && !due.After(now)) {
				t.Fatalf("NextExpiry = %v at %v, but Expire returned %d refusals", due, now, len(refusals))
			}
			for _, r := range refusals {
				move(r.ID, "queued", "ended")
			}
			if c.QueuedRequests() > limits.QueueRequests || c.QueuedTokens() > limits.QueueTokens {
				t.Fatalf("queue has %d requests, %d tokens; limits are %d, %d",
					c.QueuedRequests(), c.QueuedTokens(), limits.QueueRequests, limits.QueueTokens)
			}
			running, queued := 0, 0
			for _, s := range state {
				if s == "running" {
					running++
				}
				if s == "queued" {
					queued++
				}
			}
			if running != c.Running() || queued != c.QueuedRequests() {
				t.Fatalf("controller has %d running, %d queued; want %d, %d", c.Running(), c.QueuedRequests(), running, queued)
			}
			if queued > 0 && running == 0 && slots > 0 {
				t.Fatalf("%d requests are queued while %d slots are idle", queued, slots)
			}
			for name, n := range held {
				if n > inFlight {
					t.Fatalf("workspace %s has %d requests in flight, limit %d", name, n, inFlight)
				}
			}
		}
	})
}

// serveBacklog serves a number of queued requests, one at a time, and returns
// the tokens served for each flow.
func serveBacklog(t *rapid.T, c *admit.Controller, tokens map[uint64]int, flows map[uint64]string, serve int) map[string]int {
	served := make(map[string]int)
	next := uint64(1)
	for range serve {
		admitted := c.Done(epoch, next, admit.Outcome{Latency: time.Second})
		if len(admitted) != 1 {
			t.Fatalf("Done admitted %d requests to one free slot", len(admitted))
		}
		next = admitted[0]
		served[flows[next]] += tokens[next]
	}
	return served
}

// Backlogged workspaces are served tokens in proportion to their weights,
// independent of the size of their requests.
func TestTokenSharesMatchWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 100
		n := rapid.IntRange(2, 4).Draw(t, "workspaces")
		weights, sizes, sum := map[string]int{}, map[string]int{}, 0
		for w := range n {
			name := fmt.Sprint("w", w)
			weights[name] = rapid.IntRange(1, 8).Draw(t, "weight")
			sizes[name] = rapid.IntRange(10, largest).Draw(t, "size")
			sum += weights[name]
		}
		c := admit.New(admit.Limits{Slots: 1, QueueRequests: 1 << 20, QueueTokens: 1 << 40}, func(w string) int { return weights[w] })
		tokens, flows := map[uint64]int{}, map[uint64]string{}
		id := uint64(1)
		c.Offer(epoch, admit.Request{ID: id, Workspace: "first", Priority: contract.Interactive, Tokens: 1})
		for range 120 {
			for name, size := range sizes {
				id++
				tokens[id], flows[id] = size, name
				c.Offer(epoch, admit.Request{ID: id, Workspace: name, Priority: contract.Interactive, Tokens: size})
			}
		}
		served := serveBacklog(t, c, tokens, flows, 100)
		total := 0
		for _, s := range served {
			total += s
		}
		for name, s := range served {
			want := float64(total) * float64(weights[name]) / float64(sum)
			// Start-time fair queueing bounds the lag by one request of each flow.
			if diff := float64(s) - want; diff > float64(n*largest) || diff < -float64(n*largest) {
				t.Fatalf("workspace %s with weight %d was served %d of %d tokens, want about %.0f", name, weights[name], s, total, want)
			}
		}
	})
}

// Deferrable requests get their share of the tokens, and no more, however many
// interactive requests are queued.
func TestDeferrableRequestsAreNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := map[contract.Priority]int{
			contract.Interactive: rapid.IntRange(10, 100).Draw(t, "interactive"),
			contract.Deferrable:  rapid.IntRange(10, 1000).Draw(t, "deferrable"),
		}
		c := admit.New(admit.Limits{Slots: 1, QueueRequests: 1 << 20, QueueTokens: 1 << 40}, equalWeights)
		tokens, flows := map[uint64]int{}, map[uint64]string{}
		id := uint64(1)
		c.Offer(epoch, admit.Request{ID: id, Workspace: "w", Priority: contract.Interactive, Tokens: 1})
		for range 700 {
			for p, n := range size {
				id++
				tokens[id], flows[id] = n, p.String()
				c.Offer(epoch, admit.Request{ID: id, Workspace: "w", Priority: p, Tokens: n})
			}
		}
		served := serveBacklog(t, c, tokens, flows, 600)
		got := float64(served["deferrable"])
		want := 0.1 * float64(served["deferrable"]+served["interactive"])
		// Requests are served whole, so the share is off by at most one of each class.
		slack := float64(size[contract.Deferrable] + size[contract.Interactive])
		if got < want-slack || got > want+slack {
			t.Fatalf("deferrable requests were served %.0f tokens, want %.0f ± %.0f", got, want, slack)
		}
	})
}

// A request that cannot meet its deadline at the current service rate is refused
// at once, with the time after which it could be admitted.
func TestOfferRefusesUnreachableDeadline(t *testing.T) {
	c := admit.New(admit.Limits{Slots: 1}, equalWeights)
	now := epoch
	offer := func(id uint64, deadline time.Duration) admit.Decision {
		r := admit.Request{ID: id, Workspace: "w", Priority: contract.Interactive, Tokens: 100}
		if deadline > 0 {
			r.Deadline = now.Add(deadline)
		}
		return c.Offer(now, r)
	}
	for id := uint64(1); id <= 20; id++ {
		if d := offer(id, 0); d.Status != admit.Admitted {
			t.Fatalf("request %d at an idle controller: %+v, want admitted", id, d)
		}
		now = now.Add(time.Second)
		c.Done(now, id, admit.Outcome{Latency: time.Second, FirstByte: 100 * time.Millisecond})
	}
	offer(100, 0)
	for id := uint64(101); id <= 110; id++ {
		offer(id, 0)
	}
	if d := offer(200, 5*time.Second); d.Status != admit.Refused || d.Reason != admit.DeadlineUnreachable ||
		d.RetryAfter < 4*time.Second || d.RetryAfter > 10*time.Second {
		t.Fatalf("due in 5 s behind 10 s of work: %+v, want refused with a retry after 4 s to 10 s", d)
	}
	if d := offer(201, 15*time.Second); d.Status != admit.Queued {
		t.Fatalf("due in 15 s behind 10 s of work: %+v, want queued", d)
	}
}

// When one workspace has filled the queue, a request of a workspace under its
// share displaces the newest queued request.
func TestOfferDisplacesLargestWorkspace(t *testing.T) {
	c := admit.New(admit.Limits{Slots: 1, QueueTokens: 1000}, equalWeights)
	for id := uint64(1); id <= 20; id++ {
		c.Offer(epoch, admit.Request{ID: id, Workspace: "flood", Priority: contract.Interactive, Tokens: 100})
	}
	if d := c.Offer(epoch, admit.Request{ID: 100, Workspace: "small", Priority: contract.Interactive, Tokens: 100}); d.Status != admit.Queued {
		t.Fatalf("request of the small workspace: %+v, want queued", d)
	}
	refusals := c.Expire(epoch)
	if len(refusals) != 1 || refusals[0].ID != 11 || refusals[0].Reason != admit.Displaced {
		t.Fatalf("refusals = %+v, want request 11 displaced", refusals)
	}
}

// The limit rises while latency is at its base, falls when latency grows with
// the load, and falls to its minimum on failures.
func TestLimiterFollowsLatency(t *testing.T) {
	l := admit.NewLimiter(16, 2, 64)
	serve := func(n int, capacity int) {
		for range n {
			latency := 20 * time.Millisecond * time.Duration(max(1, l.Limit()/capacity))
			l.Observe(latency, l.Limit(), false)
		}
	}
	serve(300, 32)
	if l.Limit() < 24 {
		t.Fatalf("limit %d on a server under its capacity, want at least 24", l.Limit())
	}
	serve(60, 4)
	if l.Limit() > 24 {
		t.Fatalf("limit %d after the server slowed down, want at most 24", l.Limit())
	}
	for range 100 {
		l.Observe(0, l.Limit(), true)
	}
	if l.Limit() != 2 {
		t.Fatalf("limit %d after failures, want the minimum of 2", l.Limit())
	}
}

func BenchmarkOfferDone(b *testing.B) {
	c := admit.New(admit.Limits{Slots: 100}, equalWeights)
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		c.Offer(epoch, admit.Request{ID: id, Workspace: "w", Priority: contract.Interactive, Tokens: 100})
		c.Done(epoch, id, admit.Outcome{Latency: time.Second})
	}
}
