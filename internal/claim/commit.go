package claim

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

// commit is a batch of records that is being written to the open segment.
type commit struct {
	items []*item
	// value is the segment's value after the commit.
	value []byte
	// writes is the segment's write count after the commit.
	writes uint64
	// inDoubt is set when a write got no answer, so that it may have been stored.
	inDoubt bool
}

func (s *Shard) nextOwnerOp(now time.Time) (Op, bool, time.Time) {
	if (s.commit != nil || s.verify) && now.Before(s.retryAt) {
		return Op{}, false, s.retryAt
	}
	switch {
	case s.verify:
		return Op{Kind: OpGet, Key: s.open.key}, true, time.Time{}
	case s.commit != nil:
		return s.commitOp(), true, time.Time{}
	case len(s.queue) > 0:
		return s.nextCommitOp(now)
	case s.releaseRequested:
		s.nextHead = proto.CloneOf(s.head)
		s.nextHead.Owner, s.nextHead.Address = "", ""
		s.phase = releasing
		return s.nextOp(now)
	case len(s.garbage) > 0:
		return s.garbage[0], true, time.Time{}
	default:
		return Op{}, false, time.Time{}
	}
}

func (s *Shard) nextCommitOp(now time.Time) (Op, bool, time.Time) {
	if due := s.commitDue(now); now.Before(due) {
		return Op{}, false, due
	}
	if s.rollDue(now) {
		s.beginSegment(segmentRef{epoch: s.head.GetEpoch(), number: s.openingRef.number + 1})
		return s.nextOp(now)
	}
	s.limiter.AllowN(now, 1)
	s.buildCommit(now)
	return s.commitOp(), true, time.Time{}
}

// commitDue returns when the queue may be committed. A queue without claims
// waits for Linger, so that more records join the commit. The write rate is
// limited.
func (s *Shard) commitDue(now time.Time) time.Time {
	due := now
	if !s.releaseRequested && !s.claimsQueued() {
		due = s.queue[0].queuedAt.Add(s.limits.Linger)
	}
	missing := 1 - s.limiter.TokensAt(now)
	paced := now.Add(time.Duration(missing / s.limits.WritesPerSecond * float64(time.Second)))
	if missing > 0 && paced.After(due) {
		return paced
	}
	return due
}

const (
	// segmentCommits is the minimum number of commits to a segment, because opening
	// one costs two writes. A segment of segmentGrowth times Limits.SegmentBytes
	// is closed earlier.
	segmentCommits = 16
	segmentGrowth  = 16
)

// rollDue reports whether the next commit goes to a new segment: the open one is
// large, or opening one lets a full shard drop expired segments. A commit
// rewrites the open segment, so small segments save bytes and large ones save
// writes.
func (s *Shard) rollDue(now time.Time) bool {
	size := len(s.open.value)
	large := size >= s.limits.SegmentBytes && s.open.writes > segmentCommits
	return large || size >= segmentGrowth*s.limits.SegmentBytes || (s.full() && s.oldestExpired(now))
}

// full reports whether the shard remembers its maximum of segments or keys.
func (s *Shard) full() bool {
	return len(s.table.segments) >= s.limits.MaxSegments || len(s.table.entries) >= s.limits.MaxKeys
}

// oldestExpired reports whether the oldest segment is past its retention.
func (s *Shard) oldestExpired(now time.Time) bool {
	return s.table.segments[0].newest.Before(now.Add(-s.limits.Retention - clockMargin))
}

// expiredSegments returns the number of segments past their retention.
func (s *Shard) expiredSegments(now time.Time) int {
	return s.table.expired(now.Add(-s.limits.Retention - clockMargin))
}

func (s *Shard) claimsQueued() bool {
	for _, it := range s.queue {
		if it.claim != nil {
			return true
		}
	}
	return false
}

func (s *Shard) buildCommit(now time.Time) {
	batch := &pb.ClaimSegment{Writes: s.open.writes + 1}
	size, n := 0, 0
	for n < len(s.queue) && (n == 0 || size < s.limits.BatchBytes) {
		it := s.queue[n]
		it.place = inCommit
		n++
		if it.record == nil {
			continue
		}
		it.record.AtUnixMs = now.UnixMilli()
		size += proto.Size(it.record)
		batch.Records = append(batch.Records, it.record)
	}
	s.commit = &commit{items: s.queue[:n:n], writes: batch.Writes, value: appendSegment(s.open.value, batch)}
	s.queue = s.queue[n:]
}

