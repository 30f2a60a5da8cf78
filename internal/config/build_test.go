package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
)

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func exampleDocuments() map[string][]byte {
	return map[string][]byte{
		"zones": []byte("zones:\n  - {name: a, region: r}\n  - {name: b, region: r}\n"),
		"inventory/a": []byte(`servers:
  - {id: e1, address: "10.0.0.1:80", kind: engine, pool: chat, class: l4, models: [m], reclaimable: true, price_per_hour: 2}
  - {id: e2, address: "10.0.0.2:80", kind: engine, pool: chat, class: l4, models: [m], reclaimable: true}
`),
		"inventory/b": []byte("servers:\n  - {id: s1, address: \"10.0.1.1:80\", kind: service, pool: app, class: small}\n"),
		"rules/fleet": []byte(`contracts:
  - {name: chat, method: POST, path_prefix: /v1/chat, target: model, pool: chat, idempotent: true, priority: interactive, deadline: 60s}
  - {name: bookings, path_prefix: /bookings, target: service, pool: app, key_required: true, priority: interactive, deadline: 5s}
`),
		"rules/meetwell": []byte("name: meetwell\napi_key_sha256: [" + digestOf("secret") + "]\n"),
	}
}

func TestBuildErrorNamesTheFix(t *testing.T) {
	tests := []struct {
		name, document, body, want string
	}{
		{"unknown key", "zones", "zones: []\nregions: []\n", "zones:2: regions: unknown field"},
		{"host name as address", "inventory/b", "servers:\n  - {id: s1, address: \"host:80\", kind: service, pool: app, class: c}\n", "servers[0].address: is \"host:80\"; use IP:port"},
		{"zone that is not listed", "inventory/c", "servers:\n  - {id: s9, address: \"10.0.9.1:80\", kind: service, pool: app, class: c}\n", "in zone \"c\", which document zones does not list"},
		{"id twice", "inventory/b", "servers:\n  - {id: e1, address: \"10.0.1.1:80\", kind: service, pool: app, class: c}\n", "inventory/b:2: servers[0].id: is \"e1\", which is already used in zone a"},
		{"address twice", "inventory/b", "servers:\n  - {id: s1, address: \"10.0.0.1:80\", kind: service, pool: app, class: c}\n", "which is also the address of e1"},
		{"negative price", "inventory/b", "servers:\n  - {id: s1, address: \"10.0.1.1:80\", kind: service, pool: app, class: c, price_per_hour: -1}\n", "price_per_hour: is -1; use at least 0"},
		{"neither idempotent nor keyed", "rules/fleet", "contracts:\n  - {name: c, path_prefix: /c, target: service, pool: app, priority: interactive, deadline: 1s}\n", "set key_required: true"},
		{"key of another workspace", "rules/other", "name: other\napi_key_sha256: [" + digestOf("secret") + "]\n", "is also listed in workspace meetwell"},
		{"key that is no digest", "rules/other", "name: other\napi_key_sha256: [abc]\n", "api_key_sha256[0]"},
		{"name of another workspace", "rules/other", "name: meetwell\napi_key_sha256: [" + digestOf("x") + "]\n", "the document's name says \"other\""},
		{"document name", "notes/x", "a: 1", "starts with none of"},
		{"override below 0", "overrides/e1", "price_per_hour: -3", "use at least 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			docs := exampleDocuments()
			docs[tt.document] = []byte(tt.body)
			_, err := Build(1, docs)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("Build error = %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

func TestOverridesSurviveInventoryImport(t *testing.T) {
	docs := exampleDocuments()
	docs["overrides/a"] = []byte("drain: true\nreclaimable: false\n")
	docs["overrides/e2"] = []byte("drain: false\nprice_per_hour: 7\n")
	docs["overrides/gateway-3"] = []byte("drain: true\n")
	docs["inventory/a"] = []byte(strings.ReplaceAll(string(docs["inventory/a"]), "l4", "h100"))
	c, err := Build(4, docs)
	if err != nil {
		t.Fatal(err)
	}
	want := map[machine.ID]bool{"e1": true, "gateway-3": true}
	if diff := cmp.Diff(want, c.Drained); diff != "" {
		t.Errorf("drained servers (-want +got):\n%s", diff)
	}
	e2 := c.Servers["e2"]
	if e2.Reclaimable || e2.PricePerHour != 7 || e2.Class != "h100" {
		t.Errorf("server e2 = %+v, want reclaimable and price from the overrides and class h100 from the import", e2)
	}
}

func TestBuildWarnings(t *testing.T) {
	docs := exampleDocuments()
	delete(docs, "inventory/b")
	const chat = ", method: POST, path_prefix: /v1/chat/completions, target: model, pool: chat, idempotent: true, deadline: 60s, priority: "
	docs["rules/fleet"] = append(docs["rules/fleet"], "  - {name: late"+chat+"interactive}\n"+
		"  - {name: guides"+chat+"deferrable}\n  - {name: more"+chat+"deferrable}\n"...)
	c, err := Build(1, docs)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"rules/fleet: contract bookings: pool app has no service server in the inventory; its requests are refused",
		"rules/fleet: contract late: is never used because chat precedes it and matches the same requests; put it first",
		"rules/fleet: contract more: is never used because guides precedes it and matches the same requests; put it first",
	}
	if diff := cmp.Diff(want, c.Warnings); diff != "" {
		t.Errorf("warnings (-want +got):\n%s", diff)
	}
}

func TestMatch(t *testing.T) {
	c, err := Build(1, exampleDocuments())
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ method, path, want string }{
		{"POST", "/v1/chat/completions", "chat"},
		{"GET", "/v1/chat/completions", ""},
		{"PUT", "/bookings", "bookings"},
		{"PUT", "/bookings/", "bookings"},
		{"PUT", "/bookings/7", "bookings"},
		{"PUT", "/bookingsarchive", ""},
		{"PUT", "/v1/../bookings", ""},
		{"PUT", "//bookings", ""},
		{"PUT", "/book%69ngs", "bookings"},
		{"POST", "/v1/chat/%2e%2e/%2e%2e/bookings", ""},
		{"POST", "/v1/chat/..%2F..%2Fbookings", ""},
		{"POST", "/v1/chat/..;/..;/bookings", ""},
		{"POST", "/v1/chat/..%5C..%5Cbookings", ""},
		{"POST", "/v1/chat/%252e%252e/bookings", ""},
		{"POST", "/v1/chat/%zz", ""},
	}
	for _, tt := range tests {
		got, ok := c.Match(tt.method, tt.path)
		if got.Name != tt.want || ok != (tt.want != "") {
			t.Errorf("Match(%s, %s) = %q, want %q", tt.method, tt.path, got.Name, tt.want)
		}
	}
}

func TestMatchDeferrable(t *testing.T) {
	chat := contract.Contract{Name: "chat", Method: "POST", PathPrefix: "/v1/chat", Priority: contract.Interactive}
	guides := contract.Contract{Name: "guides", Method: "POST", PathPrefix: "/v1/chat", Priority: contract.Deferrable}
	tests := []struct {
		name      string
		contracts []contract.Contract
		want      string
	}{
		{"own contract", []contract.Contract{chat, guides}, "guides"},
		{"lowered", []contract.Contract{chat}, "chat"},
		{"none", nil, ""},
	}
	for _, tt := range tests {
		c := &Config{Contracts: tt.contracts}
		got, ok := c.MatchDeferrable("POST", "/v1/chat/completions")
		if got.Name != tt.want || ok != (tt.want != "") || got.Priority != contract.Deferrable {
			t.Errorf("%s: MatchDeferrable = %q, %v, want %q", tt.name, got.Name, got.Priority, tt.want)
		}
		if got, _ := c.Match("POST", "/v1/chat/completions"); len(tt.contracts) > 0 && got.Name != "chat" {
			t.Errorf("%s: Match = %q, want chat", tt.name, got.Name)
		}
	}
}

func TestAuthenticate(t *testing.T) {
	c, err := Build(1, exampleDocuments())
	if err != nil {
		t.Fatal(err)
	}
	if w, ok := c.Authenticate("secret"); !ok || w.Name != "meetwell" || w.Weight != 1 {
		t.Errorf("Authenticate of a listed key = %+v, %v, want workspace meetwell with weight 1", w, ok)
	}
	for _, key := range []string{"", "Secret", digestOf("secret")} {
		if _, ok := c.Authenticate(key); ok {
			t.Errorf("Authenticate(%q) succeeded, want failure", key)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"zones", "rules/fleet", "inventory/a", "overrides/e1", "rules/meetwell"} {
		f.Add(name, exampleDocuments()[name])
	}
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		docs := maps.Clone(exampleDocuments())
		docs[name] = body
		if c, err := Build(1, docs); err == nil && c == nil {
			t.Fatal("Build returned neither a configuration nor an error")
		}
	})
}
