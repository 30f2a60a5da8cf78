// Package processes runs kumquat-agent and kumquat-gateway as processes that
// tests can kill, freeze and restart. The stand-ins that they use run in the
// test's own process.
package processes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kumquatyard/internal/config"
	"kumquatyard/internal/configstore"
	"kumquatyard/internal/link"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
)

// APIKey authenticates callers of a Fleet.
const APIKey = "test-key"

// Model is the model that every engine of a Fleet serves.
const Model = "m"

const (
	readyTimeout = 15 * time.Second
	kvTimeout    = 2 * time.Second
)

// Options configure a Fleet.
type Options struct {
	// Entries is the number of entry instances, each in a zone of its own.
	Entries int
	// Engines and Services are the numbers of servers, distributed over the zones.
	Engines  int
	Services int
	Engine   standin.EngineOptions
	Service  standin.ServiceOptions
	KV       standin.KVOptions
	// Routing is the content of the routing section of the rules, in YAML.
	Routing string
}

// Fleet is a set of entry instances and the stand-ins that they use.
type Fleet struct {
	KV       *standin.KV
	Engines  []*standin.Engine
	Services []*standin.Service
	Entries  []*Entry

	t                   testing.TB
	dir                 string
	instances           *standin.Fleet
	kvAddress           string
	instanceListAddress string
	cloudAddress        string
}

// Entry is an entry instance: a gateway and an agent.
type Entry struct {
	Gateway *Process
	Agent   *Process
	// URL is the gateway's address for callers.
	URL string
}

var (
	buildOnce sync.Once
	buildDir  string
	buildErr  error
)

