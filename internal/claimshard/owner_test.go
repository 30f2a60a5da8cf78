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

// epochs adds up the epochs of all heads: the number of takeovers.
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

// Agents that are not in each other's membership share the shards: the one
// that does not own a shard finds its owner and leaves the shard there.
func TestOwnerOutOfSight(t *testing.T) {
	const shards = 4
	s := newStore()
	a := newAgents(s, 2, Settings{Shards: shards}, historyLimits, 1, 0)
	for i, o := range a.owners {
		o.opts.Live = func() []*pb.Peer { return []*pb.Peer{a.peer(i)} }
	}
	ctx, stop := context.WithCancel(t.Context())
	var running conc.WaitGroup
	for _, o := range a.owners {
		running.Go(func() { _ = o.Run(ctx) })
	}
	defer running.Wait()
	defer stop()
	for n := range 40 {
		key := fmt.Sprint("key", n)
		if err := claimAt(a.owners[n%2], key, "first-"+key); err != nil {
			t.Errorf("claim of %s: %v", key, err)
		}
		if err := claimAt(a.owners[(n+1)%2], key, "second-"+key); err == nil {
			t.Errorf("%s was granted twice", key)
		}
	}
	time.Sleep(2 * acquireInterval)
	if got := epochs(t, s, shards); got != shards {
		t.Errorf("%d takeovers of %d shards, want one each", got, shards)
	}
}

// A planned stop commits what is queued and hands the shards over: no claim
// that arrives meanwhile, here or at a peer, is refused.
func TestPlannedStop(t *testing.T) {
	const shards, claims = 4, 200
	s := newStore()
	a := newAgents(s, 2, Settings{Shards: shards}, historyLimits, 1, 0)
	bothCtx, stopBoth := context.WithCancel(t.Context())
	firstCtx, stopFirst := context.WithCancel(bothCtx)
	defer stopFirst()
	var second, work conc.WaitGroup
	second.Go(func() { _ = a.owners[1].Run(bothCtx) })
	defer second.Wait()
	defer stopBoth()
	stopped := make(chan struct{})
	go func() {
		_ = a.owners[0].Run(firstCtx)
		a.frozen[0].Store(true)
		close(stopped)
	}()
	for n := range claims {
		if n == claims/2 {
			stopFirst()
		}
		work.Go(func() {
			key := fmt.Sprint("key", n)
			if err := claimAt(a.owners[n%2], key, "run-"+key); err != nil {
				t.Errorf("claim of %s at agent %d: %v", key, n%2, err)
			}
		})
		time.Sleep(time.Millisecond)
	}
	work.Wait()
	<-stopped
	if n := a.owners[0].OwnedShards(); n != 0 {
		t.Errorf("the stopped agent owns %d shards", n)
	}
}
