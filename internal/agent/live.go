package agent

import (
	"time"

	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

// Self returns the agent's description of itself.
func (a *Agent) Self() *pb.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return peerToProto(a.table.Self())
}

// Servers returns the configured servers of the agent's zone that are not
// drained, in no particular order.
func (a *Agent) Servers() []machine.Server {
	var out []machine.Server
	cfg := a.config.Config()
	for id, s := range cfg.Servers {
		if s.Zone == a.settings.Zone && !cfg.Drained[id] {
			out = append(out, s)
		}
	}
	return out
}

// LiveAgents returns the live agents in scope, including itself unless it is
// leaving.
func (a *Agent) LiveAgents() []*pb.Peer {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*pb.Peer
	for _, id := range a.table.LiveInScope(now) {
		if id == a.settings.ID {
			out = append(out, peerToProto(a.table.Self()))
		} else if m, ok := a.table.Get(id, now); ok {
			out = append(out, peerToProto(m.Peer))
		}
	}
	return out
}
