package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/platform"
)

const settingsText = `
node_name = "edge-1"
ip = "127.0.0.1"
zone = "a"
internal_ports = [7500,7515]
[listen]
frontend = "127.0.0.1:8360"
readiness = "127.0.0.1:8365"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_slack = 54
budget_window_s = 10
window_s = 5
[platform]
addr = "127.0.0.1:8361"
`

// lockedBuffer is written by the logger and read by the test.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) take() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := l.b.String()
	l.b.Reset()
	return text
}

// The file changes without a signal: bounds are in force, a file that is not valid
// changes nothing, and other keys wait for the next start.
func TestSettingsAreFollowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(settingsText)
	t.Setenv(platform.SettingsVariable, path)
	settings, err := platform.LoadSettings()
	if err != nil {
		t.Fatal(err)
	}
	var out lockedBuffer
	logger := logrus.New()
	logger.SetOutput(&out)
	log := logrus.NewEntry(logger)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go followSettings(ctx, settings, newInstance(settings, log), log)
	steps := []struct{ change, to, want string }{
		{"grace_s = 8", "grace_s = 5", "grace_ms=5000"},
		{`ip = "127.0.0.1"`, "ip = 7", "former ones stay in force"},
		{`zone = "a"`, `zone = "b"`, "apply from the next start"},
	}
	for _, step := range steps {
		write(strings.Replace(settingsText, step.change, step.to, 1))
		text := ""
		for deadline := time.Now().Add(10 * settingsInterval); !strings.Contains(text, step.want); text += out.take() {
			if time.Now().After(deadline) {
				t.Fatalf("after %s the log has no %q: %s", step.to, step.want, text)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
