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

// serveResume resumes a stream after the event named by Last-Event-ID. It works
// only while the engine still holds the stream; repeating the whole request with
// Last-Event-ID has no such limit.
func (g *Gateway) serveResume(c fiber.Ctx) error {
	snap := g.snapshots.load()
	pos, next, err := snap.position(c.Get(headerLastEventID))
	if err != nil {
		return err
	}
	info, err := g.identifyResume(c, snap, pos)
	if err != nil {
		return err
	}
	req := &chatRequest{id: pos.RequestID, workspace: info.workspace, contract: info.contract, stream: true, deadline: info.deadline}
	return g.answerChat(c, info, req, g.beginReattached(req, pos, next, false))
}

// position verifies an event id and returns the stream position in it and the
// offset of the next token.
func (snap *snapshot) position(eventID string) (answer.Position, uint32, error) {
	pos, next, err := snap.signer.Verify(eventID, time.Now())
	if err != nil {
		return pos, 0, contract.Refusal(contract.KindInvalid, 0, "Last-Event-ID is not an event id of this service, or too old")
	}
	return pos, next, nil
}

// identifyResume authenticates the caller of a resumed stream and finds the
// contract of the stream's pool.
func (g *Gateway) identifyResume(c fiber.Ctx, snap *snapshot, pos answer.Position) (callInfo, error) {
	ws, ok := authenticated(c, snap)
	if !ok || ws.Name != pos.Workspace {
		return callInfo{}, contract.Refusal(contract.KindUnauthorized, 0, "the API key does not belong to the stream's workspace")
	}
	i := slices.IndexFunc(snap.cfg.Contracts, func(ct contract.Contract) bool {
		return ct.Pool == pos.Pool && ct.Target == contract.Model
	})
	if i < 0 {
		return callInfo{}, contract.Refusal(contract.KindNotFound, 0, "no contract serves the stream's pool any more")
	}
	return callInfo{snapshot: snap, workspace: ws, contract: snap.cfg.Contracts[i], deadline: time.Now().Add(stallTimeout)}, nil
}

// resume continues an answer for a caller that repeated its request with
// Last-Event-ID.
func (g *Gateway) resume(c fiber.Ctx, info callInfo, req *chatRequest, eventID string) error {
	pos, next, err := info.snapshot.position(eventID)
	if err != nil {
		return err
	}
	if pos.Workspace != info.workspace.Name {
		return contract.Refusal(contract.KindUnauthorized, 0, "the API key does not belong to the stream's workspace")
	}
	req.id = pos.RequestID
	return g.answerChat(c, info, req, g.beginReattached(req, pos, next, true))
}

// beginReattached returns a function that starts a run by reattaching to the
// engine that holds the stream. If the engine no longer holds it, the run
// continues at another engine when canResend is set, and fails otherwise.
func (g *Gateway) beginReattached(req *chatRequest, pos answer.Position, next uint32, canResend bool) func(context.Context) (*run, error) {
	return func(ctx context.Context) (*run, error) {
		r := g.newRun(ctx, req, next)
		r.attempt = pos.Attempt
		r.retries.mayHaveRun = true
		server := g.snapshots.load().server(pos.Server)
		if server != nil {
			r.server = &server.Server
			r.reattaches = maxReattaches
			if r.reattach(r.server) == nil {
				r.reattaches = 0
				return r, nil
			}
		}
		if canResend {
			return r, nil
		}
		r.close()
		return nil, &contract.Error{
			Kind: contract.KindNotFound, Verdict: contract.MayHaveRun,
			Message: "the engine no longer holds the stream; repeat the request with Last-Event-ID",
		}
	}
}

// authenticated returns the workspace that the request's API key belongs to.
func authenticated(c fiber.Ctx, snap *snapshot) (config.Workspace, bool) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return config.Workspace{}, false
	}
	return snap.cfg.Authenticate(key)
}
