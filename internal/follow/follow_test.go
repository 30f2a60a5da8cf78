package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/store"
)

// fakeReader is a store whose entry "a" is removed at given times.
type fakeReader struct {
	start time.Time
	// downFrom and downTo bound the outage.
	downFrom, downTo time.Duration
	// removals holds the times at which the entry "a" is removed.
	removals []time.Duration
	// compacted makes the first watch after the outage fail with ErrCompacted.
	compacted bool
	served    int
	lists     int
}

func (r *fakeReader) Era() uint64 { return 0 }

func (r *fakeReader) Item(context.Context, string) (store.Item, error) { return store.Item{}, nil }

func (r *fakeReader) down(at time.Duration) bool { return at >= r.downFrom && at < r.downTo }

var errStoreDown = errors.New("store is down")

func (r *fakeReader) List(context.Context, string, store.Consistency) ([]store.Item, store.Revision, error) {
	if r.down(time.Since(r.start)) {
		return nil, store.Revision{}, errStoreDown
	}
	r.lists++
	return []store.Item{{Key: "a"}}, store.Revision{Number: 1}, nil
}

func (r *fakeReader) Watch(ctx context.Context, _ string, after store.Revision, wait time.Duration) ([]store.Item, store.Revision, error) {
	end := time.Now().Add(wait)
	for {
		at := time.Since(r.start)
		if r.down(at) {
			return nil, store.Revision{}, errStoreDown
		}
		if r.compacted && at >= r.downTo && r.downTo > 0 {
			r.compacted = false
			return nil, store.Revision{}, store.ErrCompacted
		}
		if r.served < len(r.removals) && at >= r.removals[r.served] {
			r.served++
			return []store.Item{{Key: "a", Removed: true}}, store.Revision{Number: after.Number + 1}, nil
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return nil, after, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

// change is a call of the handler: its time and the end of the lease expiry grace,
// both since the start.
type change struct {
	at    time.Duration
	grace time.Duration
}

type recorder struct {
	start   time.Time
	changes []change
	resyncs []change
}

func (r *recorder) note(now, expiryGraceUntil time.Time) change {
	c := change{at: now.Sub(r.start)}
	if !expiryGraceUntil.IsZero() {
		c.grace = expiryGraceUntil.Sub(r.start)
	}
	return c
}

func (r *recorder) Resync(_ []store.Item, now, expiryGraceUntil time.Time) {
	r.resyncs = append(r.resyncs, r.note(now, expiryGraceUntil))
}

func (r *recorder) Change(_ []store.Item, now, expiryGraceUntil time.Time) {
	r.changes = append(r.changes, r.note(now, expiryGraceUntil))
}

// follow runs a Follower for a while in simulated time.
func follow(t *testing.T, reader *fakeReader, length time.Duration) *recorder {
	t.Helper()
	r := &recorder{}
	synctest.Test(t, func(t *testing.T) {
		reader.start, r.start = time.Now(), time.Now()
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		(&Follower{Store: reader, Subscriptions: []Subscription{{Prefix: "a", Handler: r}}, Pause: func() time.Duration { return 100 * time.Millisecond }, Log: logrus.NewEntry(log)}).Run(ctx)
	})
	return r
}

// Only removals right after the store's recovery may be expired leases; an entry that
// is removed 3.5 s after it belongs to a server that has left.
func TestRemovalLongAfterOutageIsNotLeaseExpiry(t *testing.T) {
	reader := &fakeReader{downFrom: time.Second, downTo: 5 * time.Second, removals: []time.Duration{5100 * time.Millisecond, 8500 * time.Millisecond}}
	r := follow(t, reader, 12*time.Second)
	if len(r.changes) != 2 {
		t.Fatalf("changes = %v, want 2", r.changes)
	}
	if got := r.changes[0].grace; got < 6*time.Second || got > 7300*time.Millisecond {
		t.Errorf("grace of a removal right after the recovery ends at %v, want 6 s to 7.3 s, at most 2 s after the recovery", got)
	}
	if got := r.changes[1].grace; got != 0 {
		t.Errorf("grace of a removal 3.5 s after the recovery ends at %v, want no grace", got)
	}
}

func TestRemovalWithoutOutageIsNotLeaseExpiry(t *testing.T) {
	r := follow(t, &fakeReader{removals: []time.Duration{time.Second}}, 3*time.Second)
	if len(r.changes) != 1 || r.changes[0].grace != 0 {
		t.Errorf("changes = %v, want one without lease expiry grace", r.changes)
	}
	if r.changes[0].at > 1100*time.Millisecond {
		t.Errorf("the removal at 1 s was delivered at %v, want 1.1 s at most", r.changes[0].at)
	}
}

func TestCompactedHistoryTriggersResync(t *testing.T) {
	reader := &fakeReader{downFrom: time.Second, downTo: 2 * time.Second, compacted: true}
	r := follow(t, reader, 5*time.Second)
	if len(r.resyncs) != 2 {
		t.Errorf("the prefix was listed %d times, want 2", len(r.resyncs))
	}
}

// Pattern: the store is away for 20 s. The calls are as rare as MaxRetry allows, and its return
// is noticed within that time.
func TestMaxRetryBoundsTheCallsToAnUnreachableStore(t *testing.T) {
	for _, maxRetry := range []time.Duration{MinRetry, 1500 * time.Millisecond} {
		h := &history{}
		h.set("k1", "a")
		synctest.Test(t, func(t *testing.T) {
			role := Direct
			f, m, _ := newRelayedFollower(h, &role)
			f.MaxRetry = func() time.Duration { return maxRetry }
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			time.Sleep(time.Second)
			h.setDown(true)
			before := h.count()
			time.Sleep(20 * time.Second)
			// The intervals are random between half and one and a half of the bound.
			if calls := h.count() - before; calls > int(20*time.Second/maxRetry)*3/2+10 {
				t.Errorf("%d calls in 20 s with MaxRetry %v", calls, maxRetry)
			}
			h.setDown(false)
			h.set("k1", "b")
			time.Sleep(2 * maxRetry)
			synctest.Wait()
			if m.state["k1"] != "b" {
				t.Errorf("k1 = %q %v after the store's return, want b", m.state["k1"], 2*maxRetry)
			}
			cancel()
			<-done
		})
	}
}

// Pattern: a pool gets a second version, and the instances write records of 8,000 streams at
// once; a watch returns 500 changes. Then a server says that it leaves.
func TestManyChangesDelayNoOther(t *testing.T) {
	h := &history{maxEvents: 500}
	h.set("k-server", "serves")
	synctest.Test(t, func(t *testing.T) {
		role := Direct
		f, m, _ := newRelayedFollower(h, &role)
		f.Pause = func() time.Duration { return 1300 * time.Millisecond }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(time.Second)
		for n := range 8000 {
			h.set(fmt.Sprint("stream-", n), "v1")
		}
		h.set("k-server", "leaves")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if m.state["k-server"] != "leaves" {
			t.Errorf("k-server = %q 2 s after its change, want leaves", m.state["k-server"])
		}
		cancel()
		<-done
	})
}
