package soak

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// readyTime bounds the start of all instances.
const readyTime = 15 * time.Second

func awaitReady(t testing.TB, f *fleet) {
	t.Helper()
	end := time.Now().Add(readyTime)
	for _, i := range f.instances {
		for !i.ready() {
			if time.Now().After(end) {
				t.Fatalf("%s is not ready after %v", i.name, readyTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// line is a line of the log of faults.
func line(at time.Duration, format string, args ...any) string {
	return fmt.Sprintf("%7.3f s  %s", at.Seconds(), fmt.Sprintf(format, args...))
}

// report fails the test for each broken promise, and keeps the logs of the
// instances where SOAK_LOGS names a directory.
func report(t testing.TB, f *fleet, r *record, lines []string) {
	t.Helper()
	if len(r.broken) == 0 {
		return
	}
	for _, b := range r.broken {
		t.Error(b)
	}
	for _, l := range lines {
		t.Log(l)
	}
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, i := range f.instances {
		data, err := os.ReadFile(i.log)
		if err == nil {
			err = os.WriteFile(fmt.Sprintf("%s/%s.log", dir, i.name), data, 0o600)
		}
		if err != nil {
			t.Log(err)
		}
	}
}
