package reach

import (
	"testing"
	"time"

	"kumquatyard/internal/machine"
)

var start = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// All paths are cut: connections hang, and requests on open ones get no answer.
func TestSilentServersAreProbed(t *testing.T) {
	w := New()
	w.Heard(start)
	w.Begin("a", nil, start)
	if w.MustProbe(after(silence)) {
		t.Error("one silent server leads to probes")
	}
	w.Begin("b", nil, start)
	if w.MustProbe(after(silence - time.Millisecond)) {
		t.Errorf("probes before %v without a byte", silence)
	}
	if !w.MustProbe(after(silence)) {
		t.Errorf("no probes although two servers gave no sign for %v", silence)
	}
	w.Heard(after(silence))
	if w.MustProbe(after(silence)) {
		t.Error("probes although a server was heard")
	}
}

// Open connections live on while new ones are refused.
func TestRefusedConnectionsAreProbed(t *testing.T) {
	w := New()
	for n, server := range []string{"a", "b", "c"} {
		if w.MustProbe(start) && n > 0 {
			t.Errorf("probes after %d servers refused connections", n)
		}
		w.Heard(start)
		w.Failed(machine.ID(server), start)
	}
	if !w.MustProbe(start) {
		t.Error("no probes although three servers refused connections")
	}
	if w.MustProbe(after(failureAge + time.Millisecond)) {
		t.Error("probes for failures of long ago, with no request waiting")
	}
}

func TestLostPathsAreProbedUntilTheyAreBack(t *testing.T) {
	w := New()
	aborted := 0
	w.Begin("a", func() { aborted++ }, start)
	done := w.Begin("b", func() { aborted += 10 }, start)
	w.Begin("c", nil, start)
	w.End(done)
	if !w.Judge(false) || !w.Lost() || aborted != 1 {
		t.Errorf("lost %v and %d aborted, want the one request that waits and may be repeated", w.Lost(), aborted)
	}
	if w.Judge(false) {
		t.Error("the same judgment counts as a change")
	}
	w.Heard(after(time.Second))
	if !w.MustProbe(after(time.Second)) {
		t.Error("lost paths are not probed")
	}
	if !w.Judge(true) || w.Lost() {
		t.Error("the paths are still lost after a connection was opened")
	}
}
