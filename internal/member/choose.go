package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Numbers of members that share a job.
const (
	// ObserversPerServer watch each server; the first reports its load.
	ObserversPerServer = 2
	// WatchersPerZone hold a watch on the key-value service.
	WatchersPerZone = 2
	// HeartbeatFanOut is the number of peers that a member sends heartbeats to,
	// and so the number that it receives them from.
	HeartbeatFanOut = 3
)

// Rendezvous returns the n ids with the greatest hash of key and id (highest
// random weight), best first. A change of one id moves only its own keys.
func Rendezvous(key string, ids []string, n int) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, 0, len(ids))
	for _, id := range ids {
		all = append(all, scored{id: id, score: xxhash.Sum64String(key + "\x00" + id)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]string, 0, min(n, len(all)))
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.id)
	}
	return out
}

// Observers returns who observes a server, out of the live ids of its zone.
func Observers(server string, live []string) []string {
	return Rendezvous("observe/"+server, live, ObserversPerServer)
}

// Watchers returns who watches the key-value service for zone.
func Watchers(zone string, live []string) []string {
	return Rendezvous("watch/"+zone, live, WatchersPerZone)
}

// Heirs returns the members that try for a duty, the preferred one first.
func Heirs(duty string, live []string, n int) []string { return Rendezvous("duty/"+duty, live, n) }

// Live returns the ids of the live members of a zone with the given role, self
// included unless it leaves, ordered.
func (t *Table) Live(zone, role string, now time.Time) []string {
	var out []string
	for _, m := range t.Members(now) {
		if m.Status == Alive && m.Zone == zone && m.Role == role {
			out = append(out, m.ID)
		}
	}
	if t.self.Zone == zone && t.self.Role == role && !t.self.Leaving {
		out = append(out, t.self.ID)
	}
	slices.Sort(out)
	return out
}

// ZonePeers returns the members of self's zone and role that messages are sent
// to: all but dead ones.
func (t *Table) ZonePeers(now time.Time) []Member {
	var out []Member
	for _, m := range t.Members(now) {
		if m.Zone == t.self.Zone && m.Role == t.self.Role && m.Status != Dead && m.Address != "" {
			out = append(out, m)
		}
	}
	return out
}

// HeartbeatTargets returns the next HeartbeatFanOut members after self in the
// ring of the zone's ids, so that fan-in equals fan-out, and dead members in
// turn, one for each round, so that a cut that healed is found.
func (t *Table) HeartbeatTargets(round uint64, now time.Time) []Member {
	ring := t.ZonePeers(now)
	first, _ := slices.BinarySearchFunc(ring, t.self.ID, func(m Member, id string) int { return cmp.Compare(m.ID, id) })
	out := make([]Member, 0, HeartbeatFanOut+1)
	for i := range min(HeartbeatFanOut, len(ring)) {
		out = append(out, ring[(first+i)%len(ring)])
	}
	if dead := t.deadInZone(now); len(dead) > 0 {
		out = append(out, dead[round%uint64(len(dead))])
	}
	return out
}

func (t *Table) deadInZone(now time.Time) []Member {
	var out []Member
	for _, m := range t.Members(now) {
		if m.Zone == t.self.Zone && m.Role == t.self.Role && m.Status == Dead && m.Address != "" {
			out = append(out, m)
		}
	}
	return out
}

// SummarySender returns who tells zone to about zone from, out of the live ids
// of from: the pairs spread over the members.
func SummarySender(from, to string, live []string) string {
	return first(Rendezvous("summary/"+from+"/"+to, live, 1))
}

// SummaryReceiver returns the member of zone to that hears about zone from and
// relays it, one of the next best when attempt > 0.
func (t *Table) SummaryReceiver(from, to string, attempt int, now time.Time) (Member, bool) {
	var ids []string
	for _, m := range t.Members(now) {
		if m.Zone == to && m.Role == t.self.Role && m.Address != "" && m.Status != Leaving && m.Status != Dead {
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return Member{}, false
	}
	ranked := Rendezvous("summary/"+from+"/"+to, ids, len(ids))
	return t.Get(ranked[attempt%len(ranked)], now)
}

func first(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}
