package configcheck

import (
	"strings"
	"testing"
	"time"

	"kumquatyard/internal/fleet"
)

// soundEntries returns entries in which nothing is wrong.
func soundEntries() *Entries {
	return &Entries{Entries: fleet.Entries{
		Version: 3,
		Routes: []*fleet.Route{
			{Name: "chat", Host: "h.example", Prefix: "/chat/", Stream: true, Resumable: true, Timeout: 5 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2, Targets: []fleet.Target{{Pool: "llm", Weight: 1}}},
			{Name: "pay", Host: "h.example", Prefix: "/chat/pay/", Timeout: time.Second, MaxAttempts: 1, Targets: []fleet.Target{{Pool: "app", Weight: 9}, {Pool: "llm", Weight: 1}}},
		},
		Pools: []*fleet.Pool{
			{Name: "llm", MaxConns: 9, Engine: &fleet.Engine{Slots: 4, KVCacheTokens: 100}, Scaling: &fleet.Scaling{Min: 1, Max: 3}},
			{Name: "app"},
		},
		Workspaces: []*fleet.Workspace{
			{Name: "a", Keys: []string{"key-of-a"}, Quota: fleet.Quota{PerSecond: 100, Burst: 50, InTokens: true, PlainTokens: 10}},
			{Name: "b", Keys: []string{"key-of-b"}, Priority: 9, HasPriority: true, Quota: fleet.Quota{PerSecond: 5, Burst: 1}},
			{Name: "c", Keys: []string{"key-of-c"}},
		},
		Limits: fleet.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}}
}

// soundKnown holds statements that soundEntries satisfies, each just so.
var soundKnown = Known{RequestsPerSecond: 5, TokensPerSecond: 100, Grace: 5 * time.Second, BodyBytes: 1000}

