package agent

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/observe"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// cacheBytesPerSecond is the rate of cache events that an agent receives from
	// all other observers together; each observer uses an equal part of it.
	cacheBytesPerSecond = 500
	hashBytes           = 8
	// replicaLifetime is how long the states of an observer are kept after its
	// last digest.
	replicaLifetime = 5 * time.Minute
)

// sendDigest sends the changes since the last digest to all peers in scope.
func (a *Agent) sendDigest(ctx context.Context, _ bool) {
	now := time.Now()
	a.mu.Lock()
	peers := a.table.ScopePeers(now)
	digest := a.publisher.Delta(a.digestSent, a.hashesPerDigest(len(peers)), now)
	a.digestSent = digest.GetVersion()
	a.mu.Unlock()
	calls := pool.New().WithMaxGoroutines(maxCalls)
	for _, peer := range peers {
		calls.Go(func() { a.sendDigestTo(ctx, peer.Address, digest) })
	}
	calls.Wait()
}

// hashesPerDigest returns the number of cache block hashes that a digest may
// carry.
func (a *Agent) hashesPerDigest(peers int) int {
	bytes := cacheBytesPerSecond * a.settings.Intervals.Digest.Seconds() / float64(max(1, peers))
	return int(bytes) / hashBytes
}

// sendDigestTo sends a digest to one peer, and a full digest if the peer reports
// a gap.
func (a *Agent) sendDigestTo(ctx context.Context, address string, digest *pb.Digest) {
	_, err := a.call(ctx, address, &pb.Request{Body: &pb.Request_Digest{Digest: digest}})
	var refused *contract.Error
	if errors.As(err, &refused) && refused.Kind == contract.KindConflict {
		a.sendFull(ctx, address)
	}
}

func (a *Agent) sendFull(ctx context.Context, address string) {
	a.mu.Lock()
	full := a.publisher.Full(time.Now())
	a.mu.Unlock()
	if _, err := a.call(ctx, address, &pb.Request{Body: &pb.Request_Digest{Digest: full}}); err != nil {
		a.log.WithError(err).WithField("address", address).Debug("sending all server states to another agent failed; repeated when its heartbeats show that it is behind")
	}
}

// repairDigest sends a full digest to a peer whose held version is older than
// the last one sent to all peers.
func (a *Agent) repairDigest(ctx context.Context, address string, held uint64) {
	a.mu.Lock()
	behind := held < a.digestSent
	a.mu.Unlock()
	if behind {
		a.sendFull(ctx, address)
	}
}

// handleDigest applies a peer's digest. It returns a conflict if the agent missed
// a version that the digest builds on.
func (a *Agent) handleDigest(d *pb.Digest) error {
	now := time.Now()
	a.mu.Lock()
	a.table.RecordContactByID(d.GetObserver(), d.GetIncarnation(), now)
	err := a.store.Apply(d, now)
	urgent := a.store.TakeUrgent()
	a.mu.Unlock()
	if urgent {
		signal(a.urgentView)
	}
	if errors.Is(err, observe.ErrGap) {
		return &contract.Error{Kind: contract.KindConflict, Verdict: contract.NotRun, Message: err.Error(), Err: err}
	}
	return err
}
