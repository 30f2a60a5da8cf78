// Package claimshard owns claim shards at an agent: it performs the
// key-value calls that internal/claim asks for and passes claims and
// settlements on to the owners of their shards.
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
	// membershipInterval is how often the live peers are looked at.
	membershipInterval = 100 * time.Millisecond
	// acquireInterval is how often a preferred peer tries to own a shard.
	acquireInterval = time.Second
	// rebalanceAfter is how long another peer must be preferred before an owner
	// hands its shard over.
	rebalanceAfter = 10 * time.Second
	// callTimeout bounds one key-value call.
	callTimeout = 2 * time.Second
	// probeTimeout bounds asking an owner whether it lives.
	probeTimeout = time.Second
	// stopTimeout bounds the hand-over of the shards at a planned stop.
	stopTimeout = 5 * time.Second
)

// KV is what the owner needs of the platform's key-value service. Errors carry
// a contract.Verdict about the call.
type KV interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error)
	Delete(ctx context.Context, key string, index uint64) (bool, error)
}

// Options configure an Owner.
type Options struct {
	// Self is this agent as its peers know it.
	Self     *pb.Peer
	Settings Settings
	KV       KV
	Caller   link.Caller
	// Live returns the live agents, this one included. It decides who tries to
	// own a shard, never who may grant.
	Live func() []*pb.Peer
	Log  *logrus.Entry
}

// Service serves claims at one agent: for the shards that it owns itself, for
// the others through their owners.
type Service struct {
	opts    Options
	workers []*worker
	view    atomic.Pointer[view]
	// redirects holds the address of a shard's owner where it is not the
	// preferred peer.
	redirects []atomic.Pointer[string]
	tickets   atomic.Uint64
	stopping  atomic.Bool
	stopped   chan struct{}
	limits    claim.Limits
}

// view is the membership as this agent last saw it.
type view struct {
	owners map[string]bool
	// preferred has the peer that shall own each shard; nil without live peers.
	preferred []*pb.Peer
	// since is when each preference arose.
	since []time.Time
}

// New returns an owner that serves once Run is called.
func New(o Options) *Service {
	owner := &Service{opts: o, redirects: make([]atomic.Pointer[string], o.Settings.Shards), stopped: make(chan struct{}), limits: o.Settings.limits()}
	owner.view.Store(&view{preferred: make([]*pb.Peer, o.Settings.Shards), since: make([]time.Time, o.Settings.Shards)})
	for i := range o.Settings.Shards {
		owner.workers = append(owner.workers, newWorker(owner, i))
	}
	return owner
}

// Run owns shards until ctx is done, then hands them over.
func (o *Service) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group conc.WaitGroup
	for _, w := range o.workers {
		group.Go(func() { w.run(workCtx) })
	}
	o.follow(ctx)
	o.handOver()
	stop()
	close(o.stopped)
	group.Wait()
	return nil
}

// follow watches the membership until ctx is done.
func (o *Service) follow(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		o.refresh(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (o *Service) refresh(now time.Time) {
	peers := o.opts.Live()
	last := o.view.Load()
	if !sameOwners(last.owners, peers) {
		last = o.newView(last, peers, now)
		o.view.Store(last)
	}
	for i, w := range o.workers {
		w.follow(now, last, last.preferred[i], last.since[i])
	}
}

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

func (o *Service) newView(last *view, peers []*pb.Peer, now time.Time) *view {
	v := &view{owners: map[string]bool{}, preferred: make([]*pb.Peer, o.opts.Settings.Shards), since: make([]time.Time, o.opts.Settings.Shards)}
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
func (o *Service) self(p *pb.Peer) bool { return p.GetId() == o.opts.Self.GetId() }

// handOver releases the shards, after which peers own them and claims that
// still arrive here go to them.
func (o *Service) handOver() {
	o.stopping.Store(true)
	others := slices.DeleteFunc(slices.Clone(o.opts.Live()), o.self)
	o.view.Store(o.newView(o.view.Load(), others, time.Now()))
	var group conc.WaitGroup
	for _, w := range o.workers {
		group.Go(func() { w.release(stopTimeout) })
	}
	group.Wait()
}

// OwnedShards counts the shards that this agent grants claims for.
func (o *Service) OwnedShards() int {
	n := 0
	for _, w := range o.workers {
		if w.owning.Load() {
			n++
		}
	}
	return n
}
