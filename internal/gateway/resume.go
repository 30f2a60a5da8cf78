package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"kumquatyard/internal/answer"
	"kumquatyard/internal/config"
	"kumquatyard/internal/contract"
)

// serveResume goes on with a stream from the event named by Last-Event-ID. It
// needs the engine to hold the stream still; a caller that repeats its request
// with Last-Event-ID does not.
func (g *Gateway) serveResume(c fiber.Ctx) error {
	p := g.keeper.load()
	pos, next, err := p.position(c.Get(headerLastEventID))
	if err != nil {
		return err
	}
	who, err := g.identifyResume(c, p, pos)
	if err != nil {
		return err
	}
	req := &chatRequest{id: pos.RequestID, workspace: who.workspace, contract: who.contract, stream: true, deadline: who.deadline}
	return g.answerChat(c, who, req, g.beginHeld(req, pos, next, false))
}

// position returns the stream that an event id is of, and the token after it.
func (p *picture) position(eventID string) (answer.Position, uint32, error) {
	pos, next, err := p.signer.Verify(eventID, time.Now())
	if err != nil {
		return pos, 0, contract.Refusal(contract.KindInvalid, 0, "Last-Event-ID is not an event id of this service, or too old")
	}
	return pos, next, nil
}

func (g *Gateway) identifyResume(c fiber.Ctx, p *picture, pos answer.Position) (caller, error) {
	ws, ok := authenticated(c, p)
	if !ok || ws.Name != pos.Workspace {
		return caller{}, contract.Refusal(contract.KindUnauthorized, 0, "the API key does not belong to the stream's workspace")
	}
	i := slices.IndexFunc(p.cfg.Contracts, func(ct contract.Contract) bool {
		return ct.Pool == pos.Pool && ct.Target == contract.Model
	})
	if i < 0 {
		return caller{}, contract.Refusal(contract.KindNotFound, 0, "no contract serves the stream's pool any more")
	}
	return caller{picture: p, workspace: ws, contract: p.cfg.Contracts[i], deadline: time.Now().Add(stallTimeout)}, nil
}

// resume goes on with an answer for a caller that repeated its request.
func (g *Gateway) resume(c fiber.Ctx, who caller, req *chatRequest, eventID string) error {
	pos, next, err := who.picture.position(eventID)
	if err != nil {
		return err
	}
	if pos.Workspace != who.workspace.Name {
		return contract.Refusal(contract.KindUnauthorized, 0, "the API key does not belong to the stream's workspace")
	}
	req.id = pos.RequestID
	return g.answerChat(c, who, req, g.beginHeld(req, pos, next, true))
}

// beginHeld starts a run at the engine that holds the stream. When it does
// not, the run goes on at another engine if the request is at hand.
func (g *Gateway) beginHeld(req *chatRequest, pos answer.Position, next uint32, atHand bool) func(context.Context) (*run, error) {
	return func(ctx context.Context) (*run, error) {
		r := g.newRun(ctx, req, next)
		r.attempt = pos.Attempt
		server := g.keeper.load().server(pos.Server)
		if server != nil {
			r.server = &server.Server
			r.held = heldTries
			if r.pickUp(r.server) == nil {
				r.held = 0
				return r, nil
			}
		}
		if atHand {
			return r, nil
		}
		r.close()
		return nil, &contract.Error{
			Kind: contract.KindNotFound, Verdict: contract.MayHaveRun,
			Message: "the engine no longer holds the stream; repeat the request with Last-Event-ID",
		}
	}
}

func authenticated(c fiber.Ctx, p *picture) (config.Workspace, bool) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return config.Workspace{}, false
	}
	return p.cfg.Authenticate(key)
}
