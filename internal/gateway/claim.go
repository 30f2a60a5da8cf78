package gateway

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"kumquatyard/internal/claim"
	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// claimTimeout bounds one call for a claim.
	claimTimeout = 3 * time.Second
	// claimCalls is the maximum number of calls for one claim when replies are
	// lost.
	claimCalls = 2
	// claimWait bounds how long one call waits for the run in progress.
	claimWait = 2 * time.Second
	// claimMargin is the time reserved before the deadline to answer the caller.
	claimMargin = 50 * time.Millisecond
	// settleTimeout bounds all attempts to record an outcome.
	settleTimeout = 10 * time.Second
	// retryAfterClaims is the Retry-After while claims cannot be made or the
	// first run is still in progress.
	retryAfterClaims = time.Second
)

// sendOnce runs a non-idempotent request at most once per idempotency key
// across all gateways. A request without a key is sent without a claim.
func (g *Gateway) sendOnce(ctx context.Context, c fiber.Ctx, req *plainRequest) (plainAnswer, error) {
	if req.key == "" {
		return g.sendPlain(ctx, req)
	}
	key, runID := claim.Key(req.info.workspace.Name, req.key), uuid.NewString()
	reply, err := g.claim(ctx, key, runID, req)
	if err != nil {
		return plainAnswer{}, err
	}
	if reply.GetOutcome() != pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
		c.Set(headerReplayed, "true")
		return replay(reply)
	}
	ans, err := g.sendPlain(ctx, req)
	g.activity.spawn(func() { g.settle(key, req.id, runID, ans, err) })
	return ans, err
}

// claim requests the claim to run req. While another run holds the claim, it
// waits for that run's outcome until the request's deadline.
func (g *Gateway) claim(ctx context.Context, key []byte, runID string, req *plainRequest) (*pb.ClaimReply, error) {
	defer func(start time.Time) { claimSeconds.Update(since(start)) }(time.Now())
	ctx, span := tracer.Start(ctx, "gateway.claim")
	defer span.End()
	message := &pb.ClaimRequest{
		Key:          key,
		Fingerprint:  claim.Fingerprint(req.method, req.uri, req.body),
		RequestId:    req.id,
		RunId:        runID,
		Gateway:      g.settings.ID,
		RunTimeoutMs: uint32((time.Until(req.info.deadline) + settleTimeout).Milliseconds()),
	}
	for {
		message.WaitMs = uint32(min(claimWait, max(0, time.Until(req.info.deadline)-claimMargin)).Milliseconds())
		reply, err := g.requestClaim(ctx, message)
		if err != nil || reply.GetOutcome() != pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING || message.WaitMs == 0 {
			return reply, err
		}
	}
}

// requestClaim sends a claim request to the agent and repeats it unchanged, with
// the same run id, when the reply is lost. No failure here can follow a send to a
// server, so the refusal always carries NotRun. A claim that may have been
// granted although its reply was lost is released by settling it as NotRun.
func (g *Gateway) requestClaim(ctx context.Context, message *pb.ClaimRequest) (*pb.ClaimReply, error) {
	var last *contract.Error
	maybeGranted := false
	for range claimCalls {
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		resp, err := g.agent.Call(callCtx, g.settings.Agent, &pb.Request{Body: &pb.Request_Claim{Claim: message}})
		cancel()
		if err == nil {
			return resp.GetClaim(), nil
		}
		last = asRefusal(err)
		maybeGranted = maybeGranted || last.Verdict != contract.NotRun
		if last.Verdict == contract.NotRun || ctx.Err() != nil {
			break
		}
	}
	refusal := contract.Refusal(contract.KindUnavailable, max(last.RetryAfter, retryAfterClaims), "the idempotency key cannot be claimed now; this call sent nothing, repeat it with the same key")
	refusal.Err = last
	if maybeGranted {
		g.activity.spawn(func() {
			g.settle(message.GetKey(), message.GetRequestId(), message.GetRunId(), plainAnswer{}, refusal)
		})
	}
	return nil, refusal
}

// replay returns the answer to a repeated request according to the outcome of
// the first run.
func replay(reply *pb.ClaimReply) (plainAnswer, error) {
	switch reply.GetOutcome() {
	case pb.ClaimOutcome_CLAIM_OUTCOME_RAN:
		a := reply.GetAnswer()
		if a == nil || a.GetTruncated() {
			return plainAnswer{}, &contract.Error{Kind: contract.KindConflict, Verdict: contract.Ran, Message: "the request ran before; its answer was too large to keep"}
		}
		return plainAnswer{status: int(a.GetStatus()), contentType: a.GetContentType(), body: a.GetBody()}, nil
	case pb.ClaimOutcome_CLAIM_OUTCOME_MISMATCH:
		return plainAnswer{}, contract.Refusal(contract.KindConflict, 0, "the Idempotency-Key was used for another request")
	case pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING:
		return plainAnswer{}, &contract.Error{Kind: contract.KindConflict, Verdict: contract.MayHaveRun, RetryAfter: retryAfterClaims, Message: "the first run with this Idempotency-Key has not ended"}
	default:
		return plainAnswer{}, &contract.Error{Kind: contract.KindConflict, Verdict: contract.MayHaveRun, Message: "the first run with this Idempotency-Key ended without a known outcome"}
	}
}

// settle records the outcome of a claimed run, retrying with backoff for up to
// settleTimeout. If that fails, the claim stays open and repeats are answered
// that the request may have run.
func (g *Gateway) settle(key []byte, requestID, runID string, ans plainAnswer, runErr error) {
	s := &pb.ClaimSettle{Key: key, RequestId: requestID, RunId: runID, Verdict: pb.Verdict_VERDICT_RAN, Answer: answerToProto(ans)}
	if runErr != nil {
		s.Answer = nil
		s.Verdict = pb.Verdict_VERDICT_MAY_HAVE_RUN
		if contract.VerdictOf(runErr) == contract.NotRun {
			s.Verdict = pb.Verdict_VERDICT_NOT_RUN
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_, err := backoff.Retry(ctx, func() (*pb.Response, error) {
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		return g.agent.Call(callCtx, g.settings.Agent, &pb.Request{Body: &pb.Request_Settle{Settle: s}})
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
	if err != nil {
		g.log.WithError(err).WithField("request", requestID).Warn("recording the outcome of a request with an Idempotency-Key failed; repeats of it get no stored answer")
	}
}
