package claim

import (
	"fmt"
	"testing"
	"time"

	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

// shardDriver runs one shard, single-threaded, against a key-value service
// without faults.
type shardDriver struct {
	t      *testing.T
	now    time.Time
	kv     *fakeKV
	ticket uint64
}

func (b *shardDriver) run(s *Shard) []Reply {
	var out []Reply
	for range 100 {
		op, ok, _ := s.Next(b.now)
		out = append(out, s.Replies()...)
		if !ok {
			return out
		}
		s.Done(b.now, b.kv.apply(op))
	}
	b.t.Fatal("the shard still has calls to make after 100 calls")
	return nil
}

func (b *shardDriver) claim(s *Shard, key, runID string) Reply {
	b.ticket++
	s.Claim(b.now, b.ticket, &pb.ClaimRequest{Key: Key("w", key), RunId: runID})
	b.now = b.now.Add(time.Second)
	for _, r := range b.run(s) {
		if r.Ticket == b.ticket {
			return r
		}
	}
	b.t.Fatalf("claim of %s was not answered", key)
	return Reply{}
}

func (b *shardDriver) granted(s *Shard, key, runID string) bool {
	return b.claim(s, key, runID).Claim.GetOutcome() == pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED
}

func newOwner(b *shardDriver, owner string, limits Limits) *Shard {
	s := NewShard(0, owner, "", limits)
	s.Acquire(b.now)
	b.run(s)
	if !s.Owned() {
		b.t.Fatalf("%s does not own the shard", owner)
	}
	return s
}

// A shard with the maximum of segments refuses new claims until the retention of
// the oldest is over, then drops expired segments and their keys.
func TestRetention(t *testing.T) {
	limits := testLimits
	limits.SegmentBytes, limits.MaxSegments = 1, 8
	b := &shardDriver{t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	s := newOwner(b, "a/1", limits)
	filled := 0
	var refusal *contract.Error
	for ; refusal == nil; filled++ {
		refusal = b.claim(s, fmt.Sprint("key", filled), fmt.Sprint("run", filled)).Err
	}
	if refusal.Verdict != contract.NotRun || refusal.RetryAfter < 23*time.Hour {
		t.Errorf("refusal by a full shard = %+v, want verdict not_run and RetryAfter of at least 23 h", refusal)
	}
	b.now = b.now.Add(limits.Retention - time.Minute)
	if b.granted(s, "key0", "again") {
		t.Error("key0 was granted again during its retention")
	}
	b.now = b.now.Add(clockMargin + time.Hour)
	if !b.granted(s, "new", "new") {
		t.Error("a new key is refused although all segments have expired")
	}
	// The open segment is kept past its retention until the next one is opened.
	if got := s.Keys(); got > 2 {
		t.Errorf("%d keys in memory after the retention, want at most 2", got)
	}
	if got := len(b.kv.entries); got > 3 {
		t.Errorf("%d keys in the key-value service after the retention, want the head and at most 2 segments", got)
	}
}

// A full shard whose keys are all in the open segment grants new claims after the
// retention.
func TestRetentionOneSegment(t *testing.T) {
	limits := testLimits
	limits.MaxKeys, limits.SegmentBytes = 2, 1<<20
	b := &shardDriver{t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	s := newOwner(b, "a/1", limits)
	if !b.granted(s, "a", "a") || !b.granted(s, "b", "b") || b.granted(s, "c", "c") {
		t.Fatal("want two keys granted and the third refused at MaxKeys = 2")
	}
	b.now = b.now.Add(limits.Retention + 2*clockMargin)
	if !b.granted(s, "c", "c2") || !b.granted(s, "a", "a2") {
		t.Error("a key is refused although all keys have expired")
	}
}

// An owner that was paused until its open segment was sealed, expired and deleted
// must not be able to commit to it.
func TestPausedOwnerCannotCommitToDeletedSegment(t *testing.T) {
	b := &shardDriver{t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	paused := newOwner(b, "a/1", testLimits)
	segment := paused.open.key
	limits := testLimits
	limits.SegmentBytes = 1
	next := newOwner(b, "b/1", limits)
	b.now = b.now.Add(2 * limits.Retention)
	for i := range 3 {
		b.granted(next, fmt.Sprint("fill", i), fmt.Sprint("fill", i))
	}
	if b.kv.entries[segment].Index != 0 {
		t.Fatal("the open segment of the paused owner was not deleted")
	}
	if !b.granted(next, "key", "first") || b.granted(paused, "key", "second") {
		t.Error("want the key granted by the new owner only")
	}
}

// A claim that is cancelled while its commit is in doubt is refused with the
// verdict may_have_run. When the commit turns out to be stored, the key is
// released again.
func TestCancelClaimInDoubt(t *testing.T) {
	b := &shardDriver{t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	s := newOwner(b, "a/1", testLimits)
	s.Claim(b.now, 100, &pb.ClaimRequest{Key: Key("w", "key"), RunId: "first"})
	op, _, _ := s.Next(b.now)
	b.kv.apply(op)
	s.Done(b.now, Result{Effect: Unknown})
	s.Cancel(b.now, 100)
	replies := s.Replies()
	if len(replies) != 1 || replies[0].Err == nil || replies[0].Err.Verdict != contract.MayHaveRun {
		t.Fatalf("replies to the cancelled claim = %+v, want one refusal with verdict may_have_run", replies)
	}
	b.now = b.now.Add(time.Second)
	b.run(s)
	b.now = b.now.Add(time.Second)
	b.run(s)
	if !b.granted(s, "key", "second") {
		t.Error("the key of the cancelled claim was not released")
	}
}

// While a commit stays in doubt because the key-value service does not answer,
// claims queued behind it are refused with the verdict not_run after the second
// lost answer, and do not wait until the service is back.
func TestQueuedClaimsAreRefusedDuringOutage(t *testing.T) {
	b := &shardDriver{t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	s := newOwner(b, "a/1", testLimits)
	s.Claim(b.now, 100, &pb.ClaimRequest{Key: Key("w", "first"), RunId: "1"})
	fail := func() {
		t.Helper()
		if _, ok, _ := s.Next(b.now); !ok {
			t.Fatal("the shard does not repeat the commit in doubt")
		}
		s.Done(b.now, Result{Effect: Unknown})
	}
	fail()
	s.Claim(b.now, 101, &pb.ClaimRequest{Key: Key("w", "second"), RunId: "2"})
	if replies := s.Replies(); len(replies) != 0 {
		t.Fatalf("replies after one lost answer = %+v, want none yet", replies)
	}
	b.now = b.now.Add(time.Second)
	fail()
	replies := s.Replies()
	if len(replies) != 1 || replies[0].Ticket != 101 || replies[0].Err == nil || replies[0].Err.Verdict != contract.NotRun {
		t.Fatalf("replies after two lost answers = %+v, want ticket 101 refused with verdict not_run", replies)
	}
}
