package origin

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kumquatyard/internal/fleet"
)

// stepped is an instance that does its periodic work when it is told to.
type stepped struct {
	*Tracker
	store    *fakeStore
	snapshot atomic.Pointer[fleet.Snapshot]
}

func newStepped(s *fakeStore) *stepped {
	i := &stepped{store: s}
	i.Tracker = New(Options{
		Store: s, Snapshot: i.snapshot.Load, Instances: func() int { return 2 }, WritesLists: func() bool { return true }, Log: quiet,
	})
	return i
}

// follow reads the store and takes the given servers for those of the pool.
func (i *stepped) follow(servers ...*fleet.Server) {
	items, _ := i.store.list(VersionsPrefix)
	i.snapshot.Store(snapshotOf(servers...))
	i.Resync(items, time.Now(), time.Time{})
}

// work does what Run does in one round.
func (i *stepped) work(ctx context.Context) {
	i.versions.observe(i.snapshot.Load(), 0, time.Now())
	i.writeLists(ctx, []string{testPool}, time.Now())
	i.writeRecords(ctx)
}

// Guards against streams that go on at another version (issue 36, ORDER, a report of other operators):
// an instance stands still while a version that had left joins again. When it goes on, it takes the
// version for gone and removes it from the list, with streams of it in flight elsewhere.
func TestInstanceOutOfStepRemovesNoVersionThatServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(0)
		live, frozen := newStepped(store), newStepped(store)
		v1, v2 := server("s1", "v1"), server("s2", "v2")
		step := func(i *stepped, servers ...*fleet.Server) {
			i.follow(servers...)
			i.work(t.Context())
		}
		for range 3 {
			step(live, v1, v2)
			step(frozen, v1, v2)
			time.Sleep(conflictDelay)
		}
		left := time.Now()
		for time.Since(left) < retention-3*time.Second {
			step(live, v1)
			step(frozen, v1)
			time.Sleep(time.Second)
		}
		// From here on the other instance stands still. The version joins again, and begins a stream.
		step(live, v1, v2)
		if !live.MayBegin(v2) {
			t.Fatal("the version may not begin streams although it is in the list")
		}
		live.Begin("r", v2)
		if err := live.Confirm(t.Context(), "r", v2); err != nil {
			t.Fatal(err)
		}
		step(live, v1, v2)
		time.Sleep(6 * time.Second)
		for range 3 {
			frozen.work(t.Context())
			found, err := frozen.Resolve(t.Context(), testPool, "r")
			if err == nil && found.Version != "v2" {
				t.Fatalf("a stream that v2 began is taken for one of %s", found.Version)
			}
			time.Sleep(conflictDelay)
			frozen.follow(v1)
		}
		step(live, v1, v2)
		if found, err := frozen.Resolve(t.Context(), testPool, "r"); err != nil || found.Version != "v2" {
			t.Errorf("the stream of v2 is taken for one of %q, error %v", found.Version, err)
		}
	})
}
