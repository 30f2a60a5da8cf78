package claim

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

// restart begins the takeover anew after a call that failed or whose effect is
// unknown. A write of the abandoned attempt that takes effect later can only
// name this process as the owner of an epoch in which it grants nothing.
func (s *Shard) restart(now time.Time, r Result) {
	s.stopOwning()
	s.retryAt = now.Add(s.limits.RetryDelay)
	if s.leave {
		s.dropOwnership("")
		return
	}
	if r.Effect == Failed {
		s.failing = true
		s.phase = idle
		s.refuseHeld(s.unavailable())
		return
	}
	s.phase = readingHead
}

// stopOwning forgets the shard's memory; requests that wait are held.
func (s *Shard) stopOwning() {
	s.held = append(s.held, s.queue...)
	for _, waiters := range s.waiters {
		s.held = append(s.held, waiters...)
	}
	// A claim that this owner meant to free may be granted again by the next.
	s.held = slices.DeleteFunc(s.held, func(it *item) bool { return it.ticket == 0 })
	slices.SortFunc(s.held, byTicket)
	for _, it := range s.held {
		it.place = inHeld
	}
	s.queue, s.commit, s.verify, s.head, s.nextHead, s.garbage = nil, nil, false, nil, nil, nil
	s.waiting = 0
	clear(s.waiters)
	clear(s.busy)
	s.table = newTable()
	s.open = segment{}
}

// dropOwnership ends the ownership; requests that wait are sent to the owner at
// address, empty when it is not known.
func (s *Shard) dropOwnership(address string) {
	s.stopOwning()
	s.phase = idle
	s.known = address
	s.leave = false
	s.refuseHeld(nil)
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
	if other := s.head.GetOwner(); s.leave || !s.takeable(other) {
		if !s.leave && !s.live[other] {
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

// takeable reports whether a shard of owner may be tried for. Without a
// membership every shard may.
func (s *Shard) takeable(owner string) bool {
	return owner == "" || owner == s.owner || s.live == nil || (!s.live[owner] && owner == s.gone)
}

func (s *Shard) doneTaking(now time.Time, r Result) {
	if r.Effect != Done || !r.Swapped {
		s.restart(now, r)
		return
	}
	s.head, s.headIndex = s.nextHead, r.Index
	s.phase = listing
}

// doneListing seals the last listed segment, or reads the memory when it is
// sealed already.
func (s *Shard) doneListing(now time.Time, r Result) {
	if r.Effect != Done {
		s.restart(now, r)
		return
	}
	found := make(map[ref]Entry, len(r.Entries))
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
	s.beginSegment(ref{epoch: s.head.GetEpoch()})
}

// load rebuilds the memory from the listed segments. A segment of an older
// epoch that the head does not list never will be and is removed.
func (s *Shard) load(found map[ref]Entry, segments []*pb.ClaimSegment) {
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

// doneSealing lists again, whatever the result: only a segment that is read as
// sealed is taken as complete.
func (s *Shard) doneSealing(now time.Time, r Result) {
	if r.Effect != Done {
		s.restart(now, r)
		return
	}
	s.phase = listing
}

func (s *Shard) beginSegment(name ref) {
	s.opening = name
	s.phase = creating
}

// createOp creates the next segment. Its name is new to the epoch, and it
// exists before the head lists it, so that a commit never creates a key: a
// commit of an owner that slept until its segment was removed fails.
func (s *Shard) createOp() Op {
	value := appendSegment(nil, &pb.ClaimSegment{Writes: 1})
	return Op{Kind: OpSwap, Key: s.opening.key(s.number), Value: value}
}

func (s *Shard) doneCreating(now time.Time, r Result) {
	if r.Effect != Done || !r.Swapped {
		s.restart(now, r)
		return
	}
	s.open = segment{key: s.call.Key, index: r.Index, value: s.call.Value, writes: 1}
	s.nextHead = proto.CloneOf(s.head)
	s.nextHead.Segments = append(s.nextHead.Segments[s.expired(now):], s.opening.message())
	s.phase = publishing
}

// clockMargin is the difference between the clocks of two owners that
// Retention allows for.
const clockMargin = 5 * time.Minute

func (s *Shard) donePublishing(now time.Time, r Result) {
	if r.Effect != Done || !r.Swapped {
		s.restart(now, r)
		return
	}
	expired := len(s.head.GetSegments()) + 1 - len(s.nextHead.GetSegments())
	for _, w := range s.table.drop(expired) {
		s.garbage = append(s.garbage, Op{Kind: OpDelete, Key: w.ref.key(s.number), Index: w.index})
	}
	takeover := s.opening.number == 0
	s.head, s.headIndex = s.nextHead, r.Index
	s.table.open(s.opening, s.open.index)
	s.phase = owning
	if takeover {
		s.takeovers++
	}
	s.resume(now)
}

// resume decides the requests that were held during a takeover.
func (s *Shard) resume(now time.Time) {
	held := s.held
	s.held = nil
	for _, it := range held {
		s.admit(now, it)
	}
}
