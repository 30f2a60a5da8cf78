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
	// patience bounds the search for the owner of a shard while it changes.
	patience = 2 * time.Second
	// firstRetry and maxRetry bound the pauses of that search.
	firstRetry = 20 * time.Millisecond
	maxRetry   = 250 * time.Millisecond
	// commitWait bounds the wait for the commit of a claim.
	commitWait = 2 * time.Second
)

// Handle serves ClaimRequest and ClaimSettle and returns nil for every other
// message. An error says NotRun when the message was surely not recorded and
// will not be. After MayHaveRun, the gateway either sends the same claim again
// or settles its run id as not run.
func (o *Service) Handle(ctx context.Context, _ string, req *pb.Request) (*pb.Response, error) {
	switch {
	case req.GetClaim() != nil:
		return o.handleClaim(ctx, req.GetClaim())
	case req.GetSettle() != nil:
		return o.handleSettle(ctx, req.GetSettle())
	default:
		return nil, nil
	}
}

func (o *Service) handleClaim(ctx context.Context, req *pb.ClaimRequest) (*pb.Response, error) {
	if len(req.GetKey()) != claim.DigestBytes || req.GetRunId() == "" {
		return nil, invalid("a claim needs a key and a run id")
	}
	resp, err := o.serve(ctx, &message{
		shard:     claim.ShardOf(req.GetKey(), o.opts.Settings.Shards),
		forwarded: req.GetForwarded(),
		local:     func(ctx context.Context, w *worker) (*pb.Response, error) { return o.claim(ctx, w, req) },
		remote: func() *pb.Request {
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

func (o *Service) handleSettle(ctx context.Context, req *pb.ClaimSettle) (*pb.Response, error) {
	if len(req.GetKey()) != claim.DigestBytes || req.GetRunId() == "" || req.GetVerdict() == pb.Verdict_VERDICT_UNSPECIFIED {
		return nil, invalid("a settlement needs a key, a run id and a verdict")
	}
	return o.serve(ctx, &message{
		shard:     claim.ShardOf(req.GetKey(), o.opts.Settings.Shards),
		forwarded: req.GetForwarded(),
		local:     func(ctx context.Context, w *worker) (*pb.Response, error) { return o.settle(ctx, w, req) },
		remote: func() *pb.Request {
			out := proto.CloneOf(req)
			out.Forwarded = true
			return &pb.Request{Body: &pb.Request_Settle{Settle: out}}
		},
	})
}

func invalid(text string) error {
	return &contract.Error{Kind: contract.KindInvalid, Verdict: contract.NotRun, Message: text}
}

// message is a claim or a settlement on its way to the owner of its shard.
type message struct {
	shard     int
	forwarded bool
	local     func(ctx context.Context, w *worker) (*pb.Response, error)
	remote    func() *pb.Request
}

// serve answers m here or through the owner of its shard, and searches again
// while the owner changes.
func (o *Service) serve(ctx context.Context, m *message) (*pb.Response, error) {
	if m.forwarded {
		return m.local(ctx, o.workers[m.shard])
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstRetry, maxRetry
	deadline := time.Now().Add(patience)
	doubt := false
	for {
		resp, err := o.try(ctx, m)
		doubt = doubt || (err != nil && contract.VerdictOf(err) != contract.NotRun)
		pause := pauses.NextBackOff()
		if !o.again(m, resp, err) {
			return resp, withDoubt(err, doubt)
		}
		if time.Now().Add(pause).After(deadline) || !sleep(ctx, pause) {
			return nil, withDoubt(noOwner(err), doubt)
		}
	}
}

// try makes one attempt where the owner is believed to be.
func (o *Service) try(ctx context.Context, m *message) (*pb.Response, error) {
	address := o.route(m.shard)
	if address == "" {
		return m.local(ctx, o.workers[m.shard])
	}
	return o.opts.Caller.Call(ctx, address, m.remote())
}

// route returns the address of the shard's owner, empty for this agent.
func (o *Service) route(shard int) string {
	if o.workers[shard].active.Load() {
		return ""
	}
	if address := o.redirects[shard].Load(); address != nil {
		return *address
	}
	preferred := o.view.Load().preferred[shard]
	if o.self(preferred) {
		return ""
	}
	return preferred.GetAddress()
}

// again reports whether m shall be tried again, and learns where.
func (o *Service) again(m *message, resp *pb.Response, err error) bool {
	if err != nil {
		o.redirects[m.shard].Store(nil)
		return unreachable(err)
	}
	if resp.GetClaim().GetOutcome() != pb.ClaimOutcome_CLAIM_OUTCOME_NOT_OWNER {
		return false
	}
	o.redirects[m.shard].Store(nil)
	if address := resp.GetClaim().GetOwnerAddress(); address != "" && address != o.opts.Self.GetAddress() {
		o.redirects[m.shard].Store(&address)
	}
	return true
}

// unreachable reports whether err comes from the link and not from the owner:
// only the link has an error of its own as the cause.
func unreachable(err error) bool {
	var e *contract.Error
	return errors.As(err, &e) && e.Err != nil
}

// withDoubt raises the verdict of a failure after an attempt that may have been
// recorded.
func withDoubt(err error, doubt bool) error {
	var e *contract.Error
	if err == nil || !doubt || !errors.As(err, &e) || e.Verdict != contract.NotRun {
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

func (o *Service) claim(ctx context.Context, w *worker, req *pb.ClaimRequest) (*pb.Response, error) {
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
		reply.Claim.Answer = o.readAnswer(ctx, req, reply)
	}
	return &pb.Response{Body: &pb.Response_Claim{Claim: reply.Claim}}, nil
}

// readAnswer returns the first answer from the segment that holds it, nil when
// the segment cannot be read now.
func (o *Service) readAnswer(ctx context.Context, req *pb.ClaimRequest, reply claim.Reply) *pb.StoredAnswer {
	entry, err := o.opts.KV.Get(ctx, reply.AnswerKey)
	if err == nil {
		var found *pb.StoredAnswer
		if found, err = claim.FindAnswer(entry.Value, req.GetKey(), reply.AnswerRun); err == nil {
			return found
		}
	}
	answerFailures.Inc()
	o.opts.Log.WithError(err).WithField("key", reply.AnswerKey).Warn("the answer of a finished request cannot be read")
	return nil
}

func (o *Service) settle(ctx context.Context, w *worker, req *pb.ClaimSettle) (*pb.Response, error) {
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
