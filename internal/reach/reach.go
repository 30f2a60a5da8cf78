// Package reach judges whether this instance reaches the backend servers. A server that this
// instance does not reach may serve the others well: a failed path says nothing about the
// server. Pools are judged one by one, since their servers may lie apart. The package does no I/O; its caller tells it what became of requests and of probes,
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
	// minRound is the number of paths that are probed at once, and roundShare the fraction of a
	// longer list that is, so that all of it is probed within seconds.
	minRound   = 12
	roundShare = 0.4
	// silentPaths is the number of a pool's paths that are down or in doubt, with nothing heard
	// from any of its servers, from which on all of them are in doubt. If as many are down as
	// were heard within knownTime, the others are probed.
	silentPaths = 2
	knownTime   = 2 * time.Second
	// openTime is how long after a byte from a server its open connections count as alive, though
	// new ones cannot be opened.
	openTime = time.Second
	// judgmentTime is how long the judgment holds that a pool is reached, whatever is silent.
	judgmentTime = time.Second
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

// Path is the way from this instance to a server of a pool.
type Path struct {
	Pool   string
	Server machine.ID
}

// Watch judges the paths to all servers. It is safe for concurrent use.
type Watch struct {
	// lost holds the pools of which no server is reached, and down the paths that are down; both
	// are replaced as a whole.
	lost atomic.Pointer[map[string]bool]
	down atomic.Pointer[map[Path]bool]
	// heard holds when bytes arrived on a path, and heardPools those of a pool (Path or string →
	// *atomic.Int64, in Unix nanoseconds).
	heard, heardPools sync.Map

	mu      sync.Mutex
	waiting map[*Wait]bool
	// probed is when a path was last probed, and reached when a pool was last judged to be
	// reached.
	probed  map[Path]time.Time
	reached map[string]time.Time
}

// Wait is a request that waits for a server's answer.
type Wait struct {
	path  Path
	since time.Time
	// abort ends the request; nil if it must not be repeated.
	abort func()
}

// New returns a Watch that takes all paths for open.
func New() *Watch {
	w := &Watch{waiting: make(map[*Wait]bool), probed: make(map[Path]time.Time), reached: make(map[string]time.Time)}
	w.lost.Store(&map[string]bool{})
	w.down.Store(&map[Path]bool{})
	return w
}

// Lost reports whether this instance reaches no server of a pool.
func (w *Watch) Lost(pool string) bool { return (*w.lost.Load())[pool] }

// IsDown reports whether this instance does not reach a server.
func (w *Watch) IsDown(path Path) bool { return w.Lost(path.Pool) || w.HasFailed(path) }

// HasFailed reports whether a path is down by itself, whether its pool is lost or not.
func (w *Watch) HasFailed(path Path) bool { return (*w.down.Load())[path] }

// DownShare returns the share of a pool's servers that this instance does not reach.
func (w *Watch) DownShare(pool string, servers []machine.ID) float64 {
	if w.Lost(pool) {
		return 1
	}
	failed := 0
	for _, server := range servers {
		if w.HasFailed(Path{pool, server}) {
			failed++
		}
	}
	return float64(failed) / float64(max(len(servers), 1))
}

// Begin records that a request is sent to a server. abort is called if the path is found to be
// down before an answer; it may be nil.
func (w *Watch) Begin(path Path, abort func(), now time.Time) *Wait {
	wait := &Wait{path: path, since: now, abort: abort}
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
func (w *Watch) Heard(path Path, now time.Time) {
	setTime(&w.heard, path, now)
	setTime(&w.heardPools, path.Pool, now)
}

func setTime(times *sync.Map, key any, now time.Time) {
	at, ok := times.Load(key)
	if !ok {
		at, _ = times.LoadOrStore(key, new(atomic.Int64))
	}
	at.(*atomic.Int64).Store(now.UnixNano())
}

// timeOf returns the time of a key; the start of 1970 if it has none.
func timeOf(times *sync.Map, key any) time.Time {
	at, ok := times.Load(key)
	if !ok {
		return time.Unix(0, 0)
	}
	return time.Unix(0, at.(*atomic.Int64).Load())
}

// heardWithin reports whether bytes from a server arrived within some time.
func (w *Watch) heardWithin(path Path, d time.Duration, now time.Time) bool {
	return now.Sub(timeOf(&w.heard, path)) < d
}

// Failed records that a connection to a server could not be opened: the path is down until a
// probe opens one, unless open connections are alive.
func (w *Watch) Failed(path Path, outcome Outcome, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setDown(path, w.isDownAfter(path, outcome, now))
	w.probed[path] = now
}

// isDownAfter reports whether a path is down after an attempt to open a connection. Open ones may
// live on while new ones are refused.
func (w *Watch) isDownAfter(path Path, outcome Outcome, now time.Time) bool {
	return outcome == Silent || (outcome == Refused && !w.heardWithin(path, openTime, now))
}

// setDown records whether a path is down. It is called with mu held.
func (w *Watch) setDown(path Path, isDown bool) { setMember(&w.down, path, isDown) }

// setMember replaces a set by one that has a member or lacks it.
func setMember[K comparable](set *atomic.Pointer[map[K]bool], key K, member bool) {
	known := *set.Load()
	if known[key] == member {
		return
	}
	changed := maps.Clone(known)
	if member {
		changed[key] = true
	} else {
		delete(changed, key)
	}
	set.Store(&changed)
}

// Doubtful returns the paths to probe: those to servers that are silent though a request waits
// there, and those that are down.
func (w *Watch) Doubtful(now time.Time) []Path {
	w.mu.Lock()
	defer w.mu.Unlock()
	doubtful := make(map[Path]bool)
	for path := range *w.down.Load() {
		if now.Sub(w.probed[path]) >= reprobeInterval {
			doubtful[path] = true
		}
	}
	for wait := range w.waiting {
		if w.isSilent(wait, now) && now.Sub(w.probed[wait.path]) >= silence {
			doubtful[wait.path] = true
		}
	}
	return w.round(slices.Collect(maps.Keys(doubtful)))
}

// round returns those of the paths that are probed next, the ones that were not probed for the
// longest time. It is called with mu held.
func (w *Watch) round(paths []Path) []Path {
	slices.SortFunc(paths, func(a, b Path) int {
		return cmp.Or(w.probed[a].Compare(w.probed[b]), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Server, b.Server))
	})
	return paths[:min(len(paths), max(minRound, int(roundShare*float64(len(paths)))))]
}

