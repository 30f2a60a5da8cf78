package claim

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

// OpKind is a call of the key-value service.
type OpKind uint8

const (
	// OpGet reads one key.
	OpGet OpKind = iota + 1
	// OpList reads all keys with a prefix.
	OpList
	// OpSwap writes a key by compare-and-swap.
	OpSwap
	// OpDelete removes a key by compare-and-swap.
	OpDelete
)

// Op is one call of the key-value service.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	// Index is the expected modify index; 0 expects an absent key.
	Index uint64
	// Records counts the records that an OpSwap of a segment adds.
	Records int
}

// Entry is a key as the key-value service holds it; Index 0 is an absent key.
type Entry struct {
	Key   string
	Value []byte
	Index uint64
}

// Effect says what is known of a call.
type Effect uint8

const (
	// Done calls were answered.
	Done Effect = iota
	// Failed calls had no effect.
	Failed
	// Unknown calls may have taken effect, or may do so later.
	Unknown
)

// Result is what became of an Op.
type Result struct {
	Effect Effect
	// Entries are the keys read.
	Entries []Entry
	// Swapped and Index answer an OpSwap.
	Swapped bool
	Index   uint64
}

// HeadKey returns the key of a shard's head.
func HeadKey(shard int) string { return fmt.Sprintf("claims/%d/head", shard) }

func segmentPrefix(shard int) string { return fmt.Sprintf("claims/%d/seg/", shard) }

// ref names a segment.
type ref struct{ epoch, number uint64 }

func refOf(r *pb.ClaimSegmentRef) ref { return ref{r.GetEpoch(), r.GetNumber()} }

func (r ref) message() *pb.ClaimSegmentRef {
	return &pb.ClaimSegmentRef{Epoch: r.epoch, Number: r.number}
}

func (r ref) key(shard int) string {
	return fmt.Sprintf("%s%d-%d", segmentPrefix(shard), r.epoch, r.number)
}

// parseRef is the inverse of ref.key.
func parseRef(shard int, key string) (ref, bool) {
	name, ok := strings.CutPrefix(key, segmentPrefix(shard))
	if !ok {
		return ref{}, false
	}
	epochText, numberText, _ := strings.Cut(name, "-")
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return ref{}, false
	}
	number, err := strconv.ParseUint(numberText, 10, 64)
	return ref{epoch, number}, err == nil
}

// appendSegment appends a commit to a segment's value.
func appendSegment(value []byte, s *pb.ClaimSegment) []byte {
	out, err := proto.MarshalOptions{}.MarshalAppend(value[:len(value):len(value)], s)
	if err != nil {
		panic("claim: marshal segment: " + err.Error())
	}
	return out
}

func parseSegment(value []byte) (*pb.ClaimSegment, error) {
	s := &pb.ClaimSegment{}
	if err := proto.Unmarshal(value, s); err != nil {
		return nil, fmt.Errorf("claim segment: %w", err)
	}
	return s, nil
}

func encodeHead(h *pb.ClaimHead) []byte {
	out, err := proto.Marshal(h)
	if err != nil {
		panic("claim: marshal head: " + err.Error())
	}
	return out
}

func parseHead(value []byte) (*pb.ClaimHead, error) {
	h := &pb.ClaimHead{}
	if err := proto.Unmarshal(value, h); err != nil {
		return nil, fmt.Errorf("claim head: %w", err)
	}
	return h, nil
}

// FindAnswer returns the answer that runID left for key in a segment's value,
// nil when there is none.
func FindAnswer(value, key []byte, runID string) (*pb.StoredAnswer, error) {
	segment, err := parseSegment(value)
	if err != nil {
		return nil, err
	}
	for _, r := range segment.GetRecords() {
		if r.GetVerdict() == pb.Verdict_VERDICT_RAN && r.GetRunId() == runID && string(r.GetKey()) == string(key) {
			return r.GetAnswer(), nil
		}
	}
	return nil, nil
}
