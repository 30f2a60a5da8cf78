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
	// defaultStaleAfter is the age of what is known of a server after which it
	// is asked before use: the bound on new work for leaving servers.
	defaultStaleAfter = 3 * time.Second
	// probeValidity is how long a server's own word that it serves is believed.
	probeValidity = time.Second
)

type serverState struct {
	Incarnation uint64 `json:"incarnation"`
	Lifecycle   string `json:"lifecycle"`
}

// confirm asks a server whether it serves when what is known of it is too old
// to tell. An agent that is dead, frozen or cut off from its peers thus stops
// nothing and hides nothing.
func (g *Gateway) confirm(ctx context.Context, s *route.Server) error {
	p := g.keeper.load()
	staleAfter := p.cfg.Routing.StaleAfter
	if staleAfter <= 0 {
		staleAfter = defaultStaleAfter
	}
	now := time.Now()
	track := g.tracker.server(s.ID)
	if now.Sub(p.receivedAt) < staleAfter && now.Sub(s.State.Load.At) < staleAfter || now.UnixNano()-track.probedAt.Load() < int64(probeValidity) {
		return nil
	}
	staleProbesTotal.Inc()
	state, err := g.probe(ctx, s)
	if err != nil {
		return contract.Refusal(contract.KindUnavailable, 0, fmt.Sprintf("server %s did not confirm that it serves: %v", s.ID, err))
	}
	if state.Lifecycle != "serving" {
		g.tracker.sawLeaving(s.ID, state.Incarnation)
		return contract.Refusal(contract.KindUnavailable, 0, fmt.Sprintf("server %s is %s", s.ID, state.Lifecycle))
	}
	track.probedAt.Store(now.UnixNano())
	return nil
}

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
	return state, json.Unmarshal(resp.Body(), &state)
}

// noteRefusal keeps a server that refused work as leaving out of the routing
// view before the agent tells.
func (g *Gateway) noteRefusal(s *route.Server) {
	if s.State.Incarnation == 0 {
		return
	}
	g.activity.spawn(func() {
		state, err := g.probe(context.Background(), s)
		if err == nil && state.Lifecycle == "leaving" {
			g.tracker.sawLeaving(s.ID, state.Incarnation)
			g.keeper.rebuild(time.Now())
		}
	})
}
