package claimshard

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/claim"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/rescue"
	pb "kumquatyard/proto/kumquat/v1"
)

// worker runs one shard. Only its loop accesses the shard; at most one key-value
// call is in flight at a time, in a goroutine of its own.
type worker struct {
	service *Service
	number  int
	shard   *claim.Shard
	events  chan func(now time.Time)
	// results is buffered for the result of the one call in flight.
	results chan claim.Result
	// replies maps tickets to channels, each buffered for the one reply.
	replies map[uint64]chan claim.Reply
	calls   conc.WaitGroup

	// owning and active mirror the shard's state for other goroutines.
	owning    atomic.Bool
	active    atomic.Bool
	takeovers uint64

	// lastView is the view last applied, acquireTried when the shard was last
	// acquired. Only the goroutine that watches the membership accesses them.
	lastView     *view
	acquireTried time.Time

	// probing is set while a probe of a suspect owner is in flight.
	probing bool
}

func newWorker(s *Service, number int) *worker {
	return &worker{
		service: s,
		number:  number,
		shard:   claim.NewShard(number, claim.OwnerOf(s.opts.Self), s.opts.Self.GetAddress(), s.limits),
		events:  make(chan func(time.Time), 64),
		results: make(chan claim.Result, 1),
		replies: map[uint64]chan claim.Reply{},
	}
}

