//go:build review

// Command standins runs the review's cases. It starts kumquat-entry as separate
// processes on loopback addresses, between stand-ins of the callers, the backend
// servers and the platform, and checks what these see.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"kumquatyard/platform/standin"
)

// Bounds of the deployment, those of the users' small sites.
const (
	graceS     = 8
	leaseMS    = 3000
	contactMS  = 3000
	windowS    = 5
	usageLateS = 10
	// restartDelay is how long after its end a process is started again.
	restartDelay = 400 * time.Millisecond
)

const (
	apiKey    = "key-of-tenant-one"
	tenant    = "tenant-one"
	host      = "app.example"
	configKey = "op/config"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Record is the log of a case, written to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// Entry is one process of kumquat-entry.
type Entry struct {
	Name, Zone         string
	Callers, Readiness string
	ip                 string
	peersPort          int
	settings, logPath  string
	fleet              *Fleet

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	// killed is set once the process was sent a SIGKILL, after which it is started again.
	killed bool
	// Ends are the times at which the process ended by itself.
	Ends []time.Time
	wg   sync.WaitGroup
}

// Fleet is a small deployment.
type Fleet struct {
	*Record
	Dir     string
	Binary  string
	Store   *standin.Store
	Cloud   *Cloud
	Entries []*Entry

	storeAddress string
	closers      []func()
	mu           sync.Mutex
	version      int
	// tenants is the number of tenants, 1 if it is 0.
	tenants int
}

// NewFleet starts the platform's stand-ins. dir is a temporary folder.
func NewFleet(record *Record, dir, binary string) (*Fleet, error) {
	f := &Fleet{Record: record, Dir: dir, Binary: binary, Store: standin.NewStore(), Cloud: newCloud(record)}
	address, err := f.Serve("127.0.0.1:0", f.Store)
	if err != nil {
		return nil, err
	}
	f.storeAddress = address
	f.Cloud.address, err = f.Serve("127.0.0.1:0", f.Cloud)
	return f, err
}

// Serve serves a handler and returns its address.
func (f *Fleet) Serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// AddEntry adds an entry instance that is not started yet. store and cloud are the
// addresses at which it reaches the platform.
func (f *Fleet) AddEntry(n int, store, cloud string) error {
	port, err := standin.FreePorts(5)
	if err != nil {
		return err
	}
	e := &Entry{
		Name: fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n/len(zones)+1), Zone: zones[n%len(zones)], ip: "127.0.0.1", peersPort: port + 2,
		Callers: fmt.Sprintf("127.0.0.1:%d", port), Readiness: fmt.Sprintf("127.0.0.1:%d", port+1), fleet: f,
		settings: filepath.Join(f.Dir, fmt.Sprintf("boot-%d.toml", n)), logPath: filepath.Join(f.Dir, fmt.Sprintf("log-%d.txt", n)),
	}
	if store == "" {
		store = f.storeAddress
	}
	if cloud == "" {
		cloud = f.Cloud.address
	}
	text := fmt.Sprintf(settingsText, e.Name, e.ip, e.Zone, port+2, port+4, e.Callers, e.Readiness, graceS, contactMS, leaseMS, windowS, usageLateS, store, cloud)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	f.Entries = append(f.Entries, e)
	return nil
}

const settingsText = `node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "region"
internal_ports = [%d,%d]
seeds = []
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
frontend = %q
readiness = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
drain_ms = 2000
grace_s = %d
contact_ms = %d
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
quota_window_s = 8
quota_overrun = 0.1
quota_slack = 140000
fencing_enforced = true
lease_ms = %d
window_s = %d
usage_late_s = %d
recover_s = 12
[platform]
addr = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
ttl_min_ms = 1000
[cloud]
addr = %q
rate_per_s = 50.0
duties = ["usage","autoscale"]
duty_per_s = 50.0
`

// Start starts the process, and starts it again each time that it ends by itself.
func (e *Entry) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = false
	return e.startLocked()
}

func (e *Entry) startLocked() error {
	out, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(e.fleet.Binary)
	cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+e.settings)
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, whatever ends that.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd = cmd
	e.fleet.Printf("%s: process started, pid %d", e.Name, cmd.Process.Pid)
	e.wg.Add(1)
	go e.await(cmd)
	return nil
}

