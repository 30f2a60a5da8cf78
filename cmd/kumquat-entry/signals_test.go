package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kumquatyard/platform/standin"
)

// runAsEntry is set for a process of the test binary that runs as kumquat-entry.
const runAsEntry = "KUMQUAT_RUN_AS_ENTRY"

func TestMain(m *testing.M) {
	if os.Getenv(runAsEntry) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// entryProcess is a process of kumquat-entry before a stand-in of the platform.
type entryProcess struct {
	t       *testing.T
	cmd     *exec.Cmd
	callers string
	// readiness is the address of the readiness check.
	readiness string
	settings  string
	content   string

	mu     sync.Mutex
	output strings.Builder
	exited chan struct{}
}

// requestTime is how long each request takes, which is longer than the signals of a test.
const requestTime = 1500 * time.Millisecond

// newEntryProcess prepares a process that has one server and a route to it.
func newEntryProcess(t *testing.T) *entryProcess {
	t.Helper()
	store, duties := standin.NewStore(), standin.NewDuties()
	server, err := standin.StartServer("s1", "order", "a", store, &standin.Runs{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	server.SetFaults(standin.ServerFaults{Delay: requestTime})
	server.Register()
	config, err := standin.Config(1, []standin.Route{{Name: "order", Prefix: "/order/", Service: "order", Kind: standin.NonIdempotent, TimeoutMS: 10_000, MaxAttempts: 1}}, map[string][]string{"w": {"key"}})
	if err != nil {
		t.Fatal(err)
	}
	store.Put(standin.ConfigKey, config)
	port, err := standin.FreePorts(4)
	if err != nil {
		t.Fatal(err)
	}
	p := &entryProcess{
		t: t, callers: fmt.Sprintf("127.0.0.1:%d", port), readiness: fmt.Sprintf("127.0.0.1:%d", port+1), settings: filepath.Join(t.TempDir(), "boot.toml"), exited: make(chan struct{}),
		content: standin.Instance{
			Name: "entry-1", Zone: "a", Callers: fmt.Sprintf("127.0.0.1:%d", port), Readiness: fmt.Sprintf("127.0.0.1:%d", port+1), FirstInternalPort: port + 2,
			Store: serveHTTP(t, store), Duties: serveHTTP(t, duties), GraceS: 6, LeaseMS: 2000, WindowS: 2, UsageLateS: 8, FencingEnforced: true,
		}.Settings(),
	}
	p.writeSettings(p.content)
	return p
}

func serveHTTP(t *testing.T, h http.Handler) string {
	t.Helper()
	address, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.ListenAndServe() }()
	t.Cleanup(func() { _ = s.Close() })
	return address
}

func (p *entryProcess) writeSettings(content string) {
	p.t.Helper()
	if err := os.WriteFile(p.settings, []byte(content), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// start starts the process.
func (p *entryProcess) start() {
	p.t.Helper()
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), runAsEntry+"=1", standin.SettingsVariable+"="+p.settings)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go p.read(out)
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
}

func (p *entryProcess) read(out io.Reader) {
	defer close(p.exited)
	for lines := bufio.NewScanner(out); lines.Scan(); {
		p.mu.Lock()
		p.output.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
	}
	_ = p.cmd.Wait() // the exit code is read from cmd.ProcessState
}

// await waits until the process has written text to its log.
func (p *entryProcess) await(text string) {
	p.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		output := p.output.String()
		p.mu.Unlock()
		if strings.Contains(output, text) {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("the process did not log %q: %s", text, output)
		}
	}
}

// awaitReady waits until the process takes requests.
func (p *entryProcess) awaitReady() {
	p.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + p.readiness)
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			p.t.Fatal("the process is not ready")
		}
	}
}

func (p *entryProcess) signal(s syscall.Signal) {
	// The process may have exited, as it should after SIGTERM.
	_ = p.cmd.Process.Signal(s)
}

