package claim

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

// restart aborts a takeover after a call that failed or whose effect is unknown.
// After an unknown effect the takeover starts again. If a write of the aborted
// attempt takes effect later, it can only name this process as the owner of an
// epoch in which it grants nothing.
func (s *Shard) restart(now time.Time, r Result) {
	s.stopOwning()
	s.retryAt = now.Add(s.limits.RetryDelay)
	if s.releaseRequested {
		s.dropOwnership("")
		return
	}
	if r.Effect == Failed {
		s.failing = true
		s.phase = idle
		s.refuseDeferred(s.unavailable())
		return
	}
	s.phase = readingHead
}

// stopOwning discards the shard's state and defers the unanswered items.
func (s *Shard) stopOwning() {
	s.deferred = append(s.deferred, s.queue...)
	for _, waiters := range s.waiters {
		s.deferred = append(s.deferred, waiters...)
	}
	// Items without a ticket settle abandoned claims. They are dropped, because
	// the next owner may grant the same claim again.
	s.deferred = slices.DeleteFunc(s.deferred, func(it *item) bool { return it.ticket == 0 })
	slices.SortFunc(s.deferred, byTicket)
	for _, it := range s.deferred {
		it.place = inDeferred
	}
	s.queue, s.commit, s.verify, s.head, s.nextHead, s.garbage = nil, nil, false, nil, nil, nil
	s.waiting = 0
	clear(s.waiters)
	clear(s.uncommitted)
	s.table = newTable()
	s.open = openSegment{}
}

// dropOwnership makes the shard idle and refuses the unanswered items, with the
// address of the owner, empty if it is not known.
func (s *Shard) dropOwnership(address string) {
	s.stopOwning()
	s.phase = idle
	s.ownerAddress = address
	s.releaseRequested = false
	s.refuseDeferred(nil)
}

func (s *Shard) doneReading(now time.Time, r Result) {
	if r.Effect != Done {
		s.restart(now, r)
		return
	}
	s.head, s.headIndex = &pb.ClaimHead{}, 0
	if len(r.Entries) > 0 && r.Entries[0].Index > 0 {
		head, err := parseHead(r.Entries[0].Value)
		if err != nil {
			s.restart(now, Result{Effect: Failed})
			return
		}
		s.head, s.headIndex = head, r.Entries[0].Index
	}
	if other := s.head.GetOwner(); s.releaseRequested || !s.mayTakeOver(other) {
		if !s.releaseRequested && !s.live[other] {
			s.suspect = other
		}
		s.dropOwnership(s.head.GetAddress())
		return
	}
	s.nextHead = proto.CloneOf(s.head)
	s.nextHead.Epoch++
	s.nextHead.Owner, s.nextHead.Address = s.owner, s.address
	s.phase = takingHead
}

// mayTakeOver reports whether this process may try to take the shard over from
// owner. Without a membership it may do so from any owner.
func (s *Shard) mayTakeOver(owner string) bool {
	return owner == "" || owner == s.owner || s.live == nil || (!s.live[owner] && owner == s.unresponsive)
}

func (s *Shard) doneTaking(now time.Time, r Result) {
	if r.Effect != Done || !r.Swapped {
		s.restart(now, r)
		return
	}
	s.head, s.headIndex = s.nextHead, r.Index
	s.phase = listing
}

