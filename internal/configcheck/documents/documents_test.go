package documents

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"kumquatyard/internal/config"
	"kumquatyard/internal/configcheck"
)

const secret = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

func soundDocuments() map[string][]byte {
	return map[string][]byte{
		"zones": []byte("zones:\n  - {name: a, region: r}\n"),
		"inventory/a": []byte(`servers:
  - {id: e1, address: "10.0.0.1:80", kind: engine, pool: chat, class: l4, models: [m], price_per_hour: 2}
  - {id: s1, address: "10.0.1.1:80", kind: service, pool: app, class: small}
`),
		"rules/fleet": []byte(`contracts:
  - {name: chat, method: POST, path_prefix: /v1/chat, target: model, pool: chat, idempotent: true, priority: interactive, deadline: 60s}
  - {name: bookings, path_prefix: /bookings, target: service, pool: app, key_required: true, priority: interactive, deadline: 5s}
token_keys:
  - {id: k, secret_hex: ` + secret + `}
`),
		"rules/meetwell": []byte("name: meetwell\napi_key_sha256: [" + secret + "]\n"),
	}
}

func TestCheck(t *testing.T) {
	fleetDocument := string(soundDocuments()["rules/fleet"])
	replaced := func(old, later string) string { return strings.Replace(fleetDocument, old, later, 1) }
	tests := []struct {
		name, document, body string
		known                configcheck.Known
		want                 configcheck.Severity
		place                string
		line                 int
		text                 string
	}{
		{"unknown key", "zones", "zones: []\nregions: []\n", configcheck.Known{}, configcheck.Error, "zones", 2, "unknown field"},
		{"short secret", "rules/fleet", replaced(secret, secret[:40]), configcheck.Known{}, configcheck.Error, "rules/fleet", 5, "not a secret of at least 32 bytes"},
		{"secret that is no number", "rules/fleet", replaced(secret, secret+"xyz"), configcheck.Known{}, configcheck.Error, "rules/fleet", 5, "not a secret"},
		{"digest that is none", "rules/meetwell", "name: meetwell\napi_key_sha256: [" + secret[:40] + "]\n", configcheck.Known{}, configcheck.Error, "rules/meetwell", 2, "not a SHA-256 digest"},
		{"key of two workspaces", "rules/other", "name: other\napi_key_sha256: [" + secret + "]\n", configcheck.Known{}, configcheck.Error, "rules/other", 2, "also listed in workspace meetwell"},
		{"contract hidden by another", "rules/fleet", replaced("path_prefix: /bookings", "path_prefix: /v1/chat/x, method: POST"), configcheck.Known{}, configcheck.Warning, "rules/fleet", 3, "is never used because chat precedes it"},
		{"pool without servers", "rules/fleet", replaced("pool: app", "pool: apps"), configcheck.Known{}, configcheck.Warning, "rules/fleet", 3, "has no service server"},
		{"pool drained", "overrides/s1", "drain: true\n", configcheck.Known{}, configcheck.Warning, "rules/fleet", 3, "every server of pool app is drained"},
		{"deadline below target", "rules/fleet", replaced("deadline: 60s", "deadline: 900ms"), configcheck.Known{}, configcheck.Warning, "rules/fleet", 2, "is below target_first_token (1s)"},
		{"grace", "rules/fleet", fleetDocument, configcheck.Known{Grace: 59 * time.Second}, configcheck.Warning, "rules/fleet", 2, "killed 59s after the stop signal"},
		{"body limit", "rules/fleet", replaced("deadline: 5s", "deadline: 5s, max_body_bytes: 4096"), configcheck.Known{BodyBytes: 5000}, configcheck.Warning, "rules/fleet", 3, "max_body_bytes is 4096"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			docs := soundDocuments()
			docs[tt.document] = []byte(tt.body)
			got := Check(docs, nil, tt.known).Findings
			if len(got) != 1 {
				t.Fatalf("%d findings, want 1: %+v", len(got), got)
			}
			f := got[0]
			if f.Severity != tt.want || f.File != tt.place || f.Line != tt.line || !strings.Contains(f.Problem, tt.text) || f.Fix == "" {
				t.Errorf("finding = %+v, want %s at %s:%d with %q and a fix", f, tt.want, tt.place, tt.line, tt.text)
			}
			if text := f.Entry + f.Problem + f.Fix; strings.Contains(text, secret[:24]) {
				t.Errorf("a secret is printed: %s", text)
			}
		})
	}
}

// Without any inventory, as in a directory whose servers are imported, nothing is wrong with pools.
func TestWithoutInventory(t *testing.T) {
	docs := soundDocuments()
	delete(docs, "inventory/a")
	report := Check(docs, nil, configcheck.Known{})
	if report.Status() != configcheck.StatusClean || len(report.Findings) != 2 {
		t.Errorf("report = %+v, want two notes", report)
	}
}

func TestChanges(t *testing.T) {
	docs := soundDocuments()
	docs["overrides/e1"] = []byte("drain: true\nprice_per_hour: 3\n")
	docs["rules/fleet"] = []byte(strings.Replace(string(docs["rules/fleet"]), "deadline: 5s", "deadline: 6s", 1))
	delete(docs, "rules/meetwell")
	want := []string{
		`contract "bookings": deadline from "5s" to "6s"`,
		`server "e1": price_per_hour from "2" to "3"`,
		"drained: servers and instances: e1 added",
		`workspace "meetwell" is removed: it had api_key_sha256 ` + configcheck.Fingerprint(secret) + ", weight 1, max_in_flight 256, retry_ratio 0.1",
	}
	if diff := cmp.Diff(want, Check(docs, soundDocuments(), configcheck.Known{}).Changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	docs["zones"] = []byte("zones: {")
	report := Check(soundDocuments(), docs, configcheck.Known{})
	if report.Status() != configcheck.StatusErrors || len(report.Changes) != 0 {
		t.Errorf("against a version that cannot be read: %+v, want an error", report)
	}
}

func TestCheckAlone(t *testing.T) {
	if got := CheckAlone("zones", []byte("zones: []\n")); got.Status() != configcheck.StatusClean || len(got.Findings) != 1 {
		t.Errorf("sound document: %+v, want one note", got)
	}
	if got := CheckAlone("zones", []byte("zone: []\n")); got.Status() != configcheck.StatusErrors {
		t.Errorf("document with an unknown key: %+v, want an error", got)
	}
}

// What the check accepts the processes accept, and the other way round.
func FuzzCheckAgreesWithLoader(f *testing.F) {
	for name, body := range soundDocuments() {
		f.Add(name, body)
	}
	f.Add("overrides/s1", []byte("drain: true\n"))
	f.Add("zones", []byte("zones: {"))
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		docs := maps.Clone(soundDocuments())
		docs[name] = body
		_, err := config.Build(1, docs)
		report := Check(docs, soundDocuments(), configcheck.Known{Grace: time.Second, BodyBytes: 1})
		if accepted := report.Status() < configcheck.StatusErrors; accepted != (err == nil) {
			t.Errorf("document %q %q: accepted by the check: %v, error of the loader: %v", name, body, accepted, err)
		}
	})
}
