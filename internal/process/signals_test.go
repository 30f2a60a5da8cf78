package process

import (
	"syscall"
	"testing"
	"time"
)

// Guards against programs that end at once when the platform tells them that the settings have
// changed: without HandleSignals, SIGHUP would end the test.
func TestHangupDoesNotEndTheProcess(t *testing.T) {
	signals := HandleSignals()
	for range 2 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-signals.Reload:
		case <-time.After(5 * time.Second):
			t.Fatal("SIGHUP was not received")
		}
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-signals.Stop.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("SIGTERM was not received")
	}
}