func TestSoundEntriesHaveNoFindings(t *testing.T) {
	if got := Check(soundEntries(), soundKnown); len(got) != 0 {
		t.Errorf("findings = %+v, want none", got)
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Entries, *Known)
		want   Severity
		entry  string
		text   string
	}{
		{"no routes", func(e *Entries, _ *Known) { e.Routes, e.Pools = nil, nil }, Warning, "routes", "every request gets 404"},
		{"no host", func(e *Entries, _ *Known) { e.Routes[0].Host = "" }, Warning, `route "chat"`, "has no host"},
		{"host with a port", func(e *Entries, _ *Known) { e.Routes[0].Host = "h.example:80" }, Warning, `route "chat"`, "never matches"},
		{"host with a scheme", func(e *Entries, _ *Known) { e.Routes[0].Host = "http://h" }, Warning, `route "chat"`, "never matches"},
		{"host of another case", func(e *Entries, _ *Known) { e.Routes[1].Host = "H.example" }, Warning, `route "pay"`, "by case only"},
		{"no prefix", func(e *Entries, _ *Known) { e.Routes[0].Prefix = "" }, Warning, `route "chat"`, "matches every path"},
		{"prefix without first slash", func(e *Entries, _ *Known) { e.Routes[0].Prefix = "chat/" }, Warning, `route "chat"`, "never matches"},
		{"prefix without last slash", func(e *Entries, _ *Known) { e.Routes[0].Prefix = "/chat" }, Warning, `route "chat"`, "go on with other letters"},
		{"hidden prefix", func(e *Entries, _ *Known) { e.Routes[1].Prefix = "/chat/" }, Warning, `route "pay"`, `never matches: route "chat" has the same host`},
		{"hidden prefix, host of another case", func(e *Entries, _ *Known) { e.Routes[1].Prefix, e.Routes[1].Host = "/chat/", "H.EXAMPLE" }, Warning, `route "pay"`, "never matches"},
		{"route twice", func(e *Entries, _ *Known) { e.Routes[1].Name = "chat" }, Warning, `route "chat"`, "listed twice"},
		{"pool that is not listed", func(e *Entries, _ *Known) { e.Routes[0].Targets[0].Pool = "lmm" }, Error, `route "chat"`, `leads to pool "lmm", which is not listed`},
		{"no weight", func(e *Entries, _ *Known) { e.Routes[0].Targets[0].Weight = 0 }, Error, `route "chat"`, "have no weight"},
		{"no targets", func(e *Entries, _ *Known) { e.Routes[0].Targets = nil }, Error, `route "chat"`, "have no weight"},
		{"negative weight", func(e *Entries, _ *Known) { e.Routes[1].Targets[1].Weight = -1 }, Error, `route "pay"`, "weight -1"},
		{"target without weight", func(e *Entries, _ *Known) { e.Routes[1].Targets[1].Weight = 0 }, Note, `route "pay"`, "gets no requests"},
		{"target twice", func(e *Entries, _ *Known) { e.Routes[1].Targets[1].Pool = "app" }, Warning, `route "pay"`, "twice"},
		{"pool without servers", func(e *Entries, _ *Known) { e.Pools[1].Scaling = &fleet.Scaling{} }, Warning, `route "pay"`, "no server may be ordered"},
		{"pool twice", func(e *Entries, _ *Known) { e.Pools = append(e.Pools, &fleet.Pool{Name: "app"}) }, Error, `pool "app"`, "listed twice"},
		{"pool without route", func(e *Entries, _ *Known) { e.Pools = append(e.Pools, &fleet.Pool{Name: "old"}) }, Note, `pool "old"`, "no route leads to it"},
		{"engine without slots", func(e *Entries, _ *Known) { e.Pools[0].Engine.Slots = 0 }, Warning, `pool "llm"`, "no room"},
		{"engine without memory", func(e *Entries, _ *Known) { e.Pools[0].Engine.KVCacheTokens = 0 }, Warning, `pool "llm"`, "no room"},
		{"bounds of servers", func(e *Entries, _ *Known) { e.Pools[0].Scaling.Min = 4 }, Error, `pool "llm"`, "no number of servers"},
		{"negative connections", func(e *Entries, _ *Known) { e.Pools[0].MaxConns = -1 }, Error, `pool "llm"`, "max_conns is -1"},
		{"timeout below target", func(e *Entries, _ *Known) { e.Routes[0].Timeout = 999 * time.Millisecond }, Warning, `route "chat"`, "is below latency_target (1s)"},
		{"negative timeout", func(e *Entries, _ *Known) { e.Routes[0].Timeout = -1 }, Error, `route "chat"`, "timeout is negative"},
		{"negative target", func(e *Entries, _ *Known) { e.Routes[0].LatencyTarget = -1 }, Error, `route "chat"`, "latency_target is negative"},
		{"negative attempts", func(e *Entries, _ *Known) { e.Routes[0].MaxAttempts = -1 }, Error, `route "chat"`, "max_attempts is -1"},
		{"attempts of a route that may not repeat", func(e *Entries, _ *Known) { e.Routes[1].MaxAttempts = 2 }, Note, `route "pay"`, "may not run twice"},
		{"priority of a route", func(e *Entries, _ *Known) { e.Routes[0].Priority = 10 }, Warning, `route "chat"`, "servers know 0 to 9"},
		{"priority of a workspace", func(e *Entries, _ *Known) { e.Workspaces[1].Priority = -1 }, Warning, `workspace "b"`, "servers know 0 to 9"},
		{"workspace twice", func(e *Entries, _ *Known) { e.Workspaces[1].Name = "a" }, Error, `workspace "a"`, "listed twice"},
		{"no key", func(e *Entries, _ *Known) { e.Workspaces[0].Keys = nil }, Warning, `workspace "a"`, "has no key"},
		{"empty key", func(e *Entries, _ *Known) { e.Workspaces[0].Keys = []string{""} }, Error, `workspace "a"`, "empty key"},
		{"key twice in a workspace", func(e *Entries, _ *Known) { e.Workspaces[0].Keys = []string{"k", "k"} }, Warning, `workspace "a"`, "twice"},
		{"key of two workspaces", func(e *Entries, _ *Known) { e.Workspaces[1].Keys = []string{"key-of-a"} }, Error, `workspace "b"`, `also listed in workspace "a"`},
		{"negative quota", func(e *Entries, _ *Known) { e.Workspaces[0].Quota.PerSecond = -1 }, Error, `workspace "a"`, "quota is negative"},
		{"burst without rate", func(e *Entries, _ *Known) { e.Workspaces[0].Quota.PerSecond = 0 }, Warning, `workspace "a"`, "no effect"},
		{"burst below a plain request", func(e *Entries, _ *Known) { e.Workspaces[0].Quota.Burst = 9 }, Warning, `workspace "a"`, "less than the cost of one request (10)"},
		{"burst below one request", func(e *Entries, _ *Known) { e.Workspaces[1].Quota.Burst = 0.5 }, Warning, `workspace "b"`, "less than the cost of one request (1)"},
		{"tokens beyond the servers'", func(_ *Entries, k *Known) { k.TokensPerSecond = 99 }, Warning, `workspace "a"`, "more than all servers give together (99)"},
		{"requests beyond the servers'", func(_ *Entries, k *Known) { k.RequestsPerSecond = 4 }, Warning, `workspace "b"`, "more than all servers give together (4)"},
		{"idle timeout", func(e *Entries, _ *Known) { e.Limits.IdleTimeout = time.Millisecond }, Warning, "limits", "is below header_timeout (1s)"},
		{"negative limit", func(e *Entries, _ *Known) { e.Limits.MaxBodyBytes = -1 }, Error, "limits", "negative"},
		{"body limit", func(_ *Entries, k *Known) { k.BodyBytes = 1001 }, Warning, "limits", "get 413"},
		{"grace", func(_ *Entries, k *Known) { k.Grace = 4 * time.Second }, Warning, `route "chat"`, "killed 4s after the stop signal"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, known := soundEntries(), soundKnown
			tt.change(e, &known)
			got := Check(e, known)
			if len(got) != 1 {
				t.Fatalf("%d findings, want 1: %+v", len(got), got)
			}
			f := got[0]
			if f.Severity != tt.want || f.Entry != tt.entry || !strings.Contains(f.Problem, tt.text) || f.Fix == "" {
				t.Errorf("finding = %+v, want %s at %s with %q and a fix", f, tt.want, tt.entry, tt.text)
			}
		})
	}
}

