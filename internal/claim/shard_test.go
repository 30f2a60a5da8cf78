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
	f := &simulation{
		t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}},
		calls: make([]*Op, owners), tickets: map[uint64]any{}, holder: map[string]*run{},
	}
	for i := range owners {
		f.owners = append(f.owners, NewShard(0, fmt.Sprintf("o%d/1", i), fmt.Sprintf("127.0.0.1:%d", i), testLimits))
	}
	return f
}

func (f *simulation) owner() int { return rapid.IntRange(0, len(f.owners)-1).Draw(f.t, "owner") }

// advance checks the replies of owner i and starts its next call.
func (f *simulation) advance(i int) {
	for _, r := range f.owners[i].Replies() {
		f.check(r)
	}
	if f.calls[i] == nil {
		if op, ok, _ := f.owners[i].Next(f.now); ok {
			f.calls[i] = &op
		}
	}
	for _, r := range f.owners[i].Replies() {
		f.check(r)
	}
}

func (f *simulation) check(r Reply) {
	asked, ok := f.tickets[r.Ticket]
	if !ok {
		f.t.Fatalf("reply to ticket %d, which is unknown or already has a reply", r.Ticket)
	}
	delete(f.tickets, r.Ticket)
	switch asked := asked.(type) {
	case call:
		f.checkClaim(asked.run, r)
	case func(Reply):
		asked(r)
	}
}

func (f *simulation) checkClaim(claimed *run, r Reply) {
	if r.Ticket != claimed.ticket {
		return // The gateway waits for the reply to a later call.
	}
	claimed.calling = false
	if r.Err != nil {
		return
	}
	holder := f.holder[claimed.key]
	switch r.Claim.GetOutcome() {
	case pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		if rapid.IntRange(0, 3).Draw(f.t, "reply") == 0 {
			return // The reply is lost; the gateway does not know of the grant.
		}
		f.grants++
		if holder != nil {
			f.t.Fatalf("key %s granted to %s while %s holds it (settled: %v)", claimed.key, claimed.id, holder.id, holder.settled)
		}
		claimed.granted = true
		f.holder[claimed.key] = claimed
	case pb.ClaimOutcome_CLAIM_OUTCOME_RAN:
		if holder == nil || holder.settled != pb.Verdict_VERDICT_RAN {
			f.t.Fatalf("reply that the request of key %s ran, but its holder is %+v", claimed.key, holder)
		}
		got, err := FindAnswer(f.kv.entries[r.AnswerKey].Value, []byte(Key("w", claimed.key)), r.AnswerRun)
		if diff := cmp.Diff(holder.answer, got, protocmp.Transform()); diff != "" || err != nil {
			f.t.Fatalf("stored answer of key %s: err %v (-want +got):\n%s", claimed.key, err, diff)
		}
	case pb.ClaimOutcome_CLAIM_OUTCOME_NOT_OWNER, pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING, pb.ClaimOutcome_CLAIM_OUTCOME_MAY_HAVE_RUN:
	default:
		f.t.Fatalf("unexpected outcome %v for key %s", r.Claim.GetOutcome(), claimed.key)
	}
}

func (f *simulation) claim(t *rapid.T) {
	c := &run{
		id: fmt.Sprintf("run%d", len(f.runs)), key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key") + fmt.Sprint(f.round/4),
	}
	f.runs = append(f.runs, c)
	f.call(t, c)
}

// callAgain repeats the call for a claim that the gateway does not know to be
// granted.
func (f *simulation) callAgain(t *rapid.T) {
	r := f.pick(t, func(r *run) bool { return !r.granted && !r.closed })
	f.call(t, r)
}

// pick draws one of the four latest runs that match.
func (f *simulation) pick(t *rapid.T, match func(*run) bool) *run {
	var found []*run
	for _, r := range f.runs {
		if match(r) {
			found = append(found, r)
		}
	}
	if len(found) == 0 {
		t.Skip("no run")
	}
	return rapid.SampledFrom(found[max(0, len(found)-4):]).Draw(t, "run")
}

func (f *simulation) call(t *rapid.T, c *run) {
	i := f.owner()
	f.next++
	c.owner, c.ticket, c.calling = i, f.next, true
	f.tickets[f.next] = call{c, i}
	f.owners[i].Claim(f.now, f.next, &pb.ClaimRequest{
		Key: Key("w", c.key), Fingerprint: Fingerprint("POST", "/"+c.key, nil), RunId: c.id, RequestId: c.id,
		RunTimeoutMs: 50, WaitMs: uint32(rapid.IntRange(0, 1).Draw(t, "wait")),
	})
	f.advance(i)
}

// settle sends the settlement of a granted or closed run to any owner. A repeated
// settlement has the verdict of the first one.
func (f *simulation) settle(t *rapid.T) {
	r := f.pick(t, func(r *run) bool { return r.granted || r.closed })
	if r.closed {
		r.settled = pb.Verdict_VERDICT_NOT_RUN
	}
	if r.settled == pb.Verdict_VERDICT_UNSPECIFIED {
		r.settled = rapid.SampledFrom([]pb.Verdict{pb.Verdict_VERDICT_NOT_RUN, pb.Verdict_VERDICT_RAN, pb.Verdict_VERDICT_MAY_HAVE_RUN}).Draw(t, "verdict")
		r.answer = &pb.StoredAnswer{Status: 201, Body: []byte("answer of " + r.id)}
	}
	if r.settled == pb.Verdict_VERDICT_NOT_RUN && f.holder[r.key] == r {
		delete(f.holder, r.key)
	}
	f.next++
	f.tickets[f.next] = func(reply Reply) {
		if reply.Err == nil && reply.Claim == nil {
			r.acknowledged = true
		}
	}
	i := f.owner()
	f.owners[i].Settle(f.now, f.next, &pb.ClaimSettle{
		Key: Key("w", r.key), RunId: r.id, Verdict: r.settled, Answer: proto.CloneOf(r.answer),
	})
	f.advance(i)
}

