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

func (d *shardDriver) run(s *Shard) []Reply {
	var out []Reply
	for range 100 {
		op, ok, _ := s.Next(d.now)
		out = append(out, s.Replies()...)
		if !ok {
			return out
		}
		s.Done(d.now, d.kv.apply(op))
	}
	d.t.Fatal("the shard still has calls to make after 100 calls")
	return nil
}

func (d *shardDriver) claim(s *Shard, key, runID string) Reply {
	d.ticket++
	s.Claim(d.now, d.ticket, &pb.ClaimRequest{Key: Key("w", key), RunId: runID})
	d.now = d.now.Add(time.Second)
	for _, r := range d.run(s) {
		if r.Ticket == d.ticket {
			return r
		}
	}
	d.t.Fatalf("claim of %s was not answered", key)
	return Reply{}
}

func (d *shardDriver) granted(s *Shard, key, runID string) bool {
	return d.claim(s, key, runID).Claim.GetOutcome() == pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED
}

func newOwner(d *shardDriver, owner string, limits Limits) *Shard {
	s := NewShard(0, owner, "", limits)
	s.Acquire(d.now)
	d.run(s)
	if !s.Owned() {
		d.t.Fatalf("%s does not own the shard", owner)
	}
	return s
}

// A shard with the maximum of segments refuses new claims until the retention of
// the oldest is over, then drops expired segments and their keys.
func TestRetention(t *testing.T) {
	limits := testLimits
	limits.SegmentBytes, limits.MaxSegments = 1, 8
	d := &shardDriver{t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	s := newOwner(d, "a/1", limits)
	filled := 0
	var refusal *contract.Error
	for ; refusal == nil; filled++ {
		refusal = d.claim(s, fmt.Sprint("key", filled), fmt.Sprint("run", filled)).Err
	}
	if refusal.Verdict != contract.NotRun || refusal.RetryAfter < 23*time.Hour {
		t.Errorf("refusal by a full shard = %+v, want verdict not_run and RetryAfter of at least 23 h", refusal)
	}
	d.now = d.now.Add(limits.Retention - time.Minute)
	if d.granted(s, "key0", "again") {
		t.Error("key0 was granted again during its retention")
	}
	d.now = d.now.Add(clockMargin + time.Hour)
	if !d.granted(s, "new", "new") {
		t.Error("a new key is refused although all segments have expired")
	}
	// The open segment is kept past its retention until the next one is opened.
	if got := s.Keys(); got > 2 {
		t.Errorf("%d keys in memory after the retention, want at most 2", got)
	}
	if got := len(d.kv.entries); got > 3 {
		t.Errorf("%d keys in the key-value service after the retention, want the head and at most 2 segments", got)
	}
}

// A full shard whose keys are all in the open segment grants new claims after the
// retention.
func TestRetentionOneSegment(t *testing.T) {
	limits := testLimits
	limits.MaxKeys, limits.SegmentBytes = 2, 1<<20
	d := &shardDriver{t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	s := newOwner(d, "a/1", limits)
	if !d.granted(s, "a", "a") || !d.granted(s, "b", "b") || d.granted(s, "c", "c") {
		t.Fatal("want two keys granted and the third refused at MaxKeys = 2")
	}
	d.now = d.now.Add(limits.Retention + 2*clockMargin)
	if !d.granted(s, "c", "c2") || !d.granted(s, "a", "a2") {
		t.Error("a key is refused although all keys have expired")
	}
}

// An owner that was paused until its open segment was sealed, expired and deleted
// must not be able to commit to it.
func TestPausedOwnerCannotCommitToDeletedSegment(t *testing.T) {
	d := &shardDriver{t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	paused := newOwner(d, "a/1", testLimits)
	segment := paused.open.key
	limits := testLimits
	limits.SegmentBytes = 1
	next := newOwner(d, "b/1", limits)
	d.now = d.now.Add(2 * limits.Retention)
	for i := range 3 {
		d.granted(next, fmt.Sprint("fill", i), fmt.Sprint("fill", i))
	}
	if d.kv.entries[segment].Index != 0 {
		t.Fatal("the open segment of the paused owner was not deleted")
	}
	if !d.granted(next, "key", "first") || d.granted(paused, "key", "second") {
		t.Error("want the key granted by the new owner only")
	}
}

// A claim that is canceled while its commit is in doubt is refused with the
// verdict may_have_run. When the commit turns out to be stored, the key is
// released again.
func TestCancelClaimInDoubt(t *testing.T) {
	d := &shardDriver{t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	s := newOwner(d, "a/1", testLimits)
	s.Claim(d.now, 100, &pb.ClaimRequest{Key: Key("w", "key"), RunId: "first"})
	op, _, _ := s.Next(d.now)
	d.kv.apply(op)
	s.Done(d.now, Result{Effect: Unknown})
	s.Cancel(d.now, 100)
	replies := s.Replies()
	if len(replies) != 1 || replies[0].Err == nil || replies[0].Err.Verdict != contract.MayHaveRun {
		t.Fatalf("replies to the canceled claim = %+v, want one refusal with verdict may_have_run", replies)
	}
	d.now = d.now.Add(time.Second)
	d.run(s)
	d.now = d.now.Add(time.Second)
	d.run(s)
	if !d.granted(s, "key", "second") {
		t.Error("the key of the canceled claim was not released")
	}
}

// While a commit stays in doubt because the key-value service does not answer,
// claims queued behind it are refused with the verdict not_run after the second
// lost answer, and do not wait until the service is back.
func TestQueuedClaimsAreRefusedDuringOutage(t *testing.T) {
	d := &shardDriver{t: t, now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	s := newOwner(d, "a/1", testLimits)
	s.Claim(d.now, 100, &pb.ClaimRequest{Key: Key("w", "first"), RunId: "1"})
	fail := func() {
		t.Helper()
		if _, ok, _ := s.Next(d.now); !ok {
			t.Fatal("the shard does not repeat the commit in doubt")
		}
		s.Done(d.now, Result{Effect: Unknown})
	}
	fail()
	s.Claim(d.now, 101, &pb.ClaimRequest{Key: Key("w", "second"), RunId: "2"})
	if replies := s.Replies(); len(replies) != 0 {
		t.Fatalf("replies after one lost answer = %+v, want none yet", replies)
	}
	d.now = d.now.Add(time.Second)
	fail()
	replies := s.Replies()
	if len(replies) != 1 || replies[0].Ticket != 101 || replies[0].Err == nil || replies[0].Err.Verdict != contract.NotRun {
		t.Fatalf("replies after two lost answers = %+v, want ticket 101 refused with verdict not_run", replies)
	}
}
