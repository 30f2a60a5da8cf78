package follow

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/store"
)

// history is a store that keeps all its changes.
type history struct {
	mu      sync.Mutex
	changes []store.Item
	calls   int
	down    bool
}

func (h *history) set(key, value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, store.Item{Key: key, Value: []byte(value), Revision: uint64(len(h.changes)) + 1})
}

func (h *history) remove(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, store.Item{Key: key, Removed: true, Revision: uint64(len(h.changes)) + 1})
}

// called counts a call and reports whether the store is down.
func (h *history) called() (down bool) {
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

// all returns the changes so far.
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
	if h.called() {
		return store.Item{}, errAway
	}
	found := store.Item{Key: key}
	for _, c := range h.all() {
		switch {
		case c.Key != key:
		case c.Removed:
			found = store.Item{Key: key}
		default:
			found = c
		}
	}
	return found, nil
}

func (h *history) List(context.Context, string) ([]store.Item, uint64, error) {
	if h.called() {
		return nil, 0, errAway
	}
	newest := make(map[string]store.Item)
	changes := h.all()
	for _, c := range changes {
		if delete(newest, c.Key); !c.Removed {
			newest[c.Key] = c
		}
	}
	return slices.Collect(maps.Values(newest)), uint64(len(changes)), nil
}

func (h *history) Watch(_ context.Context, _ string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	if h.called() {
		return nil, 0, errAway
	}
	if int(after) == len(h.all()) {
		time.Sleep(wait)
	}
	changes := h.all()
	return changes[after:], uint64(len(changes)), nil
}

// batch is what a reader passes on after reading the changes after a revision.
func (h *history) batch(after uint64) Batch {
	changes := h.all()
	b := Batch{After: after, Revision: uint64(len(changes)), ReadAt: time.Now()}
	for _, c := range changes[after:] {
		b.Changes = append(b.Changes, Change{Item: c})
	}
	return b
}

// mirror keeps what a follower tells of.
type mirror struct {
	state  map[string]string
	lapsed time.Time
}

func (m *mirror) Resync(items []store.Item, _, _ time.Time) {
	m.state = make(map[string]string)
	m.Change(items, time.Time{}, time.Time{})
}

func (m *mirror) Change(items []store.Item, _, lapsedUntil time.Time) {
	m.lapsed = lapsedUntil
	for _, c := range items {
		if delete(m.state, c.Key); !c.Removed {
			m.state[c.Key] = string(c.Value)
		}
	}
}

