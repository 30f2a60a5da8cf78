package processes

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

// Process is a process under test. Its methods are not safe for concurrent use.
type Process struct {
	Name string

	t       testing.TB
	path    string
	config  string
	logFile string
	// health is the address that serves /readyz.
	health string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (f *Fleet) newProcess(path, name, health string) *Process {
	p := &Process{
		Name: name, t: f.t, path: path, health: health,
		config:  filepath.Join(f.dir, name+".yaml"),
		logFile: filepath.Join(f.dir, name+".log"),
	}
	f.t.Cleanup(p.Kill)
	return p
}

// Start starts the process with the same settings and addresses each time.
func (p *Process) Start() {
	p.t.Helper()
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer func() { _ = out.Close() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.path, "-c", p.config)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		p.t.Error(err)
		p.cmd = nil
	}
}

func (p *Process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL, without cleanup.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// Terminate sends SIGTERM, waits for the process to end and returns its exit code.
func (p *Process) Terminate() int {
	p.signal(syscall.SIGTERM)
	return p.wait()
}

// wait returns the exit code of the process, 0 if it is not running and -1 if
// waiting failed.
func (p *Process) wait() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	err := p.cmd.Wait()
	p.cmd = nil
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	if err != nil {
		return -1
	}
	return 0
}

// Log returns the output of the process, across restarts.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
