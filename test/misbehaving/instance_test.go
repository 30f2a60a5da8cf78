package misbehaving

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kumquatyard/platform/standin"
)

// Limits of the process under test, low enough that a small crowd exceeds them.
const (
	memoryMB       = 80
	maxDescriptors = 500
	// fileDescriptors are kept for files; the rest is for sockets and pipes.
	fileDescriptors = 200
	maxHeaderBytes  = 64 << 10
	maxBodyBytes    = 1 << 20
)

const (
	service   = "lookup"
	workspace = "w"
	apiKey    = "key"
	// answerTimeout exceeds the time of an ordinary request also on a busy machine.
	answerTimeout  = 15 * time.Second
	retryPause     = 50 * time.Millisecond
	sampleInterval = 20 * time.Millisecond
)

var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "misbehaving")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "kumquatyard/cmd/kumquat-entry").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v: %s", err, out)
		return 1
	}
	binary = filepath.Join(dir, "kumquat-entry")
	return m.Run()
}

// instance is a process of kumquat-entry before a stand-in of the platform.
type instance struct {
	t       testing.TB
	cmd     *exec.Cmd
	logFile string
	exited  chan struct{}

	callers, readiness, peers, metrics string
	mostSockets                        atomic.Int64
}

// startInstance starts an instance with two servers, and waits until it is ready.
func startInstance(t testing.TB) *instance {
	t.Helper()
	store, runs := standin.NewStore(), &standin.Runs{}
	for n := range 2 {
		server, err := standin.StartServer(fmt.Sprintf("s%d", n), service, "a", store, runs)
		must(t, err)
		t.Cleanup(server.Stop)
		server.Register()
	}
	store.Put(standin.ConfigKey, configuration(t))
	port, err := standin.FreePorts(4)
	must(t, err)
	address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	i := &instance{
		t: t, logFile: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{}),
		callers: address(0), readiness: address(1), peers: address(2), metrics: address(3),
	}
	settings := standin.Instance{
		Name: "entry-1", Zone: "a", Callers: i.callers, Readiness: i.readiness, FirstInternalPort: port + 2,
		Store: serve(t, store), Duties: serve(t, standin.NewDuties()), GraceS: 6, LeaseMS: 2000, WindowS: 2, UsageLateS: 8,
		FencingEnforced: true, MemoryMB: memoryMB, MaxDescriptors: maxDescriptors,
	}.Settings()
	i.start(settings)
	if !await(i.ready) {
		t.Fatalf("the instance is not ready:\n%s", i.log())
	}
	return i
}

// configuration returns a configuration with one route and the limits of this package.
func configuration(t testing.TB) []byte {
	t.Helper()
	routes := []standin.Route{{Name: service, Prefix: "/" + service + "/", Service: service, Kind: standin.Idempotent, TimeoutMS: 10_000, MaxAttempts: 2}}
	value, err := standin.Config(1, routes, map[string][]string{workspace: {apiKey}})
	must(t, err)
	var config map[string]any
	must(t, json.Unmarshal(value, &config))
	config["limits"] = map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 5000, "idle_timeout_ms": 20_000}
	value, err = json.Marshal(config)
	must(t, err)
	return value
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// serve serves a handler until the end of the test and returns its address.
func serve(t testing.TB, h http.Handler) string {
	t.Helper()
	address, err := standin.FreeAddress()
	must(t, err)
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.ListenAndServe() }()
	t.Cleanup(func() { _ = s.Close() })
	return address
}

// start starts the process, which the end of the test ends.
func (i *instance) start(settings string) {
	i.t.Helper()
	file := filepath.Join(i.t.TempDir(), "settings.toml")
	must(i.t, os.WriteFile(file, []byte(settings), 0o600))
	out, err := os.Create(i.logFile)
	must(i.t, err)
	defer func() { _ = out.Close() }()
	i.cmd = exec.Command(binary)
	i.cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+file)
	i.cmd.Stdout, i.cmd.Stderr = out, out
	must(i.t, i.cmd.Start())
	go func() {
		// The state of the process is checked while it should run.
		_ = i.cmd.Wait()
		close(i.exited)
	}()
	var sampling sync.WaitGroup
	sampling.Go(i.sampleSockets)
	i.t.Cleanup(func() {
		_ = i.cmd.Process.Kill()
		sampling.Wait()
	})
}

// sampleSockets records the largest number of open sockets until the process has ended.
func (i *instance) sampleSockets() {
	for {
		select {
		case <-i.exited:
			return
		case <-time.After(sampleInterval):
			i.mostSockets.Store(max(i.mostSockets.Load(), i.sockets()))
		}
	}
}

// sockets returns the number of open sockets and pipes of the process.
func (i *instance) sockets() (count int64) {
	dir := fmt.Sprintf("/proc/%d/fd", i.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			count++
		}
	}
	return count
}

// peakMemory returns the largest resident set of the process so far, in bytes.
func (i *instance) peakMemory() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10, err
		}
	}
	return 0, errors.New("the process has no VmHWM")
}

func (i *instance) log() string {
	data, err := os.ReadFile(i.logFile)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-4000):])
}

// await waits until a condition holds, and reports whether it did within answerTimeout.
func await(holds func() bool) bool {
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(retryPause) {
		if holds() {
			return true
		}
	}
	return false
}

var ordinary = http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (i *instance) ready() bool {
	resp, err := ordinary.Get("http://" + i.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answers reports whether an ordinary request gets its whole answer. Its body is of the largest
// size that the configuration allows.
func (i *instance) answers() bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+i.callers+"/"+service+"/ordinary", strings.NewReader(strings.Repeat("x", maxBodyBytes)))
	must(i.t, err)
	req.Host = standin.Host
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set(standin.HeaderID, "ordinary")
	resp, err := ordinary.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(body), "ordinary by s")
}

// check fails the test unless the process lives, is within its bounds and serves.
func (i *instance) check() {
	i.t.Helper()
	if !await(i.answers) {
		i.t.Error("an ordinary request got no answer")
	}
	if !await(i.ready) {
		i.t.Error("the instance is not ready")
	}
	select {
	case <-i.exited:
		i.t.Fatalf("the process ended:\n%s", i.log())
	default:
	}
	peak, err := i.peakMemory()
	must(i.t, err)
	sockets := i.mostSockets.Load()
	i.t.Logf("peak memory %.1f MB of %d, %d sockets of %d", float64(peak)/1e6, memoryMB, sockets, maxDescriptors-fileDescriptors)
	if peak > memoryMB*1e6 {
		i.t.Errorf("the peak of memory was %.1f MB, want at most %d", float64(peak)/1e6, memoryMB)
	}
	if sockets > maxDescriptors-fileDescriptors {
		i.t.Errorf("%d sockets were open, want at most %d", sockets, maxDescriptors-fileDescriptors)
	}
}
