package entry

import (
	"slices"
	"sync"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

// leavingRetention is how long the other instances are told of a server whose answer said
// that it is leaving.
const leavingRetention = 5 * time.Second

// leavingNotices holds the servers whose answers to this instance said lately that they
// are leaving. It is safe for concurrent use.
type leavingNotices struct {
	mu   sync.Mutex
	list []leavingNotice
}

type leavingNotice struct {
	at     time.Time
	server *pb.ServerIncarnation
}

func (l *leavingNotices) add(s *fleet.Server, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, leavingNotice{now, &pb.ServerIncarnation{Server: string(s.ID), StartedAtMs: s.StartedAtMs, Address: s.Address}})
}

// recent returns the notices of the last leavingRetention.
func (l *leavingNotices) recent(now time.Time) []*pb.ServerIncarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(n leavingNotice) bool { return now.Sub(n.at) > leavingRetention })
	servers := make([]*pb.ServerIncarnation, 0, len(l.list))
	for _, n := range l.list {
		servers = append(servers, n.server)
	}
	return servers
}

// markLeaving records a server whose answer said that it is leaving, for this instance
// and for the others.
func (i *Instance) markLeaving(s *fleet.Server) {
	i.leaving.add(s, time.Now())
	i.snapshots.update(func(r *fleet.Registry) { r.MarkLeaving(s) })
}

// applyLeaving records the servers of which another instance knows that they are leaving.
func (i *Instance) applyLeaving(servers []*pb.ServerIncarnation) {
	if len(servers) == 0 {
		return
	}
	i.snapshots.updateIf(func(r *fleet.Registry) bool {
		changed := false
		for _, m := range servers {
			s := &fleet.Server{Server: machine.Server{ID: machine.ID(m.GetServer()), Address: m.GetAddress()}, StartedAtMs: m.GetStartedAtMs()}
			changed = r.MarkLeaving(s) || changed
		}
		return changed
	})
}