func (s *Shard) commitOp() Op {
	return Op{Kind: OpSwap, Key: s.open.key, Value: s.commit.value, Index: s.open.index, Records: len(s.commit.items)}
}

func (s *Shard) doneOwning(now time.Time, r Result) {
	switch s.call.Kind {
	case OpDelete:
		s.garbage = s.garbage[1:]
	case OpGet:
		s.doneVerify(now, r)
	default:
		s.doneCommit(now, r)
	}
}

func (s *Shard) doneCommit(now time.Time, r Result) {
	switch {
	case r.Effect == Done && r.Swapped:
		s.committed(now, r.Index)
	case r.Effect == Done:
		s.verify = true
	case r.Effect == Unknown:
		again := s.commit.inDoubt
		s.commit.inDoubt = true
		s.retryAt = now.Add(s.limits.RetryDelay)
		if again {
			s.commitFailed(now)
		}
	default:
		s.commitFailed(now)
	}
}

// commitFailed refuses the batch and the queue. If an earlier write of the batch
// may still take effect, it refuses only the queue, and the write is repeated
// until its outcome is known. One lost answer does not count as a failure yet; a
// second one in a row does, so that queued requests, which have no record written,
// do not wait any longer.
func (s *Shard) commitFailed(now time.Time) {
	s.failing = true
	s.retryAt = now.Add(s.limits.RetryDelay)
	var failed []*item
	if !s.commit.inDoubt {
		failed = s.commit.items
		s.commit = nil
	}
	failed = append(failed, s.queue...)
	s.queue = nil
	for _, it := range failed {
		s.clearUncommitted(it)
		s.refuse(it, s.unavailable())
	}
	for _, it := range failed {
		s.retryWaiters(now, it.id)
	}
}

// doneVerify decides from the stored segment whether the commit was stored. The
// write count shows it, because only this owner increments it.
func (s *Shard) doneVerify(now time.Time, r Result) {
	if r.Effect != Done {
		s.commit.inDoubt = true
		s.commitFailed(now)
		return
	}
	s.verify = false
	if len(r.Entries) == 0 || r.Entries[0].Index == 0 {
		s.loseOwnership()
		return
	}
	found, err := parseSegment(r.Entries[0].Value)
	if err != nil {
		s.loseOwnership()
		return
	}
	if found.GetWrites() >= s.commit.writes {
		s.committed(now, r.Entries[0].Index)
	} else if r.Entries[0].Index == s.open.index {
		return
	}
	if found.GetSealed() || s.commit != nil {
		s.loseOwnership()
	}
}

// loseOwnership ends the ownership after another owner has sealed the open
// segment. A batch that is not in the sealed segment can no longer be stored.
func (s *Shard) loseOwnership() {
	if s.commit != nil {
		s.deferred = append(s.deferred, s.commit.items...)
	}
	s.dropOwnership("")
}

func (s *Shard) committed(now time.Time, index uint64) {
	done := s.commit
	s.commit = nil
	s.open.index, s.open.value, s.open.writes = index, done.value, done.writes
	s.table.last().index = index
	for _, it := range done.items {
		if it.record != nil {
			s.table.apply(it.record)
		}
		s.clearUncommitted(it)
		s.answerCommitted(now, it)
	}
	for _, it := range done.items {
		s.retryWaiters(now, it.id)
	}
}

func (s *Shard) answerCommitted(now time.Time, it *item) {
	e := s.table.entries[it.id]
	switch {
	case it.settle != nil:
		s.answer(it, Reply{})
	case it.abandoned && it.record != nil:
		s.admitSettle(now, &item{id: it.id, settle: &pb.ClaimSettle{
			Key: it.record.GetKey(), RunId: it.record.GetRunId(), Verdict: pb.Verdict_VERDICT_NOT_RUN,
		}})
	case it.abandoned:
	case s.holds(e, it):
		s.answer(it, Reply{Claim: &pb.ClaimReply{Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED, Holder: e.requestID}})
	default:
		s.admitClaim(now, it)
	}
}