// build builds the binaries once per test process and returns their directory.
func build() (string, error) {
	buildOnce.Do(func() {
		if buildDir, buildErr = os.MkdirTemp("", "kumquatyard"); buildErr != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", buildDir+"/", "kumquatyard/cmd/kumquat-agent", "kumquatyard/cmd/kumquat-gateway").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	return buildDir, buildErr
}

// Run runs the tests of m, removes the binaries built for them and returns the
// exit code. Packages that use Fleets call it from TestMain.
func Run(m *testing.M) int {
	defer func() { _ = os.RemoveAll(buildDir) }()
	return m.Run()
}

// Start starts a Fleet, waits until its gateways are ready and stops it at the end
// of the test.
func Start(t testing.TB, o Options) *Fleet {
	t.Helper()
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	f := &Fleet{t: t, dir: t.TempDir(), instances: standin.NewFleet()}
	f.startPlatform(o)
	inventory := f.startServers(o)
	f.writeConfiguration(o, inventory)
	f.writeKeys(o.Entries)
	for i := range o.Entries {
		f.addEntry(bin, i)
	}
	for _, e := range f.Entries {
		e.Agent.Start()
		e.Gateway.Start()
	}
	for _, e := range f.Entries {
		f.AwaitReady(e.Gateway)
	}
	return f
}

// must ends the test if err is not nil.
func (f *Fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// serve runs a stand-in on a free port until the end of the test and returns its
// address.
func (f *Fleet) serve(serve func(net.Listener) error, stop func()) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.must(err)
	go func() { _ = serve(l) }()
	f.t.Cleanup(stop)
	return l.Addr().String()
}

func (f *Fleet) startPlatform(o Options) {
	f.KV = standin.NewKV(o.KV)
	f.kvAddress = f.serve(f.KV.Serve, f.KV.Close)
	list := standin.NewInstances(f.instances, o.KV.Seed)
	f.instanceListAddress = f.serve(list.Serve, list.Close)
	cloud := standin.NewCloud(f.instances, standin.CloudOptions{})
	f.cloudAddress = f.serve(cloud.Serve, cloud.Close)
}

func zoneOf(i, zones int) string { return fmt.Sprintf("zone-%d", i%zones) }

// startServers starts the engines and services and returns the inventory document
// of each zone.
func (f *Fleet) startServers(o Options) map[string]*strings.Builder {
	inventory := make(map[string]*strings.Builder)
	add := func(i int, id, kind, pool, extra, address string, m standin.Member) {
		zone := zoneOf(i, o.Entries)
		if inventory[zone] == nil {
			inventory[zone] = &strings.Builder{}
			inventory[zone].WriteString("servers:\n")
		}
		fmt.Fprintf(inventory[zone], "  - {id: %s, address: %q, kind: %s, pool: %s, vendor: v, class: c, price_per_hour: 1, reclaimable: true%s}\n", id, address, kind, pool, extra)
		f.instances.Add(standin.Instance{ID: id, Kind: kind, Address: address, Zone: zone}, "c", true, m)
	}
	o.Engine.Models = []string{Model}
	for i := range o.Engines {
		e := standin.NewEngine(o.Engine)
		f.Engines = append(f.Engines, e)
		add(i, fmt.Sprintf("engine-%d", i), "engine", "chat", ", models: ["+Model+"]", f.serve(e.Serve, e.Close), e)
	}
	for i := range o.Services {
		s := standin.NewService(o.Service)
		f.Services = append(f.Services, s)
		add(i, fmt.Sprintf("service-%d", i), "service", "app", "", f.serve(s.Serve, s.Close), s)
	}
	return inventory
}

const fleetRules = `
contracts:
  - {name: chat, method: POST, path_prefix: /v1/chat/completions, target: model, pool: chat, idempotent: true, priority: interactive, deadline: 10s}
  - {name: lookup, method: GET, path_prefix: /lookups, target: service, pool: app, idempotent: true, priority: interactive, deadline: 5s}
  - {name: booking, method: POST, path_prefix: /bookings, target: service, pool: app, key_required: true, priority: interactive, deadline: 5s}
token_keys:
  - {id: k1, secret_hex: "abababababababababababababababababababababababababababababababab"}
`

// writeConfiguration applies the initial configuration.
func (f *Fleet) writeConfiguration(o Options, inventory map[string]*strings.Builder) {
	sum := sha256.Sum256([]byte(APIKey))
	docs := map[string][]byte{
		"rules/fleet": []byte(fleetRules + "routing: {" + o.Routing + "}\n"),
		"rules/test":  fmt.Appendf(nil, "name: test\nweight: 1\nmax_in_flight: 1000\nretry_ratio: 1\napi_key_sha256: [%s]\n", hex.EncodeToString(sum[:])),
	}
	zones := "zones:\n"
	for i := range o.Entries {
		zones += fmt.Sprintf("  - {name: %s, region: r}\n", zoneOf(i, o.Entries))
	}
	docs["zones"] = []byte(zones)
	for zone, text := range inventory {
		docs["inventory/"+zone] = []byte(text.String())
	}
	f.Apply(config.Change{ID: "first", Author: "test", Puts: docs})
}

// Apply applies a change to the configuration and returns the new version. It ends
// the test if the change is not accepted.
func (f *Fleet) Apply(change config.Change) uint64 {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	result, err := configstore.NewWriter(platform.NewKVClient(f.kvAddress, kvTimeout)).Apply(ctx, change)
	f.must(err)
	if result.Outcome != configstore.Accepted {
		f.t.Fatalf("change %s was not accepted: %v, conflicts %v, problems %v", change.ID, result.Outcome, result.Conflicts, result.Problems)
	}
	return result.Version
}

// writeKeys writes keys and certificates for the agents and gateways.
func (f *Fleet) writeKeys(entries int) {
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("agent-%d", i), fmt.Sprintf("gateway-%d", i))
	}
	f.must(link.WriteDevelopmentKeys(f.dir, names, time.Now()))
}

// Ports of processes are below the range of ephemeral ports, so that no outgoing
// connection takes one while its process is down.
const (
	firstPort = 10_000
	portCount = 20_000
	portStep  = 97
)

// portOffset starts at a different value in each test process.
var portOffset = os.Getpid() * portStep