// What is not known is not judged.
func TestUnknownIsNotJudged(t *testing.T) {
	e := soundEntries()
	e.Limits = fleet.Limits{}
	if got := Check(e, Known{}); len(got) != 0 {
		t.Errorf("findings = %+v, want none", got)
	}
}

// A finding is at the line of its key, else at that of its entry, under the form's names.
func TestFindingIsAtItsKey(t *testing.T) {
	lines := map[string]int{"routes[0]": 2, "routes[0].timeout_ms": 3, "services[1]": 9}
	e := soundEntries()
	e.Names = map[Name]string{Pools: "services", Pool: "service", Timeout: "timeout_ms"}
	e.Line = func(path string) int { return lines[path] }
	e.Routes[0].Timeout, e.Routes[0].Host = time.Millisecond, ""
	e.Pools[1].MaxConns = -1
	want := map[string]int{"timeout_ms (1ms) is below": 3, "has no host": 2, "max_conns is -1": 9}
	for _, f := range Check(e, Known{}) {
		for text, line := range want {
			if strings.Contains(f.Problem, text) {
				delete(want, text)
				if f.Line != line {
					t.Errorf("%q is at line %d, want %d", f.Problem, f.Line, line)
				}
			}
		}
	}
	if len(want) != 0 {
		t.Errorf("not found: %v", want)
	}
}

func TestStatus(t *testing.T) {
	tests := map[string]struct {
		severities []Severity
		want       int
	}{
		"nothing": {nil, 0}, "a note": {[]Severity{Note}, 0}, "a warning": {[]Severity{Note, Warning}, 1}, "an error": {[]Severity{Warning, Error, Note}, 2},
	}
	for name, tt := range tests {
		var r Report
		for _, s := range tt.severities {
			r.Findings = append(r.Findings, Finding{Severity: s})
		}
		if got := r.Status(); got != tt.want {
			t.Errorf("%s: status %d, want %d", name, got, tt.want)
		}
		r.Sort()
		if len(r.Findings) > 1 && r.Findings[0].Severity == Note {
			t.Errorf("%s: a note is first", name)
		}
	}
}
