package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// WatchersPerZone is the number of members per zone that hold a watch on the
	// key-value service.
	WatchersPerZone = 2
	// HeartbeatFanOut is the number of peers that a member sends heartbeats to,
	// and so also the number that it receives them from.
	HeartbeatFanOut = 2
)

// Rendezvous returns the n ids with the greatest hash of key and id (highest
// random weight), best first. Adding or removing an id moves only the keys of
// that id.
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

// Assignment names the observers of a server. First reports the server's load;
// Second takes over when reports from First stop. Second is empty if there is
// only one live member.
type Assignment struct{ First, Second string }

// Assign returns the observers of each server, selected from the live ids by
// rendezvous hashing with bounded loads: no member is first observer of more
// than its even share of the servers, and the same holds for second observers
// while other members are below their share. Members with the same view compute
// the same result.
func Assign(servers, live []string) map[string]Assignment {
	share := (len(servers) + max(1, len(live)) - 1) / max(1, len(live))
	first, second := make(map[string]int, len(live)), make(map[string]int, len(live))
	out := make(map[string]Assignment, len(servers))
	for _, server := range slices.Sorted(slices.Values(servers)) {
		ranked := Rendezvous("observe/"+server, live, len(live))
		var a Assignment
		a.First = pickUnderShare(ranked, "", first, share)
		a.Second = pickUnderShare(ranked, a.First, second, share)
		out[server] = a
	}
	return out
}

// pickUnderShare returns the first id of ranked, other than except, that has fewer
// than share servers, and increments its count. If all have reached their share,
// it returns the last one.
func pickUnderShare(ranked []string, except string, counts map[string]int, share int) string {
	last := ""
	for _, id := range ranked {
		if id == except {
			continue
		}
		last = id
		if counts[id] < share {
			break
		}
	}
	if last != "" {
		counts[last]++
	}
	return last
}

// Watchers returns the members that watch the key-value service for zone, out of
// the live ids.
func Watchers(zone string, live []string) []string {
	return Rendezvous("watch/"+zone, live, WatchersPerZone)
}

// DutyCandidates returns the n members that may try to acquire a duty, the
// preferred one first.
func DutyCandidates(duty string, live []string, n int) []string {
	return Rendezvous("duty/"+duty, live, n)
}

// Live returns the ordered ids of the live members of a zone with self's role,
// including self unless it is leaving.
func (t *Table) Live(zone string, now time.Time) []string {
	return t.live(func(z string) bool { return z == zone }, now)
}

// LiveInScope returns the same as Live for all zones in scope.
func (t *Table) LiveInScope(now time.Time) []string { return t.live(t.InScope, now) }

func (t *Table) live(inZone func(string) bool, now time.Time) []string {
	var out []string
	for _, m := range t.Members(now) {
		if m.Status == Alive && m.Role == t.self.Role && inZone(m.Zone) {
			out = append(out, m.ID)
		}
	}
	if inZone(t.self.Zone) && !t.self.Leaving {
		out = append(out, t.self.ID)
	}
	slices.Sort(out)
	return out
}

// ScopePeers returns the members of self's scope and role that are not dead and
// whose address is known.
func (t *Table) ScopePeers(now time.Time) []Member {
	return t.scopePeers(now, func(s Status) bool { return s != Dead })
}

func (t *Table) scopePeers(now time.Time, accept func(Status) bool) []Member {
	var out []Member
	for _, m := range t.Members(now) {
		if t.InScope(m.Zone) && m.Role == t.self.Role && m.Address != "" && accept(m.Status) {
			out = append(out, m)
		}
	}
	return out
}

// HeartbeatTargets returns the members that self sends heartbeats to in a round:
// the next HeartbeatFanOut-1 members that are not dead in the ring of the scope's
// ids, and one of all members, rotating with the round and including dead ones.
// The ring bounds fan-in as well as fan-out, and the rotation makes each pair
// exchange heartbeats again after a partition.
func (t *Table) HeartbeatTargets(round uint64, now time.Time) []Member {
	ring := t.ring(now, func(s Status) bool { return s != Dead })
	out := append([]Member(nil), ring[:min(HeartbeatFanOut-1, len(ring))]...)
	all := t.ring(now, func(Status) bool { return true })
	if len(all) == 0 {
		return nil
	}
	other := all[round%uint64(len(all))]
	if !slices.ContainsFunc(out, func(m Member) bool { return m.ID == other.ID }) {
		out = append(out, other)
	}
	return out
}

// ring returns the accepted members of the scope in the order of their ids,
// starting after self and wrapping around.
func (t *Table) ring(now time.Time, accept func(Status) bool) []Member {
	peers := t.scopePeers(now, accept)
	first, _ := slices.BinarySearchFunc(peers, t.self.ID, func(m Member, id string) int { return cmp.Compare(m.ID, id) })
	return slices.Concat(peers[first:], peers[:first])
}

// SummarySender returns the member of zone from that sends its summary to zone
// to, out of the live ids of from. Zone pairs are spread over the members.
func SummarySender(from, to string, live []string) string {
	return first(Rendezvous("summary/"+from+"/"+to, live, 1))
}

// SummaryReceiver returns the member of zone to that receives the summary of zone
// from and relays it. Each higher attempt returns the next-ranked member.
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
