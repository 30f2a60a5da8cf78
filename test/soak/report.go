package soak

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// readyTimeout bounds the time until all instances are ready.
const readyTimeout = 15 * time.Second

func awaitReady(t testing.TB, f *fleet) {
	t.Helper()
	end := time.Now().Add(readyTimeout)
	for _, i := range f.instances {
		for !i.ready() {
			if time.Now().After(end) {
				t.Fatalf("%s is not ready after %v", i.name, readyTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// faultLine formats a line of the fault log.
func faultLine(at time.Duration, format string, args ...any) string {
	return fmt.Sprintf("%7.3f s  %s", at.Seconds(), fmt.Sprintf(format, args...))
}

// report fails the test for each violation and logs the injected faults. If
// SOAK_LOGS names a directory, it copies the logs of the instances there.
func report(t testing.TB, f *fleet, r *recorder, lines []string) {
	t.Helper()
	if len(r.violations) == 0 {
		return
	}
	for _, v := range r.violations {
		t.Error(v)
	}
	for _, l := range lines {
		t.Log(l)
	}
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, i := range f.instances {
		data, err := os.ReadFile(i.logFile)
		if err == nil {
			err = os.WriteFile(fmt.Sprintf("%s/%s.log", dir, i.name), data, 0o600)
		}
		if err != nil {
			t.Log(err)
		}
	}
}
