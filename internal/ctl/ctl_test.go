package ctl

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/config"
	"kumquatyard/internal/standin"
)

// cli invokes kumquatctl against a stand-in of the key-value service.
type cli struct {
	t       *testing.T
	address string
	kv      *standin.KV
	dir     string
}

func newCLI(t *testing.T) *cli {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cli{t: t, address: listener.Addr().String(), kv: standin.NewKV(standin.KVOptions{Seed: 1}), dir: t.TempDir()}
	var serving conc.WaitGroup
	serving.Go(func() { _ = c.kv.Serve(listener) })
	t.Cleanup(func() {
		c.kv.Close()
		serving.Wait()
	})
	return c
}

// run invokes a command with JSON output and returns its exit code and output.
func (c *cli) run(args ...string) (code int, stdout, stderr string) {
	c.t.Helper()
	var out, errs bytes.Buffer
	code = Main(append([]string{"--kv", c.address, "-o", "json", "--author", "tester", "--timeout", "5s"}, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// mustRun runs a command that must succeed and returns the outcome it printed.
func (c *cli) mustRun(args ...string) outcome {
	c.t.Helper()
	code, stdout, stderr := c.run(args...)
	if code != ExitAccepted {
		c.t.Fatalf("%v: exit code %d, want ExitAccepted\n%s%s", args, code, stdout, stderr)
	}
	var o outcome
	if err := json.Unmarshal([]byte(stdout), &o); err != nil {
		c.t.Fatalf("%v: output is not valid JSON: %v in %q", args, err, stdout)
	}
	return o
}

func (c *cli) file(name, text string) string {
	c.t.Helper()
	file := filepath.Join(c.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

func (c *cli) get(name string) string {
	c.t.Helper()
	code, stdout, stderr := c.run("rules", "get", name)
	if code != ExitAccepted {
		c.t.Fatalf("rules get %s failed: %s", name, stderr)
	}
	return stdout
}

const demo = "../../deploy/demo"

func newDemo(t *testing.T) *cli {
	c := newCLI(t)
	c.mustRun("rules", "load", demo)
	c.mustRun("import", demo+"/inventory.csv")
	return c
}

func TestImportKeepsOverrides(t *testing.T) {
	c := newDemo(t)
	c.mustRun("drain", "engine-a1", "--note", "new driver")
	export, err := os.ReadFile(demo + "/inventory.csv")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(export), "acc1-24g,1,demo-a,1.10", "acc1-48g,1,demo-a,1.50", 1)
	text = strings.Replace(text, "engine-b2,hartmann,acc1-24g,1,demo-b,0.40,reclaimable,127.0.0.1:9104,engine,chat,guide-small,no\n", "", 1)
	file := c.file("export.csv", text+"engine-b9,alta,acc1-24g,1,demo-b,0.50,on_demand,127.0.0.1:9109,engine,chat,guide-small,yes\n")
	want := []rowChange{
		{Action: "changed", Zone: "demo-a", ID: "engine-a1", Details: []string{"Entry.Class: acc1-24g → acc1-48g", "Entry.PricePerHour: 1.1 → 1.5"}, Override: "engine-a1: drain: true, note: new driver"},
		{Action: "removed", Zone: "demo-b", ID: "engine-b2"},
		{Action: "added", Zone: "demo-b", ID: "engine-b9"},
	}
	before := c.mustRun("import", file, "--dry-run")
	if diff := cmp.Diff(want, before.Changes); diff != "" || before.Version != 3 {
		t.Errorf("dry run at version %d, want 3; changes (-want +got):\n%s", before.Version, diff)
	}
	if after := c.mustRun("import", file); after.Outcome != "accepted" || after.Version != 4 {
		t.Errorf("import = %+v, want accepted as version 4", after)
	}
	if again := c.mustRun("import", file); again.Outcome != "unchanged" || again.Version != 4 {
		t.Errorf("same import again = %+v, want unchanged at version 4", again)
	}
	if override := c.get("overrides/engine-a1"); !strings.Contains(override, "drain: true") {
		t.Errorf("override after the import = %q, want it to contain drain: true", override)
	}
}

func TestConcurrentEditsConflict(t *testing.T) {
	c := newDemo(t)
	text := c.get("rules/demo")
	first := c.file("first.yaml", strings.Replace(text, "weight: 1", "weight: 5", 1))
	second := c.file("second.yaml", strings.Replace(text, "weight: 1", "weight: 9", 1))
	c.mustRun("rules", "apply", "rules/demo", first)
	code, stdout, _ := c.run("rules", "apply", "rules/demo", second)
	if code != ExitConflict || !strings.Contains(stdout, "weight: 5") || !strings.Contains(stdout, "weight: 9") {
		t.Errorf("conflicting apply: exit code %d, want ExitConflict and both weights in %s", code, stdout)
	}
	if now := c.get("rules/demo"); !strings.Contains(now, "weight: 5") {
		t.Errorf("document after the conflict = %q, want the accepted weight: 5", now)
	}
	code, stdout, _ = c.run("rules", "diff", "rules/demo", second)
	if code != ExitAccepted || !strings.Contains(stdout, "- weight: 5") || !strings.Contains(stdout, "+ weight: 9") {
		t.Errorf("rules diff: exit code %d, want both weights in %s", code, stdout)
	}
	c.mustRun("rules", "apply", "rules/demo", second, "--force")
}

func TestExitCodes(t *testing.T) {
	c := newDemo(t)
	bad := c.file("bad.yaml", strings.Replace(c.get("rules/demo"), "weight: 1", "weigth: 1", 1))
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no such document", []string{"rules", "get", "rules/none"}, ExitUsage, "kumquatctl rules list"},
		{"no such file", []string{"import", "none.csv"}, ExitUsage, "none.csv"},
		{"not an export", []string{"import", bad}, ExitUsage, "neither in .csv nor in .json"},
		{"misspelt key", []string{"rules", "apply", "rules/demo", bad}, ExitRefused, "rules/demo:5: weigth: unknown field"},
		{"document of another name", []string{"rules", "apply", "rules/fleet", bad}, ExitUsage, "not rules/fleet"},
		{"deleted zones", []string{"rules", "delete", "zones"}, ExitRefused, "which document zones does not list"},
		{"agent without certificates", []string{"explain", "r1"}, ExitUsage, "--keys"},
		{"output", []string{"-o", "xml", "rules", "list"}, ExitUsage, "use table or json"},
		{"history", []string{"rules", "history"}, ExitAccepted, `"author": "tester"`},
		{"table", []string{"rules", "list", "-o", "table"}, ExitAccepted, "Documents of version 2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, stdout, stderr := c.run(tt.args...)
			if code != tt.code || !strings.Contains(stdout+stderr, tt.want) {
				t.Errorf("exit code %d, want %d and output with %q:\n%s%s", code, tt.code, tt.want, stdout, stderr)
			}
		})
	}
}

// TestExitCodesOfLostAnswers loses every answer to a write. The command must not
// report success, and a repeat of the command without faults must succeed.
func TestExitCodesOfLostAnswers(t *testing.T) {
	c := newDemo(t)
	c.kv.ChangeFaults(func(f *standin.Faults) { f.LoseAnswers = 1 })
	file := c.file("zones.yaml", c.get("zones")+"  - {name: demo-d, region: demo}\n")
	code, stdout, stderr := c.run("rules", "apply", "zones", file, "--timeout", "1s")
	if code != ExitFailure && code != ExitUnknown {
		t.Errorf("apply without answers to writes: exit code %d, want ExitFailure or ExitUnknown\n%s%s", code, stdout, stderr)
	}
	c.kv.ChangeFaults(func(f *standin.Faults) { f.Down = true })
	start := time.Now()
	if code, _, _ := c.run("rules", "apply", "zones", file, "--timeout", "300ms"); code != ExitFailure {
		t.Errorf("apply with the service down, after %v: exit code %d, want ExitFailure", time.Since(start), code)
	}
	c.kv.ChangeFaults(func(f *standin.Faults) { f.Down, f.LoseAnswers = false, 0 })
	c.mustRun("rules", "apply", "zones", file)
}

// TestExampleDeploymentsAreValid builds the configurations of the example
// deployments and expects no errors or warnings.
func TestExampleDeploymentsAreValid(t *testing.T) {
	tests := []struct {
		name                        string
		servers, zones, workspaces  int
		minReclaimable, minOnDemand int
	}{
		{"lanternfold", 13, 3, 5, 6, 4},
		{"matrizeria", 23, 3, 5, 11, 8},
		{"demo", 9, 3, 1, 3, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			directory := "../../deploy/" + tt.name
			docs, err := ReadDirectory(os.DirFS(directory))
			if err != nil {
				t.Fatal(err)
			}
			data, err := os.ReadFile(directory + "/inventory.csv")
			if err != nil {
				t.Fatal(err)
			}
			zones, err := ReadAssets("inventory.csv", data)
			if err != nil {
				t.Fatal(err)
			}
			inventory, err := InventoryDocuments(zones)
			if err != nil {
				t.Fatal(err)
			}
			for name, body := range inventory {
				docs[name] = body
			}
			built, err := config.Build(1, docs)
			if err != nil {
				t.Fatal(err)
			}
			reclaimable := 0
			for _, s := range built.Servers {
				if s.Reclaimable {
					reclaimable++
				}
			}
			if len(built.Servers) != tt.servers || len(built.Zones.Zones()) != tt.zones || len(built.Workspaces) != tt.workspaces || reclaimable < tt.minReclaimable || tt.servers-reclaimable < tt.minOnDemand {
				t.Errorf("deployment has %d servers (%d reclaimable), %d zones, %d workspaces", len(built.Servers), reclaimable, len(built.Zones.Zones()), len(built.Workspaces))
			}
			if diff := cmp.Diff([]string(nil), built.Warnings); diff != "" {
				t.Errorf("warnings (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReadAssets(t *testing.T) {
	const header = "id,zone,address,machine_class,pool,market,price_per_hour,accelerators,models,checks_fencing,shelf\n"
	tests := []struct{ name, file, data, want string }{
		{"price", "a.csv", header + "s1,a,10.0.0.1:80,c,p,on_demand,cheap,1,m,yes,7\n", `a.csv:2: price_per_hour: is "cheap"; use a number`},
		{"market", "a.csv", header + "s1,a,10.0.0.1:80,c,p,spot,1,1,m,yes,7\n", "use reclaimable or on_demand"},
		{"fencing", "a.csv", header + "s1,a,10.0.0.1:80,c,p,on_demand,1,1,m,maybe,7\n", "use yes or no"},
		{"missing column", "a.csv", "id,zone\ns1,a\n", "a.csv:1: column address is missing"},
		{"missing cell", "a.json", `[{"id":"s1","zone":"a"}]`, "a.json: [0]: address: is \"\"; set a value"},
		{"no rows", "a.csv", header, "never removes all servers"},
	}
	for _, tt := range tests {
		if _, err := ReadAssets(tt.file, []byte(tt.data)); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: ReadAssets error = %v, want one that contains %q", tt.name, err, tt.want)
		}
	}
	zones, err := ReadAssets("a.json", []byte(`[{"ID":"7","zone":"a","address":"10.0.0.1:80","machine_class":"c","pool":"p","market":"reclaimable","price_per_hour":0.5,"accelerators":2,"models":["m","n"],"checks_fencing":true}]`))
	want := map[string][]config.ServerEntry{"a": {{ID: "7", Address: "10.0.0.1:80", Kind: "engine", Pool: "p", Class: "c", Accelerators: 2, PricePerHour: 0.5, Reclaimable: true, ChecksFencing: true, Models: []string{"m", "n"}}}}
	if diff := cmp.Diff(want, zones); err != nil || diff != "" {
		t.Errorf("ReadAssets: error %v, servers (-want +got):\n%s", err, diff)
	}
	docs, err := InventoryDocuments(zones)
	if err != nil {
		t.Fatal(err)
	}
	docs["zones"] = []byte("zones: [{name: a, region: r}]\n")
	if built, err := config.Build(1, docs); err != nil || built.Servers["7"].Pool != "p" {
		t.Errorf("Build of an inventory with a numeric id: error %v, want server 7 in pool p", err)
	}
}
