package claim

import (
	"time"

	"golang.org/x/time/rate"

	pb "kumquatyard/proto/kumquat/v1"
)

// Limits are the limits on a shard's memory and writes.
type Limits struct {
	// Retention is how long a claim and its outcome are kept.
	Retention time.Duration
	// MaxKeys and MaxSegments limit the memory of a shard; beyond them, new claims
	// are refused.
	MaxKeys     int
	MaxSegments int
	// SegmentBytes is the size at which a new segment is opened, provided that the
	// open one has had segmentCommits commits.
	SegmentBytes int
	// BatchBytes limits the total size of the records in one commit.
	BatchBytes int
	// AnswerBytes limits the body of a stored answer.
	AnswerBytes int
	// Queue limits separately the claims that wait for a commit, for a run in
	// progress and for a takeover to complete.
	Queue int
	// WritesPerSecond and Burst limit the rate of commits.
	WritesPerSecond float64
	Burst           int
	// Linger is how long a settlement waits for other records to join its commit.
	Linger time.Duration
	// RetryDelay is the backoff after a failed call.
	RetryDelay time.Duration
}

// DefaultLimits returns limits for 64 shards on a key-value service that allows
// several hundred writes per second.
func DefaultLimits() Limits {
	return Limits{
		Retention:       24 * time.Hour,
		MaxKeys:         100_000,
		MaxSegments:     8192,
		SegmentBytes:    8 << 10,
		BatchBytes:      128 << 10,
		AnswerBytes:     16 << 10,
		Queue:           4096,
		WritesPerSecond: 10,
		Burst:           4,
		Linger:          250 * time.Millisecond,
		RetryDelay:      100 * time.Millisecond,
	}
}

// phase is the step of a takeover, or the state after it.
type phase uint8

const (
	// idle: not owned here, and no takeover in progress.
	idle phase = iota
	// readingHead: reading the head to see who owns the shard.
	readingHead
	// takingHead: writing the head with the next epoch and this owner.
	takingHead
	// listing: reading the segments.
	listing
	// sealing: sealing the last listed segment.
	sealing
	// creating: creating the next segment to write to.
	creating
	// publishing: writing the head with the created segment in its list.
	publishing
	// owning: granting claims.
	owning
	// releasing: writing the head without an owner.
	releasing
)

// Shard is the state of one claim shard at one agent. It has at most one
// key-value call in flight. It is not safe for concurrent use.
//
// Safety rests on three invariants:
//   - An epoch has one owner, because the head names it and is changed by
//     compare-and-swap.
//   - A record is valid once it is in a segment that the head lists, and only
//     the last listed segment is written to.
//   - A takeover first raises the epoch, after which no segment of an older
//     epoch can be listed, and then seals the last listed segment, after which
//     writes by an older owner fail. It then reads all records written before.
type Shard struct {
	number  int
	owner   string
	address string
	limits  Limits
	limiter *rate.Limiter

	phase        phase
	callInFlight bool
	call         Op
	live         map[string]bool
	// suspect owns the shard but is not live according to the membership;
	// unresponsive is a former suspect that did not answer a probe.
	suspect, unresponsive string
	// releaseRequested is set from Release until the shard is released.
	releaseRequested bool
	// failing is set from a failed call until the next successful one.
	failing   bool
	retryAt   time.Time
	takeovers uint64

	head      *pb.ClaimHead
	headIndex uint64
	// nextHead is the value of the head that is being written.
	nextHead *pb.ClaimHead
	// seal is the write that seals the last listed segment during a takeover.
	seal Op
	// ownerAddress is the address of the owner, empty if unknown.
	ownerAddress string

	table *table
	open  openSegment
	// openingRef names the segment that is being or was last created.
	openingRef segmentRef
	// garbage are the deletions of segments that the head no longer lists.
	garbage []Op

	commit *commit
	// verify is set while the open segment has to be read to learn whether the
	// commit was stored.
	verify bool
	// queue holds the items for the next commits.
	queue []*item
	// deferred holds the items that arrived during a takeover.
	deferred []*item
	// uncommitted holds, by key, the claims whose record is not stored yet.
	uncommitted map[ID]*item
	// waiters holds, by key, the claims that wait for a run in progress; waiting
	// is their number.
	waiters map[ID][]*item
	waiting int
	tickets map[uint64]*item
	replies []Reply
}

// openSegment is the segment to which the owner writes.
type openSegment struct {
	key string
	// index is the modify index of the key.
	index uint64
	value []byte
	// writes is the segment's write count.
	writes uint64
}

