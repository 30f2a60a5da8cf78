package agent

import (
	"context"
	"time"

	"kumquatyard/internal/member"
	pb "kumquatyard/proto/kumquat/v1"
)

// viewState tracks which view and configuration the gateway holds.
type viewState struct {
	sequence uint64
	// synced is true if the gateway accepted the last view.
	synced        bool
	configVersion uint64
}

// pushView sends the gateway the changes since the last view, or a full view
// after a failure.
func (a *Agent) pushView(ctx context.Context, _ bool) {
	version := a.config.Version()
	view := a.nextView(time.Now(), version)
	_, err := a.call(ctx, a.settings.Gateway, &pb.Request{Body: &pb.Request_View{View: view}})
	a.gateway.synced = err == nil
	if err != nil {
		a.log.WithError(err).Debug("sending the view (configuration, server states, peers) to the gateway failed; the next view is a full one")
		return
	}
	if view.Config != nil {
		a.gateway.configVersion = view.Config.GetVersion()
	}
}

// nextView returns the next view for the gateway; version is that of the current
// configuration.
func (a *Agent) nextView(now time.Time, version uint64) *pb.View {
	a.gateway.sequence++
	view := &pb.View{Sequence: a.gateway.sequence, Full: !a.gateway.synced}
	if view.Full || version > a.gateway.configVersion {
		view.Config = a.config.Bundle()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if view.Full {
		view.Servers = a.store.All(now)
	} else {
		view.Servers = a.store.TakeChanged(now)
	}
	view.Peers = a.viewPeers(now)
	for _, s := range a.summaries {
		view.Zones = append(view.Zones, s)
	}
	return view
}

// viewPeers returns the processes to which the gateway may turn: the agent itself
// and those in scope that are neither suspect nor dead. The mutex is held.
func (a *Agent) viewPeers(now time.Time) []*pb.Peer {
	out := []*pb.Peer{peerToProto(a.table.Self())}
	for _, m := range a.table.Members(now) {
		if !a.table.InScope(m.Zone) || m.Status == member.Dead || m.Status == member.Suspect {
			continue
		}
		p := peerToProto(m.Peer)
		p.Leaving = m.Status == member.Leaving
		out = append(out, p)
	}
	return out
}