// checkExit waits for the process and checks that it has ended as told.
func (p *entryProcess) checkExit() {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(20 * time.Second):
		p.t.Fatal("the process did not end after SIGTERM")
	}
	if state := p.cmd.ProcessState; state.ExitCode() != 0 {
		p.t.Errorf("the process ended with %v, want exit status 0", state)
	}
}

// request sends a request that must not be repeated, and returns a channel with its outcome.
func (p *entryProcess) request(n int) <-chan error {
	outcome := make(chan error, 1)
	go func() {
		r, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/order/x", strings.NewReader("one"))
		if err != nil {
			outcome <- err
			return
		}
		r.Host = standin.Host
		r.Header.Set(standin.HeaderID, fmt.Sprintf("request-%d", n))
		r.Header.Set("Authorization", "Token key")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			outcome <- err
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err == nil && (resp.StatusCode != http.StatusOK || len(body) == 0) {
			err = fmt.Errorf("status %d: %.200s", resp.StatusCode, body)
		}
		outcome <- err
	}()
	return outcome
}

var (
	reloads = []syscall.Signal{syscall.SIGHUP, syscall.SIGPIPE}
	stops   = []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}
)

// Guards against a process that ends at once, with its requests, when a signal comes while it is
// starting: it stands before its settings are read.
func TestSignalsDuringTheStart(t *testing.T) {
	p := newEntryProcess(t)
	fifo := filepath.Join(t.TempDir(), "boot.toml")
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	p.settings = fifo
	p.start()
	// Opening the other end waits until the process reads its settings.
	file, err := os.OpenFile(fifo, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		for _, s := range reloads {
			p.signal(s)
			time.Sleep(20 * time.Millisecond)
		}
	}
	if _, err := file.WriteString(p.content); err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	p.await("event=started")
	for _, s := range stops {
		p.signal(s)
	}
	p.checkExit()
}

// Guards against a process that ends at once, with its requests, when SIGHUP or a second signal to
// stop comes while it is stopping.
func TestSignalsWhileStopping(t *testing.T) {
	for _, series := range [][]syscall.Signal{
		{syscall.SIGHUP},
		{syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGPIPE},
	} {
		t.Run(fmt.Sprint(series), func(t *testing.T) {
			p := newEntryProcess(t)
			p.start()
			p.awaitReady()
			outcome := p.request(1)
			time.Sleep(200 * time.Millisecond)
			p.signal(syscall.SIGTERM)
			p.await("event=stopping")
			p.writeSettings(strings.Replace(p.content, "budget_slack = 50", "budget_slack = 51", 1))
			for _, s := range series {
				p.signal(s)
				time.Sleep(20 * time.Millisecond)
			}
			if err := <-outcome; err != nil {
				t.Errorf("the request in flight ended without a complete answer: %v", err)
			}
			p.checkExit()
			if series[0] == syscall.SIGHUP {
				p.await("retry_slack=51")
			}
		})
	}
}

// Guards against signals whose default action comes back at any stage: they arrive all the time,
// from the first line of the log to the end of the process.
func TestSignalsAtAllStages(t *testing.T) {
	p := newEntryProcess(t)
	p.start()
	p.await("event=started")
	go func() {
		for {
			select {
			case <-p.exited:
				return
			case <-time.After(time.Millisecond):
				p.signal(syscall.SIGHUP)
			}
		}
	}()
	p.awaitReady()
	outcome := p.request(1)
	time.Sleep(200 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	if err := <-outcome; err != nil {
		t.Errorf("the request in flight ended without a complete answer: %v", err)
	}
	p.signal(syscall.SIGTERM)
	p.checkExit()
}

// Guards against a process that ends when nobody reads its log any more.
func TestLogWithoutAReader(t *testing.T) {
	p := newEntryProcess(t)
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), runAsEntry+"=1", standin.SettingsVariable+"="+p.settings)
	p.cmd.Stdout = write
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_, _ = write.Close(), read.Close()
	go func() {
		_ = p.cmd.Wait() // the exit code is read from cmd.ProcessState
		close(p.exited)
	}()
	time.Sleep(time.Second)
	p.signal(syscall.SIGTERM)
	p.checkExit()
}
