package configstore

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/config"
	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// maxCandidates bounds the peers recorded as having a newer version.
	maxCandidates = 8
	// startPeers is the number of peers queried for their version at start.
	startPeers = 3
	// startRetryInterval is the mean interval between rounds at start while no
	// source has a configuration.
	startRetryInterval = 500 * time.Millisecond
	// versionOnly as ConfigPull.HaveVersion makes a peer answer with its version
	// and no documents.
	versionOnly = math.MaxUint64
)

// candidates holds peers that announced a version newer than the one held here.
type candidates struct {
	mu       *sync.Mutex
	versions map[string]uint64
	wake     chan struct{}
}

func newCandidates() candidates {
	return candidates{mu: new(sync.Mutex), versions: make(map[string]uint64), wake: make(chan struct{}, 1)}
}

// add records a peer and wakes pullLoop. A new peer is ignored when there are
// maxCandidates already.
func (c *candidates) add(address string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.versions[address]; !ok && len(c.versions) >= maxCandidates {
		return
	}
	c.versions[address] = version
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// take removes and returns one peer whose version is above held. It also drops
// the peers it finds that are not.
func (c *candidates) take(held uint64) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, version := range c.versions {
		delete(c.versions, address)
		if version > held {
			return address, true
		}
	}
	return "", false
}

// RecordPeerVersion records that a peer announced a version. If the version is newer
// than the one held, it is pulled from that peer in the background.
// RecordPeerVersion does not block.
func (r *Replica) RecordPeerVersion(_ context.Context, peerAddress string, version uint64) {
	if version > r.known() {
		r.candidates.add(peerAddress, version)
	}
}

// pullLoop pulls from the recorded candidates until ctx is done.
func (r *Replica) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.candidates.wake:
		}
		for ctx.Err() == nil {
			address, ok := r.candidates.take(r.known())
			if !ok {
				break
			}
			if err := r.pull(ctx, address); err != nil {
				r.options.Log.WithError(err).WithField("peer", address).Warn("reading a newer configuration from a peer failed; keeping the current one")
			}
		}
	}
}

// pull adopts a peer's version if it is newer than the one held. It asks for the
// documents changed since the held version and, if these do not suffice, for all
// documents whose hash is not held.
func (r *Replica) pull(ctx context.Context, address string) error {
	pullsTotal.Inc()
	held := r.current.Load()
	err := r.pullSince(ctx, address, held.head.Version, nil)
	if !errors.Is(err, errMissing) {
		return err
	}
	hashes := make([]string, 0, len(held.head.Documents))
	for _, hash := range held.head.Documents {
		hashes = append(hashes, string(hash))
	}
	return r.pullSince(ctx, address, 0, hashes)
}

func (r *Replica) pullSince(ctx context.Context, address string, version uint64, hashes []string) error {
	bundle, err := r.requestBundle(ctx, address, version, hashes)
	if err != nil {
		return err
	}
	return r.adopt(ctx, bundle.GetHead(), address, fromBundle(bundle))
}

// fromBundle returns a fetchFunc that takes the bodies from bundle.
func fromBundle(bundle *pb.ConfigBundle) fetchFunc {
	return func(_ context.Context, _ config.Head, bodies map[config.Hash][]byte) error {
		for _, d := range bundle.GetDocuments() {
			bodies[config.HashOf(d.GetBody())] = d.GetBody()
		}
		return nil
	}
}

// requestBundle asks a peer for its version with the documents changed since
// version, or without those named by hashes.
func (r *Replica) requestBundle(ctx context.Context, address string, version uint64, hashes []string) (*pb.ConfigBundle, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.PullTimeout)
	defer cancel()
	response, err := r.options.Caller.Call(ctx, address, &pb.Request{
		TimeoutMs: uint32(r.options.PullTimeout.Milliseconds()),
		Body:      &pb.Request_ConfigPull{ConfigPull: &pb.ConfigPull{HaveVersion: version, HaveHashes: hashes}},
	})
	if err != nil {
		return nil, fmt.Errorf("request the configuration: %w", err)
	}
	if response.GetConfig() == nil {
		return nil, errors.New("request the configuration: the peer's response contains none")
	}
	return response.GetConfig(), nil
}

