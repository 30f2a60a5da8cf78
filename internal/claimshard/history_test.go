package claimshard

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/claim"
	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

// event is one call of a gateway: a claim, or a settlement when verdict is set.
type event struct {
	key, run string
	verdict  pb.Verdict
	answer   string
}

// result is what the call heard.
type result struct {
	outcome pb.ClaimOutcome
	answer  string
	err     error
}

// keyState is the state of one idempotency key.
type keyState struct {
	phase  pb.ClaimOutcome
	run    string
	answer string
	// claimed is set once the key was ever granted.
	claimed bool
}

// keyModel is one key as its callers may see it. A claim is granted only while
// no run holds the key; an answer is heard only after it was settled. That a run
// is in progress is a hint: a claim being stored counts, and an owner that was
// superseded may say so of a run that has ended. That a run may have happened is
// said only of a key that was granted.
var keyModel = (&porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		in, out := input.(event), output.(result)
		if in.verdict != pb.Verdict_VERDICT_UNSPECIFIED {
			return settleStep(state.(keyState), in, out)
		}
		return claimStep(state.(keyState), in, out)
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}).ToModel()

func claimStep(s keyState, in event, out result) []any {
	free := s.phase == pb.ClaimOutcome_CLAIM_OUTCOME_UNSPECIFIED
	granted := keyState{phase: pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING, run: in.run, claimed: true}
	holds := s.phase == pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING && s.run == in.run
	switch {
	case out.err != nil && contract.VerdictOf(out.err) == contract.NotRun:
		return []any{s}
	case out.err != nil && free:
		return []any{s, granted}
	case out.err != nil:
		return []any{s}
	case out.outcome == pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED && (free || holds):
		return []any{granted}
	case out.outcome == pb.ClaimOutcome_CLAIM_OUTCOME_RAN && s.phase == out.outcome && s.answer == out.answer:
		return []any{s}
	case out.outcome == pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING:
		return []any{s}
	case out.outcome == pb.ClaimOutcome_CLAIM_OUTCOME_MAY_HAVE_RUN && s.claimed:
		return []any{s}
	default:
		return nil
	}
}

func settleStep(s keyState, in event, out result) []any {
	if s.phase != pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING || s.run != in.run {
		return []any{s}
	}
	if out.err != nil && contract.VerdictOf(out.err) == contract.NotRun {
		return []any{s}
	}
	after := keyState{claimed: true}
	switch in.verdict {
	case pb.Verdict_VERDICT_RAN:
		after = keyState{phase: pb.ClaimOutcome_CLAIM_OUTCOME_RAN, run: in.run, answer: in.answer, claimed: true}
	case pb.Verdict_VERDICT_MAY_HAVE_RUN:
		after = keyState{phase: pb.ClaimOutcome_CLAIM_OUTCOME_MAY_HAVE_RUN, run: in.run, claimed: true}
	}
	if out.err != nil {
		return []any{s, after}
	}
	return []any{after}
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range history {
		key := op.Input.(event).key
		byKey[key] = append(byKey[key], op)
	}
	var out [][]porcupine.Operation
	for _, ops := range byKey {
		out = append(out, ops)
	}
	return out
}

// recorder collects the history. A call without a certain result may take
// effect until the end.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
	// runs counts the runs of each key that were not settled as not run.
	runs  map[string]int
	heard map[pb.ClaimOutcome]int
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

func (r *recorder) add(client int, in event, out result, call int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.now()
	if out.err != nil && contract.VerdictOf(out.err) != contract.NotRun {
		end = int64(time.Hour)
	}
	r.heard[out.outcome]++
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
}

// gateway makes claims at one agent and runs what it is granted.
type gateway struct {
	id    int
	agent *Service
	rec   *recorder
	rng   *rand.Rand
	calls int
}

func (g *gateway) attempt(key string) {
	g.calls++
	in := event{key: key, run: fmt.Sprintf("run-%d-%d", g.id, g.calls)}
	out := g.claim(in)
	if out.err != nil && contract.VerdictOf(out.err) != contract.NotRun {
		out = g.claim(in)
	}
	switch {
	case out.outcome == pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		g.run(in)
	case out.err != nil:
		in.verdict = pb.Verdict_VERDICT_NOT_RUN
		g.settle(in)
	}
}

