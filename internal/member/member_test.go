package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func agent(id string, incarnation uint64) Peer {
	return Peer{ID: id, Incarnation: incarnation, Zone: "a", Address: "127.0.0.1:1", Role: "agent"}
}

func statusOf(t *testing.T, table *Table, id string, now time.Time) string {
	t.Helper()
	m, ok := table.Get(id, now)
	if !ok {
		return "forgotten"
	}
	return m.Status.String()
}

func TestStatusAfterLastContact(t *testing.T) {
	table := NewTable(agent("self", 1), DefaultLimits)
	table.RecordContact(agent("p", 1), start)
	steps := []struct {
		after time.Duration
		want  string
	}{
		{time.Second, "alive"},
		{5 * time.Second, "suspect"},
		{11 * time.Second, "dead"},
	}
	for _, s := range steps {
		if got := statusOf(t, table, "p", start.Add(s.after)); got != s.want {
			t.Errorf("%v after the last contact: %s, want %s", s.after, got, s.want)
		}
	}
	back := start.Add(time.Minute)
	table.RecordContact(agent("p", 1), back)
	if got := statusOf(t, table, "p", back); got != "alive" {
		t.Errorf("peer that resumed after a pause is %s, want alive", got)
	}
	table.Tick(back.Add(11 * time.Minute))
	if got := statusOf(t, table, "p", back.Add(11*time.Minute)); got != "forgotten" {
		t.Errorf("peer without contact for 11 min is %s, want forgotten", got)
	}
}

func TestLaggingInstanceList(t *testing.T) {
	table := NewTable(agent("self", 1), DefaultLimits)
	entry := ListedInstance{ID: "p", Zone: "a", Address: "127.0.0.1:1", Role: "agent"}
	table.ApplyInstanceList([]ListedInstance{entry}, start)
	if got := statusOf(t, table, "p", start.Add(time.Hour)); got != "unheard" {
		t.Errorf("listed peer without contact is %s, want unheard", got)
	}
	table.RecordContact(agent("p", 1), start)
	table.ApplyInstanceList(nil, start)
	if got := statusOf(t, table, "p", start); got != "alive" {
		t.Errorf("contacted peer that the list lacks is %s, want alive", got)
	}
	entry.Leaving = true
	table.ApplyInstanceList([]ListedInstance{entry}, start)
	if got := statusOf(t, table, "p", start); got != "leaving" {
		t.Errorf("peer listed as leaving is %s, want leaving", got)
	}
	table.RecordContact(agent("p", 2), start)
	table.ApplyInstanceList([]ListedInstance{entry}, start)
	if got := statusOf(t, table, "p", start); got != "alive" {
		t.Errorf("new incarnation under an old list entry is %s, want alive", got)
	}
}

func drawPeer(t *rapid.T) Peer {
	return Peer{
		ID: "p", Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
		Zone: "a", Role: "agent",
		Address: rapid.SampledFrom([]string{"", "127.0.0.1:1", "127.0.0.1:2"}).Draw(t, "address"),
		Leaving: rapid.Bool().Draw(t, "leaving"),
	}
}

func TestMergePeerLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawPeer(t), drawPeer(t), drawPeer(t)
		if diff := cmp.Diff(MergePeer(a, b), MergePeer(b, a)); diff != "" {
			t.Fatalf("not commutative: %s", diff)
		}
		if diff := cmp.Diff(MergePeer(MergePeer(a, b), c), MergePeer(a, MergePeer(b, c))); diff != "" {
			t.Fatalf("not associative: %s", diff)
		}
		if diff := cmp.Diff(a, MergePeer(a, a)); diff != "" {
			t.Fatalf("not idempotent: %s", diff)
		}
	})
}