// Unverified returns paths to probe among those to the servers of a pool of which nothing is known
// at present, as many others of the pool are down.
func (w *Watch) Unverified(pool string, servers []machine.ID, now time.Time) []Path {
	w.mu.Lock()
	defer w.mu.Unlock()
	down, heard := 0, 0
	var unknown []Path
	for _, server := range servers {
		path := Path{pool, server}
		switch {
		case (*w.down.Load())[path]:
			down++
		case w.heardWithin(path, knownTime, now) || now.Sub(w.probed[path]) < knownTime:
			heard++
		default:
			unknown = append(unknown, path)
		}
	}
	if down < max(silentPaths, heard) {
		return nil
	}
	return w.round(unknown)
}

// isSilent reports whether nothing was heard of a server for some time, in which a request
// waited there.
func (w *Watch) isSilent(wait *Wait, now time.Time) bool {
	return now.Sub(wait.since) >= silence && !w.heardWithin(wait.path, silence, now)
}

// Probed records the outcome of a probe of a path. If it is down, the requests that wait there
// are aborted.
func (w *Watch) Probed(path Path, outcome Outcome, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probed[path] = now
	isDown := w.isDownAfter(path, outcome, now)
	w.setDown(path, isDown)
	if !isDown {
		return
	}
	for wait := range w.waiting {
		if wait.path == path {
			wait.end()
		}
	}
}

func (w *Wait) end() {
	if w.abort != nil {
		w.abort()
	}
}

// AllDoubtful reports whether all paths to a pool have to be probed: they are lost, or several are
// down or in doubt and none of its servers is heard.
func (w *Watch) AllDoubtful(pool string, now time.Time) bool {
	if w.Lost(pool) {
		return true
	}
	if now.Sub(timeOf(&w.heardPools, pool)) < silence {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.reached[pool]) < judgmentTime {
		return false
	}
	silent := make(map[Path]bool)
	for path := range *w.down.Load() {
		silent[path] = path.Pool == pool
	}
	for wait := range w.waiting {
		if wait.path.Pool == pool && w.isSilent(wait, now) {
			silent[wait.path] = true
		}
	}
	maps.DeleteFunc(silent, func(_ Path, isSilent bool) bool { return !isSilent })
	return len(silent) >= silentPaths
}

// Judge records whether probes of the paths to a pool have opened a connection, and reports
// whether that changes the judgment. When a pool is lost, the requests that wait for an answer of
// servers that were not heard since then are aborted.
func (w *Watch) Judge(pool string, reached bool, now time.Time) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed = w.Lost(pool) == reached
	setMember(&w.lost, pool, !reached)
	if reached {
		w.reached[pool] = now
		return changed
	}
	for wait := range w.waiting {
		if wait.path.Pool == pool && !timeOf(&w.heard, wait.path).After(wait.since) {
			wait.end()
		}
	}
	return changed
}

// Retain drops what is known of servers, and of pools, for which keep is false.
func (w *Watch) Retain(keepServer func(machine.ID) bool, keepPool func(string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	keep := func(path Path) bool { return keepServer(path.Server) && keepPool(path.Pool) }
	maps.DeleteFunc(w.probed, func(path Path, _ time.Time) bool { return !keep(path) })
	maps.DeleteFunc(w.reached, func(pool string, _ time.Time) bool { return !keepPool(pool) })
	for path := range *w.down.Load() {
		if !keep(path) {
			w.setDown(path, false)
		}
	}
	for pool := range *w.lost.Load() {
		if !keepPool(pool) {
			setMember(&w.lost, pool, false)
		}
	}
	w.heard.Range(func(path, _ any) bool {
		if !keep(path.(Path)) {
			w.heard.Delete(path)
		}
		return true
	})
	w.heardPools.Range(func(pool, _ any) bool {
		if !keepPool(pool.(string)) {
			w.heardPools.Delete(pool)
		}
		return true
	})
}
