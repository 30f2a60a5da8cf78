// Package atmostonce proves, with gateways and agents as processes, that a
// request that must not repeat runs at most once and that every refusal's
// verdict is true. It has only test files.
package atmostonce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/standin"
)

var zones = []string{"demo-a", "demo-b", "demo-c"}

const (
	apiKey       = "demo-key"
	startTimeout = 30 * time.Second
)

// process is one gateway or agent, started again after it was killed.
type process struct {
	name, binary, settings, log string
	ready                       string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// cluster is three entry instances of one gateway and one agent each, beside
// stand-ins that this test runs itself.
type cluster struct {
	t        *testing.T
	dir      string
	control  string
	services []string
	agents   []*process
	gateways []*process
	// callers are the gateways' addresses for callers.
	callers []string
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func startCluster(t *testing.T) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), control: freeAddress(t)}
	c.command("go", "build", "-o", filepath.Join(c.dir, "bin")+"/", "kumquatyard/cmd/...")
	platform := map[string]string{"kv": freeAddress(t), "instances": freeAddress(t)}
	var names []string
	var entries []standin.EntrySettings
	for i, zone := range zones {
		agent, gateway := freeAddress(t), freeAddress(t)
		c.addEntry(i, zone, agent, gateway, platform)
		names = append(names, "--name", c.agents[i].name, "--name", c.gateways[i].name)
		entries = append(entries,
			standin.EntrySettings{ID: c.agents[i].name, Role: "agent", Zone: zone, Address: agent},
			standin.EntrySettings{ID: c.gateways[i].name, Role: "gateway", Zone: zone, Address: gateway})
	}
	c.startStandins(platform, entries)
	ctl := filepath.Join(c.dir, "bin", "kumquatctl")
	file := c.write("kumquatctl.yaml", fmt.Sprintf("kv: %s\nkeys: %s/keys\nauthor: test\n", platform["kv"], c.dir))
	c.command(ctl, append([]string{"-c", file, "keys", "dev", filepath.Join(c.dir, "keys")}, names...)...)
	c.command(ctl, "-c", file, "rules", "load", "../../deploy/demo")
	c.command(ctl, "-c", file, "import", c.write("inventory.csv", c.inventory()))
	for _, p := range append(c.agents, c.gateways...) {
		c.start(p)
	}
	for _, p := range append(c.agents, c.gateways...) {
		c.await(p)
	}
	return c
}

// addEntry writes the settings of one entry instance.
func (c *cluster) addEntry(i int, zone, agent, gateway string, platform map[string]string) {
	letter := string(rune('a' + i))
	common := "id: %[1]s\nzone: %[2]s\nlink: {listen: %[3]q, cert_file: %[4]s/keys/%[1]s.pem, key_file: %[4]s/keys/%[1]s-key.pem, ca_file: %[4]s/keys/ca.pem}\n" +
		"telemetry: {listen: %[5]q, log_level: info}\n"
	add := func(kind, link, rest string) *process {
		name, ready := kind+"-"+letter, freeAddress(c.t)
		return &process{
			name: name, binary: filepath.Join(c.dir, "bin", "kumquat-"+kind), ready: "http://" + ready + "/readyz",
			settings: c.write(name+".yaml", fmt.Sprintf(common, name, zone, link, c.dir, ready)+rest),
			log:      filepath.Join(c.dir, name+".log"),
		}
	}
	c.agents = append(c.agents, add("agent", agent,
		fmt.Sprintf("region: demo\ngateway: %q\nkv: %q\ninstance_list: %q\n", gateway, platform["kv"], platform["instances"])))
	callers := freeAddress(c.t)
	c.callers = append(c.callers, callers)
	c.gateways = append(c.gateways, add("gateway", gateway, fmt.Sprintf("listen: %q\nagent: %q\ndrain_delay: 100ms\ngrace_period: 2s\n", callers, agent)))
}

