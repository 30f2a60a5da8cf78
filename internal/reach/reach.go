// Package reach judges whether this instance reaches the backend servers. A server that this
// instance does not reach may serve the others well: a failed path says nothing about the
// server. The package does no I/O; its caller tells it what became of requests and of probes,
// which open connections without sending anything.
package reach

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kumquatyard/internal/machine"
)

const (
	// silence is the time without a byte from a server after which a request that waits there
	// for an answer puts the path to it in doubt.
	silence = 400 * time.Millisecond
	// reprobeInterval is the time between two probes of a path that is down.
	reprobeInterval = 400 * time.Millisecond
	// maxDoubtful bounds the servers that are probed at once.
	maxDoubtful = 12
	// silentServers is the number of paths that are down or in doubt, with nothing heard from
	// any server, from which on all paths are in doubt.
	silentServers = 2
	// openTime is how long after a byte from a server its open connections count as alive, though
	// new ones cannot be opened.
	openTime = time.Second
)

// Outcome is what became of an attempt to open a connection.
type Outcome int

const (
	// Opened means that a connection was opened.
	Opened Outcome = iota
	// Refused means that the attempt was answered by a refusal or a reset.
	Refused
	// Silent means that there was no answer.
	Silent
)

// Watch judges the paths to all servers. It is safe for concurrent use.
type Watch struct {
	lost atomic.Bool
	// heardAt is when a server was last heard, and heard holds that for each server
	// (machine.ID → *atomic.Int64), in Unix nanoseconds.
	heardAt atomic.Int64
	heard   sync.Map
	// down holds the servers to which the path is down; it is replaced as a whole.
	down atomic.Pointer[map[machine.ID]bool]

	mu      sync.Mutex
	waiting map[*Wait]bool
	// probed is when the path to a server was last probed.
	probed map[machine.ID]time.Time
}

// Wait is a request that waits for a server's answer.
type Wait struct {
	server machine.ID
	since  time.Time
	// abort ends the request; nil if it must not be repeated.
	abort func()
}

// New returns a Watch that takes all paths for open.
func New() *Watch {
	w := &Watch{waiting: make(map[*Wait]bool), probed: make(map[machine.ID]time.Time)}
	w.down.Store(&map[machine.ID]bool{})
	return w
}

// Lost reports whether this instance reaches no server.
func (w *Watch) Lost() bool { return w.lost.Load() }

// IsDown reports whether this instance does not reach a server.
func (w *Watch) IsDown(server machine.ID) bool { return w.Lost() || (*w.down.Load())[server] }

// Begin records that a request is sent to a server. abort is called if the path is found to be
// down before an answer; it may be nil.
func (w *Watch) Begin(server machine.ID, abort func(), now time.Time) *Wait {
	wait := &Wait{server: server, since: now, abort: abort}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[wait] = true
	return wait
}

// End records that a request does not wait any more.
func (w *Watch) End(wait *Wait) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, wait)
}

// Heard records that bytes from a server arrived.
func (w *Watch) Heard(server machine.ID, now time.Time) {
	at, ok := w.heard.Load(server)
	if !ok {
		at, _ = w.heard.LoadOrStore(server, new(atomic.Int64))
	}
	at.(*atomic.Int64).Store(now.UnixNano())
	w.heardAt.Store(now.UnixNano())
}

// heardWithin reports whether bytes from a server arrived within some time.
func (w *Watch) heardWithin(server machine.ID, d time.Duration, now time.Time) bool {
	at, ok := w.heard.Load(server)
	return ok && now.Sub(time.Unix(0, at.(*atomic.Int64).Load())) < d
}

// Failed records that a connection to a server could not be opened: the path is down until a
// probe opens one, unless open connections are alive.
func (w *Watch) Failed(server machine.ID, outcome Outcome, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setDown(server, w.isDownAfter(server, outcome, now))
	w.probed[server] = now
}

// isDownAfter reports whether a path is down after an attempt to open a connection. Open ones may
// live on while new ones are refused.
func (w *Watch) isDownAfter(server machine.ID, outcome Outcome, now time.Time) bool {
	return outcome == Silent || (outcome == Refused && !w.heardWithin(server, openTime, now))
}

// setDown records whether a path is down. It is called with mu held.
func (w *Watch) setDown(server machine.ID, isDown bool) {
	known := *w.down.Load()
	if known[server] == isDown {
		return
	}
	changed := maps.Clone(known)
	if isDown {
		changed[server] = true
	} else {
		delete(changed, server)
	}
	w.down.Store(&changed)
}

// Doubtful returns the servers to probe: those that are silent though a request waits there,
// and those to which the path is down.
func (w *Watch) Doubtful(now time.Time) []machine.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	doubtful := make(map[machine.ID]bool)
	for server := range *w.down.Load() {
		if now.Sub(w.probed[server]) >= reprobeInterval {
			doubtful[server] = true
		}
	}
	for wait := range w.waiting {
		if w.isSilent(wait, now) && now.Sub(w.probed[wait.server]) >= silence {
			doubtful[wait.server] = true
		}
	}
	list := slices.SortedFunc(maps.Keys(doubtful), func(a, b machine.ID) int {
		return cmp.Or(w.probed[a].Compare(w.probed[b]), cmp.Compare(a, b))
	})
	return list[:min(len(list), maxDoubtful)]
}

// isSilent reports whether nothing was heard of a server for some time, in which a request
// waited there.
func (w *Watch) isSilent(wait *Wait, now time.Time) bool {
	return now.Sub(wait.since) >= silence && !w.heardWithin(wait.server, silence, now)
}

// Probed records the outcome of a probe of a server. If the path is down, the requests that wait
// there are aborted.
func (w *Watch) Probed(server machine.ID, outcome Outcome, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probed[server] = now
	isDown := w.isDownAfter(server, outcome, now)
	w.setDown(server, isDown)
	if !isDown {
		return
	}
	for wait := range w.waiting {
		if wait.server == server {
			wait.end()
		}
	}
}

func (w *Wait) end() {
	if w.abort != nil {
		w.abort()
	}
}

// AllDoubtful reports whether all paths have to be probed: they are lost, or several are down
// or in doubt and no server is heard.
func (w *Watch) AllDoubtful(now time.Time) bool {
	if w.Lost() {
		return true
	}
	if now.Sub(time.Unix(0, w.heardAt.Load())) < silence {
		return false
	}
	silent := maps.Clone(*w.down.Load())
	w.mu.Lock()
	defer w.mu.Unlock()
	for wait := range w.waiting {
		if w.isSilent(wait, now) {
			silent[wait.server] = true
		}
	}
	return len(silent) >= silentServers
}

// Judge records whether probes of all paths have opened a connection, and reports whether that
// changes the judgment. Requests that wait for an answer are aborted when the paths are lost.
func (w *Watch) Judge(reached bool) (changed bool) {
	changed = w.lost.Swap(!reached) == reached
	w.mu.Lock()
	defer w.mu.Unlock()
	if reached {
		return changed
	}
	for wait := range w.waiting {
		wait.end()
	}
	return changed
}

// Retain drops what is known of servers for which keep is false.
func (w *Watch) Retain(keep func(machine.ID) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.probed, func(id machine.ID, _ time.Time) bool { return !keep(id) })
	for server := range *w.down.Load() {
		if !keep(server) {
			w.setDown(server, false)
		}
	}
	w.heard.Range(func(id, _ any) bool {
		if !keep(id.(machine.ID)) {
			w.heard.Delete(id)
		}
		return true
	})
}
