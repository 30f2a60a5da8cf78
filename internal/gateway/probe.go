package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/route"
)

const (
	// defaultStaleAfter is the age of a server's state after which the server
	// is probed before use. It bounds how long a leaving server gets new work.
	defaultStaleAfter = 3 * time.Second
	// probeValidity is how long a successful probe of a server stays valid.
	probeValidity = time.Second
)

type serverState struct {
	Incarnation uint64 `json:"incarnation"`
	Lifecycle   string `json:"lifecycle"`
}

// confirm probes a server whose known state is stale and returns an error
// unless the server reports that it is serving. Thus an agent that is dead,
// frozen or partitioned from its peers neither blocks requests nor hides that
// a server is leaving.
func (g *Gateway) confirm(ctx context.Context, s *route.Server) error {
	snap := g.snapshots.load()
	staleAfter := snap.cfg.Routing.StaleAfter
	if staleAfter <= 0 {
		staleAfter = defaultStaleAfter
	}
	now := time.Now()
	stats := g.tracker.server(s.ID)
	if now.Sub(snap.receivedAt) < staleAfter && now.Sub(s.State.Load.At) < staleAfter || now.UnixNano()-stats.probedAt.Load() < int64(probeValidity) {
		return nil
	}
	staleProbesTotal.Inc()
	state, err := g.probe(ctx, s)
	if err != nil {
		return contract.Refusal(contract.KindUnavailable, 0, fmt.Sprintf("server %s did not confirm that it serves: %v", s.ID, err))
	}
	if state.Lifecycle != "serving" {
		g.tracker.markLeaving(s.ID, state.Incarnation)
		return contract.Refusal(contract.KindUnavailable, 0, fmt.Sprintf("server %s is %s", s.ID, state.Lifecycle))
	}
	stats.probedAt.Store(now.UnixNano())
	return nil
}

// maxStateBytes bounds a server's report on its own state.
const maxStateBytes = 1 << 20

// probe reads the server's own state from /v1/state.
func (g *Gateway) probe(ctx context.Context, s *route.Server) (serverState, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(serverURL(&s.Server, "/v1/state"))
	var state serverState
	if err := g.upstream.do(ctx, req, resp, false); err != nil {
		return state, err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	body, err := readBody(resp, maxStateBytes)
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(body, &state)
}

// probeAfterRefusal probes a server that refused work and, if it is leaving,
// removes it from the routing view without waiting for the agent's next view.
func (g *Gateway) probeAfterRefusal(s *route.Server) {
	if s.State.Incarnation == 0 {
		return
	}
	g.activity.spawn(func() {
		state, err := g.probe(context.Background(), s)
		if err == nil && state.Lifecycle == "leaving" {
			g.tracker.markLeaving(s.ID, state.Incarnation)
			g.snapshots.rebuild(time.Now())
		}
	})
}
