package claimshard

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/claim"
	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// ownerSearchTimeout limits the retries to find the owner of a shard, which may
	// be changing.
	ownerSearchTimeout = 2 * time.Second
	// firstRetry and maxRetry are the first and the maximum backoff between these
	// retries.
	firstRetry = 20 * time.Millisecond
	maxRetry   = 250 * time.Millisecond
	// commitWait limits the wait for the commit of a claim or a settlement.
	commitWait = 2 * time.Second
)

// Handle serves ClaimRequest and ClaimSettle messages and returns nil for all
// others. An error with the verdict NotRun means that the message was not
// recorded and will not be. After MayHaveRun, the gateway either sends the same
// claim again or settles its run id as not run.
func (s *Service) Handle(ctx context.Context, _ string, req *pb.Request) (*pb.Response, error) {
	switch {
	case req.GetClaim() != nil:
		return s.handleClaim(ctx, req.GetClaim())
	case req.GetSettle() != nil:
		return s.handleSettle(ctx, req.GetSettle())
	default:
		return nil, nil
	}
}

func (s *Service) handleClaim(ctx context.Context, req *pb.ClaimRequest) (*pb.Response, error) {
	if len(req.GetKey()) != claim.DigestBytes || req.GetRunId() == "" {
		return nil, invalid("a claim needs a key and a run id")
	}
	resp, err := s.serve(ctx, &message{
		shard:      claim.ShardOf(req.GetKey(), s.opts.Settings.Shards),
		forwarded:  req.GetForwarded(),
		serveLocal: func(ctx context.Context, w *worker) (*pb.Response, error) { return s.claim(ctx, w, req) },
		remoteRequest: func() *pb.Request {
			out := proto.CloneOf(req)
			out.Forwarded = true
			return &pb.Request{Body: &pb.Request_Claim{Claim: out}}
		},
	})
	if !req.GetForwarded() {
		countClaim(resp, err)
	}
	return resp, err
}

func (s *Service) handleSettle(ctx context.Context, req *pb.ClaimSettle) (*pb.Response, error) {
	if len(req.GetKey()) != claim.DigestBytes || req.GetRunId() == "" || req.GetVerdict() == pb.Verdict_VERDICT_UNSPECIFIED {
		return nil, invalid("a settlement needs a key, a run id and a verdict")
	}
	return s.serve(ctx, &message{
		shard:      claim.ShardOf(req.GetKey(), s.opts.Settings.Shards),
		forwarded:  req.GetForwarded(),
		serveLocal: func(ctx context.Context, w *worker) (*pb.Response, error) { return s.settle(ctx, w, req) },
		remoteRequest: func() *pb.Request {
			out := proto.CloneOf(req)
			out.Forwarded = true
			return &pb.Request{Body: &pb.Request_Settle{Settle: out}}
		},
	})
}

func invalid(text string) error {
	return &contract.Error{Kind: contract.KindInvalid, Verdict: contract.NotRun, Message: text}
}

// message is a claim or a settlement that has to reach the owner of its shard.
type message struct {
	shard int
	// forwarded is set if another agent forwarded the message to this one.
	forwarded bool
	// serveLocal serves the message at this agent.
	serveLocal func(ctx context.Context, w *worker) (*pb.Response, error)
	// remoteRequest returns the message to be forwarded.
	remoteRequest func() *pb.Request
}

