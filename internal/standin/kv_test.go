package standin_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
)

const testTimeout = 5 * time.Second

// serve runs s until the test ends and returns its address.
func serve(t *testing.T, s standin.Standin) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return l.Addr().String()
}

func newKV(t *testing.T, o standin.KVOptions) (*standin.KV, *platform.KVClient) {
	t.Helper()
	kv := standin.NewKV(o)
	return kv, platform.NewKVClient(serve(t, kv), testTimeout)
}

func mustSwap(t *testing.T, c *platform.KVClient, key, value string, index uint64) uint64 {
	t.Helper()
	next, swapped, err := c.CompareAndSwap(t.Context(), key, []byte(value), index)
	if err != nil || !swapped {
		t.Fatalf("compare and swap of %q at %d: %v, %v", key, index, swapped, err)
	}
	return next
}

func TestCompareAndSwapWithEscapedKeys(t *testing.T) {
	_, c := newKV(t, standin.KVOptions{})
	for _, key := range []string{"a", "a/b//c", "../x", "sp ace?&%+#", "ü/%2F"} {
		index := mustSwap(t, c, key, "one", 0)
		if _, swapped, err := c.CompareAndSwap(t.Context(), key, []byte("two"), 0); swapped || err != nil {
			t.Errorf("%q was created twice: %v", key, err)
		}
		next := mustSwap(t, c, key, "two", index)
		got, err := c.Get(t.Context(), key)
		if err != nil || got.Key != key || string(got.Value) != "two" || got.ModifyIndex != next {
			t.Errorf("got %+v, %v; want key %q with index %d", got, err, key, next)
		}
		if gone, err := c.Delete(t.Context(), key, index); gone || err != nil {
			t.Errorf("%q was deleted at a stale index: %v", key, err)
		}
	}
	all, err := c.List(t.Context(), "a")
	if err != nil || len(all) != 2 || all[0].Key != "a" || all[1].Key != "a/b//c" {
		t.Errorf("list of prefix a: %+v, %v; want keys a and a/b//c", all, err)
	}
}

func TestExpiredSessionReleasesItsKeys(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := make(chan time.Time, 1)
	clock <- now
	kv, c := newKV(t, standin.KVOptions{Now: func() time.Time { at := <-clock; clock <- at; return at }})
	first, err := c.CreateSession(t.Context(), "first", 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	second, _ := c.CreateSession(t.Context(), "second", time.Hour)
	if ok, err := c.Acquire(t.Context(), "lock", []byte("1"), first); !ok || err != nil {
		t.Fatal(ok, err)
	}
	if ok, _ := c.Acquire(t.Context(), "lock", []byte("2"), second); ok {
		t.Fatal("a second session acquired a held key")
	}
	<-clock
	clock <- now.Add(11 * time.Second)
	kv.ExpireSessions()
	if err := c.RenewSession(t.Context(), first); !errors.Is(err, platform.ErrSessionGone) {
		t.Errorf("renewed an expired session: %v", err)
	}
	if _, err := c.Acquire(t.Context(), "lock", nil, first); !errors.Is(err, platform.ErrSessionGone) {
		t.Errorf("acquired with an expired session: %v", err)
	}
	if ok, err := c.Acquire(t.Context(), "lock", []byte("2"), second); !ok || err != nil {
		t.Errorf("key of the expired session was not acquired: %v", err)
	}
	if ok, err := c.Release(t.Context(), "lock", second); !ok || err != nil {
		t.Errorf("release: %v, %v", ok, err)
	}
}

func TestWatchReturnsOnlyOnChangeOfItsKey(t *testing.T) {
	kv, c := newKV(t, standin.KVOptions{})
	for _, before := range []string{"absent", "present"} {
		var index uint64
		if before == "present" {
			index = mustSwap(t, c, before, "old", 0)
		}
		got := make(chan platform.Entry, 1)
		go func() {
			entry, _ := c.Watch(context.Background(), before, index, testTimeout)
			got <- entry
		}()
		for kv.Counts().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		mustSwap(t, c, before+"/other", "x", 0)
		if waiting := kv.Counts().Waiting; waiting != 1 {
			t.Errorf("%d watches wait after a change of another key, want 1", waiting)
		}
		next := mustSwap(t, c, before, "new", index)
		if entry := <-got; entry.ModifyIndex != next || string(entry.Value) != "new" {
			t.Errorf("%s: watch returned %+v, want index %d", before, entry, next)
		}
	}
	entry, err := c.Watch(t.Context(), "absent/none", 0, 30*time.Millisecond)
	if err != nil || entry.ModifyIndex != 0 {
		t.Errorf("timed-out watch of an absent key: %+v, %v; want index 0", entry, err)
	}
}

func TestFaultVerdicts(t *testing.T) {
	kv := standin.NewKV(standin.KVOptions{Seed: 1})
	address := serve(t, kv)
	c := platform.NewKVClient(address, 300*time.Millisecond)
	index := mustSwap(t, c, "k", "0", 0)

	kv.ChangeFaults(func(f *standin.Faults) { f.LoseAnswers = 1 })
	_, _, err := c.CompareAndSwap(t.Context(), "k", []byte("1"), index)
	if contract.VerdictOf(err) != contract.MayHaveRun {
		t.Errorf("write with a lost response: %v, want MayHaveRun", err)
	}
	kv.ChangeFaults(func(f *standin.Faults) { *f = standin.Faults{} })
	if got, _ := c.Get(t.Context(), "k"); string(got.Value) != "1" {
		t.Errorf("write with a lost response did not take effect: got value %q, want 1", got.Value)
	}

	watched := make(chan error, 1)
	go func() {
		_, err := c.Watch(context.Background(), "k", 1<<60, 100*time.Millisecond)
		watched <- err
	}()
	for kv.Counts().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	kv.ChangeFaults(func(f *standin.Faults) { f.Silent = true })
	if err := <-watched; contract.VerdictOf(err) != contract.MayHaveRun || err == nil {
		t.Errorf("watch on a blackholed connection: %v, want MayHaveRun", err)
	}
	if _, err := platform.NewKVClient(address, testTimeout).Get(t.Context(), "k"); err != nil {
		t.Errorf("read on a new connection: %v", err)
	}

	kv.ChangeFaults(func(f *standin.Faults) { f.Down = true })
	before := kv.Counts().Writes
	if _, _, err := c.CompareAndSwap(t.Context(), "down", nil, 0); err == nil || kv.Counts().Writes != before {
		t.Errorf("write succeeded or was counted while down: %v", err)
	}
	kv.Close()
	fresh := platform.NewKVClient(address, testTimeout)
	if _, _, err := fresh.CompareAndSwap(t.Context(), "k", nil, 0); contract.VerdictOf(err) != contract.NotRun {
		t.Errorf("write on a refused connection: %v, want NotRun", err)
	}
}

func TestRateLimitedWriteHasNoEffect(t *testing.T) {
	kv, c := newKV(t, standin.KVOptions{WritesPerSecond: 0.001})
	mustSwap(t, c, "k", "0", 0)
	_, _, err := c.CompareAndSwap(t.Context(), "other", nil, 0)
	if contract.VerdictOf(err) != contract.NotRun {
		t.Errorf("rate-limited write: %v, want NotRun", err)
	}
	if got := kv.Counts(); got.Writes != 1 || got.Limited != 1 {
		t.Errorf("counts %+v, want 1 write and 1 limited call", got)
	}
}
