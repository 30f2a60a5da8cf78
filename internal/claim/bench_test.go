package claim

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

// storedClaims returns a key-value service with a shard of keys claims, each with
// a stored answer of answerBytes bytes.
func storedClaims(keys, answerBytes int) *fakeKV {
	d := &shardDriver{now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
	head := &pb.ClaimHead{Epoch: 1}
	limits := DefaultLimits()
	var value []byte
	flush := func() {
		name := segmentRef{1, uint64(len(head.GetSegments()))}
		d.kv.apply(Op{Kind: OpSwap, Key: name.key(0), Value: value})
		head.Segments = append(head.Segments, name.message())
		value = nil
	}
	for i := range keys {
		key := binary.BigEndian.AppendUint64(make([]byte, 8), uint64(i))
		run := fmt.Sprintf("%08d-0000-4000-8000-000000000000", i)
		value = appendSegment(value, &pb.ClaimSegment{Records: []*pb.ClaimRecord{
			{Key: key, RunId: run, Fingerprint: key, RequestId: run, AtUnixMs: d.now.UnixMilli(), RunTimeoutMs: 15000},
			{
				Key: key, RunId: run, Fingerprint: key, RequestId: run, AtUnixMs: d.now.UnixMilli(), Verdict: pb.Verdict_VERDICT_RAN,
				Answer: &pb.StoredAnswer{Status: 201, ContentType: "application/json", Body: make([]byte, answerBytes)},
			},
		}})
		if len(value) >= limits.SegmentBytes {
			flush()
		}
	}
	flush()
	d.kv.apply(Op{Kind: OpSwap, Key: HeadKey(0), Value: encodeHead(head)})
	return d.kv
}

// BenchmarkTakeover measures the takeover of a shard whose keys each have a
// stored answer of 300 bytes. It reports the bytes per key in the owner's memory
// and in the key-value service.
func BenchmarkTakeover(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			k := storedClaims(keys, 300)
			storedBytes := 0
			for _, e := range k.entries {
				storedBytes += len(e.Value)
			}
			var before, after runtime.MemStats
			var shards []*Shard
			debug.FreeOSMemory()
			runtime.ReadMemStats(&before)
			b.ResetTimer()
			for i := range b.N {
				s := NewShard(0, fmt.Sprint("o/", i), "", DefaultLimits())
				now := time.Unix(1_800_000_000, 0)
				s.Acquire(now)
				for !s.Owned() {
					op, _, _ := s.Next(now)
					s.Done(now, k.apply(op))
				}
				shards = append(shards, s)
			}
			b.StopTimer()
			debug.FreeOSMemory()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N*keys), "owner-bytes/key")
			b.ReportMetric(float64(storedBytes)/float64(keys), "stored-bytes/key")
			runtime.KeepAlive(shards)
			runtime.KeepAlive(k)
		})
	}
}

// BenchmarkCommitBytes reports the writes and bytes per claim when claims do not
// share commits: each claim, and its settlement with an answer of 300 bytes, is
// committed before the next claim.
func BenchmarkCommitBytes(b *testing.B) {
	const keys = 5000
	for _, segmentBytes := range []int{8 << 10, 16 << 10, 64 << 10} {
		b.Run(fmt.Sprint(segmentBytes), func(b *testing.B) {
			for range b.N {
				d := &shardDriver{now: time.Unix(1_800_000_000, 0), kv: &fakeKV{entries: map[string]Entry{}}}
				limits := DefaultLimits()
				limits.SegmentBytes = segmentBytes
				s := NewShard(0, "o/1", "", limits)
				s.Acquire(d.now)
				for n := range keys {
					key, run := Key("w", fmt.Sprint(n)), fmt.Sprintf("%08d-0000-4000-8000-000000000000", n)
					s.Claim(d.now, uint64(2*n+1), &pb.ClaimRequest{Key: key, Fingerprint: key, RunId: run, RequestId: run})
					d.run(s)
					s.Settle(d.now, uint64(2*n+2), &pb.ClaimSettle{
						Key: key, RunId: run, Verdict: pb.Verdict_VERDICT_RAN,
						Answer: &pb.StoredAnswer{Status: 201, ContentType: "application/json", Body: make([]byte, 300)},
					})
					d.now = d.now.Add(time.Second)
					d.run(s)
				}
				b.ReportMetric(float64(d.kv.writes)/keys, "writes/claim")
				b.ReportMetric(float64(d.kv.written)/keys, "bytes/claim")
			}
		})
	}
}