// freeAddress returns an address whose port was free when checked.
func (f *Fleet) freeAddress() string {
	for range portCount {
		portOffset++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	f.t.Fatalf("no free port among the %d from %d on", portCount, firstPort)
	return ""
}

// addEntry writes the settings of an entry instance and adds it to the Fleet.
func (f *Fleet) addEntry(bin string, i int) {
	agent, gateway := fmt.Sprintf("agent-%d", i), fmt.Sprintf("gateway-%d", i)
	zone := zoneOf(i, i+1)
	agentLink, gatewayLink, callers := f.freeAddress(), f.freeAddress(), f.freeAddress()
	agentHealth, gatewayHealth := f.freeAddress(), f.freeAddress()
	f.write(agent, fmt.Sprintf("id: %s\nzone: %s\nregion: r\ngateway: %s\nkv: %s\ninstance_list: %s\ncloud: %s\nlink: %s\ntelemetry: {listen: %s}\n",
		agent, zone, gatewayLink, f.kvAddress, f.instanceListAddress, f.cloudAddress, f.linkSettings(agent, agentLink), agentHealth))
	f.write(gateway, fmt.Sprintf("id: %s\nzone: %s\nlisten: %s\nagent: %s\nlink: %s\ntelemetry: {listen: %s}\ndrain_delay: 100ms\ngrace_period: 10s\n",
		gateway, zone, callers, agentLink, f.linkSettings(gateway, gatewayLink), gatewayHealth))
	f.instances.Add(standin.Instance{ID: agent, Kind: "entry", Role: "agent", Zone: zone, Address: agentLink}, "", false, nil)
	f.instances.Add(standin.Instance{ID: gateway, Kind: "entry", Role: "gateway", Zone: zone, Address: gatewayLink}, "", false, nil)
	f.Entries = append(f.Entries, &Entry{
		Agent:   f.newProcess(filepath.Join(bin, "kumquat-agent"), agent, agentHealth),
		Gateway: f.newProcess(filepath.Join(bin, "kumquat-gateway"), gateway, gatewayHealth),
		URL:     "http://" + callers,
	})
}

func (f *Fleet) linkSettings(name, listen string) string {
	path := func(file string) string { return filepath.Join(f.dir, file) }
	return fmt.Sprintf("{listen: %s, cert_file: %s, key_file: %s, ca_file: %s}", listen, path(name+".pem"), path(name+"-key.pem"), path("ca.pem"))
}

func (f *Fleet) write(name, settings string) {
	f.must(os.WriteFile(filepath.Join(f.dir, name+".yaml"), []byte(settings), 0o600))
}

// AwaitReady waits until a process is ready according to /readyz. If it is not
// ready within readyTimeout, AwaitReady ends the test with the process's log.
func (f *Fleet) AwaitReady(p *Process) {
	f.t.Helper()
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + p.health + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	p.signal(syscall.SIGQUIT) // dumps the goroutines to the log
	p.wait()
	f.t.Fatalf("%s is not ready after %v:\n%s", p.Name, readyTimeout, p.Log())
}

// Runs returns the number of times services ran a request with an idempotency key.
func (f *Fleet) Runs(key string) int {
	n := 0
	for _, s := range f.Services {
		n += s.Runs().ByKey[key]
	}
	return n
}

// Zone returns the name of the zone of an entry instance.
func (f *Fleet) Zone(entry int) string { return zoneOf(entry, len(f.Entries)) }

// Reclaim reclaims the servers of a zone with the given notice and returns their
// ids.
func (f *Fleet) Reclaim(zone string, notice time.Duration) []string {
	return f.instances.Reclaim(zone, "", notice)
}

// RecomputedTokens returns the number of tokens that engines recomputed.
func (f *Fleet) RecomputedTokens() uint64 {
	var n uint64
	for _, e := range f.Engines {
		c := e.Counts()
		n += c.TokensRecomputed + c.PromptTokensRecomputed
	}
	return n
}

// RunningRequests returns the number of requests running on the engines.
func (f *Fleet) RunningRequests() int {
	n := 0
	for _, e := range f.Engines {
		n += e.State().Running
	}
	return n
}
