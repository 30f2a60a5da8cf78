package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	pb "kumquatyard/proto/kumquat/v1"
)

// fakeKV is a key-value service in memory.
type fakeKV struct {
	index   uint64
	entries map[string]Entry
	// writes is the number of writes and deletions, written their total bytes.
	writes, written int
}

func (k *fakeKV) apply(op Op) Result {
	current := k.entries[op.Key]
	if op.Kind == OpSwap || op.Kind == OpDelete {
		k.writes++
		k.written += len(op.Value)
	}
	switch op.Kind {
	case OpGet:
		return Result{Entries: []Entry{current}}
	case OpList:
		var found []Entry
		for key, e := range k.entries {
			if strings.HasPrefix(key, op.Key) {
				found = append(found, e)
			}
		}
		return Result{Entries: found}
	case OpDelete:
		if current.Index == op.Index {
			delete(k.entries, op.Key)
		}
		return Result{Swapped: current.Index == op.Index}
	}
	if current.Index != op.Index {
		return Result{}
	}
	k.index++
	k.entries[op.Key] = Entry{Key: op.Key, Value: op.Value, Index: k.index}
	return Result{Swapped: true, Index: k.index}
}

// call is a claim of a run that was sent to an owner.
type call struct {
	run   *run
	owner int
}

// run is one attempt of a gateway: it repeats the claim until it gets a reply,
// then runs and settles.
type run struct {
	id, key string
	// owner and ticket identify the latest call for the claim.
	owner   int
	ticket  uint64
	granted bool
	// calling is set while the latest call has no reply.
	calling bool
	// closed is set if the gateway has given up the claim and will not run.
	closed  bool
	settled pb.Verdict
	// acknowledged is set when the settlement is acknowledged.
	acknowledged bool
	answer       *pb.StoredAnswer
}

// simulation runs several owners of one shard against a key-value service whose
// calls fail, lose their answers and take effect late. It checks each reply.
type simulation struct {
	t       *rapid.T
	now     time.Time
	kv      *fakeKV
	owners  []*Shard
	calls   []*Op
	late    []Op
	runs    []*run
	tickets map[uint64]any
	next    uint64
	// holder is, for each key, the run that was granted it and was not settled as
	// not run.
	holder map[string]*run
	grants int
	// round is the current round; it determines the keys in use.
	round int
}

var testLimits = Limits{
	Retention: 24 * time.Hour, MaxKeys: 1000, MaxSegments: 256, SegmentBytes: 20, BatchBytes: 200, AnswerBytes: 64,
	Queue: 8, WritesPerSecond: 1000, Burst: 10, Linger: time.Millisecond, RetryDelay: time.Millisecond,
}

func newSimulation(t *rapid.T, owners int) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}},
		calls: make([]*Op, owners), tickets: map[uint64]any{}, holder: map[string]*run{},
	}
	for i := range owners {
		s.owners = append(s.owners, NewShard(0, fmt.Sprintf("o%d/1", i), fmt.Sprintf("127.0.0.1:%d", i), testLimits))
	}
	return s
}

func (s *simulation) owner() int { return rapid.IntRange(0, len(s.owners)-1).Draw(s.t, "owner") }

// advance checks the replies of owner i and starts its next call.
func (s *simulation) advance(i int) {
	for _, r := range s.owners[i].Replies() {
		s.check(r)
	}
	if s.calls[i] == nil {
		if op, ok, _ := s.owners[i].Next(s.now); ok {
			s.calls[i] = &op
		}
	}
	for _, r := range s.owners[i].Replies() {
		s.check(r)
	}
}

func (s *simulation) check(r Reply) {
	asked, ok := s.tickets[r.Ticket]
	if !ok {
		s.t.Fatalf("reply to ticket %d, which is unknown or already has a reply", r.Ticket)
	}
	delete(s.tickets, r.Ticket)
	switch asked := asked.(type) {
	case call:
		s.checkClaim(asked.run, r)
	case func(Reply):
		asked(r)
	}
}

