package claimshard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/claim"
	pb "kumquatyard/proto/kumquat/v1"
)

// epochs returns the sum of the epochs of all shards, which is the number of
// takeovers.
func epochs(t *testing.T, s *store, shards int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := uint64(0)
	for i := range shards {
		var head pb.ClaimHead
		if err := proto.Unmarshal(s.entries[claim.HeadKey(i)].Value, &head); err != nil {
			t.Fatal(err)
		}
		sum += head.GetEpoch()
	}
	return sum
}

// Two agents that do not see each other in the membership both prefer themselves
// for every shard. The agent that is not the owner of a shard must find the
// owner, forward claims to it and not take the shard over.
func TestLiveOwnerOutsideMembershipKeepsShards(t *testing.T) {
	const shards = 4
	s := newStore()
	a := newAgents(s, 2, Settings{Shards: shards}, historyLimits, 1, 0)
	for i, service := range a.services {
		service.opts.Live = func() []*pb.Peer { return []*pb.Peer{a.peer(i)} }
	}
	ctx, stop := context.WithCancel(t.Context())
	var running conc.WaitGroup
	for _, service := range a.services {
		running.Go(func() { _ = service.Run(ctx) })
	}
	defer running.Wait()
	defer stop()
	for n := range 40 {
		key := fmt.Sprint("key", n)
		if err := claimAt(a.services[n%2], key, "first-"+key); err != nil {
			t.Errorf("first claim of %s: %v", key, err)
		}
		if err := claimAt(a.services[(n+1)%2], key, "second-"+key); err == nil {
			t.Errorf("%s was granted twice", key)
		}
	}
	time.Sleep(2 * acquireInterval)
	if got := epochs(t, s, shards); got != shards {
		t.Errorf("%d takeovers of %d shards, want one per shard", got, shards)
	}
}

// A planned stop commits the queued records and releases the shards. No claim that
// arrives during the stop, at the stopping agent or at its peer, is refused.
func TestPlannedStopRefusesNoClaim(t *testing.T) {
	const shards, claims = 4, 200
	s := newStore()
	a := newAgents(s, 2, Settings{Shards: shards}, historyLimits, 1, 0)
	bothCtx, stopBoth := context.WithCancel(t.Context())
	firstCtx, stopFirst := context.WithCancel(bothCtx)
	defer stopFirst()
	var second, work conc.WaitGroup
	second.Go(func() { _ = a.services[1].Run(bothCtx) })
	defer second.Wait()
	defer stopBoth()
	stopped := make(chan struct{})
	go func() {
		_ = a.services[0].Run(firstCtx)
		a.frozen[0].Store(true)
		close(stopped)
	}()
	for n := range claims {
		if n == claims/2 {
			stopFirst()
		}
		work.Go(func() {
			key := fmt.Sprint("key", n)
			if err := claimAt(a.services[n%2], key, "run-"+key); err != nil {
				t.Errorf("claim of %s at agent %d: %v", key, n%2, err)
			}
		})
		time.Sleep(time.Millisecond)
	}
	work.Wait()
	<-stopped
	if n := a.services[0].OwnedShards(); n != 0 {
		t.Errorf("the stopped agent owns %d shards, want 0", n)
	}
}
