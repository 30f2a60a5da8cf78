package reach

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kumquatyard/internal/machine"
)

var start = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// to returns the path to a server of the pool p.
func to(server machine.ID) Path { return Path{"p", server} }

// All paths are cut: connections hang, and requests on open ones get no answer.
func TestSilentServersPutAllPathsInDoubt(t *testing.T) {
	w := New()
	w.Heard(to("x"), start)
	w.Begin(to("a"), nil, start)
	if w.AllDoubtful("p", after(silence)) {
		t.Error("one silent server puts all paths in doubt")
	}
	w.Begin(to("b"), nil, start)
	if w.AllDoubtful("p", after(silence-time.Millisecond)) {
		t.Errorf("all paths are in doubt before %v without a byte", silence)
	}
	if !w.AllDoubtful("p", after(silence)) {
		t.Errorf("the paths are not in doubt although two servers gave no sign for %v", silence)
	}
	w.Heard(to("x"), after(silence))
	if w.AllDoubtful("p", after(silence)) {
		t.Error("all paths are in doubt although a server was heard")
	}
}

// Open connections live on while new ones are refused: what they can carry is not lost, and the
// path is down once they are silent.
func TestServerOnOpenConnectionsIsNotDown(t *testing.T) {
	w := New()
	for _, server := range []machine.ID{"a", "b", "c"} {
		w.Heard(to(server), start)
		w.Failed(to(server), Refused, start)
		w.Probed(to(server), Refused, start)
		if w.IsDown(to(server)) {
			t.Errorf("the path to %s is down though it was heard", server)
		}
	}
	if w.AllDoubtful("p", start) {
		t.Error("all paths are in doubt though servers are heard")
	}
	for _, server := range []machine.ID{"a", "b", "c"} {
		w.Failed(to(server), Refused, after(openTime))
		if !w.IsDown(to(server)) {
			t.Errorf("the path to %s is not down though it is silent and refuses connections", server)
		}
	}
	if !w.AllDoubtful("p", after(openTime)) {
		t.Error("the paths are not in doubt although all are down and no server is heard")
	}
}

func TestLostPathsAreProbedUntilTheyAreBack(t *testing.T) {
	w := New()
	aborted := 0
	w.Begin(to("a"), func() { aborted++ }, start)
	done := w.Begin(to("b"), func() { aborted += 10 }, start)
	w.Begin(to("c"), nil, start)
	w.End(done)
	if !w.Judge("p", false, start) || !w.Lost("p") || !w.IsDown(to("z")) || aborted != 1 {
		t.Errorf("lost %v and %d aborted, want the one request that waits and may be repeated", w.Lost("p"), aborted)
	}
	if w.Judge("p", false, start) {
		t.Error("the same judgment counts as a change")
	}
	w.Heard(to("x"), after(time.Second))
	if !w.AllDoubtful("p", after(time.Second)) {
		t.Error("lost paths are not probed")
	}
	if !w.Judge("p", true, after(time.Second)) || w.Lost("p") || w.IsDown(to("z")) {
		t.Error("the paths are still lost after a connection was opened")
	}
}

// One path is cut: the server is probed, its requests go elsewhere, and it is used again once a
// probe opens a connection.
func TestSinglePathIsDownUntilAProbeOpensAConnection(t *testing.T) {
	w := New()
	aborted := 0
	w.Begin(to("a"), func() { aborted++ }, start)
	answered := w.Begin(to("b"), func() { aborted += 10 }, start)
	w.Heard(to("b"), after(silence))
	if got := w.Doubtful(after(silence)); !slices.Equal(got, []Path{to("a")}) {
		t.Fatalf("%v are in doubt, want the silent server a only", got)
	}
	w.Probed(to("a"), Silent, after(silence))
	if !w.IsDown(to("a")) || w.IsDown(to("b")) || aborted != 1 {
		t.Errorf("a down: %v, b down: %v, %d aborted; want only a to be down and its request aborted", w.IsDown(to("a")), w.IsDown(to("b")), aborted)
	}
	w.End(answered)
	if got := w.Doubtful(after(silence + reprobeInterval - time.Millisecond)); len(got) > 0 {
		t.Errorf("%v are probed again at once", got)
	}
	if got := w.Doubtful(after(silence + reprobeInterval)); !slices.Equal(got, []Path{to("a")}) {
		t.Errorf("%v are probed, want the server to which the path is down", got)
	}
	w.Probed(to("a"), Opened, after(time.Second))
	if w.IsDown(to("a")) {
		t.Error("the path is down although a probe has opened a connection")
	}
}

// A server that is silent for a while and accepts connections is no reason to leave it.
func TestSilentServerThatAcceptsConnectionsIsNotDown(t *testing.T) {
	w := New()
	w.Begin(to("a"), func() { t.Error("the request was aborted") }, start)
	w.Probed(to("a"), Opened, after(silence))
	if w.IsDown(to("a")) {
		t.Error("the path is down")
	}
}

