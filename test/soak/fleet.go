// Package soak runs entry instances as processes between callers and a stand-in
// of the platform, injects faults from outside in overlapping series, and checks
// what callers and servers see meanwhile. It ends only processes that it started.
package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"kumquatyard/platform/standin"
)

const (
	graceS  = 4
	leaseMS = 2000
	windowS = 2
)

// instance is one entry instance.
type instance struct {
	name      string
	callers   string
	readiness string
	store     *proxy
	settings  string
	log       string
	binary    string

	mu sync.Mutex
	// changing is held by the series of signals that acts on the instance.
	changing sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	// pauses are the times in which the process was stopped by a signal.
	pauses []span
}

// span is a time from one moment to another.
type span struct{ from, to time.Time }

// fleet is the whole deployment.
type fleet struct {
	t         testing.TB
	store     *standin.Store
	duties    *standin.Duties
	runs      *standin.Runs
	instances []*instance

	mu      sync.Mutex
	servers []*server
	born    int
}

// server is a backend server with the proxy that instances reach it through.
type server struct {
	*standin.Server
	proxy *proxy
}

// services and zones of the deployment.
var (
	services = []string{"lookup", "order", "draft"}
	zones    = []string{"a", "b", "c"}
)

const serversPerService = 3

func newFleet(t testing.TB, binary string, instances int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore(), duties: standin.NewDuties(), runs: &standin.Runs{}}
	store, duties := f.serve(f.store), f.serve(f.duties)
	for range serversPerService {
		for _, service := range services {
			f.addServer(service)
		}
	}
	for n := range instances {
		f.addInstance(binary, n, store, duties)
	}
	t.Cleanup(f.stop)
	return f
}

// serve runs a handler until the end of the test and returns its address.
func (f *fleet) serve(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func (f *fleet) addServer(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.born++
	s, err := standin.StartServer(fmt.Sprintf("s%d", f.born), service, zones[f.born%len(zones)], f.store, f.runs)
	if err != nil {
		f.t.Fatal(err)
	}
	p, err := newProxy(s.ListenAddress())
	if err != nil {
		f.t.Fatal(err)
	}
	s.Address = p.address()
	s.Register()
	f.servers = append(f.servers, &server{Server: s, proxy: p})
}

func (f *fleet) list() []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*server(nil), f.servers...)
}

// take removes a server of a service from the list.
func (f *fleet) take(service string) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, s := range f.servers {
		if s.Service == service {
			f.servers = append(f.servers[:n], f.servers[n+1:]...)
			return s
		}
	}
	return nil
}

func (f *fleet) addInstance(binary string, n int, store, duties string) {
	p, err := newProxy(store)
	if err != nil {
		f.t.Fatal(err)
	}
	dir := f.t.TempDir()
	i := &instance{
		name: fmt.Sprintf("entry-%d", n), callers: freeAddress(f.t), readiness: freeAddress(f.t), store: p,
		settings: filepath.Join(dir, "settings.toml"), log: filepath.Join(dir, "log"), binary: binary,
	}
	content := standin.Instance{
		Name: i.name, Zone: zones[n%len(zones)], Callers: i.callers, Readiness: i.readiness,
		FirstInternalPort: freePorts(f.t, 2), Store: p.address(), Duties: duties,
		GraceS: graceS, LeaseMS: leaseMS, WindowS: windowS, UsageLateS: 4 * windowS,
	}.Settings()
	if err := os.WriteFile(i.settings, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.instances = append(f.instances, i)
}

// ports hands out ports below those that the system gives to outgoing
// connections, from a start of this process's own, so that they stay free
// between two starts of an instance.
var ports struct {
	sync.Mutex
	next int
}

const (
	firstPort     = 10_000
	portsAProcess = 200
	portRanges    = 100
)

// freePorts returns the first of n neighbouring ports that are free.
func freePorts(t testing.TB, n int) int {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = firstPort + os.Getpid()%portRanges*portsAProcess
	}
	for range portsAProcess {
		first := ports.next
		ports.next += n
		if free(first, n) {
			return first
		}
	}
	t.Fatal("no ports are free")
	return 0
}

func free(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func freeAddress(t testing.TB) string {
	return fmt.Sprintf("127.0.0.1:%d", freePorts(t, 1))
}

// start runs the instance's process; one that runs goes on.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(i.binary)
	cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+i.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.cmd, i.exited = cmd, exited
	go func() {
		// How a killed process ended tells nothing.
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the instance's process, if it runs.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// pause stops the process in the middle of whatever it does.
func (i *instance) pause(length time.Duration) {
	from := time.Now()
	i.signal(syscall.SIGSTOP)
	time.Sleep(length)
	i.signal(syscall.SIGCONT)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pauses = append(i.pauses, span{from, time.Now()})
}

// paused reports whether the process of an address was stopped at some moment of a span.
func (f *fleet) paused(address string, s span) bool {
	for _, i := range f.instances {
		if i.callers != address {
			continue
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		for _, p := range i.pauses {
			if p.from.Before(s.to) && s.from.Before(p.to) {
				return true
			}
		}
	}
	return false
}

// awaitExit waits for the end of the process and reports whether it came in time.
func (i *instance) awaitExit(limit time.Duration) bool {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		i.mu.Lock()
		i.cmd, i.exited = nil, nil
		i.mu.Unlock()
		return true
	case <-time.After(limit):
		return false
	}
}

// ready reports whether the instance says that it takes callers.
func (i *instance) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) stop() {
	for _, i := range f.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		i.awaitExit(10 * time.Second)
		i.store.close()
	}
	for _, s := range f.list() {
		s.Stop()
		s.proxy.close()
	}
}