func (w *worker) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer w.calls.Wait()
	for {
		wake := w.step(ctx, time.Now())
		if wake.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(time.Until(wake))
		}
		select {
		case event := <-w.events:
			event(time.Now())
		case result := <-w.results:
			w.shard.Done(time.Now(), result)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// step starts the shard's next call, delivers its replies and updates the
// mirrored state. It returns when to call step again, zero for no time.
func (w *worker) step(ctx context.Context, now time.Time) (wake time.Time) {
	op, ok, wake := w.shard.Next(now)
	if ok {
		w.calls.Go(func() { w.results <- w.service.perform(ctx, op) })
	}
	for _, r := range w.shard.Replies() {
		if ch := w.replies[r.Ticket]; ch != nil {
			delete(w.replies, r.Ticket)
			ch <- r
		}
	}
	w.publish()
	w.probe(ctx)
	return wake
}

// probe probes the shard's suspect owner, if any. An agent that sees only a part
// of the membership must not take over the shards of agents that are alive.
func (w *worker) probe(ctx context.Context) {
	owner, address := w.shard.Suspect()
	if owner == "" || w.probing {
		return
	}
	w.probing = true
	w.calls.Go(func() {
		alive := w.service.alive(ctx, owner, address)
		w.send(func(now time.Time) {
			w.probing = false
			w.shard.RecordProbe(now, owner, alive)
		})
	})
}

// alive reports whether the agent at address answers and still has the owner name
// owner.
func (s *Service) alive(ctx context.Context, owner, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := s.opts.Caller.Call(ctx, address, &pb.Request{Body: &pb.Request_Status{Status: &pb.StatusRequest{}}})
	return err == nil && claim.OwnerOf(resp.GetStatus().GetSelf()) == owner
}

// publish copies the shard's state to the fields that other goroutines read, and
// to metrics.
func (w *worker) publish() {
	w.active.Store(!w.shard.Idle())
	if owning := w.shard.Owned(); w.owning.Swap(owning) != owning {
		countOwned(owning)
	}
	if n := w.shard.Takeovers(); n != w.takeovers {
		w.takeovers = n
		takeovers.Inc()
		w.service.opts.Log.WithField("shard", w.number).WithField("keys", w.shard.Keys()).Info("took ownership of a shard of the idempotency keys")
	}
}

// send queues event for the loop. It reports false if the loop has ended.
func (w *worker) send(event func(now time.Time)) bool {
	select {
	case w.events <- event:
		return true
	case <-w.service.stopped:
		return false
	}
}

// applyView passes the live owners to the shard, and acquires or releases it if
// this agent has become or is no longer the preferred owner.
func (w *worker) applyView(now time.Time, v *view, preferred *pb.Peer, since time.Time) {
	wanted := w.service.self(preferred)
	due := wanted && !w.active.Load() && now.Sub(w.acquireTried) >= acquireInterval
	leave := !wanted && preferred != nil && w.owning.Load() && now.Sub(since) >= rebalanceAfter
	if v == w.lastView && !due && !leave {
		return
	}
	w.lastView = v
	if due {
		w.acquireTried = now
	}
	w.send(func(now time.Time) {
		w.shard.SetLive(v.owners)
		if due {
			w.shard.Acquire(now)
		}
		if leave {
			w.shard.Release()
		}
	})
}

// release releases the shard. It returns when the shard is idle, or after timeout.
func (w *worker) release(timeout time.Duration) {
	w.send(func(time.Time) { w.shard.Release() })
	deadline := time.Now().Add(timeout)
	idle := make(chan bool, 1)
	for time.Now().Before(deadline) {
		w.send(func(time.Time) { idle <- w.shard.Idle() })
		if <-idle {
			return
		}
		time.Sleep(releasePoll)
	}
}

// releasePoll is how often release checks whether the shard is idle.
const releasePoll = 5 * time.Millisecond

// submit passes a claim or settlement to the shard by calling enter in the loop,
// and waits for its reply. A claim waits for a run in progress for at most wait.
func (w *worker) submit(ctx context.Context, wait time.Duration, enter func(now time.Time, ticket uint64)) (claim.Reply, error) {
	ticket, ch := w.service.tickets.Add(1), make(chan claim.Reply, 1)
	if !w.send(func(now time.Time) { w.register(now, ticket, ch, enter) }) {
		return claim.Reply{Claim: &pb.ClaimReply{Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_NOT_OWNER}}, nil
	}
	waited := time.NewTimer(wait)
	defer waited.Stop()
	done := ctx.Done()
	for {
		select {
		case r := <-ch:
			return r, nil
		case <-waited.C:
			w.send(func(now time.Time) { w.shard.StopWaiting(now, ticket) })
		case <-done:
			done = nil
			w.send(func(now time.Time) { w.shard.Cancel(now, ticket) })
		case <-w.service.stopped:
			return claim.Reply{}, &contract.Error{
				Kind: contract.KindUnavailable, Verdict: contract.MayHaveRun,
				Message: "the agent stopped before the claim was decided", RetryAfter: time.Second,
			}
		}
	}
}

// register registers ch for the reply to ticket and calls enter. If this agent
// should own the shard, it acquires it first.
func (w *worker) register(now time.Time, ticket uint64, ch chan claim.Reply, enter func(time.Time, uint64)) {
	w.replies[ticket] = ch
	if v := w.service.view.Load(); w.service.self(v.preferred[w.number]) && !w.service.stopping.Load() {
		w.shard.Acquire(now)
	}
	enter(now, ticket)
}

// perform makes one key-value call, with a timeout and metrics. It always returns a result, as
// the shard makes no other call before.
func (s *Service) perform(ctx context.Context, op claim.Op) claim.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	var result claim.Result
	err := rescue.Do("key-value call", logrus.Fields{"key": op.Key}, s.opts.Log, func() (err error) {
		result, err = s.call(ctx, op)
		return err
	})
	countCall(op, result, err, time.Since(start))
	if err == nil {
		return result
	}
	s.opts.Log.WithError(err).WithField("key", op.Key).Debug("key-value call for a shard of the idempotency keys failed")
	if op.Kind == claim.OpSwap && contract.VerdictOf(err) != contract.NotRun {
		return claim.Result{Effect: claim.Unknown}
	}
	return claim.Result{Effect: claim.Failed}
}

func (s *Service) call(ctx context.Context, op claim.Op) (claim.Result, error) {
	kv := s.opts.KV
	switch op.Kind {
	case claim.OpGet:
		e, err := kv.Get(ctx, op.Key)
		return claim.Result{Entries: entries(e)}, err
	case claim.OpList:
		found, err := kv.List(ctx, op.Key)
		return claim.Result{Entries: entries(found...)}, err
	case claim.OpDelete:
		gone, err := kv.Delete(ctx, op.Key, op.Index)
		return claim.Result{Swapped: gone}, err
	default:
		index, swapped, err := kv.CompareAndSwap(ctx, op.Key, op.Value, op.Index)
		return claim.Result{Index: index, Swapped: swapped}, err
	}
}

func entries(found ...platform.Entry) []claim.Entry {
	out := make([]claim.Entry, len(found))
	for i, e := range found {
		out[i] = claim.Entry{Key: e.Key, Value: e.Value, Index: e.ModifyIndex}
	}
	return out
}
