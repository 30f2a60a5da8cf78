package claim

import (
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

// entry is the state of one key.
type entry struct {
	fingerprint ID
	runID       string
	requestID   string
	// verdict is unspecified while the run has not been settled.
	verdict pb.Verdict
	// settleBy is the time after which the run is no longer expected to be settled.
	settleBy time.Time
	// segment is the segment with the key's latest record.
	segment segmentRef
}

// tableSegment is a segment whose records are in the table.
type tableSegment struct {
	ref segmentRef
	// index is the modify index of the segment's key.
	index uint64
	// newest is the time of the newest record.
	newest time.Time
	// keys lists the keys with a record in the segment.
	keys []ID
}

// table is the in-memory state of a shard: the records of its segments, applied
// in order.
type table struct {
	entries map[ID]entry
	// segments are in the order of the head, oldest first.
	segments []tableSegment
}

func newTable() *table { return &table{entries: map[ID]entry{}} }

// open appends a segment; later calls of apply add records of this segment.
func (t *table) open(r segmentRef, index uint64) {
	t.segments = append(t.segments, tableSegment{ref: r, index: index})
}

func (t *table) last() *tableSegment { return &t.segments[len(t.segments)-1] }

// apply applies a record of the last segment. A settlement is ignored if its run
// does not hold the key or is already settled.
func (t *table) apply(r *pb.ClaimRecord) {
	seg := t.last()
	at := time.UnixMilli(r.GetAtUnixMs())
	if at.After(seg.newest) {
		seg.newest = at
	}
	id := idOf(r.GetKey())
	old, held := t.entries[id]
	switch {
	case r.GetVerdict() == pb.Verdict_VERDICT_UNSPECIFIED:
		t.entries[id] = entry{
			fingerprint: idOf(r.GetFingerprint()),
			runID:       r.GetRunId(),
			requestID:   r.GetRequestId(),
			settleBy:    at.Add(time.Duration(r.GetRunTimeoutMs()) * time.Millisecond),
			segment:     seg.ref,
		}
	case held && (old.runID != r.GetRunId() || old.verdict != pb.Verdict_VERDICT_UNSPECIFIED):
		return
	case r.GetVerdict() == pb.Verdict_VERDICT_NOT_RUN:
		delete(t.entries, id)
		return
	default:
		// The segment with the claim's own record may be dropped before the one
		// with its settlement.
		old.fingerprint, old.runID, old.requestID = idOf(r.GetFingerprint()), r.GetRunId(), r.GetRequestId()
		old.verdict, old.segment = r.GetVerdict(), seg.ref
		t.entries[id] = old
	}
	seg.keys = append(seg.keys, id)
}

// expired returns the number of leading segments with only records older than
// before. The last segment never expires.
func (t *table) expired(before time.Time) int {
	n := 0
	for n < len(t.segments)-1 && t.segments[n].newest.Before(before) {
		n++
	}
	return n
}

// drop removes the first n segments and their keys, and returns the segments.
func (t *table) drop(n int) []tableSegment {
	dropped := t.segments[:n]
	for _, seg := range dropped {
		for _, id := range seg.keys {
			if e, ok := t.entries[id]; ok && e.segment == seg.ref {
				delete(t.entries, id)
			}
		}
	}
	t.segments = append([]tableSegment(nil), t.segments[n:]...)
	return dropped
}

// outcome returns the outcome of another claim for the same key.
func (e entry) outcome(fingerprint ID, now time.Time) pb.ClaimOutcome {
	switch {
	case e.fingerprint != fingerprint:
		return pb.ClaimOutcome_CLAIM_OUTCOME_MISMATCH
	case e.verdict == pb.Verdict_VERDICT_RAN:
		return pb.ClaimOutcome_CLAIM_OUTCOME_RAN
	case e.verdict == pb.Verdict_VERDICT_UNSPECIFIED && now.Before(e.settleBy):
		return pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING
	default:
		return pb.ClaimOutcome_CLAIM_OUTCOME_MAY_HAVE_RUN
	}
}

func idOf(b []byte) ID {
	var id ID
	copy(id[:], b)
	return id
}