// serve serves m here or forwards it to the owner of its shard. It retries with
// backoff while the owner is changing. A forwarded message is only served here,
// so that agents do not forward it in circles.
func (s *Service) serve(ctx context.Context, m *message) (*pb.Response, error) {
	if m.forwarded {
		return m.serveLocal(ctx, s.workers[m.shard])
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstRetry, maxRetry
	deadline := time.Now().Add(ownerSearchTimeout)
	inDoubt := false
	for {
		resp, err := s.attempt(ctx, m)
		inDoubt = inDoubt || (err != nil && contract.VerdictOf(err) != contract.NotRun)
		pause := pauses.NextBackOff()
		if !s.shouldRetry(m, resp, err) {
			return resp, raiseVerdict(err, inDoubt)
		}
		if time.Now().Add(pause).After(deadline) || !sleep(ctx, pause) {
			return nil, raiseVerdict(noOwner(err), inDoubt)
		}
	}
}

// attempt serves or forwards m once, according to route.
func (s *Service) attempt(ctx context.Context, m *message) (*pb.Response, error) {
	address := s.route(m.shard)
	if address == "" {
		return m.serveLocal(ctx, s.workers[m.shard])
	}
	return s.opts.Caller.Call(ctx, address, m.remoteRequest())
}

// route returns the address of the probable owner of the shard, empty if that is
// this agent.
func (s *Service) route(shard int) string {
	if s.workers[shard].active.Load() {
		return ""
	}
	if address := s.redirects[shard].Load(); address != nil {
		return *address
	}
	preferred := s.view.Load().preferred[shard]
	if s.self(preferred) {
		return ""
	}
	return preferred.GetAddress()
}

// shouldRetry reports whether m has to be tried again, and updates the redirect
// of its shard.
func (s *Service) shouldRetry(m *message, resp *pb.Response, err error) bool {
	if err != nil {
		s.redirects[m.shard].Store(nil)
		return unreachable(err)
	}
	if resp.GetClaim().GetOutcome() != pb.ClaimOutcome_CLAIM_OUTCOME_NOT_OWNER {
		return false
	}
	s.redirects[m.shard].Store(nil)
	if address := resp.GetClaim().GetOwnerAddress(); address != "" && address != s.opts.Self.GetAddress() {
		s.redirects[m.shard].Store(&address)
	}
	return true
}

// unreachable reports whether err was returned by the link and not by the owner:
// only errors of the link have a cause.
func unreachable(err error) bool {
	var e *contract.Error
	return errors.As(err, &e) && e.Err != nil
}

// raiseVerdict returns err with the verdict MayHaveRun instead of NotRun if an
// earlier attempt may have been recorded.
func raiseVerdict(err error, inDoubt bool) error {
	var e *contract.Error
	if err == nil || !inDoubt || !errors.As(err, &e) || e.Verdict != contract.NotRun {
		return err
	}
	raised := *e
	raised.Verdict = contract.MayHaveRun
	return &raised
}

func noOwner(err error) error {
	return &contract.Error{
		Kind: contract.KindUnavailable, Verdict: contract.NotRun,
		Message: "the claim shard has no owner that answers", RetryAfter: time.Second, Err: err,
	}
}

// sleep waits for d and reports false if ctx was done before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) claim(ctx context.Context, w *worker, req *pb.ClaimRequest) (*pb.Response, error) {
	wait := time.Duration(req.GetWaitMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+commitWait)
	defer cancel()
	reply, err := w.submit(ctx, wait, func(now time.Time, ticket uint64) {
		w.shard.Claim(now, ticket, proto.CloneOf(req))
	})
	if err != nil {
		return nil, err
	}
	if reply.Err != nil {
		return nil, reply.Err
	}
	if reply.AnswerKey != "" {
		reply.Claim.Answer = s.readAnswer(ctx, req, reply)
	}
	return &pb.Response{Body: &pb.Response_Claim{Claim: reply.Claim}}, nil
}

// readAnswer reads the stored answer of the run that executed the request. It
// returns nil if the answer cannot be read.
func (s *Service) readAnswer(ctx context.Context, req *pb.ClaimRequest, reply claim.Reply) *pb.StoredAnswer {
	entry, err := s.opts.KV.Get(ctx, reply.AnswerKey)
	if err == nil {
		var found *pb.StoredAnswer
		if found, err = claim.FindAnswer(entry.Value, req.GetKey(), reply.AnswerRun); err == nil {
			return found
		}
	}
	answerFailures.Inc()
	s.opts.Log.WithError(err).WithField("key", reply.AnswerKey).Warn("stored answer of a finished request cannot be read; replying to its repeat without the answer")
	return nil
}

func (s *Service) settle(ctx context.Context, w *worker, req *pb.ClaimSettle) (*pb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, commitWait)
	defer cancel()
	reply, err := w.submit(ctx, 0, func(now time.Time, ticket uint64) { w.shard.Settle(now, ticket, proto.CloneOf(req)) })
	if err != nil {
		return nil, err
	}
	if reply.Err != nil {
		return nil, reply.Err
	}
	if reply.Claim != nil {
		return &pb.Response{Body: &pb.Response_Claim{Claim: reply.Claim}}, nil
	}
	return &pb.Response{Body: &pb.Response_Ack{Ack: &pb.Ack{}}}, nil
}
