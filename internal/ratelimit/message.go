package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"kumquatyard/internal/gossip"
	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// refreshInterval is how often the rest is told, for instances that have just started.
	refreshInterval = 5 * time.Second
	// maxMessageServers bounds the servers in a message.
	maxMessageServers = 32
)

// Messages returns what the other instances are to be told of limits: what is news and, now
// and then, the rest.
func (t *Tracker) Messages(now time.Time) []*pb.ServerLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Incarnation
	for server, s := range t.servers {
		if s.IsDue(refreshInterval, now) {
			due = append(due, server)
		}
	}
	slices.SortFunc(due, func(a, b Incarnation) int {
		first, second := t.servers[a], t.servers[b]
		return cmp.Or(cmp.Compare(first.Sends, second.Sends), first.LastAt.Compare(second.LastAt), cmp.Compare(a.ID, b.ID))
	})
	due = due[:min(len(due), maxMessageServers)]
	list := make([]*pb.ServerLimit, 0, len(due))
	for _, server := range due {
		s := t.servers[server]
		s.Told(now)
		list = append(list, encode(server, s.Observation, now))
	}
	return list
}

func encode(server Incarnation, o Observation, now time.Time) *pb.ServerLimit {
	return &pb.ServerLimit{
		Server:  &pb.ServerIncarnation{Server: string(server.ID), StartedAtMs: server.StartedAtMs, Address: server.Address},
		Limited: o.Limit.Kind == Limited, PerSecond: o.Limit.PerSecond,
		AskedAgeMs: gossip.AgeMs(o.AskedAt, now), AnsweredAgeMs: gossip.AgeMs(o.AnsweredAt, now),
	}
}

// Merge adds what another instance knows.
func (t *Tracker) Merge(list []*pb.ServerLimit, now time.Time) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range list {
		s := m.GetServer()
		if !(m.GetPerSecond() >= 0) {
			continue // not a rate
		}
		t.record(Incarnation{machine.ID(s.GetServer()), s.GetStartedAtMs(), s.GetAddress()}, decode(m, now), "instance", now)
	}
}

func decode(m *pb.ServerLimit, now time.Time) Observation {
	o := Observation{AskedAt: now.Add(-gossip.Age(m.GetAskedAgeMs())), AnsweredAt: now.Add(-gossip.Age(m.GetAnsweredAgeMs()))}
	if m.GetLimited() {
		o.Limit = Limit{Limited, m.GetPerSecond()}
	}
	return o
}