func TestRetainDropsServersThatAreGone(t *testing.T) {
	w := New()
	w.Failed(to("a"), Silent, start)
	w.Heard(to("a"), start)
	w.Judge("p", false, start)
	w.Retain(func(machine.ID) bool { return false }, func(string) bool { return false })
	if w.IsDown(to("a")) || len(w.probed) > 0 || w.heardWithin(to("a"), time.Hour, start) {
		t.Error("a server that is gone is still known")
	}
}

// A pool whose servers are silent is lost while another pool's are heard.
func TestOnePoolIsLost(t *testing.T) {
	w := New()
	other := Path{"q", "x"}
	w.Heard(other, after(silence))
	w.Begin(to("a"), nil, start)
	w.Begin(to("b"), nil, start)
	if !w.AllDoubtful("p", after(silence)) || w.AllDoubtful("q", after(silence)) {
		t.Errorf("p in doubt: %v, q in doubt: %v; want only the pool whose servers are silent", w.AllDoubtful("p", after(silence)), w.AllDoubtful("q", after(silence)))
	}
	w.Judge("p", false, after(silence))
	if !w.IsDown(to("z")) || w.IsDown(other) || w.Lost("q") {
		t.Errorf("p lost: %v, q lost: %v, want p only", w.Lost("p"), w.Lost("q"))
	}
	if w.DownShare("p", []machine.ID{"a", "b"}) != 1 || w.DownShare("q", []machine.ID{"x"}) != 0 {
		t.Error("not all paths of the lost pool are down, or some of the other")
	}
	w.Judge("p", true, after(silence))
	w.Probed(to("a"), Silent, after(silence))
	if share := w.DownShare("p", []machine.ID{"a", "b"}); share != 0.5 {
		t.Errorf("a share of %v is down, want one path of two", share)
	}
}

// A request at a server that was heard since it was sent goes on waiting when the pool is judged
// lost by probes of others.
func TestRequestAtAServerThatIsHeardIsNotAborted(t *testing.T) {
	w := New()
	aborted := 0
	w.Begin(to("a"), func() { aborted++ }, start)
	w.Begin(to("b"), func() { t.Error("a request at a server that was heard was aborted") }, start)
	w.Heard(to("b"), after(time.Millisecond))
	w.Judge("p", false, after(2*time.Millisecond))
	if aborted != 1 {
		t.Errorf("%d requests aborted, want the one at the silent server", aborted)
	}
}

// Most paths of a pool are cut: the others are probed, so that requests need not find them one by
// one, all within seconds, whether the pool has 6 servers or 163 (issue 36, RECOVER).
func TestCutPathsAreFoundByProbes(t *testing.T) {
	const rounds, roundTime = 8, 500 * time.Millisecond
	for _, size := range []int{6, 60, 163} {
		w := New()
		var servers []machine.ID
		for n := range size {
			servers = append(servers, machine.ID(fmt.Sprint("s", n)))
		}
		isOpen := func(n int) bool { return n%10 == 5 }
		for n, server := range servers {
			if isOpen(n) {
				w.Heard(to(server), start)
			}
		}
		for n := range silentPaths {
			w.Failed(to(servers[n]), Silent, start)
		}
		if size == 163 {
			// Fewer are down than were heard: nothing is probed for that.
			if got := w.Unverified("p", servers, start); len(got) > 0 {
				t.Errorf("%d paths are probed though most are open", len(got))
			}
		}
		numbers := make(map[machine.ID]int)
		for n, server := range servers {
			numbers[server] = n
		}
		for round := range rounds {
			now := after(time.Duration(round)*roundTime + knownTime)
			for _, path := range append(w.Doubtful(now), w.Unverified("p", servers, now)...) {
				outcome := Silent
				if isOpen(numbers[path.Server]) {
					outcome = Opened
				}
				w.Probed(path, outcome, now)
			}
		}
		for n, server := range servers {
			if w.IsDown(to(server)) == isOpen(n) {
				t.Errorf("%d servers: the path to %s is open: %v, down: %v", size, server, isOpen(n), w.IsDown(to(server)))
			}
		}
	}
}

// A pool that was just judged to be reached is not probed again at once.
func TestReachedPoolIsNotProbedAgainAtOnce(t *testing.T) {
	w := New()
	w.Failed(to("a"), Silent, start)
	w.Failed(to("b"), Silent, start)
	if !w.AllDoubtful("p", start) {
		t.Fatal("the pool is not in doubt")
	}
	w.Judge("p", true, start)
	if w.AllDoubtful("p", after(judgmentTime-1)) || !w.AllDoubtful("p", after(judgmentTime)) {
		t.Errorf("the pool is not in doubt again just after %v", judgmentTime)
	}
}
