package claim

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

// OpKind is the kind of a call to the key-value service.
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

// Op is a call to the key-value service.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	// Index is the expected modify index; 0 expects an absent key.
	Index uint64
	// Records is the number of records that an OpSwap adds to a segment.
	Records int
}

// Entry is a key in the key-value service. Index is its modify index, 0 if the
// key is absent.
type Entry struct {
	Key   string
	Value []byte
	Index uint64
}

// Effect says whether a call took effect.
type Effect uint8

const (
	// Done means that the call was answered.
	Done Effect = iota
	// Failed means that the call had no effect and will have none.
	Failed
	// Unknown means that the call may have taken effect or may still do so.
	Unknown
)

// Result is the result of an Op.
type Result struct {
	Effect Effect
	// Entries are the entries read by OpGet or OpList.
	Entries []Entry
	// Swapped and Index are the result of an OpSwap.
	Swapped bool
	Index   uint64
}

// HeadKey returns the key of a shard's head.
func HeadKey(shard int) string { return fmt.Sprintf("claims/%d/head", shard) }

func segmentPrefix(shard int) string { return fmt.Sprintf("claims/%d/seg/", shard) }

// segmentRef identifies a segment by its epoch and its number in the epoch.
type segmentRef struct{ epoch, number uint64 }

func refOf(r *pb.ClaimSegmentRef) segmentRef { return segmentRef{r.GetEpoch(), r.GetNumber()} }

func (r segmentRef) message() *pb.ClaimSegmentRef {
	return &pb.ClaimSegmentRef{Epoch: r.epoch, Number: r.number}
}

func (r segmentRef) key(shard int) string {
	return fmt.Sprintf("%s%d-%d", segmentPrefix(shard), r.epoch, r.number)
}

// parseRef parses the key of a segment. It reports false for other keys.
func parseRef(shard int, key string) (segmentRef, bool) {
	name, ok := strings.CutPrefix(key, segmentPrefix(shard))
	if !ok {
		return segmentRef{}, false
	}
	epochText, numberText, _ := strings.Cut(name, "-")
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return segmentRef{}, false
	}
	number, err := strconv.ParseUint(numberText, 10, 64)
	return segmentRef{epoch, number}, err == nil
}

// appendSegment returns value with s appended. Concatenated encodings decode to
// one merged segment. It does not modify value.
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
		return nil, fmt.Errorf("decode claim segment of %d bytes: %w", len(value), err)
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
		return nil, fmt.Errorf("decode claim head of %d bytes: %w", len(value), err)
	}
	return h, nil
}

// FindAnswer returns the answer that the run runID stored for key in a segment's
// value, or nil if there is none.
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
