package serve

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/reach"
)

// turnedAway is the answer of a server that wants no requests for a time.
func turnedAway(wait time.Duration) *Answer {
	a := ok("")
	a.Status, a.Refused, a.RetryAfter = http.StatusServiceUnavailable, true, wait
	return a
}

func (f *fixture) sentTo(id machine.ID) int {
	f.backend.mu.Lock()
	defer f.backend.mu.Unlock()
	n := 0
	for _, a := range f.backend.attempts {
		if a.Server.ID == id {
			n++
		}
	}
	return n
}

// One server of a pool turns requests away for five seconds: the others serve, and it
// gets no further request.
func TestServerThatTurnsRequestsAwayIsPassedOver(t *testing.T) {
	f := newFixture(3, func(_ int, _ context.Context, a *Attempt) (*Answer, error) {
		if a.Server.ID == "s1" {
			return turnedAway(5 * time.Second), nil
		}
		return ok("done"), nil
	})
	for range 60 {
		if err := f.Serve(t.Context(), request(idempotent), &fakeCaller{}); err != nil {
			t.Fatal(err)
		}
	}
	if got := f.sentTo("s1"); got != 1 {
		t.Errorf("the server that turns requests away got %d, want 1", got)
	}
}

// All servers of a pool turn requests away: callers are refused at once, as not run, and
// may come back when the first server accepts requests again.
func TestPoolThatTurnsRequestsAwayRefusesAtOnce(t *testing.T) {
	waits := map[machine.ID]time.Duration{"s0": 9 * time.Second, "s1": 4 * time.Second, "s2": 7 * time.Second}
	f := newFixture(3, func(_ int, _ context.Context, a *Attempt) (*Answer, error) {
		return turnedAway(waits[a.Server.ID]), nil
	})
	threeAttempts := idempotent
	threeAttempts.MaxAttempts = 3
	for range 10 {
		_ = f.Serve(t.Context(), request(threeAttempts), &fakeCaller{})
	}
	if len(f.backend.attempts) != 3 {
		t.Errorf("%d requests were sent, want one to each server", len(f.backend.attempts))
	}
	started := time.Now()
	err := f.Serve(t.Context(), request(threeAttempts), &fakeCaller{})
	var refused *contract.Error
	if !errors.As(err, &refused) || refused.Verdict != contract.NotRun {
		t.Fatalf("error %v, want a refusal as not run", err)
	}
	if got := refused.RetryAfter; got < 3*time.Second || got > 4*time.Second+maxRetryJitter {
		t.Errorf("the caller may come back after %v, want 4 s or a little later", got)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("the refusal took %v, want it at once", took)
	}
}

// Requests that wait for a connection when the server turns another one away are not
// sent to it any more.
func TestRequestsUnderWayAreNotSentToAServerThatTurnsAway(t *testing.T) {
	const requests = 20
	var entered, sent atomic.Int64
	f := newFixture(2, nil)
	f.backend.script = func(n int, _ context.Context, a *Attempt) (*Answer, error) {
		if a.Server.ID != "s0" {
			entered.Add(1)
			return ok("done"), nil
		}
		if entered.Add(1); n == 0 {
			awaitTrue(t, func() bool { return entered.Load() >= requests })
			return turnedAway(5 * time.Second), nil
		}
		awaitTrue(t, func() bool { return !f.backoffs.wanted(a.Server, time.Now()) })
		if !a.Wanted() {
			return nil, errors.Join(&contract.Error{Kind: contract.KindUnavailable, Verdict: contract.NotRun}, ErrUnwanted)
		}
		sent.Add(1)
		return ok("done"), nil
	}
	f.suspect("s1", time.Now())
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			if err := f.Serve(t.Context(), request(idempotent), &fakeCaller{}); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	if got := sent.Load(); got != 0 {
		t.Errorf("%d requests were sent after the server turned one away, want none", got)
	}
	if f.isSuspected(reach.Path{Pool: "p", Server: "s0"}, time.Now()) {
		t.Error("a server that wants no requests is suspected of a failure")
	}
}

// awaitTrue waits until a condition holds.
func awaitTrue(t *testing.T, condition func() bool) {
	for range 5000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the condition did not become true within 5 s")
}

// Any answer may say that its server is leaving: a success, a failure or the head of a
// stream. The server gets no further request, until it starts again.
func TestServerWhoseAnswerSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	failure := ok("")
	failure.Status = http.StatusInternalServerError
	for name, first := range map[string]*Answer{"success": ok("done"), "failure": failure, "stream": ok(events(1, 2)), "refusal": turnedAway(0)} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2, func(_ int, _ context.Context, a *Attempt) (*Answer, error) {
				if a.Server.ID == "s0" {
					first.Leaving = true
					return first, nil
				}
				return ok(events(1, 2)), nil
			})
			var marked []machine.ID
			f.MarkLeaving = func(s *fleet.Server) { marked = append(marked, s.ID) }
			route := idempotent
			if name == "stream" {
				route = resumable
			}
			for range 40 {
				_ = f.Serve(t.Context(), request(route), &fakeCaller{})
			}
			if got := f.sentTo("s0"); got != 1 {
				t.Errorf("the leaving server got %d requests, want 1", got)
			}
			if len(marked) != 1 || marked[0] != "s0" {
				t.Errorf("marked as leaving: %v, want s0 once", marked)
			}
			restarted := *f.Snapshot().Servers["p"][0]
			restarted.StartedAtMs++
			if !f.backoffs.wanted(&restarted, time.Now()) {
				t.Error("a new incarnation of the server is not used")
			}
		})
	}
}
