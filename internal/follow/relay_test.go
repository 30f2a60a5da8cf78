package follow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"kumquatyard/internal/store"
)

// Relayed instances keep the load on the store independent of their number: they
// make no calls while batches arrive.
func TestRelayedInstanceMakesNoStoreCalls(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	var calls int
	m := runRelayed(t, h, func(feed chan Batch, _ *mirror) {
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
		t.Errorf("%d store calls in 30 s of relayed batches, want none", calls)
	}
	if diff := cmp.Diff(h.state(), m.state); diff != "" {
		t.Error(diff)
	}
}

// When the relay dies, a change is known at most 1.5 s later, which leaves time to
// act on it within two seconds.
func TestUnresponsiveRelayFallsBackToDirectReads(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	runRelayed(t, h, func(feed chan Batch, m *mirror) {
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

// A relay that lost the store keeps sending its last answer: the relayed instance
// must treat it as stale and read the store itself.
func TestStaleRelayFallsBackToDirectReads(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	runRelayed(t, h, func(feed chan Batch, m *mirror) {
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

// After a lost datagram the changes are read from the store at once.
func TestMissedBatchIsReadFromStore(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	runRelayed(t, h, func(feed chan Batch, m *mirror) {
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

// Only this instance does not reach the store: it applies the relay's batches,
// including their lease expiry grace.
func TestRelayedBatchesApplyWhileStoreIsUnreachable(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	runRelayed(t, h, func(feed chan Batch, m *mirror) {
		h.setDown(true)
		time.Sleep(3 * time.Second)
		h.remove("k1")
		b := h.batch(1)
		b.ExpiryGraceUntil = time.Now().Add(time.Second)
		feed <- b
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		if _, ok := m.state["k1"]; ok {
			t.Error("the relayed removal was not applied")
		}
		if m.graceUntil.Before(b.ExpiryGraceUntil) {
			t.Error("the relayed removal was not marked as a possible lease expiry")
		}
	})
}

// An instance loses the store and misses changes until the relay learns of it: the
// relay then replays the missed changes.
func TestRelayReplaysChangesMissedByDisconnectedInstance(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	runRelayed(t, h, func(feed chan Batch, m *mirror) {
		h.setDown(true)
		h.set("k1", "missed")
		h.set("k2", "missed too")
		var sent []Batch
		relay := &Follower{Subscriptions: []Subscription{{Prefix: "k"}}, Role: func() Role { return Relay }, Publish: func(b Batch) { sent = append(sent, b) }}
		relay.publish(h.revision(1), h.revision(3), h.all()[1:3], time.Now())
		feed <- Batch{After: h.revision(3), Revision: h.revision(3), ReadAt: time.Now()}
		time.Sleep(2 * time.Second)
		relay.ReplayFrom = func(era uint64) store.Revision { return store.Revision{Era: era, Number: 1} }
		h.set("k3", "c")
		relay.publish(h.revision(3), h.revision(4), h.all()[3:], time.Now())
		feed <- sent[1]
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		if diff := cmp.Diff(h.state(), m.state); diff != "" {
			t.Error(diff)
		}
	})
}

// Relayed batches must not hide that an instance's own calls fail, since it could
// otherwise be picked as the relay.
func TestRelayedBatchesDoNotClearStoreUnreachable(t *testing.T) {
	h := &history{}
	h.set("k1", "a")
	synctest.Test(t, func(t *testing.T) {
		role := Relayed
		f, _, feed := newRelayedFollower(h, &role)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		synctest.Wait()
		h.setDown(true)
		time.Sleep(2 * time.Second)
		if !f.StoreUnreachable() || !f.Disconnected() {
			t.Error("StoreUnreachable and Disconnected are not both set after 2 s of failed calls")
		}
		h.set("k1", "b")
		feed <- h.batch(1)
		time.Sleep(500 * time.Millisecond)
		if !f.StoreUnreachable() || f.Disconnected() {
			t.Errorf("with relayed batches: store unreachable %v, disconnected %v; want unreachable and not disconnected", f.StoreUnreachable(), f.Disconnected())
		}
		h.setDown(false)
		time.Sleep(2 * time.Second)
		if f.StoreUnreachable() {
			t.Error("StoreUnreachable is still set 2 s after the store's recovery")
		}
		cancel()
		<-done
	})
}

// A restored store assigns the same revision numbers again. Batches of the new era make
// a relayed instance list the store; late batches of the earlier era change nothing.
func TestRestoredStoreIsListedAgain(t *testing.T) {
	h := &history{era: 1}
	h.set("k1", "a")
	runRelayed(t, h, func(feed chan Batch, m *mirror) {
		h.set("k1", "lost")
		h.set("k2", "lost")
		old := h.batch(1)
		feed <- old
		time.Sleep(100 * time.Millisecond)
		h.restore(1)
		h.set("k3", "c")
		feed <- h.batch(1)
		time.Sleep(100 * time.Millisecond)
		feed <- old
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if diff := cmp.Diff(h.state(), m.state); diff != "" {
			t.Error(diff)
		}
		if m.graceUntil.Before(time.Now().Add(time.Second)) {
			t.Error("missing entries get no time to be written again after the restore")
		}
	})
}

// A starting instance reads stale lists and the changes since, or fresh lists if the store
// does not have those changes any more. Either way its first state is current.
func TestFirstStateIsCurrentDespiteStaleLists(t *testing.T) {
	for _, compacted := range []int{0, 4} {
		h := &history{staleBy: 3, compacted: compacted}
		h.set("k1", "a")
		h.set("k2", "b")
		h.remove("k1")
		h.set("k3", "c")
		h.set("k2", "d")
		role := Direct
		f, m, _ := newRelayedFollower(h, &role)
		if err := f.poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(h.state(), m.state); diff != "" || m.resyncs != 1 {
			t.Errorf("%d changes compacted: state after %d lists (-want +got):\n%s", compacted, m.resyncs, diff)
		}
	}
}