func (s *simulation) checkClaim(claimed *run, r Reply) {
	if r.Ticket != claimed.ticket {
		return // The gateway waits for the reply to a later call.
	}
	claimed.calling = false
	if r.Err != nil {
		return
	}
	holder := s.holder[claimed.key]
	switch r.Claim.GetOutcome() {
	case pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		if rapid.IntRange(0, 3).Draw(s.t, "reply") == 0 {
			return // The reply is lost; the gateway does not know of the grant.
		}
		s.grants++
		if holder != nil {
			s.t.Fatalf("key %s granted to %s while %s holds it (settled: %v)", claimed.key, claimed.id, holder.id, holder.settled)
		}
		claimed.granted = true
		s.holder[claimed.key] = claimed
	case pb.ClaimOutcome_CLAIM_OUTCOME_RAN:
		if holder == nil || holder.settled != pb.Verdict_VERDICT_RAN {
			s.t.Fatalf("reply that the request of key %s ran, but its holder is %+v", claimed.key, holder)
		}
		got, err := FindAnswer(s.kv.entries[r.AnswerKey].Value, []byte(Key("w", claimed.key)), r.AnswerRun)
		if diff := cmp.Diff(holder.answer, got, protocmp.Transform()); diff != "" || err != nil {
			s.t.Fatalf("stored answer of key %s: err %v (-want +got):\n%s", claimed.key, err, diff)
		}
	case pb.ClaimOutcome_CLAIM_OUTCOME_NOT_OWNER, pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING, pb.ClaimOutcome_CLAIM_OUTCOME_MAY_HAVE_RUN:
	default:
		s.t.Fatalf("unexpected outcome %v for key %s", r.Claim.GetOutcome(), claimed.key)
	}
}

func (s *simulation) claim(t *rapid.T) {
	c := &run{
		id: fmt.Sprintf("run%d", len(s.runs)), key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key") + fmt.Sprint(s.round/4),
	}
	s.runs = append(s.runs, c)
	s.call(t, c)
}

// callAgain repeats the call for a claim that the gateway does not know to be
// granted.
func (s *simulation) callAgain(t *rapid.T) {
	r := s.pick(t, func(r *run) bool { return !r.granted && !r.closed })
	s.call(t, r)
}

// pick draws one of the four latest runs that match.
func (s *simulation) pick(t *rapid.T, match func(*run) bool) *run {
	var found []*run
	for _, r := range s.runs {
		if match(r) {
			found = append(found, r)
		}
	}
	if len(found) == 0 {
		t.Skip("no run")
	}
	return rapid.SampledFrom(found[max(0, len(found)-4):]).Draw(t, "run")
}

func (s *simulation) call(t *rapid.T, c *run) {
	i := s.owner()
	s.next++
	c.owner, c.ticket, c.calling = i, s.next, true
	s.tickets[s.next] = call{c, i}
	s.owners[i].Claim(s.now, s.next, &pb.ClaimRequest{
		Key: Key("w", c.key), Fingerprint: Fingerprint("POST", "/"+c.key, nil), RunId: c.id, RequestId: c.id,
		RunTimeoutMs: 50, WaitMs: uint32(rapid.IntRange(0, 1).Draw(t, "wait")),
	})
	s.advance(i)
}

// settle sends the settlement of a granted or closed run to any owner. A repeated
// settlement has the verdict of the first one.
func (s *simulation) settle(t *rapid.T) {
	r := s.pick(t, func(r *run) bool { return r.granted || r.closed })
	if r.closed {
		r.settled = pb.Verdict_VERDICT_NOT_RUN
	}
	if r.settled == pb.Verdict_VERDICT_UNSPECIFIED {
		r.settled = rapid.SampledFrom([]pb.Verdict{pb.Verdict_VERDICT_NOT_RUN, pb.Verdict_VERDICT_RAN, pb.Verdict_VERDICT_MAY_HAVE_RUN}).Draw(t, "verdict")
		r.answer = &pb.StoredAnswer{Status: 201, Body: []byte("answer of " + r.id)}
	}
	if r.settled == pb.Verdict_VERDICT_NOT_RUN && s.holder[r.key] == r {
		delete(s.holder, r.key)
	}
	s.next++
	s.tickets[s.next] = func(reply Reply) {
		if reply.Err == nil && reply.Claim == nil {
			r.acknowledged = true
		}
	}
	i := s.owner()
	s.owners[i].Settle(s.now, s.next, &pb.ClaimSettle{
		Key: Key("w", r.key), RunId: r.id, Verdict: r.settled, Answer: proto.CloneOf(r.answer),
	})
	s.advance(i)
}

// cancelCall cancels a call without a reply. The gateway may call again or close
// the run.
func (s *simulation) cancelCall(t *rapid.T) {
	r := s.pick(t, func(r *run) bool { return r.calling })
	if _, open := s.tickets[r.ticket]; open {
		s.owners[r.owner].Cancel(s.now, r.ticket)
		s.advance(r.owner)
	}
	if r.calling {
		t.Fatalf("run %s got no reply to its canceled call", r.id)
	}
	r.closed = !r.granted && rapid.Bool().Draw(t, "close")
}

func (s *simulation) finishCall(t *rapid.T) {
	i := s.owner()
	op := s.calls[i]
	if op == nil {
		t.Skip("no call")
	}
	s.calls[i] = nil
	var result Result
	switch rapid.SampledFrom([]string{"done", "done", "done", "done", "refused", "answer lost", "late"}).Draw(t, "effect") {
	case "done":
		result = s.kv.apply(*op)
	case "refused":
		result = Result{Effect: Failed}
	case "answer lost":
		s.kv.apply(*op)
		result = Result{Effect: Unknown}
	case "late":
		s.late = append(s.late, *op)
		result = Result{Effect: Unknown}
	}
	s.owners[i].Done(s.now, result)
	s.advance(i)
}

