package follow

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/store"
)

// history is a store that keeps all its changes.
type history struct {
	mu      sync.Mutex
	changes []store.Item
	era     uint64
	calls   int
	down    bool
	// staleBy is the number of changes that stale lists lack, and compacted the number of
	// changes that watches cannot return any more.
	staleBy, compacted int
	// maxEvents bounds the changes that a watch returns; 0 means no bound.
	maxEvents int
	// itemTime is how long an item takes from the store to the caller.
	itemTime time.Duration
}

func (h *history) set(key, value string) { h.change(store.Item{Key: key, Value: []byte(value)}) }

func (h *history) remove(key string) { h.change(store.Item{Key: key, Removed: true}) }

func (h *history) change(item store.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	item.Revision = store.Revision{Era: h.era, Number: uint64(len(h.changes)) + 1}
	h.changes = append(h.changes, item)
}

// restore loses all changes but the first n, and starts a new era.
func (h *history) restore(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.era++
	h.changes = slices.Clone(h.changes[:n])
	for i := range h.changes {
		h.changes[i].Revision.Era = h.era
	}
}

// Era implements store.Reader.
func (h *history) Era() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.era
}

// revision returns a revision of the current era.
func (h *history) revision(number uint64) store.Revision {
	return store.Revision{Era: h.Era(), Number: number}
}

// recordCall counts a call and reports whether the store is down.
func (h *history) recordCall() (down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	return h.down
}

func (h *history) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// all returns all changes.
func (h *history) all() []store.Item {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changes
}

func (h *history) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls
}

func (h *history) state() map[string]string {
	state := make(map[string]string)
	for _, c := range h.all() {
		if delete(state, c.Key); !c.Removed {
			state[c.Key] = string(c.Value)
		}
	}
	return state
}

func (h *history) Item(_ context.Context, key string) (store.Item, error) {
	if h.recordCall() {
		return store.Item{}, errStoreDown
	}
	found := store.Item{Key: key, Revision: h.revision(0)}
	for _, c := range h.all() {
		switch {
		case c.Key != key:
		case c.Removed:
			found = store.Item{Key: key, Revision: h.revision(0)}
		default:
			found = c
		}
	}
	time.Sleep(h.itemTime)
	return found, nil
}

func (h *history) List(_ context.Context, _ string, consistency store.Consistency) ([]store.Item, store.Revision, error) {
	if h.recordCall() {
		return nil, store.Revision{}, errStoreDown
	}
	newest := make(map[string]store.Item)
	changes := h.all()
	if consistency == store.MaybeStale {
		changes = changes[:max(len(changes)-h.staleBy, 0)]
	}
	for _, c := range changes {
		if delete(newest, c.Key); !c.Removed {
			newest[c.Key] = c
		}
	}
	return slices.Collect(maps.Values(newest)), h.revision(uint64(len(changes))), nil
}

func (h *history) Watch(_ context.Context, _ string, after store.Revision, wait time.Duration) ([]store.Item, store.Revision, error) {
	if h.recordCall() {
		return nil, store.Revision{}, errStoreDown
	}
	if after.Era != h.Era() {
		return nil, store.Revision{}, store.ErrRestored
	}
	if int(after.Number) < h.compacted {
		return nil, store.Revision{}, store.ErrCompacted
	}
	if int(after.Number) == len(h.all()) {
		time.Sleep(wait)
	}
	changes := h.all()
	if h.maxEvents > 0 {
		changes = changes[:min(len(changes), int(after.Number)+h.maxEvents)]
	}
	return changes[after.Number:], h.revision(uint64(len(changes))), nil
}

// batch returns what a relay sends after reading the changes after a revision.
func (h *history) batch(after uint64) Batch {
	changes := h.all()
	b := Batch{After: h.revision(after), Revision: h.revision(uint64(len(changes))), ReadAt: time.Now()}
	for _, c := range changes[after:] {
		b.Changes = append(b.Changes, Change{Item: c})
	}
	return b
}

// mirror is a Handler that keeps the items it received.
type mirror struct {
	state      map[string]string
	graceUntil time.Time
	resyncs    int
}

func (m *mirror) Resync(items []store.Item, _, expiryGraceUntil time.Time) {
	m.state = make(map[string]string)
	m.resyncs++
	m.Change(items, time.Time{}, expiryGraceUntil)
}

func (m *mirror) Change(items []store.Item, _, expiryGraceUntil time.Time) {
	m.graceUntil = expiryGraceUntil
	for _, c := range items {
		if delete(m.state, c.Key); !c.Removed {
			m.state[c.Key] = string(c.Value)
		}
	}
}

// newRelayedFollower returns a Follower in the given role, its handler and its feed.
func newRelayedFollower(h *history, role *Role) (*Follower, *mirror, chan Batch) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &mirror{state: make(map[string]string)}
	feed := make(chan Batch, 64)
	f := &Follower{
		Store: h, Subscriptions: []Subscription{{Prefix: "k", Handler: m}}, Pause: func() time.Duration { return 100 * time.Millisecond },
		Role: func() Role { return *role }, Feed: feed, Log: logrus.NewEntry(log),
	}
	return f, m, feed
}

// runRelayed runs a relayed Follower in simulated time while script acts on it.
func runRelayed(t *testing.T, h *history, script func(feed chan Batch, m *mirror)) *mirror {
	t.Helper()
	var m *mirror
	synctest.Test(t, func(t *testing.T) {
		role := Relayed
		var f *Follower
		var feed chan Batch
		f, m, feed = newRelayedFollower(h, &role)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		// The first read ends before the script begins.
		time.Sleep(2 * probeWait)
		synctest.Wait()
		script(feed, m)
		cancel()
		<-done
	})
	return m
}

// omit leaves out the values of a key in a batch, as a relay does with large ones.
func omit(b Batch, key string) Batch {
	for i, c := range b.Changes {
		if c.Key == key && !c.Removed {
			b.Changes[i].Value, b.Changes[i].ValueOmitted = nil, true
		}
	}
	return b
}
