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
	// maxCandidates bounds the peers remembered as ahead of this process.
	maxCandidates = 8
	// startPeers is the number of peers asked for their version at start.
	startPeers = 3
	// startRetry is the interval between rounds while there is no configuration.
	startRetry = 500 * time.Millisecond
	// askVersion in ConfigPull.HaveVersion makes the peer answer with its version alone.
	askVersion = math.MaxUint64
)

// candidates are peers that hold a larger version than this process did.
type candidates struct {
	mu       *sync.Mutex
	versions map[string]uint64
	wake     chan struct{}
}

func newCandidates() candidates {
	return candidates{mu: new(sync.Mutex), versions: make(map[string]uint64), wake: make(chan struct{}, 1)}
}

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

// take removes and returns one peer whose version is above held.
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

// Seen notes that a peer announced a version. When it is larger than the one
// held, it is pulled from that peer. Seen does not wait.
func (k *Replica) Seen(_ context.Context, peerAddress string, version uint64) {
	if version > k.known() {
		k.candidates.add(peerAddress, version)
	}
}

func (k *Replica) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.candidates.wake:
		}
		for ctx.Err() == nil {
			address, ok := k.candidates.take(k.known())
			if !ok {
				break
			}
			if err := k.pull(ctx, address); err != nil {
				k.options.Log.WithError(err).WithField("peer", address).Warn("configuration pull failed")
			}
		}
	}
}

// pull takes the version of a peer when it is larger than the one held.
func (k *Replica) pull(ctx context.Context, address string) error {
	pullsTotal.Inc()
	held := k.current.Load()
	err := k.pullSince(ctx, address, held.head.Version, nil)
	if !errors.Is(err, errMissing) {
		return err
	}
	hashes := make([]string, 0, len(held.head.Documents))
	for _, hash := range held.head.Documents {
		hashes = append(hashes, string(hash))
	}
	return k.pullSince(ctx, address, 0, hashes)
}

func (k *Replica) pullSince(ctx context.Context, address string, version uint64, hashes []string) error {
	bundle, err := k.ask(ctx, address, version, hashes)
	if err != nil {
		return err
	}
	return k.adopt(ctx, bundle.GetHead(), address, fromBundle(bundle))
}

func fromBundle(bundle *pb.ConfigBundle) fetchFunc {
	return func(_ context.Context, _ config.Head, bodies map[config.Hash][]byte) error {
		for _, d := range bundle.GetDocuments() {
			bodies[config.HashOf(d.GetBody())] = d.GetBody()
		}
		return nil
	}
}

func (k *Replica) ask(ctx context.Context, address string, version uint64, hashes []string) (*pb.ConfigBundle, error) {
	ctx, cancel := context.WithTimeout(ctx, k.options.PullTimeout)
	defer cancel()
	response, err := k.options.Caller.Call(ctx, address, &pb.Request{
		TimeoutMs: uint32(k.options.PullTimeout.Milliseconds()),
		Body:      &pb.Request_ConfigPull{ConfigPull: &pb.ConfigPull{HaveVersion: version, HaveHashes: hashes}},
	})
	if err != nil {
		return nil, fmt.Errorf("pull configuration: %w", err)
	}
	if response.GetConfig() == nil {
		return nil, errors.New("pull configuration: the peer answered without a bundle")
	}
	return response.GetConfig(), nil
}

// Handle answers ConfigPull with what the asker lacks, and takes an accepted
// version that an operator hands over in a View; other requests get neither an
// answer nor an error.
func (k *Replica) Handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
	if bundle := req.GetView().GetConfig(); bundle != nil {
		return k.handOver(ctx, from, bundle)
	}
	pull := req.GetConfigPull()
	if pull == nil {
		return nil, nil
	}
	return &pb.Response{Body: &pb.Response_Config{Config: k.visible().since(pull)}}, nil
}

// handOver takes a version that was accepted. It spares the processes the wait
// for the key-value service, which may fail right after it accepted.
func (k *Replica) handOver(ctx context.Context, from string, bundle *pb.ConfigBundle) (*pb.Response, error) {
	if err := k.adopt(ctx, bundle.GetHead(), from, fromBundle(bundle)); err != nil {
		return nil, &contract.Error{Kind: contract.KindInvalid, Verdict: contract.NotRun, Message: "the configuration was not taken", Err: err}
	}
	return &pb.Response{Body: &pb.Response_Ack{Ack: &pb.Ack{}}}, nil
}

// since returns the documents that the asker lacks. When the head remembers
// every change since the asker's version, these are the ones changed since.
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

// start takes the greatest version among the key-value service and some peers,
// and tries again until there is one.
func (k *Replica) start(ctx context.Context) {
	for ctx.Err() == nil {
		k.startRound(ctx)
		if k.current.Load() != noSnapshot {
			k.started.Store(true)
			k.notify()
			return
		}
		sleep(ctx, startRetry/2+rand.N(startRetry))
	}
}

// startRound prefers peers for the documents, so that a mass restart does not
// read them all from the key-value service.
func (k *Replica) startRound(ctx context.Context) {
	var stored storedHead
	var storedErr error
	var round conc.WaitGroup
	round.Go(func() { stored, storedErr = readHead(ctx, k.kv) })
	var offers []offer
	round.Go(func() { offers = k.askVersions(ctx) })
	round.Wait()
	for _, o := range offers {
		if o.version > k.known() {
			k.warnOnError(k.pull(ctx, o.address))
		}
	}
	k.warnOnError(storedErr)
	if storedErr == nil && stored.Version > k.known() {
		k.warnOnError(k.adoptStored(ctx, stored))
	}
}

func (k *Replica) warnOnError(err error) {
	if err != nil {
		k.options.Log.WithError(err).Warn("configuration start: a source failed")
	}
}

// offer is a peer and the version that it holds.
type offer struct {
	address string
	version uint64
}

// askVersions returns what some random peers hold, greatest version first.
func (k *Replica) askVersions(ctx context.Context) []offer {
	peers := slices.Clone(k.options.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), startPeers)]
	asks := pool.NewWithResults[offer]()
	for _, address := range peers {
		asks.Go(func() offer {
			bundle, err := k.ask(ctx, address, askVersion, nil)
			if err != nil {
				return offer{address: address}
			}
			return offer{address: address, version: bundle.GetVersion()}
		})
	}
	offers := asks.Wait()
	slices.SortFunc(offers, func(a, b offer) int { return cmp.Compare(b.version, a.version) })
	return offers
}
