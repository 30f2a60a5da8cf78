package claimshard

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/claim"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/platform"
	pb "kumquatyard/proto/kumquat/v1"
)

var errFault = errors.New("injected fault")

func refused() error { return &contract.Error{Verdict: contract.NotRun, Err: errFault} }
func lost() error    { return &contract.Error{Verdict: contract.MayHaveRun, Err: errFault} }

// store is a key-value service in memory.
type store struct {
	mu      sync.Mutex
	index   uint64
	entries map[string]platform.Entry
	down    atomic.Bool
	writes  atomic.Uint64
}

func newStore() *store { return &store{entries: map[string]platform.Entry{}} }

func (s *store) swap(key string, value []byte, index uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes.Add(1)
	if s.entries[key].ModifyIndex != index {
		return 0, false
	}
	s.index++
	s.entries[key] = platform.Entry{Key: key, Value: value, ModifyIndex: s.index}
	return s.index, true
}

// client is an agent's connection to the store. It injects faults.
type client struct {
	*store
	mu  sync.Mutex
	rng *rand.Rand
	// paused is locked for writing while the agent is frozen, which blocks calls.
	paused sync.RWMutex
	// faultRate is the fraction of writes that fail or lose their answer.
	faultRate float64
}

func (c *client) draw() (fault float64, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64(), time.Duration(c.rng.IntN(1000)) * time.Microsecond
}

// enter delays a call. It returns an error while the store is down, else the
// number in [0, 1) that determines the call's fault.
func (c *client) enter() (float64, error) {
	fault, delay := c.draw()
	time.Sleep(delay)
	c.paused.RLock()
	defer c.paused.RUnlock()
	if c.down.Load() {
		return 0, refused()
	}
	return fault, nil
}

func (c *client) Get(_ context.Context, key string) (platform.Entry, error) {
	if _, err := c.enter(); err != nil {
		return platform.Entry{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.entries[key], nil
}

func (c *client) List(_ context.Context, prefix string) ([]platform.Entry, error) {
	if _, err := c.enter(); err != nil {
		return nil, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	var out []platform.Entry
	for key, e := range c.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	return out, nil
}

// CompareAndSwap implements KV. With a fault, the swap fails, takes effect but
// loses its answer, or takes effect some time after its answer was lost.
func (c *client) CompareAndSwap(_ context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	fault, err := c.enter()
	switch {
	case err != nil || fault < c.faultRate/3:
		return 0, false, refused()
	case fault < 2*c.faultRate/3:
		c.swap(key, value, index)
		return 0, false, lost()
	case fault < c.faultRate:
		time.AfterFunc(time.Duration(fault*1000)*time.Millisecond, func() { c.swap(key, value, index) })
		return 0, false, lost()
	}
	newIndex, swapped := c.swap(key, value, index)
	return newIndex, swapped, nil
}

func (c *client) Delete(_ context.Context, key string, index uint64) (bool, error) {
	if _, err := c.enter(); err != nil {
		return false, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.entries[key].ModifyIndex == index {
		delete(c.entries, key)
	}
	return true, nil
}

// agents is a set of Services that call each other in memory.
type agents struct {
	services []*Service
	clients  []*client
	// frozen marks agents that are not live and do not answer.
	frozen []atomic.Bool
	// lossRate is the fraction of calls between agents that are lost, and of
	// replies that are lost.
	lossRate float64
	mu       sync.Mutex
	rng      *rand.Rand
}

func newAgents(s *store, n int, settings Settings, limits claim.Limits, seed uint64, faults float64) *agents {
	a := &agents{frozen: make([]atomic.Bool, n), lossRate: faults / 2, rng: rand.New(rand.NewPCG(seed, 0))}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range n {
		c := &client{store: s, rng: rand.New(rand.NewPCG(seed, uint64(i+1))), faultRate: faults}
		a.clients = append(a.clients, c)
		service := New(Options{Self: a.peer(i), Settings: settings, KV: c, Caller: a, Live: a.live, Log: logrus.NewEntry(log)})
		for _, w := range service.workers {
			w.shard = claim.NewShard(w.number, claim.OwnerOf(a.peer(i)), a.peer(i).GetAddress(), limits)
		}
		a.services = append(a.services, service)
	}
	return a
}

func (a *agents) peer(i int) *pb.Peer {
	name := string(rune('a' + i))
	return &pb.Peer{Id: name, Incarnation: 1, Address: name}
}

func (a *agents) live() []*pb.Peer {
	var out []*pb.Peer
	for i := range a.frozen {
		if !a.frozen[i].Load() {
			out = append(out, a.peer(i))
		}
	}
	return out
}

func (a *agents) chance(share float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.Float64() < share
}

// Call implements link.Caller.
func (a *agents) Call(ctx context.Context, address string, req *pb.Request) (*pb.Response, error) {
	i := int(address[0] - 'a')
	if a.frozen[i].Load() || a.chance(a.lossRate) {
		return nil, refused()
	}
	if req.GetStatus() != nil {
		return &pb.Response{Body: &pb.Response_Status{Status: &pb.StatusReply{Self: a.peer(i)}}}, nil
	}
	resp, err := a.services[i].Handle(ctx, "", req)
	if a.frozen[i].Load() || a.chance(a.lossRate) {
		return nil, lost()
	}
	return resp, err
}

// freeze freezes agent i for d: its calls block, and it is not live for its peers.
// For another d/2 its calls proceed while it is still not live.
func (a *agents) freeze(i int, d time.Duration) {
	a.clients[i].paused.Lock()
	a.frozen[i].Store(true)
	time.Sleep(d)
	a.clients[i].paused.Unlock()
	time.Sleep(d / 2)
	a.frozen[i].Store(false)
}
