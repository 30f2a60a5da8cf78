// Package ctl implements the operators' command line.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/configstore"
	"kumquatyard/internal/link"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/settings"
)

// Exit codes of kumquatctl.
const (
	// ExitAccepted is a command that did what it was asked for.
	ExitAccepted = 0
	// ExitFailure is a command that failed and changed nothing.
	ExitFailure = 1
	// ExitUsage is a wrong flag, setting or file.
	ExitUsage = settings.ExitInvalid
	// ExitRefused is a change that did not pass the checks.
	ExitRefused = 3
	// ExitConflict is a change to documents that others changed meanwhile.
	ExitConflict = 4
	// ExitUnknown is a change that may or may not have been accepted.
	ExitUnknown = 5
)

// exitError is an error with the exit code that it ends the command with. An
// error without a text has been reported already.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

func usage(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}

// Settings are the keys of kumquatctl's settings file; flags win over them.
type Settings struct {
	// KV and Agent are host:port by IP number.
	KV    string `yaml:"kv" validate:"omitempty,hostname_port"`
	Agent string `yaml:"agent" validate:"omitempty,hostname_port"`
	// Keys is the directory with ca.pem, ctl.pem and ctl-key.pem.
	Keys   string `yaml:"keys"`
	Output string `yaml:"output" validate:"omitempty,oneof=table json"`
	Author string `yaml:"author"`
	// Timeout bounds a command.
	Timeout time.Duration `yaml:"timeout" validate:"min=1ms"`
}

const (
	defaultSettingsFile = "/etc/kumquatyard/kumquatctl.yaml"
	defaultKV           = "127.0.0.1:8500"
	defaultAgent        = "127.0.0.1:7100"
	defaultTimeout      = 30 * time.Second
	kvTimeout           = 5 * time.Second
	// slowAfter is when a command says that it is still trying.
	slowAfter = 2 * time.Second
)

func defaultSettings() Settings {
	return Settings{KV: defaultKV, Agent: defaultAgent, Output: "table", Author: os.Getenv("USER"), Timeout: defaultTimeout}
}

// app is one run of the command line.
type app struct {
	Settings
	stdout, stderr io.Writer
	now            func() time.Time
	kv             configstore.KV
	caller         link.Caller
}

// Main runs the command in args and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout, stderr: stderr, now: time.Now}
	command, err := a.parse(args)
	if err == nil {
		err = a.run(command)
	}
	if err == nil {
		return ExitAccepted
	}
	if err.Error() != "" {
		fmt.Fprintln(stderr, err)
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailure
}

func (a *app) run(command func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	a.kv = platform.NewKVClient(a.KV, kvTimeout)
	slow := time.AfterFunc(slowAfter, func() { fmt.Fprintf(a.stderr, "still trying, for up to %v\n", a.Timeout) })
	defer slow.Stop()
	return command(ctx)
}

// connect returns a caller of agents. Its connections are authenticated by the
// certificates in the key directory.
func (a *app) connect() (link.Caller, func(), error) {
	if a.caller != nil {
		return a.caller, func() {}, nil
	}
	if a.Keys == "" {
		return nil, nil, usage("an agent is reached with a certificate: set --keys DIR, or keys in %s", defaultSettingsFile)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool, err := link.NewPool(link.Settings{
		CertFile: filepath.Join(a.Keys, "ctl.pem"),
		KeyFile:  filepath.Join(a.Keys, "ctl-key.pem"),
		CAFile:   filepath.Join(a.Keys, "ca.pem"),
	}, logrus.NewEntry(log))
	if err != nil {
		return nil, nil, usage("certificates in %s: %w", a.Keys, err)
	}
	return pool, pool.Close, nil
}
