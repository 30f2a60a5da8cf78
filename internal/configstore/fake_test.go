package configstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
	pb "kumquatyard/proto/kumquat/v1"
)

// faults are the failures that a key-value service injects.
type faults struct {
	down bool
	// loseAnswers is the share of writes that take effect and whose answer is
	// lost. delayWrites is the share that takes effect only after the caller has
	// received an error.
	loseAnswers, delayWrites float64
	latency                  time.Duration
	// silent is an event: calls open at that moment never receive an answer.
	silent bool
}

// fakeKV is a linearizable in-memory key-value service with faults that the test
// injects.
type fakeKV struct {
	mu      sync.Mutex
	rng     *rand.Rand
	index   uint64
	entries map[string]platform.Entry
	changed chan struct{}

	faults faults
	// epoch counts the silent faults, each of which makes the watches open at the
	// time unresponsive for good.
	epoch int
}

func newFakeKV(seed uint64) *fakeKV {
	return &fakeKV{
		rng: rand.New(rand.NewPCG(seed, 1)), entries: make(map[string]platform.Entry), changed: make(chan struct{}),
	}
}

func (f *fakeKV) open() KV { return &client{f, &gate{}} }

func (f *fakeKV) inject(n faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = n
	if n.silent {
		f.epoch++
	}
}

func failure(verdict contract.Verdict) error {
	return &contract.Error{Kind: contract.KindUnavailable, Verdict: verdict, Message: "injected"}
}

// client is one process's connection to the fake. A closed gate suspends the
// process.
type client struct {
	*fakeKV
	gate *gate
}

// gate suspends a process while it is closed.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// wait blocks while the gate is closed. It ignores contexts because a suspended
// process does not notice that its deadline has passed.
func (g *gate) wait() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// enter applies the faults that precede a call.
func (c *client) enter(ctx context.Context) error {
	c.gate.wait()
	c.mu.Lock()
	latency, down := c.faults.latency, c.faults.down
	c.mu.Unlock()
	sleep(ctx, latency)
	if ctx.Err() != nil || down {
		return failure(contract.NotRun)
	}
	return nil
}

func (c *client) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := c.enter(ctx); err != nil {
		return platform.Entry{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[key], nil
}

func (c *client) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if err := c.enter(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []platform.Entry
	for key, entry := range c.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, entry)
		}
	}
	return out, nil
}

func (c *client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	if err := c.enter(ctx); err != nil {
		return 0, false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	draw := c.rng.Float64()
	if draw < c.faults.delayWrites {
		time.AfterFunc(time.Duration(1+c.rng.IntN(60))*time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.swapLocked(key, value, index)
		})
		return 0, false, failure(contract.MayHaveRun)
	}
	newIndex, swapped := c.swapLocked(key, value, index)
	if draw < c.faults.delayWrites+c.faults.loseAnswers {
		return 0, false, failure(contract.MayHaveRun)
	}
	return newIndex, swapped, nil
}

func (f *fakeKV) swapLocked(key string, value []byte, index uint64) (uint64, bool) {
	if f.entries[key].ModifyIndex != index {
		return 0, false
	}
	f.index++
	f.entries[key] = platform.Entry{Key: key, Value: slices.Clone(value), ModifyIndex: f.index}
	if key == headKey {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	return f.index, true
}

func (c *client) Delete(ctx context.Context, key string, index uint64) (bool, error) {
	if err := c.enter(ctx); err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[key].ModifyIndex != index {
		return false, nil
	}
	delete(c.entries, key)
	return true, nil
}

func (c *client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Entry, error) {
	if err := c.enter(ctx); err != nil {
		return platform.Entry{}, err
	}
	timeout := time.After(wait)
	c.mu.Lock()
	epoch := c.epoch
	c.mu.Unlock()
	for {
		c.mu.Lock()
		entry, changed, silent := c.entries[key], c.changed, epoch != c.epoch
		c.mu.Unlock()
		if !silent && entry.ModifyIndex > after {
			return entry, nil
		}
		select {
		case <-ctx.Done():
			return platform.Entry{}, failure(contract.NotRun)
		case <-timeout:
			if !silent {
				return entry, nil
			}
			timeout = nil
		case <-changed:
		}
	}
}

// watchCounter counts the concurrent watches of each zone.
type watchCounter struct {
	mu           sync.Mutex
	current, max map[string]int
}

func (w *watchCounter) add(zone string, delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current[zone] += delta
	w.max[zone] = max(w.max[zone], w.current[zone])
}

func (w *watchCounter) count(zone string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current[zone]
}

// processKV is a process's connection to the store. It blocks while the process
// is suspended and counts the process's watches.
type processKV struct {
	KV
	zone    string
	gate    *gate
	counter *watchCounter
}

func (p *processKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	p.gate.wait()
	return p.KV.Get(ctx, key)
}

func (p *processKV) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Entry, error) {
	p.gate.wait()
	p.counter.add(p.zone, 1)
	defer p.counter.add(p.zone, -1)
	return p.KV.Watch(ctx, key, after, wait)
}

// standinKV is the stand-in of the key-value service, accessed over HTTP with a
// platform.KVClient.
type standinKV struct {
	standin *standin.KV
	address string
}

// standinTimeout bounds a call to the stand-in, and so the time for which an
// unresponsive connection blocks its caller.
const standinTimeout = 300 * time.Millisecond

func newStandinKV(t testing.TB, seed uint64) *standinKV {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standinKV{standin: standin.NewKV(standin.KVOptions{Seed: seed}), address: listener.Addr().String()}
	var serving conc.WaitGroup
	serving.Go(func() { _ = s.standin.Serve(listener) })
	t.Cleanup(func() {
		s.standin.Close()
		serving.Wait()
	})
	return s
}

func (s *standinKV) open() KV { return platform.NewKVClient(s.address, standinTimeout) }

func (s *standinKV) inject(n faults) {
	s.standin.ChangeFaults(func(f *standin.Faults) {
		f.Down, f.LoseAnswers, f.Silent = n.down, n.loseAnswers, n.silent
		f.LatencyMS = int(n.latency.Milliseconds())
	})
}

// network connects Replicas, which call one another by name.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
}

// node is a process with a Replica.
type node struct {
	name    string
	replica *Replica
	gate    *gate
	network *network
	// cut disconnects the node from all peers in both directions.
	cut bool
}

var errCut = errors.New("no route")

func (n *node) Call(ctx context.Context, address string, req *pb.Request) (*pb.Response, error) {
	n.gate.wait()
	n.network.mu.Lock()
	peer := n.network.nodes[address]
	cut := peer == nil || peer.cut || n.cut
	n.network.mu.Unlock()
	if cut || ctx.Err() != nil {
		return nil, errCut
	}
	answer := make(chan *pb.Response, 1)
	go func() {
		peer.gate.wait()
		response, _ := peer.replica.Handle(ctx, n.name, req)
		answer <- response
	}()
	select {
	case response := <-answer:
		return response, nil
	case <-ctx.Done():
		return nil, failure(contract.MayHaveRun)
	}
}
