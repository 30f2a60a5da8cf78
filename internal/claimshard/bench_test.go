package claimshard

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/claim"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	benchSeconds = 5
	// benchWrites is the allowed writes per second, benchLatency the latency of a
	// call in ms, of the platform's key-value service.
	benchWrites  = 300
	benchLatency = 3
)

func benchKV(b *testing.B) (*standin.KV, *platform.KVClient) {
	kv := standin.NewKV(standin.KVOptions{Seed: 1, WritesPerSecond: benchWrites, ReadsPerSecond: 2000})
	kv.ChangeFaults(func(f *standin.Faults) { f.LatencyMS = benchLatency })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = kv.Serve(l) }()
	b.Cleanup(kv.Close)
	return kv, platform.NewKVClient(l.Addr().String(), callTimeout)
}

// measureClaims makes rate claims per second in an open loop, each followed by
// its settlement. It reports the latency of the claims and the writes of both.
func measureClaims(b *testing.B, rate int, kv *standin.KV, claimOne func(key string) error, settleOne func(key string) error) {
	var mu sync.Mutex
	var latencies []time.Duration
	refused := 0
	before := kv.Counts()
	start := time.Now()
	var calls conc.WaitGroup
	for n := range rate * benchSeconds {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		calls.Go(func() {
			key, began := fmt.Sprint("key-", n), time.Now()
			err := claimOne(key)
			took := time.Since(began)
			mu.Lock()
			if err != nil {
				refused++
			} else {
				latencies = append(latencies, took)
			}
			mu.Unlock()
			if err == nil {
				_ = settleOne(key)
			}
		})
	}
	calls.Wait()
	slices.Sort(latencies)
	after := kv.Counts()
	writes := float64(after.Writes-before.Writes) / time.Since(start).Seconds()
	b.ReportMetric(writes, "writes/s")
	b.ReportMetric(writes/float64(rate), "writes/claim")
	b.ReportMetric(float64(refused)/float64(rate*benchSeconds)*100, "%refused")
	if n := len(latencies); n > 0 {
		b.ReportMetric(float64(latencies[n/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(latencies[n*99/100].Microseconds())/1000, "p99-ms")
	}
}

// BenchmarkClaims compares claim shards with a baseline that makes one key-value
// write per claim and one per settlement. Both use a stand-in with a latency of
// 3 ms and 300 writes per second.
func BenchmarkClaims(b *testing.B) {
	answer := &pb.StoredAnswer{Status: 201, ContentType: "application/json", Body: make([]byte, 300)}
	for _, rate := range []int{10, 50, 150, 500, 2000} {
		b.Run(fmt.Sprintf("shards/%d", rate), func(b *testing.B) {
			for range b.N {
				kv, client := benchKV(b)
				service, stop := startBenchService(b, client)
				measureClaims(b, rate, kv, func(key string) error { return claimAt(service, key, key) }, func(key string) error { return settleAt(service, key, answer) })
				stop()
			}
		})
		b.Run(fmt.Sprintf("one-write/%d", rate), func(b *testing.B) {
			for range b.N {
				kv, client := benchKV(b)
				var indexes sync.Map
				measureClaims(b, rate, kv, func(key string) error {
					index, _, err := client.CompareAndSwap(context.Background(), "claim/"+key, make([]byte, 120), 0)
					indexes.Store(key, index)
					return err
				}, func(key string) error {
					index, _ := indexes.Load(key)
					_, _, err := client.CompareAndSwap(context.Background(), "claim/"+key, make([]byte, 420), index.(uint64))
					return err
				})
			}
		})
	}
}

// startBenchService returns a running Service that owns all shards, and a function
// that stops it.
func startBenchService(b *testing.B, kv KV) (*Service, func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := &pb.Peer{Id: "a", Incarnation: 1, Address: "127.0.0.1:1"}
	service := New(Options{
		Self: self, Settings: DefaultSettings(), KV: kv, Log: logrus.NewEntry(log),
		Live: func() []*pb.Peer { return []*pb.Peer{self} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() { _ = service.Run(ctx) })
	for service.OwnedShards() < DefaultSettings().Shards {
		time.Sleep(10 * time.Millisecond)
	}
	return service, func() { cancel(); running.Wait() }
}

func claimAt(service *Service, key, run string) error {
	resp, err := service.Handle(context.Background(), "", &pb.Request{Body: &pb.Request_Claim{Claim: &pb.ClaimRequest{
		Key: claim.Key("w", key), Fingerprint: claim.Key("f", key), RunId: run, RequestId: run, RunTimeoutMs: 10000,
	}}})
	if err == nil && resp.GetClaim().GetOutcome() != pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
		return fmt.Errorf("claim of %s: outcome %v, want granted", key, resp.GetClaim().GetOutcome())
	}
	return err
}

func settleAt(service *Service, key string, answer *pb.StoredAnswer) error {
	_, err := service.Handle(context.Background(), "", &pb.Request{Body: &pb.Request_Settle{Settle: &pb.ClaimSettle{
		Key: claim.Key("w", key), RunId: key, Verdict: pb.Verdict_VERDICT_RAN, Answer: answer,
	}}})
	return err
}
