package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
)

// optionalParts are the parts that a request may lack, each with what it is like without it.
var optionalParts = []struct {
	name  string
	leave func(*Request)
}{
	{"prompt", func(r *Request) { r.Prompt = nil }},
	{"prompt's tokens", func(r *Request) {
		if r.Prompt != nil {
			r.Prompt = &forecast.Prompt{}
		}
	}},
	{"workspace", func(r *Request) { r.Workspace = nil }},
	{"deadline", func(r *Request) { r.Deadline = time.Time{} }},
	{"timeout", func(r *Request) { r.Timeout = time.Time{} }},
	{"body", func(r *Request) { r.Body = nil }},
	{"header", func(r *Request) { r.Header = nil }},
	{"route's latency target and attempts", func(r *Request) {
		route := *r.Route
		route.LatencyTarget, route.MaxAttempts = 0, 0
		r.Route = &route
	}},
}

// wholeRequest returns a request that has all optional parts.
func wholeRequest(route fleet.Route) *Request {
	now := time.Now()
	route.LatencyTarget = time.Second
	return &Request{
		ID: "r", Method: http.MethodPost, Route: &route, Workspace: &fleet.Workspace{Name: "w", Quota: fleet.Quota{InTokens: true}}, Header: http.Header{"X": {"y"}}, Body: []byte("body"),
		Prompt: &forecast.Prompt{Model: "m", Tokens: 12_000, MaxOutput: 400, Parts: []forecast.Part{{ID: 1, Tokens: 11_000}, {ID: 2, Tokens: 1_000}}}, Arrived: now, Deadline: now.Add(12 * time.Second), Timeout: now.Add(14 * time.Second),
	}
}

// Guards against a process that ends, with all requests in flight, when a server is reclaimed that
// has a stream of a request without optional parts, such as the description of its prompt: all
// subsets of them are left out.
func TestMoveOfRequestsWithoutOptionalParts(t *testing.T) {
	for subset := range 1 << len(optionalParts) {
		for _, route := range []fleet.Route{stream, resumable} {
			for _, copyFails := range []bool{false, true} {
				b := &movingBackend{leavesIn: 1300 * time.Millisecond, stopCopyFails: copyFails}
				b.request = func(r *Request) {
					*r = *wholeRequest(route)
					for n, part := range optionalParts {
						if subset&(1<<n) != 0 {
							part.leave(r)
						}
					}
				}
				caller, err := serveDuringReclaim(t, b)
				if err != nil || caller.body.String() != completeStream || newRuns(b) != 1 {
					t.Fatalf("without the parts %b on route %s: %d runs, the caller got %q, %v; want one run and the complete stream", subset, route.Name, newRuns(b), caller.body.String(), err)
				}
			}
		}
	}
}

// Guards against a panic in the service of one request that ends without an answer, or with one that
// promises that the request has not run although it was sent.
func TestPanicGivesATrueVerdict(t *testing.T) {
	for _, sent := range []bool{false, true} {
		t.Run(fmt.Sprintf("sent %v", sent), func(t *testing.T) {
			f := newFixture(1, func(_ int, _ context.Context, a *Attempt) (*Answer, error) {
				if sent {
					a.Wanted()
				}
				panic("broken")
			})
			err := f.Serve(t.Context(), wholeRequest(once), &fakeCaller{})
			want := contract.NotRun
			if sent {
				want = contract.MayHaveRun
			}
			var e *contract.Error
			if !errors.As(err, &e) || e.Verdict != want {
				t.Errorf("error %v, want the verdict %v", err, want)
			}
			if f.Running() != 0 {
				t.Errorf("%d requests in flight, want none", f.Running())
			}
		})
	}
}
