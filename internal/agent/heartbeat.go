package agent

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/member"
	pb "kumquatyard/proto/kumquat/v1"
)

// peersPerHeartbeat bounds the changed peers reported in one heartbeat.
const peersPerHeartbeat = 16

// heartbeat sends heartbeats to the next members of the ring, or to all peers in
// scope if there is an urgent change, such as a new configuration version.
func (a *Agent) heartbeat(ctx context.Context, urgent bool) {
	if urgent {
		a.announce(ctx)
		return
	}
	a.mu.Lock()
	a.round++
	targets := a.table.HeartbeatTargets(a.round, time.Now())
	a.mu.Unlock()
	a.sendHeartbeats(ctx, targets)
}

// announce sends heartbeats to all peers in scope.
func (a *Agent) announce(ctx context.Context) {
	a.mu.Lock()
	targets := a.table.ScopePeers(time.Now())
	a.mu.Unlock()
	a.sendHeartbeats(ctx, targets)
}

// sendHeartbeats sends a heartbeat with the changed peers to all targets.
func (a *Agent) sendHeartbeats(ctx context.Context, targets []member.Member) {
	a.mu.Lock()
	updates := a.table.TakeUpdates(peersPerHeartbeat, time.Now())
	self := a.table.Self()
	a.mu.Unlock()
	message := &pb.Heartbeat{From: peerToProto(self), ConfigVersion: a.config.Version()}
	for _, p := range updates {
		message.Peers = append(message.Peers, peerToProto(p))
	}
	calls := pool.New().WithMaxGoroutines(maxCalls)
	for _, target := range targets {
		calls.Go(func() { a.sendHeartbeat(ctx, target, message) })
	}
	calls.Wait()
}

// sendHeartbeat sends message to target and processes the reply.
func (a *Agent) sendHeartbeat(ctx context.Context, target member.Member, message *pb.Heartbeat) {
	own := &pb.Heartbeat{From: message.From, ConfigVersion: message.ConfigVersion, Peers: message.Peers}
	a.mu.Lock()
	own.DigestVersion = a.store.HeldVersion(target.ID, target.Incarnation)
	a.mu.Unlock()
	resp, err := a.call(ctx, target.Address, &pb.Request{Body: &pb.Request_Heartbeat{Heartbeat: own}})
	if err != nil {
		a.log.WithError(err).WithField("peer", target.ID).Debug("heartbeat to another agent failed")
		return
	}
	reply := resp.GetHeartbeat()
	a.recordContact(reply.GetFrom())
	a.config.RecordPeerVersion(ctx, target.Address, reply.GetConfigVersion())
	a.repairDigest(ctx, target.Address, reply.GetDigestVersion())
}

// recordContact records a message from a peer itself.
func (a *Agent) recordContact(from *pb.Peer) {
	if from == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.RecordContact(peerFromProto(from), time.Now())
}

// handleHeartbeat answers a heartbeat from an agent or from the agent's own
// gateway.
func (a *Agent) handleHeartbeat(ctx context.Context, heartbeat *pb.Heartbeat) *pb.HeartbeatReply {
	from := heartbeat.GetFrom()
	a.recordContact(from)
	a.mu.Lock()
	for _, p := range heartbeat.GetPeers() {
		a.table.RecordReport(peerFromProto(p), time.Now())
	}
	reply := &pb.HeartbeatReply{
		From: peerToProto(a.table.Self()), ConfigVersion: a.config.Version(),
		DigestVersion: a.store.HeldVersion(from.GetId(), from.GetIncarnation()),
	}
	a.mu.Unlock()
	if from.GetRole() == role {
		a.config.RecordPeerVersion(ctx, from.GetAddress(), heartbeat.GetConfigVersion())
	} else if heartbeat.GetConfigVersion() < a.config.Version() {
		signal(a.urgentView)
	}
	return reply
}

// call sends a request to a peer and waits at most callTimeout for the answer.
func (a *Agent) call(ctx context.Context, address string, req *pb.Request) (*pb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.caller.Call(ctx, address, req)
}

func peerToProto(p member.Peer) *pb.Peer {
	return &pb.Peer{
		Id: p.ID, Incarnation: p.Incarnation, Zone: p.Zone, Address: p.Address, Role: p.Role, Leaving: p.Leaving,
	}
}

func peerFromProto(p *pb.Peer) member.Peer {
	return member.Peer{
		ID: p.GetId(), Incarnation: p.GetIncarnation(), Zone: p.GetZone(),
		Address: p.GetAddress(), Role: p.GetRole(), Leaving: p.GetLeaving(),
	}
}
