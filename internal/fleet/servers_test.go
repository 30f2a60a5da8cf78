package fleet

import (
	"testing"
	"time"

	"kumquatyard/internal/machine"
)

var start = time.Unix(1_700_000_000, 0)

func server(id string, startedAtMs int64, state machine.Lifecycle) Server {
	return Server{Server: machine.Server{ID: machine.ID(id), Address: "10.0.0.1:80", Pool: "p"}, StartedAtMs: startedAtMs, Lifecycle: state}
}

func TestLeavingServerStaysLeavingUntilItRestarts(t *testing.T) {
	r := NewRegistry()
	r.Report(server("a", 1, machine.Leaving))
	r.Report(server("a", 1, machine.Serving))
	if r.Get("a").Usable() {
		t.Error("a reordered report made a leaving server usable again")
	}
	r.Report(server("a", 2, machine.Serving))
	if !r.Get("a").Usable() {
		t.Error("a new incarnation with the same id is not usable")
	}
	r.Report(server("a", 1, machine.Leaving))
	if !r.Get("a").Usable() {
		t.Error("a report of an older incarnation replaced that of the current one")
	}
}

func TestRemovedServerIsDropped(t *testing.T) {
	r := NewRegistry()
	r.Report(server("a", 1, machine.Serving))
	r.Remove("a", time.Time{})
	if r.Get("a") != nil {
		t.Error("the server is still known after its entry was removed")
	}
}

// When leases expire while the store is unavailable, live servers write their entries
// again. The servers stay in use for a grace period; those that did not return are then
// dropped.
func TestServerWithExpiredLeaseIsKeptForTheGracePeriod(t *testing.T) {
	r := NewRegistry()
	r.Report(server("back", 1, machine.Serving))
	r.Report(server("gone", 1, machine.Serving))
	r.Report(server("left", 1, machine.Leaving))
	until := start.Add(2 * time.Second)
	r.Resync(nil, nil, until)
	if r.Get("left") != nil {
		t.Error("a leaving server without an entry is kept")
	}
	r.Report(server("back", 1, machine.Serving))
	if r.Expire(until.Add(-time.Millisecond)) || !r.Get("gone").Usable() {
		t.Error("a server was dropped before the end of its grace period")
	}
	if !r.Expire(until) || r.Get("gone") != nil {
		t.Error("a server that did not return is known after its grace period")
	}
	if s := r.Get("back"); s == nil || !s.ExpiryGraceUntil.IsZero() {
		t.Error("a server that returned was dropped or still has a grace period")
	}
}

// A store that is restored from an older copy lists servers that have left since, and
// earlier reports of those that are leaving.
func TestRestoredStoreDoesNotBringServersBack(t *testing.T) {
	report := func(id string, sequence uint64, state machine.Lifecycle) Server {
		s := server(id, 1, state)
		s.Sequence = sequence
		return s
	}
	r := NewRegistry()
	copied := []Server{report("left", 3, machine.Serving), report("unannounced", 3, machine.Serving), report("leaving", 3, machine.Serving), report("answered", 3, machine.Serving)}
	r.Resync(copied, nil, time.Time{})
	r.Report(report("left", 4, machine.Leaving))
	r.Remove("left", time.Time{})
	r.Remove("unannounced", time.Time{})
	r.Report(report("leaving", 4, machine.Leaving))
	if !r.MarkLeaving(r.Get("answered")) {
		t.Error("a server that said that it leaves was not marked")
	}
	r.Resync(copied, nil, start.Add(2*time.Second))
	for _, id := range []machine.ID{"left", "unannounced"} {
		if r.Get(id) != nil {
			t.Errorf("the restored entry of %s brought the server back", id)
		}
	}
	for _, id := range []machine.ID{"leaving", "answered"} {
		if r.Get(id).Usable() {
			t.Errorf("the restored entry of %s made the server usable again", id)
		}
	}
	r.Report(report("unannounced", 4, machine.Serving))
	if s := r.Get("unannounced"); s == nil || !s.Usable() {
		t.Error("a server that wrote a new entry after its removal is not usable")
	}
	r.Report(report("left", 5, machine.Serving))
	if s := r.Get("left"); s != nil && s.Usable() {
		t.Error("a server that had left became usable in the same incarnation")
	}
	r.Report(server("left", 2, machine.Serving))
	if s := r.Get("left"); s == nil || !s.Usable() {
		t.Error("a new incarnation of a server that had left is not usable")
	}
}

// A server whose entry a restored store has lost is kept for the grace period. When it
// writes the same entry again later, it is used again.
func TestLostEntryMayReturnAfterTheGracePeriod(t *testing.T) {
	r := NewRegistry()
	r.Report(server("a", 1, machine.Serving))
	r.Resync(nil, nil, start)
	r.Expire(start)
	if r.Get("a") != nil {
		t.Fatal("the server is known after its grace period")
	}
	r.Report(server("a", 1, machine.Serving))
	if s := r.Get("a"); s == nil || !s.Usable() {
		t.Error("a server that wrote its entry again is not usable")
	}
}

func TestMatchReturnsTheRouteWithTheLongestPrefix(t *testing.T) {
	long := &Route{Name: "long", Host: "h.example", Prefix: "/a/b/"}
	short := &Route{Name: "short", Host: "h.example", Prefix: "/a/"}
	c := NewConfig(1, []*Route{short, long}, nil, nil, Limits{})
	tests := []struct {
		host, path string
		want       *Route
	}{
		{"h.example", "/a/b/c", long},
		{"H.example:8360", "/a/c", short},
		{"h.example", "/a", nil},
		{"other.example", "/a/b/c", nil},
	}
	for _, tt := range tests {
		if got := c.Match(tt.host, tt.path); got != tt.want {
			t.Errorf("Match(%q, %q) = %v, want %v", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestPickPoolFollowsTheWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for draw := range uint64(1000) {
		counts[r.PickPool(draw)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("picks = %v, want 900 of a and 100 of b", counts)
	}
}
