package configcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"kumquatyard/internal/fleet"
)

func TestDifferences(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Entries)
		want   []string
	}{
		{"nothing", func(*Entries) {}, []string{}},
		{"a newer version alone", func(e *Entries) { e.Version = 9 }, []string{}},
		{"order of routes", func(e *Entries) { e.Routes[0], e.Routes[1] = e.Routes[1], e.Routes[0] }, []string{}},
		{"case of a host", func(e *Entries) { e.Routes[0].Host = "H.Example" }, []string{}},
		{"timeout and target", func(e *Entries) { e.Routes[0].Timeout, e.Routes[0].Targets[0].Pool = 2*time.Second, "app" }, []string{`route "chat": pool from "llm (weight 1)" to "app (weight 1)"; timeout from "5s" to "2s"`}},
		{"may be repeated", func(e *Entries) { e.Routes[1].Idempotent = true }, []string{`route "pay": requests from "plain, run at most once" to "plain, may be repeated"`}},
		{"public", func(e *Entries) { e.Routes[1].Public = true }, []string{`route "pay": key from "needed" to "not needed"`}},
		{"route removed", func(e *Entries) { e.Routes = e.Routes[:1] }, []string{`route "pay" is removed: it had host h.example, prefix /chat/pay/, requests plain, run at most once, pool app (weight 9), llm (weight 1), timeout 1s, latency_target 0s, priority 0, max_attempts 1, key needed`}},
		{"pool added", func(e *Entries) { e.Pools = append(e.Pools, &fleet.Pool{Name: "new", MaxConns: 2}) }, []string{`pool "new" is new: max_conns 2, engine none, scaling none`}},
		{"pool's scaling", func(e *Entries) { e.Pools[0].Scaling.Max = 4 }, []string{`pool "llm": scaling from "1 to 3 servers a zone, start 0s, reclaimable price 0" to "1 to 4 servers a zone, start 0s, reclaimable price 0"`}},
		{"quota", func(e *Entries) { e.Workspaces[0].Quota.PerSecond = 200 }, []string{`workspace "a": rate from "100" to "200"`}},
		{"limit", func(e *Entries) { e.Limits.IdleTimeout = time.Minute }, []string{`limits: idle_timeout from "1s" to "1m0s"`}},
		{"key replaced", func(e *Entries) { e.Workspaces[0].Keys = []string{"another-key"} }, []string{`workspace "a": keys: ` + Fingerprint("another-key") + ` added; keys: ` + Fingerprint("key-of-a") + ` removed`}},
		{"entry listed again", func(e *Entries) { e.Pools = append(e.Pools, e.Pools[1]) }, []string{`pool "app" is new: max_conns 0, engine none, scaling none`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			later := soundEntries()
			tt.change(later)
			got := Differences(Describe(soundEntries()), Describe(later))
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("differences (-want +got):\n%s", diff)
			}
			if text := strings.Join(got, "\n"); strings.Contains(text, "another-key") || strings.Contains(text, "key-of-") {
				t.Errorf("a key is printed: %s", text)
			}
		})
	}
}

func TestRedact(t *testing.T) {
	secret := "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"
	if got := Redact("key is " + secret + "; use 64"); got != "key is "+Fingerprint(secret)+"; use 64" {
		t.Errorf("Redact = %q", got)
	}
}