func (c *cluster) startStandins(platform map[string]string, entries []standin.EntrySettings) {
	s := standin.Settings{Control: c.control, Seed: 1, Entries: entries, Standins: []standin.StandinSettings{
		{Kind: standin.KindKV, ID: "kv", Listen: platform["kv"], KV: standin.KVSettings{WritesPerSecond: 300, ReadsPerSecond: 2000}},
		{Kind: standin.KindInstances, ID: "instances", Listen: platform["instances"]},
	}}
	for i, zone := range zones {
		c.services = append(c.services, freeAddress(c.t))
		s.Standins = append(s.Standins, standin.StandinSettings{
			Kind: standin.KindService, ID: fmt.Sprint("app", i), Listen: c.services[i], Zone: zone,
			Service: standin.ServiceSettings{ServiceTime: 10 * time.Millisecond, FailAfterRun: 0.05, CloseBeforeRun: 0.05},
		})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- standin.NewGroup(s, logrus.NewEntry(log)).Run(ctx) }()
	c.t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			c.t.Errorf("stand-ins: %v", err)
		}
	})
	c.awaitURL("http://" + c.control + "/kv/_faults")
}

func (c *cluster) inventory() string {
	out := "id,vendor,machine_class,accelerators,zone,price_per_hour,market,address,kind,pool,models,checks_fencing\n"
	for i, zone := range zones {
		out += fmt.Sprintf("app%d,norvik,app-8g,0,%s,0.20,on_demand,%s,service,app,,no\n", i, zone, c.services[i])
	}
	return out
}

func (c *cluster) write(name, content string) string {
	file := filepath.Join(c.dir, name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

func (c *cluster) command(name string, args ...string) {
	c.t.Helper()
	if out, err := exec.Command(name, args...).CombinedOutput(); err != nil {
		c.t.Fatalf("%s %s: %v\n%s", name, strings.Join(args, " "), err, out)
	}
}

// start starts p; the process ends with the test.
func (c *cluster) start(p *process) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Error(err)
		return
	}
	defer log.Close()
	cmd := exec.Command(p.binary, "-c", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		c.t.Errorf("start %s: %v", p.name, err)
		return
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	c.t.Cleanup(func() { p.end(cmd, syscall.SIGKILL) })
}

// end sends sig to cmd and waits for it; a process that ended is left alone.
func (p *process) end(cmd *exec.Cmd, sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cmd.ProcessState != nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	_ = cmd.Wait()
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// stop ends p with sig and starts it again.
func (c *cluster) restart(p *process, sig syscall.Signal) {
	p.end(p.cmd, sig)
	c.start(p)
}

func (c *cluster) await(p *process) {
	c.t.Helper()
	if !c.awaitURL(p.ready) {
		log, _ := os.ReadFile(p.log)
		c.t.Fatalf("%s is not ready:\n%s", p.name, log[max(0, len(log)-4000):])
	}
}

func (c *cluster) awaitURL(url string) bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// fault changes the faults of a stand-in.
func (c *cluster) fault(id string, faults standin.Faults) {
	body, _ := json.Marshal(faults)
	resp, err := http.Post("http://"+c.control+"/"+id+"/_faults", "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Errorf("faults of %s: %v", id, err)
		return
	}
	resp.Body.Close()
}

// runs adds up what the services counted: the ground truth.
func (c *cluster) runs() standin.Runs {
	total := standin.Runs{ByRequest: map[string]int{}, ByKey: map[string]int{}}
	for i := range c.services {
		resp, err := http.Get(fmt.Sprintf("http://%s/app%d/_runs", c.control, i))
		if err != nil {
			c.t.Fatal(err)
		}
		var one standin.Runs
		err = json.NewDecoder(resp.Body).Decode(&one)
		resp.Body.Close()
		if err != nil {
			c.t.Fatal(err)
		}
		for id, n := range one.ByRequest {
			total.ByRequest[id] += n
		}
		for key, n := range one.ByKey {
			total.ByKey[key] += n
		}
	}
	return total
}
