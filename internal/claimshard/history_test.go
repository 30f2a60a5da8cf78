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

// result is the reply to the call.
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
	// claimed is set if the key was ever granted.
	claimed bool
}

// keyModel is the sequential specification of one key:
//   - A claim is granted only while no run holds the key.
//   - RAN is returned, with the answer, only after it was settled.
//   - RUNNING is only a hint: it is also returned while a claim is being stored,
//     and by a superseded owner for a run that has ended.
//   - MAY_HAVE_RUN is returned only for a key that was granted.
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

// recorder collects the history. A call whose effect is unknown is recorded as
// pending until the end of the test, because it may take effect until then.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
	// runs counts, by key, the runs that were not settled as not run.
	runs map[string]int
	// outcomes counts the replies by outcome.
	outcomes map[pb.ClaimOutcome]int
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

func (r *recorder) add(client int, in event, out result, call int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.now()
	if out.err != nil && contract.VerdictOf(out.err) != contract.NotRun {
		end = int64(time.Hour)
	}
	r.outcomes[out.outcome]++
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
}

// gateway makes claims at one agent and runs those that are granted.
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

// run simulates the request and its settlement. One in five runs is not settled,
// as if the gateway had died.
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
		return out // The answer could not be read, so there is none to check.
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

// The history of concurrent claims and settlements is linearizable, and no key
// runs twice, while agents freeze and resume and the key-value service goes down,
// fails writes, loses answers and applies writes late.
func TestClaimHistoryIsLinearizable(t *testing.T) {
	const agentCount, gatewayCount, duration = 3, 12, 2500 * time.Millisecond
	const seed = 7
	s := newStore()
	a := newAgents(s, agentCount, Settings{Shards: 4}, historyLimits, seed, 0.15)
	ctx, stop := context.WithCancel(t.Context())
	var running, work conc.WaitGroup
	for _, service := range a.services {
		running.Go(func() { _ = service.Run(ctx) })
	}
	rec := &recorder{start: time.Now(), runs: map[string]int{}, outcomes: map[pb.ClaimOutcome]int{}}
	for i := range gatewayCount {
		g := &gateway{id: i, agent: a.services[i%agentCount], rec: rec, rng: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		work.Go(func() {
			for time.Since(rec.start) < duration {
				// New keys every 60 ms keep the history of each key short.
				epoch := time.Since(rec.start) / (60 * time.Millisecond)
				g.attempt(fmt.Sprintf("key-%d-%d", epoch, g.rng.IntN(4)))
			}
		})
	}
	work.Go(func() { injectFaults(a, s, rec.start.Add(duration)) })
	work.Wait()
	stop()
	running.Wait()
	for key, runs := range rec.runs {
		if runs > 1 {
			t.Errorf("%s ran %d times, want at most once", key, runs)
		}
	}
	for _, ops := range partitionByKey(rec.history) {
		if verdict := porcupine.CheckOperationsTimeout(keyModel, ops, 5*time.Second); verdict != porcupine.Ok {
			t.Errorf("%s: linearizability check = %v, want %v:\n%s", ops[0].Input.(event).key, verdict, porcupine.Ok, describe(ops))
		}
	}
	t.Logf("%d operations (%v), %d writes", len(rec.history), rec.outcomes, s.writes.Load())
	if rec.outcomes[pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED] == 0 {
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

// injectFaults freezes the agents in turn and takes the store down from time to
// time.
func injectFaults(a *agents, s *store, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		a.freeze(i%len(a.services), 120*time.Millisecond)
		if i%3 == 2 {
			s.down.Store(true)
			time.Sleep(60 * time.Millisecond)
			s.down.Store(false)
		}
	}
}
