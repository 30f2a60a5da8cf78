package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fairshare"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
)

// shortFixture returns a server for a pool that is short of room: workspace "hot" asks for ten
// times what "calm" does.
func shortFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(2, func(int, context.Context, *Attempt) (*Answer, error) { return ok("done"), nil })
	snapshot := f.Snapshot()
	workspaces := []*fleet.Workspace{{Name: "hot"}, {Name: "calm"}}
	route := promptRoute
	config := fleet.NewConfig(2, []*fleet.Route{&route}, []*fleet.Pool{{Name: "p", MaxConns: 100, Engine: &fleet.Engine{Slots: 8}}}, workspaces, fleet.Limits{})
	f.Server.Snapshot = func() *fleet.Snapshot { return &fleet.Snapshot{Config: config, Servers: snapshot.Servers} }
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Shares = fairshare.New(fairshare.Options{
		Instances: func() int { return 1 }, Rate: f.Predictor.Rate, Log: logrus.NewEntry(log),
		Demand: func(string, time.Time) float64 { return 1e6 },
	})
	now := time.Now()
	for at := -2 * time.Second; at <= 0; at += 50 * time.Millisecond {
		for workspace, tokens := range map[string]float64{"hot": 10_000, "calm": 1000} {
			f.Shares.Record(fairshare.Request{Pool: "p", Workspace: workspace, Route: route.Name, Tokens: tokens, Pressed: true}, now.Add(at))
		}
		f.Shares.RecordServed("p", 8000, now.Add(at))
		f.Shares.Update(f.Snapshot(), now.Add(at))
	}
	return f
}

var promptRoute = fleet.Route{Name: "prompts", Targets: once.Targets, MaxAttempts: 2, LatencyTarget: 600 * time.Millisecond}

func promptRequest(workspace string, n int) *Request {
	r := request(promptRoute)
	r.ID, r.Workspace = fmt.Sprint(workspace, n), &fleet.Workspace{Name: workspace}
	r.Prompt = &forecast.Prompt{Tokens: 2000, MaxOutput: 10, Parts: []forecast.Part{{ID: uint64(n + 1), Tokens: 2000}}}
	return r
}

// serveMany returns how many of some requests of a workspace are refused.
func serveMany(t *testing.T, f *fixture, workspace string, requests int) (refused int) {
	t.Helper()
	for n := range requests {
		err := f.Serve(t.Context(), promptRequest(workspace, n), &fakeCaller{})
		if err == nil {
			continue
		}
		var e *contract.Error
		if !errors.As(err, &e) || e.Verdict != contract.NotRun || e.RetryAfter <= 0 || e.RetryAfter > 10*time.Second {
			t.Fatalf("refused with %v, want not run and a time to come again", err)
		}
		refused++
	}
	return refused
}

// Work ahead of a request that takes half of its latency target: servers have no spare room, but
// the answer would still be in time. The workspace that is over its share is refused before any
// server is asked, the other one is not.
func TestWorkspaceOverItsShareIsRefused(t *testing.T) {
	f := shortFixture(t)
	for _, id := range []string{"s0", "s1"} {
		f.Predictor.Begin("p", machine.ID(id), &forecast.Prompt{Tokens: int(0.5 * f.Predictor.Rate("p"))}, 0, time.Now())
	}
	if refused := serveMany(t, f, "calm", 20); refused > 0 {
		t.Errorf("%d of 20 requests of the workspace inside its share are refused", refused)
	}
	before := len(f.backend.attempts)
	refused := serveMany(t, f, "hot", 20)
	if refused < 5 || refused == 20 {
		t.Errorf("%d of 20 requests of the workspace over its share are refused, want a part of them", refused)
	}
	if sent := len(f.backend.attempts) - before; sent != 20-refused {
		t.Errorf("%d requests were sent to servers, want %d: refused ones are not sent", sent, 20-refused)
	}
}

// Idle servers: nothing is refused for a share.
func TestSpareRoomIsUsed(t *testing.T) {
	if refused := serveMany(t, shortFixture(t), "hot", 20); refused > 0 {
		t.Errorf("%d of 20 requests are refused while servers are idle", refused)
	}
}

// A long prompt is not refused for its own prefill time.
func TestSizeOfARequestDoesNotPress(t *testing.T) {
	f := shortFixture(t)
	r := &run{server: f.Server, req: promptRequest("hot", 1), pool: "p"}
	r.req.Prompt.Tokens = int(f.Predictor.Rate("p")) // a second of prefill
	server := f.Snapshot().Servers["p"][0]
	best := &candidate{server: server, estimate: f.Predictor.Predict("p", server.ID, r.req.Prompt, 0, time.Now())}
	best.estimate.Work.Active = server.Slots
	if r.isPressed(best) {
		t.Error("a long prompt counts as work ahead of itself")
	}
}