// run stands for the request itself; some gateways die before they settle.
func (g *gateway) run(in event) {
	in.verdict = [...]pb.Verdict{pb.Verdict_VERDICT_NOT_RUN, pb.Verdict_VERDICT_NOT_RUN, pb.Verdict_VERDICT_RAN, pb.Verdict_VERDICT_MAY_HAVE_RUN, 0}[g.rng.IntN(5)]
	if in.verdict != pb.Verdict_VERDICT_NOT_RUN {
		g.rec.mu.Lock()
		g.rec.runs[in.key]++
		g.rec.mu.Unlock()
	}
	if in.verdict == 0 {
		return
	}
	in.answer = "answer of " + in.run
	g.settle(in)
	if g.rng.IntN(4) == 0 {
		g.settle(in)
	}
}

func (g *gateway) claim(in event) result {
	call := g.rec.now()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	resp, err := g.agent.Handle(ctx, "", &pb.Request{Body: &pb.Request_Claim{Claim: &pb.ClaimRequest{
		Key: claim.Key("w", in.key), RunId: in.run, RequestId: in.run, RunTimeoutMs: 100, WaitMs: uint32(g.rng.IntN(20)),
	}}})
	out := result{outcome: resp.GetClaim().GetOutcome(), answer: string(resp.GetClaim().GetAnswer().GetBody()), err: err}
	if out.outcome == pb.ClaimOutcome_CLAIM_OUTCOME_RAN && resp.GetClaim().GetAnswer() == nil {
		return out // The answer could not be read; nothing to compare.
	}
	g.rec.add(g.id, in, out, call)
	return out
}

func (g *gateway) settle(in event) {
	call := g.rec.now()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := g.agent.Handle(ctx, "", &pb.Request{Body: &pb.Request_Settle{Settle: &pb.ClaimSettle{
		Key: claim.Key("w", in.key), RunId: in.run, Verdict: in.verdict, Answer: &pb.StoredAnswer{Body: []byte(in.answer)},
	}}})
	g.rec.add(g.id, in, result{err: err}, call)
}

var historyLimits = claim.Limits{
	Retention: time.Hour, MaxKeys: 10_000, MaxSegments: 1000, SegmentBytes: 256, BatchBytes: 4 << 10, AnswerBytes: 1 << 10,
	Queue: 1000, WritesPerSecond: 1000, Burst: 20, Linger: time.Millisecond, RetryDelay: 3 * time.Millisecond,
}

// Agents freeze and wake, the service goes down, refuses, loses answers and
// applies writes late; gateways claim the same keys at all agents.
func TestHistory(t *testing.T) {
	const agentCount, gatewayCount, duration = 3, 12, 2500 * time.Millisecond
	const seed = 7
	s := newStore()
	a := newAgents(s, agentCount, Settings{Shards: 4}, historyLimits, seed, 0.15)
	ctx, stop := context.WithCancel(t.Context())
	var running, work conc.WaitGroup
	for _, o := range a.owners {
		running.Go(func() { _ = o.Run(ctx) })
	}
	rec := &recorder{start: time.Now(), runs: map[string]int{}, heard: map[pb.ClaimOutcome]int{}}
	for i := range gatewayCount {
		g := &gateway{id: i, agent: a.owners[i%agentCount], rec: rec, rng: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		work.Go(func() {
			for time.Since(rec.start) < duration {
				// The keys in use move on, so that none collects a long history.
				epoch := time.Since(rec.start) / (60 * time.Millisecond)
				g.attempt(fmt.Sprintf("key-%d-%d", epoch, g.rng.IntN(4)))
			}
		})
	}
	work.Go(func() { disturb(a, s, rec.start.Add(duration)) })
	work.Wait()
	stop()
	running.Wait()
	for key, runs := range rec.runs {
		if runs > 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
	for _, ops := range partitionByKey(rec.history) {
		if verdict := porcupine.CheckOperationsTimeout(keyModel, ops, 5*time.Second); verdict != porcupine.Ok {
			t.Errorf("%s: the history is %v:\n%s", ops[0].Input.(event).key, verdict, describe(ops))
		}
	}
	t.Logf("%d operations (%v), %d writes", len(rec.history), rec.heard, s.writes.Load())
	if rec.heard[pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED] == 0 {
		t.Error("no claim was granted")
	}
}

func describe(ops []porcupine.Operation) string {
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var b strings.Builder
	for _, op := range ops {
		fmt.Fprintf(&b, "%v..%v %+v -> %+v\n", time.Duration(op.Call), time.Duration(op.Return), op.Input, op.Output)
	}
	return b.String()
}

func disturb(a *agents, s *store, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		a.freeze(i%len(a.owners), 120*time.Millisecond)
		if i%3 == 2 {
			s.down.Store(true)
			time.Sleep(60 * time.Millisecond)
			s.down.Store(false)
		}
	}
}
