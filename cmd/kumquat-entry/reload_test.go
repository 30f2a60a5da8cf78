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

const testSettings = `
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

// syncBuffer is a buffer for concurrent use by the logger and the test.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncBuffer) drain() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := l.b.String()
	l.b.Reset()
	return text
}

// The file changes without a signal: reloadable settings apply, an invalid file is
// ignored, and other settings apply at the next start.
func TestChangedSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(testSettings)
	t.Setenv(platform.SettingsVariable, path)
	settings, err := platform.LoadSettings()
	if err != nil {
		t.Fatal(err)
	}
	var out syncBuffer
	logger := logrus.New()
	logger.SetOutput(&out)
	log := logrus.NewEntry(logger)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go watchSettings(ctx, nil, settings, newInstance(settings, log), log)
	steps := []struct{ change, to, want string }{
		{"grace_s = 8", "grace_s = 5", "grace_ms=5000"},
		{`ip = "127.0.0.1"`, "ip = 7", "keeping the previous ones"},
		{`zone = "a"`, `zone = "b"`, "apply at the next start"},
	}
	for _, step := range steps {
		write(strings.Replace(testSettings, step.change, step.to, 1))
		text := ""
		for deadline := time.Now().Add(10 * settingsPollInterval); !strings.Contains(text, step.want); text += out.drain() {
			if time.Now().After(deadline) {
				t.Fatalf("log after changing the file to %s does not contain %q: %s", step.to, step.want, text)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