// Handle answers a ConfigPull with the documents that the requester lacks, and
// adopts an accepted version that an operator pushes in a View. For other
// requests it returns neither a response nor an error.
func (r *Replica) Handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
	if bundle := req.GetView().GetConfig(); bundle != nil {
		return r.adoptPushed(ctx, from, bundle)
	}
	pull := req.GetConfigPull()
	if pull == nil {
		return nil, nil
	}
	return &pb.Response{Body: &pb.Response_Config{Config: r.visible().since(pull)}}, nil
}

// adoptPushed adopts an accepted version that an operator pushed. The push
// spreads the version even if the key-value service fails right after it
// accepted the change.
func (r *Replica) adoptPushed(ctx context.Context, from string, bundle *pb.ConfigBundle) (*pb.Response, error) {
	if err := r.adopt(ctx, bundle.GetHead(), from, fromBundle(bundle)); err != nil {
		return nil, &contract.Error{Kind: contract.KindInvalid, Verdict: contract.NotRun, Message: "the configuration was not taken", Err: err}
	}
	return &pb.Response{Body: &pb.Response_Ack{Ack: &pb.Ack{}}}, nil
}

// since returns a bundle with the documents that the requester lacks: those
// changed since its version or, if the head no longer records every change since
// then, all documents. Documents whose hash the requester listed are omitted.
func (s *snapshot) since(pull *pb.ConfigPull) *pb.ConfigBundle {
	if pull.GetHaveVersion() >= s.head.Version {
		return &pb.ConfigBundle{Version: s.head.Version}
	}
	have := make(map[config.Hash]bool, len(pull.GetHaveHashes()))
	for _, hash := range pull.GetHaveHashes() {
		have[config.Hash(hash)] = true
	}
	if !s.head.RecordsChangesSince(pull.GetHaveVersion()) {
		return s.bundle(func(_ string, hash config.Hash) bool { return !have[hash] })
	}
	changed := make(map[string]bool)
	for _, record := range s.head.Changes {
		if record.Version > pull.GetHaveVersion() {
			for _, name := range record.Documents {
				changed[name] = true
			}
		}
	}
	return s.bundle(func(name string, hash config.Hash) bool { return changed[name] && !have[hash] })
}

// start adopts the newest version among the key-value service and some peers,
// and retries until one of them has a configuration.
func (r *Replica) start(ctx context.Context) {
	for ctx.Err() == nil {
		r.startRound(ctx)
		if r.current.Load() != emptySnapshot {
			r.started.Store(true)
			r.notify()
			return
		}
		sleep(ctx, startRetryInterval/2+rand.N(startRetryInterval))
	}
}

// startRound makes one attempt of start. It prefers peers as the source of the
// documents, so that a restart of many processes does not read all documents
// from the key-value service.
func (r *Replica) startRound(ctx context.Context) {
	var stored storedHead
	var storedErr error
	var reads conc.WaitGroup
	reads.Go(func() { stored, storedErr = readHead(ctx, r.kv) })
	var versions []peerVersion
	reads.Go(func() { versions = r.peerVersions(ctx) })
	reads.Wait()
	for _, v := range versions {
		if v.version > r.known() {
			r.warnOnError(r.pull(ctx, v.address))
		}
	}
	r.warnOnError(storedErr)
	if storedErr == nil && stored.Version > r.known() {
		r.warnOnError(r.adoptStored(ctx, stored))
	}
}

func (r *Replica) warnOnError(err error) {
	if err != nil {
		r.options.Log.WithError(err).Warn("reading the configuration at start failed for one source; continuing with the others")
	}
}

// peerVersion is a peer's address and the version that it holds.
type peerVersion struct {
	address string
	version uint64
}

// peerVersions returns the versions of up to startPeers random peers, newest
// first. A peer that does not answer has version 0.
func (r *Replica) peerVersions(ctx context.Context) []peerVersion {
	peers := slices.Clone(r.options.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), startPeers)]
	requests := pool.NewWithResults[peerVersion]()
	for _, address := range peers {
		requests.Go(func() peerVersion {
			bundle, err := r.requestBundle(ctx, address, versionOnly, nil)
			if err != nil {
				return peerVersion{address: address}
			}
			return peerVersion{address: address, version: bundle.GetVersion()}
		})
	}
	versions := requests.Wait()
	slices.SortFunc(versions, func(a, b peerVersion) int { return cmp.Compare(b.version, a.version) })
	return versions
}
