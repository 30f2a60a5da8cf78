// Package claimshard runs the claim shards of an agent: it performs the key-value
// calls that internal/claim asks for, and forwards claims and settlements to the
// owners of their shards.
package claimshard

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/claim"
	"kumquatyard/internal/link"
	"kumquatyard/internal/platform"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// membershipInterval is how often the live peers are read.
	membershipInterval = 100 * time.Millisecond
	// acquireInterval is how often a shard's preferred peer tries to acquire it.
	acquireInterval = time.Second
	// rebalanceAfter is how long another peer must be preferred before the owner
	// releases the shard.
	rebalanceAfter = 10 * time.Second
	// callTimeout limits one key-value call.
	callTimeout = 2 * time.Second
	// probeTimeout limits a probe of whether an owner is alive.
	probeTimeout = time.Second
	// stopTimeout limits the release of a shard at a planned stop.
	stopTimeout = 5 * time.Second
)

// KV is the part of the platform's key-value service that Service uses. The
// contract.Verdict of an error says whether the call may have taken effect.
type KV interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error)
	Delete(ctx context.Context, key string, index uint64) (bool, error)
}

// Options configure a Service.
type Options struct {
	// Self is this agent as peers see it.
	Self     *pb.Peer
	Settings Settings
	KV       KV
	Caller   link.Caller
	// Live returns the live agents, including this one. It determines who tries to
	// own a shard, never who may grant claims.
	Live func() []*pb.Peer
	Log  *logrus.Entry
}

// Service serves claims and settlements at one agent: for the shards that the
// agent owns directly, for the others by forwarding to their owners.
type Service struct {
	opts    Options
	workers []*worker
	view    atomic.Pointer[view]
	// redirects holds, by shard, the address of the owner if it is known not to be
	// the preferred peer.
	redirects []atomic.Pointer[string]
	tickets   atomic.Uint64
	stopping  atomic.Bool
	stopped   chan struct{}
	limits    claim.Limits
}

// view is a snapshot of the membership.
type view struct {
	// owners are the owner names of the live peers that are not leaving.
	owners map[string]bool
	// preferred is, by shard, the peer that should own it; nil without live peers.
	preferred []*pb.Peer
	// since is, by shard, since when that peer has been preferred.
	since []time.Time
}

// New returns a Service that serves once Run is called.
func New(o Options) *Service {
	service := &Service{opts: o, redirects: make([]atomic.Pointer[string], o.Settings.Shards), stopped: make(chan struct{}), limits: o.Settings.limits()}
	service.view.Store(&view{preferred: make([]*pb.Peer, o.Settings.Shards), since: make([]time.Time, o.Settings.Shards)})
	for i := range o.Settings.Shards {
		service.workers = append(service.workers, newWorker(service, i))
	}
	return service
}

// Run acquires and serves shards until ctx is done, then releases them.
func (s *Service) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group conc.WaitGroup
	for _, w := range s.workers {
		group.Go(func() { w.run(workCtx) })
	}
	s.watchMembership(ctx)
	s.handOver()
	stop()
	close(s.stopped)
	group.Wait()
	return nil
}

// watchMembership refreshes the view until ctx is done.
func (s *Service) watchMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		s.refresh(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// refresh reads the live peers and passes the view to all workers.
func (s *Service) refresh(now time.Time) {
	peers := s.opts.Live()
	last := s.view.Load()
	if !sameOwners(last.owners, peers) {
		last = s.newView(last, peers, now)
		s.view.Store(last)
	}
	for i, w := range s.workers {
		w.applyView(now, last, last.preferred[i], last.since[i])
	}
}

// sameOwners reports whether known are the owner names of peers, without those
// that are leaving.
func sameOwners(known map[string]bool, peers []*pb.Peer) bool {
	n := 0
	for _, p := range peers {
		if p.GetLeaving() {
			continue
		}
		if !known[claim.OwnerOf(p)] {
			return false
		}
		n++
	}
	return n == len(known)
}

func (s *Service) newView(last *view, peers []*pb.Peer, now time.Time) *view {
	v := &view{owners: map[string]bool{}, preferred: make([]*pb.Peer, s.opts.Settings.Shards), since: make([]time.Time, s.opts.Settings.Shards)}
	for _, p := range peers {
		if !p.GetLeaving() {
			v.owners[claim.OwnerOf(p)] = true
		}
	}
	for i := range v.preferred {
		v.preferred[i], v.since[i] = claim.PreferredOwner(i, peers), now
		if v.preferred[i].GetId() == last.preferred[i].GetId() {
			v.since[i] = last.since[i]
		}
	}
	return v
}

// self reports whether p is this agent.
func (s *Service) self(p *pb.Peer) bool { return p.GetId() == s.opts.Self.GetId() }

// handOver releases all shards, so that peers take them over. Claims that still
// arrive here are forwarded to these peers.
func (s *Service) handOver() {
	s.stopping.Store(true)
	others := slices.DeleteFunc(slices.Clone(s.opts.Live()), s.self)
	s.view.Store(s.newView(s.view.Load(), others, time.Now()))
	var group conc.WaitGroup
	for _, w := range s.workers {
		group.Go(func() { w.release(stopTimeout) })
	}
	group.Wait()
}

// OwnedShards returns the number of shards that this agent owns.
func (s *Service) OwnedShards() int {
	n := 0
	for _, w := range s.workers {
		if w.owning.Load() {
			n++
		}
	}
	return n
}