// cancelCall cancels a call without a reply. The gateway may call again or close
// the run.
func (f *simulation) cancelCall(t *rapid.T) {
	r := f.pick(t, func(r *run) bool { return r.calling })
	if _, open := f.tickets[r.ticket]; open {
		f.owners[r.owner].Cancel(f.now, r.ticket)
		f.advance(r.owner)
	}
	if r.calling {
		t.Fatalf("run %s got no reply to its cancelled call", r.id)
	}
	r.closed = !r.granted && rapid.Bool().Draw(t, "close")
}

func (f *simulation) finishCall(t *rapid.T) {
	i := f.owner()
	op := f.calls[i]
	if op == nil {
		t.Skip("no call")
	}
	f.calls[i] = nil
	var result Result
	switch rapid.SampledFrom([]string{"done", "done", "done", "done", "refused", "answer lost", "late"}).Draw(t, "effect") {
	case "done":
		result = f.kv.apply(*op)
	case "refused":
		result = Result{Effect: Failed}
	case "answer lost":
		f.kv.apply(*op)
		result = Result{Effect: Unknown}
	case "late":
		f.late = append(f.late, *op)
		result = Result{Effect: Unknown}
	}
	f.owners[i].Done(f.now, result)
	f.advance(i)
}

func (f *simulation) applyLateCall(t *rapid.T) {
	if len(f.late) == 0 {
		t.Skip("none")
	}
	n := rapid.IntRange(0, len(f.late)-1).Draw(t, "late")
	f.kv.apply(f.late[n])
	f.late = append(f.late[:n], f.late[n+1:]...)
}

func (f *simulation) restartOwner(t *rapid.T) {
	i := f.owner()
	if op := f.calls[i]; op != nil && rapid.Bool().Draw(t, "call in flight") {
		f.late = append(f.late, *op)
	}
	for ticket, asked := range f.tickets {
		if c, ok := asked.(call); ok && c.owner == i {
			delete(f.tickets, ticket)
			c.run.calling = c.run.calling && c.run.ticket != ticket
		}
	}
	f.calls[i] = nil
	f.next++
	f.owners[i] = NewShard(0, fmt.Sprintf("o%d/%d", i, f.next), "", testLimits)
}

// runUndisturbed performs calls of one owner without faults.
func (f *simulation) runUndisturbed(t *rapid.T) {
	f.runOwnerUndisturbed(f.owner(), rapid.IntRange(1, 12).Draw(t, "calls"))
}

func (f *simulation) runOwnerUndisturbed(i, calls int) {
	for range calls {
		f.now = f.now.Add(2 * time.Millisecond)
		f.advance(i)
		if op := f.calls[i]; op != nil {
			f.calls[i] = nil
			f.owners[i].Done(f.now, f.kv.apply(*op))
		}
	}
	f.advance(i)
}

func (f *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"claim": f.claim, "claim2": f.claim, "callAgain": f.callAgain, "settle": f.settle, "gatewayCancels": f.cancelCall,
		"finishCall": f.finishCall, "finishCall2": f.finishCall, "lateCall": f.applyLateCall,
		"restart": f.restartOwner, "proceed": f.runUndisturbed, "proceed2": f.runUndisturbed,
		"acquire": func(*rapid.T) { i := f.owner(); f.owners[i].Acquire(f.now); f.advance(i) },
		"release": func(*rapid.T) { i := f.owner(); f.owners[i].Release(); f.advance(i) },
		"wait":    func(*rapid.T) { f.now = f.now.Add(5 * time.Millisecond); f.advance(f.owner()) },
	}
}

// checkFinalState takes the shard over without faults and checks that the stored
// state agrees with the replies so far.
func (f *simulation) checkFinalState() {
	last := NewShard(0, "last/1", "", testLimits)
	f.owners = append(f.owners, last)
	f.calls = append(f.calls, nil)
	last.Acquire(f.now)
	for !last.Owned() {
		op, ok, wake := last.Next(f.now)
		if ok {
			last.Done(f.now, f.kv.apply(op))
			continue
		}
		f.now = wake
	}
	for key, holder := range f.holder {
		outcome := pb.ClaimOutcome_CLAIM_OUTCOME_UNSPECIFIED
		c := &run{id: "check" + key, key: key, owner: len(f.owners) - 1}
		f.next++
		c.ticket = f.next
		f.tickets[f.next] = func(r Reply) { outcome = r.Claim.GetOutcome(); f.checkClaim(c, r) }
		last.Claim(f.now, f.next, &pb.ClaimRequest{Key: Key("w", key), Fingerprint: Fingerprint("POST", "/"+key, nil), RunId: c.id})
		f.advance(len(f.owners) - 1)
		if holder.acknowledged && holder.settled == pb.Verdict_VERDICT_RAN && outcome != pb.ClaimOutcome_CLAIM_OUTCOME_RAN {
			f.t.Fatalf("outcome of key %s after the acknowledged settlement of %s = %v, want RAN", key, holder.id, outcome)
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
		f := newSimulation(t, 3)
		for f.round = range rounds {
			i := f.owner()
			f.owners[i].Acquire(f.now)
			f.runOwnerUndisturbed(i, 8)
			t.Repeat(f.actions())
		}
		f.checkFinalState()
		grants += f.grants
	})
	t.Logf("%d grants", grants)
	if grants == 0 {
		t.Error("no claim was granted in any run of the property")
	}
}