// newFed returns a follower that is fed, with what it tells of.
func newFed(h *history, role *Role) (*Follower, *mirror, chan Batch) {
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

// fedFor runs a fed follower in simulated time and lets script act meanwhile.
func fedFor(t *testing.T, h *history, script func(feed chan Batch, m *mirror)) *mirror {
	t.Helper()
	var m *mirror
	synctest.Test(t, func(t *testing.T) {
		role := Relayed
		var f *Follower
		var feed chan Batch
		f, m, feed = newFed(h, &role)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		synctest.Wait()
		script(feed, m)
		cancel()
		<-done
	})
	return m
}

// Many instances watch one store: those that are fed make no calls of their own.
func TestFedInstanceMakesNoCalls(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	var calls int
	m := fedFor(t, h, func(feed chan Batch, _ *mirror) {
		calls = h.count()
		for i := range 100 {
			before := uint64(len(h.all()))
			h.set("k2", fmt.Sprint(i))
			feed <- h.batch(before)
			time.Sleep(300 * time.Millisecond)
		}
		calls = h.count() - calls
	})
	if calls != 0 {
		t.Errorf("%d calls in 30 s of being fed, want none", calls)
	}
	if diff := cmp.Diff(h.state(), m.state); diff != "" {
		t.Error(diff)
	}
}

// The reader dies: changes are known 1.5 s later at most, which leaves time to
// act within two seconds.
func TestSilentReaderIsReplacedByOwnReads(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	fedFor(t, h, func(feed chan Batch, m *mirror) {
		feed <- h.batch(1)
		time.Sleep(100 * time.Millisecond)
		h.set("k1", "b")
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		if m.state["k1"] != "b" {
			t.Errorf("k1 = %q 1.5 s after its change, want b", m.state["k1"])
		}
	})
}

// A reader that is cut off from the store goes on sending what it knows: that is
// no news, and this instance reads for itself.
func TestOldNewsIsNoNews(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	fedFor(t, h, func(feed chan Batch, m *mirror) {
		old := h.batch(1)
		h.set("k1", "b")
		for range 15 {
			feed <- old
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		if m.state["k1"] != "b" {
			t.Errorf("k1 = %q 1.5 s after its change, want b", m.state["k1"])
		}
	})
}

// A datagram is lost: the changes are read from the store at once.
func TestGapIsReadFromTheStore(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	fedFor(t, h, func(feed chan Batch, m *mirror) {
		h.set("k1", "lost")
		h.set("k2", "c")
		feed <- h.batch(2)
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		if diff := cmp.Diff(h.state(), m.state); diff != "" {
			t.Error(diff)
		}
	})
}

// A value that is too large for a datagram is read by its key; while the store is
// away the change is not taken for done.
func TestOmittedValueIsRead(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	fedFor(t, h, func(feed chan Batch, m *mirror) {
		h.set("k1", "large")
		b := h.batch(1)
		b.Changes[0].Value, b.Changes[0].ValueOmitted = nil, true
		h.setDown(true)
		feed <- b
		time.Sleep(500 * time.Millisecond)
		h.setDown(false)
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		if m.state["k1"] != "large" {
			t.Errorf("k1 = %q, want large", m.state["k1"])
		}
	})
}

// The store is away from this instance alone: news of the reader goes on to be
// taken, and tells of lapses.
func TestInstanceCutOffFromTheStoreIsFed(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	fedFor(t, h, func(feed chan Batch, m *mirror) {
		h.setDown(true)
		time.Sleep(3 * time.Second)
		h.remove("k1")
		b := h.batch(1)
		b.ExpiryGraceUntil = time.Now().Add(time.Second)
		feed <- b
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		if _, ok := m.state["k1"]; ok {
			t.Error("the removal was not taken")
		}
		if m.lapsed.Before(b.ExpiryGraceUntil) {
			t.Error("the removal was not marked as a possible lapse")
		}
	})
}

// An instance loses the store and misses what is read until another instance
// knows of that: the reader sends it all that it lacks.
func TestCutOffInstanceGetsWhatItMissed(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	fedFor(t, h, func(feed chan Batch, m *mirror) {
		h.setDown(true)
		h.set("k1", "missed")
		h.set("k2", "missed too")
		var sent []Batch
		reader := &Follower{Subscriptions: []Subscription{{Prefix: "k"}}, Role: func() Role { return Relay }, Publish: func(b Batch) { sent = append(sent, b) }}
		reader.publish(1, 3, h.all()[1:3], time.Now())
		feed <- Batch{After: 3, Revision: 3, ReadAt: time.Now()}
		time.Sleep(2 * time.Second)
		reader.ReplayFrom = func() uint64 { return 1 }
		h.set("k3", "c")
		reader.publish(3, 4, h.all()[3:], time.Now())
		feed <- sent[1]
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		if diff := cmp.Diff(h.state(), m.state); diff != "" {
			t.Error(diff)
		}
	})
}

// An instance that is fed although its own calls fail does not count as one that
// could read for others.
func TestFedInstanceThatIsCutOffStaysCutOff(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	synctest.Test(t, func(t *testing.T) {
		role := Relayed
		f, _, feed := newFed(h, &role)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		synctest.Wait()
		h.setDown(true)
		time.Sleep(2 * time.Second)
		if !f.StoreUnreachable() || !f.Disconnected() {
			t.Error("an instance whose calls fail does not say so")
		}
		h.set("k1", "b")
		feed <- h.batch(1)
		time.Sleep(500 * time.Millisecond)
		if !f.StoreUnreachable() || f.Disconnected() {
			t.Errorf("fed: cut off %v, away %v; want cut off and not away", f.StoreUnreachable(), f.Disconnected())
		}
		h.setDown(false)
		time.Sleep(2 * time.Second)
		if f.StoreUnreachable() {
			t.Error("an instance that reaches the store again says that it does not")
		}
		cancel()
		<-done
	})
}
