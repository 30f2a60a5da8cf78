package claim

import (
	"fmt"
	"testing"
	"time"

	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

// bench drives one shard by hand against a healthy service.
type bench struct {
	t      *testing.T
	now    time.Time
	kv     *kv
	ticket uint64
}

func (b *bench) run(s *Shard) []Reply {
	var out []Reply
	for range 100 {
		op, ok, _ := s.Next(b.now)
		out = append(out, s.Replies()...)
		if !ok {
			return out
		}
		s.Done(b.now, b.kv.apply(op))
	}
	b.t.Fatal("the shard does not come to rest")
	return nil
}

func (b *bench) claim(s *Shard, key, runID string) Reply {
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

func (b *bench) granted(s *Shard, key, runID string) bool {
	return b.claim(s, key, runID).Claim.GetOutcome() == pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED
}

func owned(b *bench, owner string, limits Limits) *Shard {
	s := NewShard(0, owner, "", limits)
	s.Acquire(b.now)
	b.run(s)
	if !s.Owned() {
		b.t.Fatalf("%s does not own the shard", owner)
	}
	return s
}

func TestRetention(t *testing.T) {
	limits := testLimits
	limits.SegmentBytes, limits.MaxSegments = 1, 8
	b := &bench{t: t, now: time.Unix(1_800_000_000, 0), kv: &kv{entries: map[string]Entry{}}}
	s := owned(b, "a/1", limits)
	filled := 0
	var refusal *contract.Error
	for ; refusal == nil; filled++ {
		refusal = b.claim(s, fmt.Sprint("key", filled), fmt.Sprint("run", filled)).Err
	}
	if refusal.Verdict != contract.NotRun || refusal.RetryAfter < 23*time.Hour {
		t.Errorf("refusal by a full window = %+v, want not run and a retry after the retention", refusal)
	}
	b.now = b.now.Add(limits.Retention - time.Minute)
	if b.granted(s, "key0", "again") {
		t.Error("key0 was granted again within the retention")
	}
	b.now = b.now.Add(clockMargin + time.Hour)
	if !b.granted(s, "new", "new") {
		t.Error("a new key is refused although the whole window has expired")
	}
	// The segment that was open outlives the retention until the next one is opened.
	if got := s.Keys(); got > 2 {
		t.Errorf("%d keys remembered after the retention, want at most 2", got)
	}
	if got := len(b.kv.entries); got > 3 {
		t.Errorf("%d keys left in the service, want the head and at most 2 segments", got)
	}
}

// A shard whose keys all lie in the open segment makes room after the retention.
func TestRetentionOneSegment(t *testing.T) {
	limits := testLimits
	limits.MaxKeys, limits.SegmentBytes = 2, 1<<20
	b := &bench{t: t, now: time.Unix(1_800_000_000, 0), kv: &kv{entries: map[string]Entry{}}}
	s := owned(b, "a/1", limits)
	if !b.granted(s, "a", "a") || !b.granted(s, "b", "b") || b.granted(s, "c", "c") {
		t.Fatal("want two keys granted and the third refused")
	}
	b.now = b.now.Add(limits.Retention + 2*clockMargin)
	if !b.granted(s, "c", "c2") || !b.granted(s, "a", "a2") {
		t.Error("a key is refused although all others have expired")
	}
}

// An owner that slept until its open segment was sealed, expired and removed
// must not be able to commit to it.
func TestOwnerSleepsPastRetention(t *testing.T) {
	b := &bench{t: t, now: time.Unix(1_800_000_000, 0), kv: &kv{entries: map[string]Entry{}}}
	sleeper := owned(b, "a/1", testLimits)
	segment := sleeper.open.key
	limits := testLimits
	limits.SegmentBytes = 1
	next := owned(b, "b/1", limits)
	b.now = b.now.Add(2 * limits.Retention)
	for i := range 3 {
		b.granted(next, fmt.Sprint("fill", i), fmt.Sprint("fill", i))
	}
	if b.kv.entries[segment].Index != 0 {
		t.Fatal("the sleeper's segment was not removed")
	}
	if !b.granted(next, "key", "first") || b.granted(sleeper, "key", "second") {
		t.Error("key was granted by both owners")
	}
}

// A claim that is given up while its commit is in doubt is refused as possibly
// stored; once the commit proves to be stored, the key is free again.
func TestGiveUpInDoubt(t *testing.T) {
	b := &bench{t: t, now: time.Unix(1_800_000_000, 0), kv: &kv{entries: map[string]Entry{}}}
	s := owned(b, "a/1", testLimits)
	s.Claim(b.now, 100, &pb.ClaimRequest{Key: Key("w", "key"), RunId: "first"})
	op, _, _ := s.Next(b.now)
	b.kv.apply(op)
	s.Done(b.now, Result{Effect: Unknown})
	s.Cancel(b.now, 100)
	replies := s.Replies()
	if len(replies) != 1 || replies[0].Err == nil || replies[0].Err.Verdict != contract.MayHaveRun {
		t.Fatalf("replies to the claim that gave up = %+v, want one refusal as possibly stored", replies)
	}
	b.now = b.now.Add(time.Second)
	b.run(s)
	b.now = b.now.Add(time.Second)
	b.run(s)
	if !b.granted(s, "key", "second") {
		t.Error("the key is not free after the claim that gave up")
	}
}

// TestQueueDoesNotWaitOutAnOutage keeps one commit in doubt while nothing
// answers: claims that came after it are refused as not run.
func TestQueueDoesNotWaitOutAnOutage(t *testing.T) {
	b := &bench{t: t, now: time.Unix(1_800_000_000, 0), kv: &kv{entries: map[string]Entry{}}}
	s := owned(b, "a/1", testLimits)
	s.Claim(b.now, 100, &pb.ClaimRequest{Key: Key("w", "first"), RunId: "1"})
	fail := func() {
		t.Helper()
		if _, ok, _ := s.Next(b.now); !ok {
			t.Fatal("the owner does not try again")
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
		t.Fatalf("replies after two lost answers = %+v, want the queued claim refused as not run", replies)
	}
}
