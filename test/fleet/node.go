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

// Node is one agent with its link, its keeper of the configuration and faults.
type Node struct {
	ID, Zone, Address string
	Agent             *agent.Agent
	Config            *configstore.Replica
	// Traffic is what goes to other agents, ToGateway what stays on the node.
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

	mu     sync.Mutex
	cut    map[string]bool
	frozen chan struct{}
	// Calls counts the requests answered.
	Calls atomic.Int64
}

var errCut = &contract.Error{
	Kind: contract.KindUnavailable, Verdict: contract.NotRun, Message: "cut by the test", Err: errors.New("cut"),
}

func (f *Fleet) newNode(zone, j int) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{
		ID: fmt.Sprintf("entry-%02d-%02d", zone, j), Zone: ZoneName(zone), Address: listener.Addr().String(),
		fleet: f, listener: listener, cut: map[string]bool{},
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

// Stop stops the node as SIGTERM would.
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

// Call implements link.Caller with the node's faults.
func (n *Node) Call(ctx context.Context, address string, req *pb.Request) (*pb.Response, error) {
	if err := n.await(ctx); err != nil {
		return nil, err
	}
	if address == n.fleet.Gateways.address {
		return n.gateway.Call(ctx, address, req)
	}
	n.mu.Lock()
	cut := n.cut[address]
	n.mu.Unlock()
	if cut {
		return nil, errCut
	}
	return n.peers.Call(ctx, address, req)
}

func (n *Node) handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
	if err := n.await(ctx); err != nil {
		return nil, err
	}
	n.Calls.Add(1)
	return n.Agent.Handle(ctx, from, req)
}

// SetPartitioned drops the calls from n to other and back, or restores them.
func (n *Node) SetPartitioned(other *Node, cut bool) {
	n.setCut(other, cut)
	other.setCut(n, cut)
}

func (n *Node) setCut(other *Node, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[other.Address] = cut
}

// Freeze stops all messages of the node, as a stopped process would.
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

func (n *Node) await(ctx context.Context) error {
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
