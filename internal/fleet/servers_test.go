package fleet

import (
	"testing"
	"time"

	"kumquatyard/internal/machine"
)

var start = time.Unix(1_700_000_000, 0)

func server(id string, born int64, state machine.Lifecycle) Server {
	return Server{Server: machine.Server{ID: machine.ID(id), Address: "10.0.0.1:80", Pool: "p"}, StartedAtMs: born, Lifecycle: state}
}

func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	r := NewRegistry()
	r.Report(server("a", 1, machine.Leaving))
	r.Report(server("a", 1, machine.Serving))
	if r.Get("a").Usable() {
		t.Error("a late report made a leaving server usable again")
	}
	r.Report(server("a", 2, machine.Serving))
	if !r.Get("a").Usable() {
		t.Error("a new incarnation under the same id is not usable")
	}
	r.Report(server("a", 1, machine.Leaving))
	if !r.Get("a").Usable() {
		t.Error("a report of an older incarnation was taken")
	}
}

func TestRemovedServerIsGone(t *testing.T) {
	r := NewRegistry()
	r.Report(server("a", 1, machine.Serving))
	r.Remove("a", time.Time{})
	if r.Get("a") != nil {
		t.Error("a server is known after its entry was removed")
	}
}

// Entries that lapse while the store is away are written again by servers that
// live: until then the servers stay in use, afterwards they are gone.
func TestLapsedEntryIsKeptForAWhile(t *testing.T) {
	r := NewRegistry()
	r.Report(server("back", 1, machine.Serving))
	r.Report(server("gone", 1, machine.Serving))
	r.Report(server("left", 1, machine.Leaving))
	until := start.Add(2 * time.Second)
	r.Resync(nil, until)
	if r.Get("left") != nil {
		t.Error("a leaving server is kept")
	}
	r.Report(server("back", 1, machine.Serving))
	if r.Expire(until.Add(-time.Millisecond)) || !r.Get("gone").Usable() {
		t.Error("a server was dropped before its time")
	}
	if !r.Expire(until) || r.Get("gone") != nil {
		t.Error("a server that did not return is known")
	}
	if s := r.Get("back"); s == nil || !s.ExpiryGraceUntil.IsZero() {
		t.Error("a server that returned is not in use")
	}
}

func TestRouteMatching(t *testing.T) {
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
		t.Errorf("picks = %v, want 900 and 100", counts)
	}
}
