package claim

import (
	"time"

	"golang.org/x/time/rate"

	pb "kumquatyard/proto/kumquat/v1"
)

// Limits bound what a shard keeps and how often it writes.
type Limits struct {
	// Retention is how long a claim and its outcome are remembered.
	Retention time.Duration
	// MaxKeys and MaxSegments bound the memory of a shard; claims are refused
	// beyond them.
	MaxKeys     int
	MaxSegments int
	// SegmentBytes is the size at which a new segment is opened, once the open
	// one has taken segmentCommits commits.
	SegmentBytes int
	// BatchBytes bounds the records of one commit.
	BatchBytes int
	// AnswerBytes bounds the body of a stored answer.
	AnswerBytes int
	// Queue bounds the claims waiting for a commit and those waiting for a run.
	Queue int
	// WritesPerSecond and Burst pace the commits of the shard.
	WritesPerSecond float64
	Burst           int
	// Linger is how long a settlement waits for a commit to join.
	Linger time.Duration
	// RetryDelay is the pause after a call that failed.
	RetryDelay time.Duration
}

// DefaultLimits suit 64 shards on a service of several hundred writes a second.
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

type phase uint8

const (
	idle phase = iota
	readingHead
	takingHead
	listing
	sealing
	creating
	publishing
	owning
	releasing
)

// Shard is the state of one claim shard at one agent. It has at most one
// key-value call in flight. It is not safe for concurrent use.
//
// Safety rests on three facts. An epoch has one owner, because the head names
// it and changes by compare-and-swap. A record counts once it is in a segment
// that the head lists, and only the last listed segment is written. A takeover
// raises the epoch first, so that no segment of an older epoch can be listed
// any more, and then seals the last listed one, so that a write of an older
// owner fails from then on; what had been written before is read.
type Shard struct {
	number  int
	owner   string
	address string
	limits  Limits
	limiter *rate.Limiter

	phase   phase
	calling bool
	call    Op
	live    map[string]bool
	// suspect owns the shard and is not known to be live, gone was proved not
	// to answer.
	suspect, gone string
	leave         bool
	failing       bool
	retryAt       time.Time
	takeovers     uint64

	head      *pb.ClaimHead
	headIndex uint64
	nextHead  *pb.ClaimHead
	seal      Op
	known     string

	table   *table
	open    segment
	opening ref
	garbage []Op

	commit  *commit
	verify  bool
	queue   []*item
	held    []*item
	busy    map[ID]*item
	waiters map[ID][]*item
	waiting int
	tickets map[uint64]*item
	replies []Reply
}

// segment is the open segment of an owner.
type segment struct {
	key    string
	index  uint64
	value  []byte
	writes uint64
}

// NewShard returns a shard that is not owned. owner is unique to one start of
// the process, address is where peers reach it.
func NewShard(number int, owner, address string, limits Limits) *Shard {
	return &Shard{
		number:  number,
		owner:   owner,
		address: address,
		limits:  limits,
		limiter: rate.NewLimiter(rate.Limit(limits.WritesPerSecond), limits.Burst),
		table:   newTable(),
		busy:    map[ID]*item{},
		waiters: map[ID][]*item{},
		tickets: map[uint64]*item{},
	}
}

// Owned reports whether the shard grants claims here.
func (s *Shard) Owned() bool { return s.phase == owning && !s.leave }

// Idle reports whether the shard is neither owned nor being acquired here.
func (s *Shard) Idle() bool { return s.phase == idle }

// Takeovers counts the completed acquisitions.
func (s *Shard) Takeovers() uint64 { return s.takeovers }

// Keys counts the keys that are remembered.
func (s *Shard) Keys() int { return len(s.table.entries) }

// SetLive tells which owners are live by the membership. It decides who tries
// to own a shard, never who may grant.
func (s *Shard) SetLive(live map[string]bool) { s.live = live }

// Suspect returns the owner, and its address, that keeps this process from
// taking the shard over although the membership does not know it as live: it
// may be gone, or out of the membership's sight. Empty when there is none.
func (s *Shard) Suspect() (owner, address string) {
	if s.suspect == "" {
		return "", ""
	}
	return s.suspect, s.known
}

// Probed takes the result of asking a suspect whether it lives.
func (s *Shard) Probed(now time.Time, owner string, lives bool) {
	s.suspect = ""
	if !lives {
		s.gone = owner
		s.Acquire(now)
	}
}

// Acquire starts to take the shard over unless a live peer owns it.
func (s *Shard) Acquire(now time.Time) {
	if s.phase != idle || now.Before(s.retryAt) {
		return
	}
	s.leave = false
	s.phase = readingHead
}

// Release hands the shard over after the queued records are committed.
func (s *Shard) Release() {
	if s.phase == idle {
		return
	}
	s.leave = true
	s.refuseWaiters()
	if s.phase < owning && s.head == nil {
		s.dropOwnership("")
	}
}

// Next returns the call to perform now, if any. Without one, wake is when to
// ask again; zero means after the next event.
func (s *Shard) Next(now time.Time) (op Op, ok bool, wake time.Time) {
	if s.calling || s.phase == idle {
		return Op{}, false, time.Time{}
	}
	if s.phase != owning && now.Before(s.retryAt) {
		return Op{}, false, s.retryAt
	}
	op, ok, wake = s.choose(now)
	if ok {
		s.calling, s.call = true, op
	}
	return op, ok, wake
}

func (s *Shard) choose(now time.Time) (Op, bool, time.Time) {
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
		return s.chooseOwning(now)
	}
}

// Done takes the result of the call in flight.
func (s *Shard) Done(now time.Time, r Result) {
	s.calling = false
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

// Replies returns the replies that became due since the last call.
func (s *Shard) Replies() []Reply {
	out := s.replies
	s.replies = nil
	return out
}
