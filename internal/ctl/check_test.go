package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"kumquatyard/internal/configcheck"
	"kumquatyard/platform"
)

// check runs check and returns its exit code and report.
func (c *cli) check(args ...string) (int, checkReport) {
	c.t.Helper()
	code, stdout, stderr := c.run(append([]string{"check"}, args...)...)
	var r checkReport
	if err := json.Unmarshal([]byte(stdout), &r); stdout != "" && err != nil {
		c.t.Fatalf("check %v: output is not valid JSON: %v in %q", args, err, stdout)
	}
	if stdout == "" && stderr == "" {
		c.t.Errorf("check %v says nothing", args)
	}
	return code, r
}

func (c *cli) write(path, text string) {
	c.t.Helper()
	path = filepath.Join(c.dir, path)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

const checkedFleet = `contracts:
  - {name: chat, path_prefix: /v1, target: model, pool: chat, idempotent: true, priority: interactive, deadline: 60s}
`

func TestCheckDocuments(t *testing.T) {
	c := newCLI(t)
	c.write("new/zones.yaml", "zones:\n  - {name: a, region: r}\n")
	c.write("new/rules/fleet.yaml", checkedFleet)
	c.write("warned/rules/fleet.yaml", checkedFleet+strings.ReplaceAll(strings.TrimPrefix(checkedFleet, "contracts:\n"), "chat", "late"))
	c.write("wrong/rules/fleet.yaml", "contract: []\n")
	c.write("empty/README", "")
	path := func(name string) string { return filepath.Join(c.dir, name) }
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"sound directory", []string{path("new")}, configcheck.StatusClean},
		{"contract that is hidden", []string{path("warned")}, configcheck.StatusWarnings},
		{"unknown key", []string{path("wrong")}, configcheck.StatusErrors},
		{"sound document", []string{path("new/rules/fleet.yaml")}, configcheck.StatusClean},
		{"wrong document", []string{path("wrong/rules/fleet.yaml")}, configcheck.StatusErrors},
		{"no such file", []string{path("none")}, configcheck.StatusErrors},
		{"no documents", []string{path("empty")}, configcheck.StatusErrors},
		{"no such version in force", []string{path("new"), "--against", path("none")}, configcheck.StatusErrors},
		{"unknown form", []string{path("new"), "--form", "other"}, configcheck.StatusErrors},
		{"grace", []string{path("new"), "--grace", "30s"}, configcheck.StatusWarnings},
		{"body", []string{path("new"), "--body-bytes", "2000000"}, configcheck.StatusWarnings},
	}
	for _, tt := range tests {
		if got, r := c.check(tt.args...); got != tt.want || r.Status != r.Report.Status() {
			t.Errorf("%s: exit code %d, want %d; report %+v", tt.name, got, tt.want, r)
		}
	}
}

func TestCheckAgainstDirectoryAndStore(t *testing.T) {
	c := newCLI(t)
	c.write("old/zones.yaml", "zones:\n  - {name: a, region: r}\n")
	c.write("old/rules/fleet.yaml", checkedFleet)
	c.write("old/inventory.csv", "id,zone,address,machine_class,pool,kind,models,price_per_hour,market\ne1,a,10.0.0.1:80,l4,chat,engine,m,1,on_demand\n")
	c.write("new/zones.yaml", "zones:\n  - {name: a, region: r}\n")
	c.write("new/rules/fleet.yaml", strings.Replace(checkedFleet, "60s", "50s", 1))
	want := `contract "chat": deadline from "1m0s" to "50s"`
	c.mustRun("rules", "load", filepath.Join(c.dir, "old"))
	c.mustRun("import", filepath.Join(c.dir, "old", "inventory.csv"))
	for _, args := range [][]string{
		{filepath.Join(c.dir, "new"), "--against", filepath.Join(c.dir, "old")},
		{filepath.Join(c.dir, "new"), "--against", "store"},
		{filepath.Join(c.dir, "new", "rules", "fleet.yaml"), "--against", "store"},
	} {
		code, r := c.check(args...)
		if code != configcheck.StatusClean || len(r.Findings) != 0 || len(r.Changes) != 1 || r.Changes[0] != want {
			t.Errorf("check %v: exit code %d, report %+v, want only %q", args, code, r, want)
		}
	}
	c.kv.Close()
	if code, _ := c.check(filepath.Join(c.dir, "new"), "--against", "store", "--timeout", "300ms"); code != configcheck.StatusErrors {
		t.Errorf("with the store down: exit code %d, want %d", code, configcheck.StatusErrors)
	}
}

func TestCheckFormOfOneFile(t *testing.T) {
	c := newCLI(t)
	sound := `{"version":1,"routes":[{"name":"r","host":"h","prefix":"/","route_kind":"idempotent","service":"s"}],"services":[{"name":"s"}]}`
	c.write("sound.json", sound)
	c.write("later.json", strings.Replace(strings.Replace(sound, `"version":1`, `"version":2`, 1), `"h"`, `"g"`, 1))
	c.write("wrong.json", sound+"}")
	c.write("empty.json", "")
	run := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		for i := range args {
			if strings.HasSuffix(args[i], ".json") {
				args[i] = filepath.Join(c.dir, args[i])
			}
		}
		code := Main(append([]string{"check", "--form", "platform"}, args...), &out, &errs, Form{Name: "platform", Check: platform.CheckConfig})
		return code, out.String() + errs.String()
	}
	tests := []struct {
		args []string
		code int
		text string
	}{
		{[]string{"sound.json"}, configcheck.StatusClean, "nothing found"},
		{[]string{"later.json", "--against", "sound.json"}, configcheck.StatusClean, `route "r": host from "h" to "g"`},
		{[]string{"sound.json", "--against", "later.json"}, configcheck.StatusWarnings, "the version in force is 2"},
		{[]string{"wrong.json", "-o", "json"}, configcheck.StatusErrors, `"status": 2`},
		{[]string{"sound.json", "--against", "empty.json"}, configcheck.StatusErrors, "is empty"},
		{[]string{"sound.json", "--against", "store"}, configcheck.StatusErrors, "reads documents only"},
	}
	for _, tt := range tests {
		if code, text := run(tt.args...); code != tt.code || !strings.Contains(text, tt.text) {
			t.Errorf("%v: exit code %d, want %d with %q:\n%s", tt.args, code, tt.code, tt.text, text)
		}
	}
}
