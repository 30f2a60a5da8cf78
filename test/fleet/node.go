package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"kumquatyard/internal/agent"
	"kumquatyard/internal/configstore"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/link"
	"kumquatyard/internal/platform"
	pb "kumquatyard/proto/kumquat/v1"
)

// Node is an agent with its link, its configuration replica and injected faults.
type Node struct {
	ID, Zone, Address string
	Agent             *agent.Agent
	Config            *configstore.Replica
	// Traffic counts the bytes to and from other agents. ToGateway counts those to
	// and from the gateway, which stay on the node.
	Traffic, ToGateway link.Traffic

	fleet    *Fleet
	listener net.Listener
	settings link.Settings
	peers    *link.Pool
	gateway  *link.Pool
	running  conc.WaitGroup
	agentRun conc.WaitGroup
	stopOnce sync.Once
	stopRun  context.CancelFunc
	stopLink context.CancelFunc

	mu sync.Mutex
	// partitioned holds the addresses of the nodes to which calls fail.
	partitioned map[string]bool
	// frozen is closed when the freeze ends; nil means not frozen.
	frozen chan struct{}
	// Calls counts the requests passed to the agent.
	Calls atomic.Int64
}

var errInjected = &contract.Error{
	Kind: contract.KindUnavailable, Verdict: contract.NotRun, Message: "call failed by the test", Err: errors.New("cut"),
}

func (f *Fleet) newNode(zone, j int) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{
		ID: fmt.Sprintf("entry-%02d-%02d", zone, j), Zone: ZoneName(zone), Address: listener.Addr().String(),
		fleet: f, listener: listener, partitioned: map[string]bool{},
	}
	n.settings = f.linkSettings("agent", n.Address, &n.Traffic)
	if n.peers, err = link.NewPool(n.settings, f.log); err != nil {
		return nil, err
	}
	if n.gateway, err = link.NewPool(f.linkSettings("agent", n.Address, &n.ToGateway), f.log); err != nil {
		return nil, err
	}
	n.Config = configstore.NewReplica(configstore.Options{
		KV: platform.NewKVClient(f.kvAddress, platformTimeout), Caller: n, Log: f.log,
		Peers: func() []string { return n.Agent.PeerAddresses() },
	})
	n.Agent = agent.New(agent.Options{
		Settings: agent.Settings{
			ID: n.ID, Zone: n.Zone, Region: "r", Link: n.settings, Gateway: f.Gateways.address, Intervals: f.options.Intervals,
		},
		Caller: n, List: f.Instances, Config: n.Config, Components: []agent.Component{n.Config},
		Log: f.log, Incarnation: uint64(time.Now().UnixMilli()),
	})
	return n, nil
}

func (n *Node) run() {
	linkCtx, stopLink := context.WithCancel(n.fleet.ctx)
	runCtx, stopRun := context.WithCancel(n.fleet.ctx)
	n.stopLink, n.stopRun = stopLink, stopRun
	n.running.Go(func() {
		_ = link.ServeListener(linkCtx, n.listener, n.settings, link.HandlerFunc(n.handle), n.fleet.log)
	})
	n.agentRun.Go(func() { _ = n.Agent.Run(runCtx) })
}

// Stop stops the node as SIGTERM stops a process: the agent ends first, its link
// after it.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		if n.stopRun == nil {
			return
		}
		n.Thaw()
		n.stopRun()
		n.agentRun.Wait()
		n.stopLink()
		n.peers.Close()
		n.gateway.Close()
		n.running.Wait()
	})
}

// Call implements link.Caller and applies the node's faults.
func (n *Node) Call(ctx context.Context, address string, req *pb.Request) (*pb.Response, error) {
	if err := n.awaitThaw(ctx); err != nil {
		return nil, err
	}
	if address == n.fleet.Gateways.address {
		return n.gateway.Call(ctx, address, req)
	}
	n.mu.Lock()
	partitioned := n.partitioned[address]
	n.mu.Unlock()
	if partitioned {
		return nil, errInjected
	}
	return n.peers.Call(ctx, address, req)
}

func (n *Node) handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
	if err := n.awaitThaw(ctx); err != nil {
		return nil, err
	}
	n.Calls.Add(1)
	return n.Agent.Handle(ctx, from, req)
}

// SetPartitioned makes all calls between n and other fail, or restores them.
func (n *Node) SetPartitioned(other *Node, partitioned bool) {
	n.setPartition(other, partitioned)
	other.setPartition(n, partitioned)
}

func (n *Node) setPartition(other *Node, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[other.Address] = partitioned
}

// Freeze blocks all calls to and from the node until Thaw, as if its process were
// suspended.
func (n *Node) Freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.frozen = make(chan struct{})
	}
}

// Thaw ends Freeze.
func (n *Node) Thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}

func (n *Node) awaitThaw(ctx context.Context) error {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen == nil {
		return nil
	}
	select {
	case <-frozen:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