// NewShard returns an idle shard. owner is the name of this process, unique to
// one start of it; address is where peers reach it.
func NewShard(number int, owner, address string, limits Limits) *Shard {
	return &Shard{
		number:      number,
		owner:       owner,
		address:     address,
		limits:      limits,
		limiter:     rate.NewLimiter(rate.Limit(limits.WritesPerSecond), limits.Burst),
		table:       newTable(),
		uncommitted: map[ID]*item{},
		waiters:     map[ID][]*item{},
		tickets:     map[uint64]*item{},
	}
}

// Owned reports whether this process owns the shard and grants claims.
func (s *Shard) Owned() bool { return s.phase == owning && !s.releaseRequested }

// Idle reports whether the shard is neither owned nor being acquired here.
func (s *Shard) Idle() bool { return s.phase == idle }

// Takeovers returns the number of completed takeovers.
func (s *Shard) Takeovers() uint64 { return s.takeovers }

// Keys returns the number of keys with a remembered claim.
func (s *Shard) Keys() int { return len(s.table.entries) }

// SetLive sets the owners that are live according to the membership. Liveness
// determines who tries to own a shard, never who may grant claims.
func (s *Shard) SetLive(live map[string]bool) { s.live = live }

// Suspect returns the current owner and its address if the owner is not live
// according to the membership, else empty strings. It may be dead, or this
// process may only not see it, so it must be probed before a takeover.
func (s *Shard) Suspect() (owner, address string) {
	if s.suspect == "" {
		return "", ""
	}
	return s.suspect, s.ownerAddress
}

// RecordProbe records the result of probing a suspect owner, and starts a takeover if
// it is not alive.
func (s *Shard) RecordProbe(now time.Time, owner string, alive bool) {
	s.suspect = ""
	if !alive {
		s.unresponsive = owner
		s.Acquire(now)
	}
}

// Acquire starts a takeover of the shard. The takeover ends early if a live peer
// owns the shard.
func (s *Shard) Acquire(now time.Time) {
	if s.phase != idle || now.Before(s.retryAt) {
		return
	}
	s.releaseRequested = false
	s.phase = readingHead
}

// Release ends the ownership after the queued records are committed.
func (s *Shard) Release() {
	if s.phase == idle {
		return
	}
	s.releaseRequested = true
	s.refuseWaiters()
	if s.phase < owning && s.head == nil {
		s.dropOwnership("")
	}
}

// Next returns the call to perform now, if any. If there is none, wake is when to
// call Next again; zero means after the next event.
func (s *Shard) Next(now time.Time) (op Op, ok bool, wake time.Time) {
	if s.callInFlight || s.phase == idle {
		return Op{}, false, time.Time{}
	}
	if s.phase != owning && now.Before(s.retryAt) {
		return Op{}, false, s.retryAt
	}
	op, ok, wake = s.nextOp(now)
	if ok {
		s.callInFlight, s.call = true, op
	}
	return op, ok, wake
}

func (s *Shard) nextOp(now time.Time) (Op, bool, time.Time) {
	switch s.phase {
	case readingHead:
		return Op{Kind: OpGet, Key: HeadKey(s.number)}, true, time.Time{}
	case takingHead, publishing, releasing:
		return Op{Kind: OpSwap, Key: HeadKey(s.number), Value: encodeHead(s.nextHead), Index: s.headIndex}, true, time.Time{}
	case listing:
		return Op{Kind: OpList, Key: segmentPrefix(s.number)}, true, time.Time{}
	case sealing:
		return s.seal, true, time.Time{}
	case creating:
		return s.createOp(), true, time.Time{}
	default:
		return s.nextOwnerOp(now)
	}
}

// Done processes the result of the call in flight.
func (s *Shard) Done(now time.Time, r Result) {
	s.callInFlight = false
	if r.Effect == Done {
		s.failing = false
	}
	switch s.phase {
	case readingHead:
		s.doneReading(now, r)
	case takingHead:
		s.doneTaking(now, r)
	case listing:
		s.doneListing(now, r)
	case sealing:
		s.doneSealing(now, r)
	case creating:
		s.doneCreating(now, r)
	case publishing:
		s.donePublishing(now, r)
	case owning:
		s.doneOwning(now, r)
	case releasing:
		s.dropOwnership("")
	}
}

// Replies returns and removes the replies since the last call.
func (s *Shard) Replies() []Reply {
	out := s.replies
	s.replies = nil
	return out
}
