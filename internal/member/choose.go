package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Numbers of members that share a job.
const (
	// WatchersPerZone hold a watch on the key-value service.
	WatchersPerZone = 2
	// HeartbeatFanOut is the number of peers that a member sends heartbeats to,
	// and so the number that it receives them from.
	HeartbeatFanOut = 2
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

// Assignment names the observers of a server: First reports its load, Second
// takes over when First falls silent. Second is empty with one live member.
type Assignment struct{ First, Second string }

// Assign returns who observes each server, out of the live ids: rendezvous
// hashing with bounded loads, so that no member observes more than its even
// share of either kind. Members with the same view compute the same result.
func Assign(servers, live []string) map[string]Assignment {
	share := (len(servers) + max(1, len(live)) - 1) / max(1, len(live))
	first, second := make(map[string]int, len(live)), make(map[string]int, len(live))
	out := make(map[string]Assignment, len(servers))
	for _, server := range slices.Sorted(slices.Values(servers)) {
		ranked := Rendezvous("observe/"+server, live, len(live))
		var a Assignment
		a.First = take(ranked, "", first, share)
		a.Second = take(ranked, a.First, second, share)
		out[server] = a
	}
	return out
}

// take returns the first of ranked with room below share, other than except.
func take(ranked []string, except string, taken map[string]int, share int) string {
	last := ""
	for _, id := range ranked {
		if id == except {
			continue
		}
		last = id
		if taken[id] < share {
			break
		}
	}
	if last != "" {
		taken[last]++
	}
	return last
}

// Watchers returns who watches the key-value service for zone.
func Watchers(zone string, live []string) []string {
	return Rendezvous("watch/"+zone, live, WatchersPerZone)
}

// DutyCandidates returns the members that try for a duty, the preferred one first.
func DutyCandidates(duty string, live []string, n int) []string {
	return Rendezvous("duty/"+duty, live, n)
}

// Live returns the ids of the live members of a zone with self's role, self
// included unless it leaves, ordered.
func (t *Table) Live(zone string, now time.Time) []string {
	return t.live(func(z string) bool { return z == zone }, now)
}

// LiveInScope is Live for all zones in scope.
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

// ScopePeers returns the members of self's scope and role that messages are
// sent to: all but dead ones.
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

// HeartbeatTargets returns the members that self sends heartbeats to: the next
// HeartbeatFanOut-1 live ones in the ring of the scope's ids, and one of all
// members, dead ones included, in turn. Fan-in is bounded as fan-out is, and
// each pair meets again after a cut.
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

// ring returns the accepted members of the scope, ordered from self's id on.
func (t *Table) ring(now time.Time, accept func(Status) bool) []Member {
	peers := t.scopePeers(now, accept)
	first, _ := slices.BinarySearchFunc(peers, t.self.ID, func(m Member, id string) int { return cmp.Compare(m.ID, id) })
	return slices.Concat(peers[first:], peers[:first])
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