func (s *simulation) applyLateCall(t *rapid.T) {
	if len(s.late) == 0 {
		t.Skip("none")
	}
	n := rapid.IntRange(0, len(s.late)-1).Draw(t, "late")
	s.kv.apply(s.late[n])
	s.late = append(s.late[:n], s.late[n+1:]...)
}

func (s *simulation) restartOwner(t *rapid.T) {
	i := s.owner()
	if op := s.calls[i]; op != nil && rapid.Bool().Draw(t, "call in flight") {
		s.late = append(s.late, *op)
	}
	for ticket, asked := range s.tickets {
		if c, ok := asked.(call); ok && c.owner == i {
			delete(s.tickets, ticket)
			c.run.calling = c.run.calling && c.run.ticket != ticket
		}
	}
	s.calls[i] = nil
	s.next++
	s.owners[i] = NewShard(0, fmt.Sprintf("o%d/%d", i, s.next), "", testLimits)
}

// runUndisturbed performs calls of one owner without faults.
func (s *simulation) runUndisturbed(t *rapid.T) {
	s.runOwnerUndisturbed(s.owner(), rapid.IntRange(1, 12).Draw(t, "calls"))
}

func (s *simulation) runOwnerUndisturbed(i, calls int) {
	for range calls {
		s.now = s.now.Add(2 * time.Millisecond)
		s.advance(i)
		if op := s.calls[i]; op != nil {
			s.calls[i] = nil
			s.owners[i].Done(s.now, s.kv.apply(*op))
		}
	}
	s.advance(i)
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"claim": s.claim, "claim2": s.claim, "callAgain": s.callAgain, "settle": s.settle, "gatewayCancels": s.cancelCall,
		"finishCall": s.finishCall, "finishCall2": s.finishCall, "lateCall": s.applyLateCall,
		"restart": s.restartOwner, "proceed": s.runUndisturbed, "proceed2": s.runUndisturbed,
		"acquire": func(*rapid.T) { i := s.owner(); s.owners[i].Acquire(s.now); s.advance(i) },
		"release": func(*rapid.T) { i := s.owner(); s.owners[i].Release(); s.advance(i) },
		"wait":    func(*rapid.T) { s.now = s.now.Add(5 * time.Millisecond); s.advance(s.owner()) },
	}
}

// checkFinalState takes the shard over without faults and checks that the stored
// state agrees with the replies so far.
func (s *simulation) checkFinalState() {
	last := NewShard(0, "last/1", "", testLimits)
	s.owners = append(s.owners, last)
	s.calls = append(s.calls, nil)
	last.Acquire(s.now)
	for !last.Owned() {
		op, ok, wake := last.Next(s.now)
		if ok {
			last.Done(s.now, s.kv.apply(op))
			continue
		}
		s.now = wake
	}
	for key, holder := range s.holder {
		outcome := pb.ClaimOutcome_CLAIM_OUTCOME_UNSPECIFIED
		c := &run{id: "check" + key, key: key, owner: len(s.owners) - 1}
		s.next++
		c.ticket = s.next
		s.tickets[s.next] = func(r Reply) { outcome = r.Claim.GetOutcome(); s.checkClaim(c, r) }
		last.Claim(s.now, s.next, &pb.ClaimRequest{Key: Key("w", key), Fingerprint: Fingerprint("POST", "/"+key, nil), RunId: c.id})
		s.advance(len(s.owners) - 1)
		if holder.acknowledged && holder.settled == pb.Verdict_VERDICT_RAN && outcome != pb.ClaimOutcome_CLAIM_OUTCOME_RAN {
			s.t.Fatalf("outcome of key %s after the acknowledged settlement of %s = %v, want RAN", key, holder.id, outcome)
		}
	}
}

// rounds is the number of rounds of 30 random actions each. The keys change every
// fourth round.
const rounds = 20

// No key is granted to two runs, whatever calls fail, lose their answers or take
// effect late, and whichever owners restart or take over.
func TestAtMostOneRunPerKey(t *testing.T) {
	grants := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3)
		for s.round = range rounds {
			i := s.owner()
			s.owners[i].Acquire(s.now)
			s.runOwnerUndisturbed(i, 8)
			t.Repeat(s.actions())
		}
		s.checkFinalState()
		grants += s.grants
	})
	t.Logf("%d grants", grants)
	if grants == 0 {
		t.Error("no claim was granted in any run of the property")
	}
}
