// Package ctl implements the operators' command-line tool, kumquatctl.
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
	// ExitAccepted means that the command succeeded.
	ExitAccepted = 0
	// ExitFailure means that the command failed and changed nothing.
	ExitFailure = 1
	// ExitUsage means that a flag, a setting or a file is invalid.
	ExitUsage = settings.ExitInvalid
	// ExitRefused means that the change failed validation.
	ExitRefused = 3
	// ExitConflict means that the change touches documents that were modified
	// after they were read.
	ExitConflict = 4
	// ExitUnknown means that the change may or may not have been accepted.
	ExitUnknown = 5
)

// exitError is an error with the command's exit code. A nil err means that the
// error has been reported already.
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

// usage returns an exitError with ExitUsage.
func usage(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}

// Settings are the keys of kumquatctl's settings file. Flags take precedence.
type Settings struct {
	// KV and Agent are addresses in the form IP:port.
	KV    string `yaml:"kv" validate:"omitempty,hostname_port"`
	Agent string `yaml:"agent" validate:"omitempty,hostname_port"`
	// Keys is the directory with ca.pem, ctl.pem and ctl-key.pem.
	Keys   string `yaml:"keys"`
	Output string `yaml:"output" validate:"omitempty,oneof=table json"`
	Author string `yaml:"author"`
	// Timeout bounds the duration of a command.
	Timeout time.Duration `yaml:"timeout" validate:"min=1ms"`
}

const (
	defaultSettingsFile = "/etc/kumquatyard/kumquatctl.yaml"
	defaultKV           = "127.0.0.1:8500"
	defaultAgent        = "127.0.0.1:7100"
	defaultTimeout      = 30 * time.Second
	kvTimeout           = 5 * time.Second
	// progressDelay is the time after which a running command prints that it is
	// still trying.
	progressDelay = 2 * time.Second
)

func defaultSettings() Settings {
	return Settings{KV: defaultKV, Agent: defaultAgent, Output: "table", Author: os.Getenv("USER"), Timeout: defaultTimeout}
}

// app is one invocation of kumquatctl.
type app struct {
	Settings
	stdout, stderr io.Writer
	now            func() time.Time
	kv             configstore.KV
	caller         link.Caller
	forms          []Form
}

// Main runs the command in args and returns its exit code. forms are the forms of
// configurations that check knows beside the documents.
func Main(args []string, stdout, stderr io.Writer, forms ...Form) int {
	a := &app{stdout: stdout, stderr: stderr, now: time.Now, forms: forms}
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
	progress := time.AfterFunc(progressDelay, func() { fmt.Fprintf(a.stderr, "still trying, for up to %v in total\n", a.Timeout) })
	defer progress.Stop()
	return command(ctx)
}

// connect returns a caller of agents, which authenticates with the certificates
// in the key directory, and a function that closes it.
func (a *app) connect() (link.Caller, func(), error) {
	if a.caller != nil {
		return a.caller, func() {}, nil
	}
	if a.Keys == "" {
		return nil, nil, usage("calling an agent requires a certificate: set --keys DIR, or keys in %s", defaultSettingsFile)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool, err := link.NewPool(link.Settings{
		CertFile: filepath.Join(a.Keys, "ctl.pem"),
		KeyFile:  filepath.Join(a.Keys, "ctl-key.pem"),
		CAFile:   filepath.Join(a.Keys, "ca.pem"),
	}, logrus.NewEntry(log))
	if err != nil {
		return nil, nil, usage("load the certificates in %s: %w", a.Keys, err)
	}
	return pool, pool.Close, nil
}
