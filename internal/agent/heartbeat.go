package agent

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/member"
	pb "kumquatyard/proto/kumquat/v1"
)

// newsPerBeat bounds the peers told in one heartbeat.
const newsPerBeat = 16

// heartbeat sends heartbeats to the next members of the ring, or to all in
// scope when there is something urgent to announce, such as a new version of
// the configuration.
func (a *Agent) heartbeat(ctx context.Context, urgent bool) {
	if urgent {
		a.announce(ctx)
		return
	}
	a.mu.Lock()
	a.round++
	targets := a.table.HeartbeatTargets(a.round, time.Now())
	a.mu.Unlock()
	a.beat(ctx, targets)
}

func (a *Agent) announce(ctx context.Context) {
	a.mu.Lock()
	targets := a.table.ScopePeers(time.Now())
	a.mu.Unlock()
	a.beat(ctx, targets)
}

func (a *Agent) beat(ctx context.Context, targets []member.Member) {
	a.mu.Lock()
	news := a.table.TakeUpdates(newsPerBeat, time.Now())
	self := a.table.Self()
	a.mu.Unlock()
	message := &pb.Heartbeat{From: peerToProto(self), ConfigVersion: a.config.Version()}
	for _, p := range news {
		message.Peers = append(message.Peers, peerToProto(p))
	}
	calls := pool.New().WithMaxGoroutines(maxCalls)
	for _, target := range targets {
		calls.Go(func() { a.beatOne(ctx, target, message) })
	}
	calls.Wait()
}

func (a *Agent) beatOne(ctx context.Context, target member.Member, message *pb.Heartbeat) {
	own := &pb.Heartbeat{From: message.From, ConfigVersion: message.ConfigVersion, Peers: message.Peers}
	a.mu.Lock()
	own.DigestVersion = a.store.HeldVersion(target.ID, target.Incarnation)
	a.mu.Unlock()
	resp, err := a.call(ctx, target.Address, &pb.Request{Body: &pb.Request_Heartbeat{Heartbeat: own}})
	if err != nil {
		a.log.WithError(err).WithField("peer", target.ID).Debug("heartbeat failed")
		return
	}
	reply := resp.GetHeartbeat()
	a.heard(reply.GetFrom())
	a.config.Seen(ctx, target.Address, reply.GetConfigVersion())
	a.repairDigest(ctx, target.Address, reply.GetDigestVersion())
}

// heard records a message from a peer itself.
func (a *Agent) heard(from *pb.Peer) {
	if from == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.RecordContact(peerFromProto(from), time.Now())
}

// handleHeartbeat answers a heartbeat of an agent or of the own gateway.
func (a *Agent) handleHeartbeat(ctx context.Context, beat *pb.Heartbeat) *pb.HeartbeatReply {
	from := beat.GetFrom()
	a.heard(from)
	a.mu.Lock()
	for _, p := range beat.GetPeers() {
		a.table.RecordReport(peerFromProto(p), time.Now())
	}
	reply := &pb.HeartbeatReply{
		From: peerToProto(a.table.Self()), ConfigVersion: a.config.Version(),
		DigestVersion: a.store.HeldVersion(from.GetId(), from.GetIncarnation()),
	}
	a.mu.Unlock()
	if from.GetRole() == role {
		a.config.Seen(ctx, from.GetAddress(), beat.GetConfigVersion())
	} else if beat.GetConfigVersion() < a.config.Version() {
		signal(a.viewSoon)
	}
	return reply
}

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