// doneListing goes on to seal the last listed segment. If that is already sealed,
// it loads the segments and begins a new one.
func (s *Shard) doneListing(now time.Time, r Result) {
	if r.Effect != Done {
		s.restart(now, r)
		return
	}
	found := make(map[segmentRef]Entry, len(r.Entries))
	for _, e := range r.Entries {
		if name, ok := parseRef(s.number, e.Key); ok {
			found[name] = e
		}
	}
	segments := make([]*pb.ClaimSegment, len(s.head.GetSegments()))
	for i, listed := range s.head.GetSegments() {
		segment, err := parseSegment(found[refOf(listed)].Value)
		if err != nil || found[refOf(listed)].Index == 0 {
			s.restart(now, Result{Effect: Failed})
			return
		}
		segments[i] = segment
	}
	if n := len(segments); n > 0 && !segments[n-1].GetSealed() {
		last := found[refOf(s.head.GetSegments()[n-1])]
		sealed := appendSegment(last.Value, &pb.ClaimSegment{Writes: segments[n-1].GetWrites(), Sealed: true})
		s.seal = Op{Kind: OpSwap, Key: last.Key, Value: sealed, Index: last.Index}
		s.phase = sealing
		return
	}
	s.load(found, segments)
	s.beginSegment(segmentRef{epoch: s.head.GetEpoch()})
}

// load rebuilds the table from the listed segments. A segment of an older epoch
// that the head does not list can no longer be listed, so it is deleted.
func (s *Shard) load(found map[segmentRef]Entry, segments []*pb.ClaimSegment) {
	s.table = newTable()
	for i, listed := range s.head.GetSegments() {
		name := refOf(listed)
		s.table.open(name, found[name].Index)
		for _, record := range segments[i].GetRecords() {
			s.table.apply(record)
		}
		delete(found, name)
	}
	for name, e := range found {
		if name.epoch < s.head.GetEpoch() {
			s.garbage = append(s.garbage, Op{Kind: OpDelete, Key: e.Key, Index: e.Index})
		}
	}
	slices.SortFunc(s.garbage, func(a, b Op) int { return strings.Compare(a.Key, b.Key) })
}

// doneSealing lists the segments again even if the write succeeded: a segment is
// complete only when it is read as sealed.
func (s *Shard) doneSealing(now time.Time, r Result) {
	if r.Effect != Done {
		s.restart(now, r)
		return
	}
	s.phase = listing
}

// beginSegment starts to create and publish a segment.
func (s *Shard) beginSegment(name segmentRef) {
	s.openingRef = name
	s.phase = creating
}

// createOp returns the call that creates the next segment. The segment's name is
// new in the epoch, and it exists before the head lists it. A commit therefore
// never creates a key: a commit by an owner that was paused until its segment
// was deleted fails.
func (s *Shard) createOp() Op {
	value := appendSegment(nil, &pb.ClaimSegment{Writes: 1})
	return Op{Kind: OpSwap, Key: s.openingRef.key(s.number), Value: value}
}

func (s *Shard) doneCreating(now time.Time, r Result) {
	if r.Effect != Done || !r.Swapped {
		s.restart(now, r)
		return
	}
	s.open = openSegment{key: s.call.Key, index: r.Index, value: s.call.Value, writes: 1}
	s.nextHead = proto.CloneOf(s.head)
	s.nextHead.Segments = append(s.nextHead.Segments[s.expiredSegments(now):], s.openingRef.message())
	s.phase = publishing
}

// clockMargin is the tolerated difference between the clocks of two owners. A
// segment is past its retention only clockMargin after Limits.Retention.
const clockMargin = 5 * time.Minute

func (s *Shard) donePublishing(now time.Time, r Result) {
	if r.Effect != Done || !r.Swapped {
		s.restart(now, r)
		return
	}
	expired := len(s.head.GetSegments()) + 1 - len(s.nextHead.GetSegments())
	for _, seg := range s.table.drop(expired) {
		s.garbage = append(s.garbage, Op{Kind: OpDelete, Key: seg.ref.key(s.number), Index: seg.index})
	}
	takeover := s.openingRef.number == 0
	s.head, s.headIndex = s.nextHead, r.Index
	s.table.open(s.openingRef, s.open.index)
	s.phase = owning
	if takeover {
		s.takeovers++
	}
	s.resume(now)
}

// resume admits the items that were deferred during the takeover.
func (s *Shard) resume(now time.Time) {
	deferred := s.deferred
	s.deferred = nil
	for _, it := range deferred {
		s.admit(now, it)
	}
}
