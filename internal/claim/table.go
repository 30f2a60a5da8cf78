package claim

import (
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

// entry is what a shard remembers of one key.
type entry struct {
	fingerprint ID
	runID       string
	requestID   string
	// verdict is unspecified while the run has not been settled.
	verdict pb.Verdict
	// settleBy is when the holder has settled the run or never will.
	settleBy time.Time
	// segment holds the latest record.
	segment ref
}

// window is one segment of a shard's memory.
type window struct {
	ref ref
	// index is the modify index of the segment's key.
	index uint64
	// newest is the time of the latest record.
	newest time.Time
	// keys lists the keys with a record in the segment.
	keys []ID
}

// table is a shard's memory: the records of its segments, applied in order.
type table struct {
	entries map[ID]entry
	// windows are ordered as in the head, oldest first.
	windows []window
}

func newTable() *table { return &table{entries: map[ID]entry{}} }

// open appends a segment, to which the following records belong.
func (t *table) open(r ref, index uint64) {
	t.windows = append(t.windows, window{ref: r, index: index})
}

func (t *table) last() *window { return &t.windows[len(t.windows)-1] }

// apply enters a record of the last segment. A settlement of a run that does
// not hold its key, or was settled before, changes nothing.
func (t *table) apply(r *pb.ClaimRecord) {
	w := t.last()
	at := time.UnixMilli(r.GetAtUnixMs())
	if at.After(w.newest) {
		w.newest = at
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
			segment:     w.ref,
		}
	case held && (old.runID != r.GetRunId() || old.verdict != pb.Verdict_VERDICT_UNSPECIFIED):
		return
	case r.GetVerdict() == pb.Verdict_VERDICT_NOT_RUN:
		delete(t.entries, id)
		return
	default:
		// The claim's own record may have left the window before its settlement.
		old.fingerprint, old.runID, old.requestID = idOf(r.GetFingerprint()), r.GetRunId(), r.GetRequestId()
		old.verdict, old.segment = r.GetVerdict(), w.ref
		t.entries[id] = old
	}
	w.keys = append(w.keys, id)
}

// expired counts the leading segments whose records are all older than before.
// The last segment never expires.
func (t *table) expired(before time.Time) int {
	n := 0
	for n < len(t.windows)-1 && t.windows[n].newest.Before(before) {
		n++
	}
	return n
}

// drop forgets the first n segments and returns them.
func (t *table) drop(n int) []window {
	dropped := t.windows[:n]
	for _, w := range dropped {
		for _, id := range w.keys {
			if e, ok := t.entries[id]; ok && e.segment == w.ref {
				delete(t.entries, id)
			}
		}
	}
	t.windows = append([]window(nil), t.windows[n:]...)
	return dropped
}

// outcome returns what a repeat of the key's request hears.
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