func (e *Entry) await(cmd *exec.Cmd) {
	defer e.wg.Done()
	err := cmd.Wait()
	e.mu.Lock()
	if e.stopping {
		e.fleet.Printf("%s: process ended: %v", e.Name, err)
		e.cmd = nil
		e.mu.Unlock()
		return
	}
	if e.killed {
		e.fleet.Printf("%s: process ended: %v", e.Name, err)
	} else {
		e.Ends = append(e.Ends, time.Now())
		e.fleet.Printf("%s: PROCESS ENDED BY ITSELF: %v", e.Name, err)
	}
	e.killed = false
	e.mu.Unlock()
	time.Sleep(restartDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		e.cmd = nil
		return
	}
	if err := e.startLocked(); err != nil {
		e.fleet.Printf("%s: cannot be started again: %v", e.Name, err)
	}
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil && e.cmd.Process != nil {
		e.fleet.Printf("%s: %v sent", e.Name, s)
		e.killed = s == syscall.SIGKILL
		_ = e.cmd.Process.Signal(s)
	}
}

// Stop sends a signal after which the process is not started again, and waits for its end.
func (e *Entry) Stop(s syscall.Signal) {
	e.mu.Lock()
	e.stopping = true
	cmd := e.cmd
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	e.Signal(s)
	e.wg.Wait()
}

// EndsByItself returns how often the process ended by itself.
func (e *Entry) EndsByItself() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.Ends)
}

// Ready reports whether the process says that it is ready.
func (e *Entry) Ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.Readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StartAll starts the processes and waits until all are ready.
func (f *Fleet) StartAll(limit time.Duration) error {
	for _, e := range f.Entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	return f.AwaitReady(limit)
}

// AwaitReady waits until all processes are ready.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range f.Entries {
		for !e.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", e.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and stand-ins.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.Stop(syscall.SIGKILL)
	}
	for _, c := range f.closers {
		c()
	}
}

// Panics returns the first lines of the panics in the processes' logs, without the places of files.
func (f *Fleet) Panics() []string {
	var found []string
	for _, e := range f.Entries {
		text, err := os.ReadFile(e.logPath)
		if err != nil {
			continue
		}
		lines := slices.DeleteFunc(strings.Split(string(text), "\n"), func(line string) bool { return strings.HasPrefix(line, "\t") })
		for n, line := range lines {
			if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				found = append(found, e.Name+": "+strings.Join(lines[n:min(n+14, len(lines))], "\n    "))
			}
		}
	}
	return found
}

// Route is a route of the operator's configuration.
type Route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"route_kind"`
	TimeoutMS int    `json:"timeout_ms"`
	TargetMS  int    `json:"latency_target_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"max_attempts"`
	Public    bool   `json:"public"`
	Sticky    bool   `json:"sticky"`
	Resumable bool   `json:"resumable"`
	MaxGapMS  int    `json:"max_gap_ms,omitempty"`
}

// Scaling is the part of a service that lets servers be ordered.
type Scaling struct {
	Min       int                `json:"min"`
	Max       int                `json:"max"`
	BootS     float64            `json:"boot_s"`
	SpotPrice float64            `json:"spot_price"`
	Prices    map[string]float64 `json:"zone_prices"`
}

// Service is a service of the operator's configuration.
type Service struct {
	Name       string         `json:"name"`
	HealthPath string         `json:"health_path"`
	MaxConns   int            `json:"max_conns"`
	Protocol   string         `json:"protocol"`
	TLS        bool           `json:"tls"`
	Engine     map[string]any `json:"engine,omitempty"`
	Scaling    *Scaling       `json:"scaling,omitempty"`
}

// PutConfig writes a configuration as the operator does.
func (f *Fleet) PutConfig(routes []Route, services []Service) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	for n := range routes {
		routes[n].Host = host
	}
	tenants := []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "unit": "tokens", "uncached_tokens": 200, "rate_per_s": 1000000, "burst": 1000000}}
	for n := range f.tenants {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", n), "api_keys": []string{fmt.Sprintf("%s-%d", apiKey, n)}})
	}
	value, err := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	if err != nil {
		return err
	}
	f.Store.Put(configKey, value)
	f.Printf("operator: configuration version %d", f.version)
	return nil
}
