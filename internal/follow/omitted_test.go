package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"kumquatyard/internal/store"
)

// Pattern: a configuration grows by 1,650 routes, and 295 instances read it from the store
// at once, which takes each of them four seconds. Meanwhile servers say that they leave.
func TestReadOfALargeValueDelaysNoOtherChange(t *testing.T) {
	h := &history{itemTime: 4 * time.Second}
	h.set("k-config", "small")
	h.set("k-server1", "serves")
	h.set("k-server2", "serves")
	runRelayed(t, h, func(feed chan Batch, m *mirror) {
		h.set("k-config", "large")
		h.set("k-server1", "leaves")
		feed <- omit(h.batch(3), "k-config")
		time.Sleep(400 * time.Millisecond)
		h.set("k-server2", "leaves")
		feed <- h.batch(5)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		for _, key := range []string{"k-server1", "k-server2"} {
			if m.state[key] != "leaves" {
				t.Errorf("%s = %q 0.1 s after its change was relayed, want leaves", key, m.state[key])
			}
		}
		for range 12 {
			time.Sleep(400 * time.Millisecond)
			feed <- h.batch(uint64(len(h.all())))
		}
		synctest.Wait()
		if m.state["k-config"] != "large" {
			t.Errorf("k-config = %q 5 s after its change, want large", m.state["k-config"])
		}
	})
}

// The value that arrives from the store belongs to a change that a later batch has
// overtaken; or the key was removed while it was read.
func TestOvertakenValueIsNotApplied(t *testing.T) {
	for _, remove := range []bool{false, true} {
		h := &history{itemTime: time.Second}
		h.set("k-config", "small")
		runRelayed(t, h, func(feed chan Batch, m *mirror) {
			h.set("k-config", "large")
			feed <- omit(h.batch(1), "k-config")
			time.Sleep(100 * time.Millisecond)
			if h.set("k-config", "small again"); remove {
				h.remove("k-config")
			}
			feed <- h.batch(2)
			time.Sleep(1500 * time.Millisecond)
			synctest.Wait()
			if diff := cmp.Diff(h.state(), m.state); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The store is restored and loses the change whose value is on its way.
func TestValueThatTheStoreLostIsNotApplied(t *testing.T) {
	h := &history{era: 1, itemTime: time.Second}
	h.set("k-config", "small")
	runRelayed(t, h, func(feed chan Batch, m *mirror) {
		h.set("k-config", "large")
		feed <- omit(h.batch(1), "k-config")
		time.Sleep(100 * time.Millisecond)
		h.restore(1)
		h.set("k-other", "a")
		feed <- h.batch(1)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		if diff := cmp.Diff(h.state(), m.state); diff != "" {
			t.Error(diff)
		}
	})
}

// A key was removed when its value was read, and has a large value again when the answer
// arrives.
func TestValueOfAKeyThatExistsAgainIsRead(t *testing.T) {
	h := &history{itemTime: time.Second}
	h.set("k-config", "small")
	runRelayed(t, h, func(feed chan Batch, m *mirror) {
		h.set("k-config", "large")
		first := omit(h.batch(1), "k-config")
		h.remove("k-config")
		feed <- first
		time.Sleep(100 * time.Millisecond)
		feed <- h.batch(2)
		h.set("k-config", "large again")
		feed <- omit(h.batch(3), "k-config")
		for range 8 {
			time.Sleep(400 * time.Millisecond)
			feed <- h.batch(4)
		}
		synctest.Wait()
		if diff := cmp.Diff(h.state(), m.state); diff != "" {
			t.Error(diff)
		}
	})
}

// staleItems returns single items as they were before their last change, for a while.
type staleItems struct {
	*history
	until time.Time
}

func (s staleItems) Item(ctx context.Context, key string) (store.Item, error) {
	if time.Now().Before(s.until) {
		return store.Item{Key: key, Value: []byte("old"), Revision: s.revision(1)}, nil
	}
	return s.history.Item(ctx, key)
}

// A copy of the store that lags returns a value as it was before the change.
func TestEarlierValueIsReadAgain(t *testing.T) {
	h := &history{}
	h.set("k1", "old")
	h.set("k1", "new")
	synctest.Test(t, func(t *testing.T) {
		role := Relayed
		f, m, _ := newRelayedFollower(h, &role)
		f.Store = staleItems{h, time.Now().Add(time.Second)}
		f.readOmitted(t.Context(), omit(h.batch(1), "k1").Changes[0])
		f.applyRead(t.Context(), <-f.omitted.read)
		if m.state["k1"] != "new" {
			t.Errorf("k1 = %q, want new", m.state["k1"])
		}
	})
}

// A value of a later era shows that the store was restored: everything is read again.
func TestValueOfALaterEraIsNotApplied(t *testing.T) {
	h := &history{era: 1}
	h.set("k1", "large")
	synctest.Test(t, func(t *testing.T) {
		role := Relayed
		f, m, _ := newRelayedFollower(h, &role)
		change := omit(h.batch(0), "k1").Changes[0]
		h.restore(1)
		f.readOmitted(t.Context(), change)
		f.applyRead(t.Context(), <-f.omitted.read)
		if len(m.state) > 0 || !f.behind {
			t.Errorf("state %v, behind %v; want nothing applied and all read again", m.state, f.behind)
		}
	})
}

// A value that is too large for a datagram is read from the store until that succeeds.
func TestOmittedValueIsReadFromStore(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	runRelayed(t, h, func(feed chan Batch, m *mirror) {
		h.set("k1", "large")
		h.setDown(true)
		feed <- omit(h.batch(1), "k1")
		time.Sleep(500 * time.Millisecond)
		h.setDown(false)
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		if m.state["k1"] != "large" {
			t.Errorf("k1 = %q, want large", m.state["k1"])
		}
	})
}
