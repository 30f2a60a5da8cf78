// Package reach judges whether this instance still reaches the backend servers. A server that
// this instance does not reach may serve the others well: a failed path says nothing about
// the server. The package does no I/O; its caller tells it what became of requests and of
// probes.
package reach

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"kumquatyard/internal/machine"
)

const (
	// silence is the time without a byte from any server after which requests that wait for
	// an answer count against the paths.
	silence = 300 * time.Millisecond
	// failureAge is how long a connection that could not be opened counts.
	failureAge = time.Second
	// silentServers and failedServers are the numbers of servers that give no sign, or that
	// accept no connections, from which on the paths are probed. A single server that is
	// silent or down does not matter.
	silentServers = 2
	failedServers = 3
)

// Watch judges the paths to all servers. It is safe for concurrent use.
type Watch struct {
	lost atomic.Bool
	// heardAt is when a server was last heard, in Unix nanoseconds.
	heardAt atomic.Int64

	mu      sync.Mutex
	waiting map[*Wait]bool
	// failed holds when a connection to a server could not be opened.
	failed map[machine.ID]time.Time
}

// Wait is a request that waits for a server's answer.
type Wait struct {
	server machine.ID
	since  time.Time
	// abort ends the request; nil if it must not be repeated.
	abort func()
}

// New returns a Watch that takes the paths for open.
func New() *Watch {
	return &Watch{waiting: make(map[*Wait]bool), failed: make(map[machine.ID]time.Time)}
}

// Lost reports whether this instance reaches no server.
func (w *Watch) Lost() bool { return w.lost.Load() }

// Begin records that a request is sent to a server. abort is called if the paths are found to
// be lost before an answer; it may be nil.
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
func (w *Watch) Heard(now time.Time) { w.heardAt.Store(now.UnixNano()) }

// Failed records that a connection to a server could not be opened.
func (w *Watch) Failed(server machine.ID, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed[server] = now
}

// MustProbe reports whether the paths have to be probed: they are lost, several servers accept
// no connections, or no server is heard though several have requests.
func (w *Watch) MustProbe(now time.Time) bool {
	if w.Lost() {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.failed, func(_ machine.ID, at time.Time) bool { return now.Sub(at) > failureAge })
	if len(w.failed) >= failedServers {
		return true
	}
	if now.Sub(time.Unix(0, w.heardAt.Load())) < silence {
		return false
	}
	silent := maps.Clone(w.failed)
	for wait := range w.waiting {
		if now.Sub(wait.since) >= silence {
			silent[wait.server] = wait.since
		}
	}
	return len(silent) >= silentServers
}

// Judge records the outcome of a round of probes, of which some opened a connection or none
// did, and reports whether that changes the judgment. Requests that wait for an answer are
// aborted when the paths are lost.
func (w *Watch) Judge(reached bool) (changed bool) {
	changed = w.lost.Swap(!reached) == reached
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.failed)
	if reached {
		return changed
	}
	for wait := range w.waiting {
		if wait.abort != nil {
			wait.abort()
		}
	}
	return changed
}
