package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/claim"
	"kumquatyard/internal/claimshard"
	"kumquatyard/internal/link"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
	pb "kumquatyard/proto/kumquat/v1"
	"kumquatyard/test/fleet"
)

const claimTimeout = 5 * time.Second

// claimFits holds the quantities that claimsSweep measures.
type claimFits struct{ writes, reads, core, sent, memory, refused *series }

func newClaimFits() claimFits {
	s := func(name, unit string) *series {
		return &series{name: "claim owner: " + name, unit: unit, per: "claim a second"}
	}
	return claimFits{
		writes: s("key-value writes", "1/s"), reads: s("key-value reads", "1/s"), core: s("CPU, key-value stand-in included", "% core"),
		sent: s("sent to the key-value service", "B/s"), memory: s("memory after the window, stand-in included", "KiB"),
		refused: s("claims refused", "1/s"),
	}
}

// claimsSweep measures one owner of all claim shards at several rates of claims.
// The load is open-loop, and each claim is settled at once.
func claimsSweep(out io.Writer) error {
	fits := newClaimFits()
	for _, rate := range []int{20, 100, 200, 400} {
		if err := measureClaims(rate, fits); err != nil {
			return err
		}
	}
	writeFits(out, fits.writes, fits.reads, fits.core, fits.sent, fits.memory, fits.refused)
	return nil
}

func measureClaims(rate int, fits claimFits) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var traffic link.Traffic
	kv := standin.NewKV(standin.KVOptions{Seed: 1})
	var running conc.WaitGroup
	running.Go(func() { _ = kv.Serve(fleet.CountListener(listener, &traffic)) })
	defer running.Wait()
	defer kv.Close()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	self := &pb.Peer{Id: "entry-00-00", Incarnation: 1, Zone: "z00", Address: "127.0.0.1:1", Role: "agent"}
	owner := claimshard.New(claimshard.Options{
		Self: self, Settings: claimshard.DefaultSettings(), Log: logrus.NewEntry(logger),
		KV:   platform.NewKVClient(listener.Addr().String(), time.Second),
		Live: func() []*pb.Peer { return []*pb.Peer{self} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var owners conc.WaitGroup
	owners.Go(func() { _ = owner.Run(ctx) })
	defer owners.Wait()
	defer cancel()
	time.Sleep(settleTime)
	baseBytes, before, kvBefore := liveBytes(), readUsage(), kv.Counts()
	refused := offerClaims(ctx, owner, rate)
	after, kvAfter := readUsage(), kv.Counts()
	seconds, x := after.at.Sub(before.at).Seconds(), float64(rate)
	fits.writes.add(x, float64(kvAfter.Writes-kvBefore.Writes)/seconds)
	fits.reads.add(x, float64(kvAfter.Reads-kvBefore.Reads)/seconds)
	fits.core.add(x, 100*(after.cpu-before.cpu).Seconds()/seconds)
	fits.sent.add(x, float64(traffic.Received.Load())/seconds)
	fits.memory.add(x, (liveBytes()-baseBytes)/bytesPerKiB)
	fits.refused.add(x, float64(refused)/seconds)
	return nil
}

// offerClaims makes and settles claims at the given rate per second for
// measureWindow. It returns the number that were not granted or not settled.
func offerClaims(ctx context.Context, owner *claimshard.Service, rate int) (refused int64) {
	succeeded := make(chan bool, rate*int(measureWindow.Seconds())*2)
	var calls conc.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	end := time.Now().Add(measureWindow)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		calls.Go(func() { succeeded <- claimAndSettle(ctx, owner, i) })
	}
	calls.Wait()
	close(succeeded)
	for ok := range succeeded {
		if !ok {
			refused++
		}
	}
	return refused
}

// claimAndSettle makes claim number i, settles it and reports whether the claim
// was granted and settled.
func claimAndSettle(ctx context.Context, owner *claimshard.Service, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	id := fmt.Sprintf("0198f3c2-7d1e-7000-8000-%012d", i)
	key := fmt.Appendf(nil, "%016x", xxhash.Sum64String(id))[:claim.DigestBytes]
	resp, err := owner.Handle(ctx, "gateway", &pb.Request{Body: &pb.Request_Claim{Claim: &pb.ClaimRequest{
		Key: key, Fingerprint: key, RequestId: id, RunId: id, Gateway: "g", RunTimeoutMs: uint32(claimTimeout.Milliseconds()),
	}}})
	if err != nil || resp.GetClaim().GetOutcome() != pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
		return false
	}
	_, err = owner.Handle(ctx, "gateway", &pb.Request{Body: &pb.Request_Settle{Settle: &pb.ClaimSettle{
		Key: key, RequestId: id, RunId: id, Verdict: pb.Verdict_VERDICT_RAN,
		Answer: &pb.StoredAnswer{Status: 201, ContentType: "application/json", Body: make([]byte, 256)},
	}}})
	return err == nil
}
