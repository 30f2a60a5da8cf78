package reach

import (
	"slices"
	"testing"
	"time"

	"kumquatyard/internal/machine"
)

var start = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// All paths are cut: connections hang, and requests on open ones get no answer.
func TestSilentServersPutAllPathsInDoubt(t *testing.T) {
	w := New()
	w.Heard("x", start)
	w.Begin("a", nil, start)
	if w.AllDoubtful(after(silence)) {
		t.Error("one silent server puts all paths in doubt")
	}
	w.Begin("b", nil, start)
	if w.AllDoubtful(after(silence - time.Millisecond)) {
		t.Errorf("all paths are in doubt before %v without a byte", silence)
	}
	if !w.AllDoubtful(after(silence)) {
		t.Errorf("the paths are not in doubt although two servers gave no sign for %v", silence)
	}
	w.Heard("x", after(silence))
	if w.AllDoubtful(after(silence)) {
		t.Error("all paths are in doubt although a server was heard")
	}
}

// Open connections live on while new ones are refused: what they can carry is not lost, and the
// path is down once they are silent.
func TestServerOnOpenConnectionsIsNotDown(t *testing.T) {
	w := New()
	for _, server := range []machine.ID{"a", "b", "c"} {
		w.Heard(server, start)
		w.Failed(server, Refused, start)
		w.Probed(server, Refused, start)
		if w.IsDown(server) {
			t.Errorf("the path to %s is down though it was heard", server)
		}
	}
	if w.AllDoubtful(start) {
		t.Error("all paths are in doubt though servers are heard")
	}
	for _, server := range []machine.ID{"a", "b", "c"} {
		w.Failed(server, Refused, after(openTime))
		if !w.IsDown(server) {
			t.Errorf("the path to %s is not down though it is silent and refuses connections", server)
		}
	}
	if !w.AllDoubtful(after(openTime)) {
		t.Error("the paths are not in doubt although all are down and no server is heard")
	}
}

func TestLostPathsAreProbedUntilTheyAreBack(t *testing.T) {
	w := New()
	aborted := 0
	w.Begin("a", func() { aborted++ }, start)
	done := w.Begin("b", func() { aborted += 10 }, start)
	w.Begin("c", nil, start)
	w.End(done)
	if !w.Judge(false) || !w.Lost() || !w.IsDown("z") || aborted != 1 {
		t.Errorf("lost %v and %d aborted, want the one request that waits and may be repeated", w.Lost(), aborted)
	}
	if w.Judge(false) {
		t.Error("the same judgment counts as a change")
	}
	w.Heard("x", after(time.Second))
	if !w.AllDoubtful(after(time.Second)) {
		t.Error("lost paths are not probed")
	}
	if !w.Judge(true) || w.Lost() || w.IsDown("z") {
		t.Error("the paths are still lost after a connection was opened")
	}
}

// One path is cut: the server is probed, its requests go elsewhere, and it is used again once a
// probe opens a connection.
func TestSinglePathIsDownUntilAProbeOpensAConnection(t *testing.T) {
	w := New()
	aborted := 0
	w.Begin("a", func() { aborted++ }, start)
	answered := w.Begin("b", func() { aborted += 10 }, start)
	w.Heard("b", after(silence))
	if got := w.Doubtful(after(silence)); !slices.Equal(got, []machine.ID{"a"}) {
		t.Fatalf("%v are in doubt, want the silent server a only", got)
	}
	w.Probed("a", Silent, after(silence))
	if !w.IsDown("a") || w.IsDown("b") || aborted != 1 {
		t.Errorf("a down: %v, b down: %v, %d aborted; want only a to be down and its request aborted", w.IsDown("a"), w.IsDown("b"), aborted)
	}
	w.End(answered)
	if got := w.Doubtful(after(silence + reprobeInterval - time.Millisecond)); len(got) > 0 {
		t.Errorf("%v are probed again at once", got)
	}
	if got := w.Doubtful(after(silence + reprobeInterval)); !slices.Equal(got, []machine.ID{"a"}) {
		t.Errorf("%v are probed, want the server to which the path is down", got)
	}
	w.Probed("a", Opened, after(time.Second))
	if w.IsDown("a") {
		t.Error("the path is down although a probe has opened a connection")
	}
}

// A server that is silent for a while and accepts connections is no reason to leave it.
func TestSilentServerThatAcceptsConnectionsIsNotDown(t *testing.T) {
	w := New()
	w.Begin("a", func() { t.Error("the request was aborted") }, start)
	w.Probed("a", Opened, after(silence))
	if w.IsDown("a") {
		t.Error("the path is down")
	}
}

func TestRetainDropsServersThatAreGone(t *testing.T) {
	w := New()
	w.Failed("a", Silent, start)
	w.Heard("a", start)
	w.Retain(func(machine.ID) bool { return false })
	if w.IsDown("a") || len(w.probed) > 0 || w.heardWithin("a", time.Hour, start) {
		t.Error("a server that is gone is still known")
	}
}
