package agent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/member"
	"kumquatyard/internal/observe"
	pb "kumquatyard/proto/kumquat/v1"
)

var ack = &pb.Response{Body: &pb.Response_Ack{Ack: &pb.Ack{}}}

// Handle implements link.Handler.
func (a *Agent) Handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
	switch body := req.GetBody().(type) {
	case *pb.Request_Heartbeat:
		reply := a.handleHeartbeat(ctx, body.Heartbeat)
		return &pb.Response{Body: &pb.Response_Heartbeat{Heartbeat: reply}}, nil
	case *pb.Request_Digest:
		return ack, a.handleDigest(body.Digest)
	case *pb.Request_ZoneSummary:
		a.handleSummary(ctx, body.ZoneSummary)
		return ack, nil
	case *pb.Request_GatewayReport:
		a.handleReport(body.GatewayReport)
		return ack, nil
	case *pb.Request_Status:
		return &pb.Response{Body: &pb.Response_Status{Status: a.status()}}, nil
	case *pb.Request_Explain:
		return a.handleExplain(ctx, body.Explain)
	case *pb.Request_Drain:
		return a.handleDrain(ctx, body.Drain)
	default:
		return a.handleByComponent(ctx, from, req)
	}
}

// handleByComponent returns the answer of the first component that handles req.
func (a *Agent) handleByComponent(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
	for _, c := range a.components {
		resp, err := c.Handle(ctx, from, req)
		if resp != nil || err != nil {
			return resp, err
		}
	}
	return nil, &contract.Error{Kind: contract.KindInvalid, Verdict: contract.NotRun, Message: "request not known to this agent"}
}

func (a *Agent) handleReport(r *pb.GatewayReport) {
	for _, s := range r.GetSamples() {
		if s.GetLeaving() {
			a.recordLeaving(leavingHint{id: machine.ID(s.GetId()), source: sourceGateway})
		}
	}
}

// handleDrain marks a server or the agent itself as leaving, or forwards the
// request to the agent or gateway that it names.
func (a *Agent) handleDrain(ctx context.Context, d *pb.DrainRequest) (*pb.Response, error) {
	a.mu.Lock()
	_, isServer := a.servers[machine.ID(d.GetId())]
	peer, isPeer := a.table.Get(d.GetId(), time.Now())
	a.mu.Unlock()
	switch {
	case isServer:
		a.recordLeaving(leavingHint{id: machine.ID(d.GetId()), source: sourceDrain})
		return ack, nil
	case d.GetId() == a.settings.ID:
		a.mu.Lock()
		a.table.SetLeaving()
		a.mu.Unlock()
		signal(a.urgentHeartbeat)
		return ack, nil
	case isPeer && peer.Address != "":
		return a.call(ctx, peer.Address, &pb.Request{Body: &pb.Request_Drain{Drain: d}})
	default:
		return nil, &contract.Error{Kind: contract.KindNotFound, Verdict: contract.NotRun, Message: "no server or instance " + d.GetId()}
	}
}

func (a *Agent) status() *pb.StatusReply {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &pb.StatusReply{Self: peerToProto(a.table.Self()), ConfigVersion: a.config.Version()}
	for _, m := range a.table.Members(now) {
		p := peerToProto(m.Peer)
		p.Leaving = m.Status == member.Leaving
		out.Peers = append(out.Peers, p)
	}
	for _, s := range a.statesInScope() {
		out.Servers = append(out.Servers, observe.EncodeState(s, observe.CacheEvents{}, now))
	}
	for _, c := range a.components {
		if reporter, ok := c.(DutyReporter); ok {
			out.Duties = append(out.Duties, reporter.Duties()...)
		}
	}
	return out
}

// statesInScope returns the states of the configured servers in scope, ordered by
// id. Servers that have not been observed yet have an unknown lifecycle. The
// mutex is held.
func (a *Agent) statesInScope() []machine.State {
	states := a.store.States()
	cfg := a.config.Config()
	scope := scopeOf(cfg, a.settings.Zone)
	for id, server := range cfg.Servers {
		if _, observed := a.store.State(id); !observed && contains(scope, server.Zone) {
			states = append(states, machine.State{ID: id})
		}
	}
	slices.SortFunc(states, func(x, y machine.State) int { return cmp.Compare(x.ID, y.ID) })
	return states
}