// TestTablesConverge delivers reports about a peer in different orders, with
// some repeated. The resulting descriptions must be equal.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.SliceOfN(rapid.Custom(drawPeer), 1, 8).Draw(t, "peers")
		one, two := NewTable(agent("x", 1), DefaultLimits), NewTable(agent("y", 1), DefaultLimits)
		for _, p := range peers {
			one.RecordReport(p, start)
		}
		for _, i := range rapid.Permutation(indexes(len(peers))).Draw(t, "order") {
			two.RecordReport(peers[i], start)
			two.RecordReport(peers[rapid.IntRange(0, len(peers)-1).Draw(t, "again")], start)
		}
		a, _ := one.Get("p", start)
		b, _ := two.Get("p", start)
		if diff := cmp.Diff(a.Peer, b.Peer); diff != "" {
			t.Fatalf("tables differ: %s", diff)
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestRendezvousMovesOnlyKeysOfLostMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := names("n", rapid.IntRange(3, 30).Draw(t, "members"))
		lost := rapid.SampledFrom(ids).Draw(t, "lost")
		left := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == lost })
		for _, key := range names("k", 50) {
			before, after := Rendezvous(key, ids, 2), Rendezvous(key, left, 2)
			if !slices.Contains(before, lost) && !slices.Equal(before, after) {
				t.Fatalf("key %s moved from %v to %v without losing a member", key, before, after)
			}
		}
	})
}

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%02d", prefix, i)
	}
	return out
}

func TestAssignmentIsCompleteAndEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := names("n", rapid.IntRange(1, 30).Draw(t, "members"))
		servers := names("s", rapid.IntRange(0, 200).Draw(t, "servers"))
		share := (len(servers) + len(live) - 1) / len(live)
		first, second := map[string]int{}, map[string]int{}
		for server, a := range Assign(servers, live) {
			if a.First == "" || a.First == a.Second || (a.Second == "" && len(live) > 1) {
				t.Fatalf("%s is assigned to %+v of %d members, want two different ones if possible", server, a, len(live))
			}
			first[a.First]++
			second[a.Second]++
		}
		for _, id := range live {
			// For the last servers, the only member below its share may be their
			// first observer, so second observers may exceed their share.
			if first[id] > share || second[id] > 2*share {
				t.Fatalf("%s observes %d and %d servers, the even share is %d", id, first[id], second[id], share)
			}
		}
	})
}

// TestAssignmentMovesFewServers removes a member. At most a quarter of all
// servers may change their first observer without having lost it.
func TestAssignmentMovesFewServers(t *testing.T) {
	live, servers := names("n", 23), names("s", 190)
	before, after, moved := Assign(servers, live), Assign(servers, live[1:]), 0
	for server, a := range before {
		if a.First != live[0] && a.First != after[server].First {
			moved++
		}
	}
	if limit := len(servers) / 4; moved > limit {
		t.Errorf("%d of %d servers moved without losing their first observer, want at most %d", moved, len(servers), limit)
	}
}

func TestHeartbeatFanInIsBounded(t *testing.T) {
	for _, n := range []int{1, 2, 3, 23, 60} {
		tables := make([]*Table, n)
		for i := range tables {
			tables[i] = NewTable(agent(fmt.Sprintf("n%02d", i), 1), DefaultLimits)
			for j := range n {
				tables[i].RecordContact(agent(fmt.Sprintf("n%02d", j), 1), start)
			}
		}
		receivedFrom := map[string]map[string]bool{}
		for round := range uint64(n) {
			in := map[string]int{}
			for _, table := range tables {
				for _, m := range table.HeartbeatTargets(round, start) {
					in[m.ID]++
					if receivedFrom[m.ID] == nil {
						receivedFrom[m.ID] = map[string]bool{}
					}
					receivedFrom[m.ID][table.self.ID] = true
				}
			}
			for id, got := range in {
				if got > HeartbeatFanOut {
					t.Errorf("%d members: %s receives %d heartbeats in a round, want at most %d", n, id, got, HeartbeatFanOut)
				}
			}
		}
		for id, others := range receivedFrom {
			if len(others) != n-1 {
				t.Errorf("%d members: %s got heartbeats from %d others in %d rounds, want all", n, id, len(others), n)
			}
		}
	}
}

func TestHeartbeatsReachDeadMembers(t *testing.T) {
	table := NewTable(agent("a", 1), DefaultLimits)
	for _, id := range []string{"b", "c", "d"} {
		table.RecordContact(agent(id, 1), start)
	}
	later := start.Add(time.Minute)
	table.RecordContact(agent("b", 1), later)
	targets := map[string]bool{}
	for round := range uint64(3) {
		for _, m := range table.HeartbeatTargets(round, later) {
			targets[m.ID] = true
		}
	}
	if !targets["c"] || !targets["d"] {
		t.Errorf("heartbeat targets = %v, want the dead members c and d among them", targets)
	}
}
