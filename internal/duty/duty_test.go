package duty

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/platform"
)

// fakeKV is a key-value store with sessions, in simulated time.
type fakeKV struct {
	mu       sync.Mutex
	entries  map[string]platform.Entry
	sessions map[string]time.Time
	ttl      time.Duration
	index    uint64
	era      uint64
	down     bool
	calls    int
}

// Era implements KV.
func (f *fakeKV) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

func newFakeKV() *fakeKV {
	return &fakeKV{entries: map[string]platform.Entry{}, sessions: map[string]time.Time{}}
}

var errDown = errors.New("store is down")

// enter locks the store, counts the call and ends expired sessions.
func (f *fakeKV) enter() (func(), error) {
	f.mu.Lock()
	f.calls++
	for id, until := range f.sessions {
		if time.Now().After(until) {
			f.end(id)
		}
	}
	if f.down {
		f.mu.Unlock()
		return nil, errDown
	}
	return f.mu.Unlock, nil
}

func (f *fakeKV) end(id string) {
	delete(f.sessions, id)
	for key, e := range f.entries {
		if e.Session == id {
			e.Session = ""
			f.entries[key] = e
		}
	}
}

func (f *fakeKV) Get(_ context.Context, key string) (platform.Entry, error) {
	leave, err := f.enter()
	if err != nil {
		return platform.Entry{}, err
	}
	defer leave()
	return f.entries[key], nil
}

func (f *fakeKV) CompareAndSwap(_ context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	leave, err := f.enter()
	if err != nil {
		return 0, false, err
	}
	defer leave()
	if f.entries[key].ModifyIndex != index {
		return 0, false, nil
	}
	f.index++
	f.entries[key] = platform.Entry{Key: key, Value: value, ModifyIndex: f.index}
	return f.index, true, nil
}

func (f *fakeKV) CreateSession(_ context.Context, _ string, ttl time.Duration) (string, error) {
	leave, err := f.enter()
	if err != nil {
		return "", err
	}
	defer leave()
	f.index++
	f.ttl = ttl
	id := strconv.FormatUint(f.index, 10)
	f.sessions[id] = time.Now().Add(ttl)
	return id, nil
}

func (f *fakeKV) RenewSession(_ context.Context, id string) error {
	leave, err := f.enter()
	if err != nil {
		return err
	}
	defer leave()
	if _, ok := f.sessions[id]; !ok {
		return platform.ErrSessionGone
	}
	f.sessions[id] = time.Now().Add(f.ttl)
	return nil
}

func (f *fakeKV) DestroySession(_ context.Context, id string) error {
	leave, err := f.enter()
	if err != nil {
		return err
	}
	defer leave()
	f.end(id)
	return nil
}

func (f *fakeKV) Acquire(_ context.Context, key string, value []byte, session string) (bool, error) {
	leave, err := f.enter()
	if err != nil {
		return false, err
	}
	defer leave()
	e := f.entries[key]
	if e.Session != "" && e.Session != session {
		return false, nil
	}
	f.index++
	f.entries[key] = platform.Entry{Key: key, Value: value, ModifyIndex: f.index, Session: session}
	return true, nil
}

// orders records the orders that were given.
type orders struct {
	mu   sync.Mutex
	list []order
}

type order struct {
	holder string
	token  uint64
	at     time.Time
}

func (o *orders) last() order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.list[len(o.list)-1]
}

// perform returns a Perform function that checks the lease and gives an order every
// 500 ms. While frozen, it ignores its context, as a suspended process does.
func (o *orders) perform(holder string, frozen func() bool) func(context.Context, *Lease) error {
	return func(ctx context.Context, lease *Lease) error {
		for ctx.Err() == nil || frozen() {
			for frozen() {
				time.Sleep(100 * time.Millisecond)
			}
			if err := lease.Check(); err != nil {
				return err
			}
			o.mu.Lock()
			o.list = append(o.list, order{holder: holder, token: lease.FencingToken(), at: time.Now()})
			o.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
		}
		return nil
	}
}

// frozenKV fails the renewals of a frozen process.
type frozenKV struct {
	*fakeKV
	frozen func() bool
}

func (f frozenKV) RenewSession(ctx context.Context, id string) error {
	if f.frozen() {
		return errDown
	}
	return f.fakeKV.RenewSession(ctx, id)
}

func newDuty(kv KV, holder string, perform func(context.Context, *Lease) error) *Duty {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &Duty{Name: "placement/a", Holder: holder, KV: kv, Settings: DefaultSettings, Now: time.Now, Log: logrus.NewEntry(logger), Perform: perform}
}

func TestFrozenHolderGivesNoOrdersAfterItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, log := newFakeKV(), &orders{}
		start := time.Now()
		frozen := func() bool { at := time.Since(start); return at > 20*time.Second && at < 50*time.Second }
		never := func() bool { return false }
		ctx, cancel := context.WithCancel(t.Context())
		first := newDuty(frozenKV{kv, frozen}, "first", log.perform("first", frozen))
		second := newDuty(kv, "second", log.perform("second", never))
		second.Candidate = func() bool { return time.Since(start) > 10*time.Second }
		var wg sync.WaitGroup
		wg.Go(func() { _ = first.Run(ctx) })
		wg.Go(func() { _ = second.Run(ctx) })
		time.Sleep(2 * time.Minute)
		cancel()
		wg.Wait()
		holders := map[string]bool{}
		for i, o := range log.list {
			holders[o.holder] = true
			if i == 0 {
				continue
			}
			last := log.list[i-1]
			if o.token < last.token {
				t.Fatalf("token %d of %s is below the previous order's %d", o.token, o.holder, last.token)
			}
			if gap := o.at.Sub(last.at); o.holder != last.holder && gap < DefaultSettings.MaxOrderLifetime {
				t.Errorf("first order of %s followed the last one of %s after %v, want at least MaxOrderLifetime", o.holder, last.holder, gap)
			}
		}
		if !holders["first"] || !holders["second"] {
			t.Errorf("orders came from %v, want both", holders)
		}
	})
}

func TestHolderStopsWhenStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, log := newFakeKV(), &orders{}
		ctx, cancel := context.WithCancel(t.Context())
		d := newDuty(kv, "first", log.perform("first", func() bool { return false }))
		var wg sync.WaitGroup
		wg.Go(func() { _ = d.Run(ctx) })
		time.Sleep(time.Minute)
		if len(d.Duties()) != 1 {
			t.Fatal("duty is not held after a minute")
		}
		kv.mu.Lock()
		kv.down = true
		kv.mu.Unlock()
		down := time.Now()
		time.Sleep(time.Minute)
		last := log.last().at
		if limit := down.Add(DefaultSettings.TTL); !last.Before(limit) {
			t.Errorf("last order came %v after the store went down, want it within the lease's TTL", last.Sub(down))
		}
		kv.mu.Lock()
		kv.down = false
		kv.mu.Unlock()
		time.Sleep(time.Minute)
		if len(d.Duties()) != 1 {
			t.Error("duty is not held a minute after the store's recovery")
		}
		cancel()
		wg.Wait()
		if e := kv.entries[d.lockKey()]; e.Session != "" {
			t.Error("lease was not released when the holder stopped")
		}
	})
}

// A held duty with one more candidate makes a bounded number of calls to the store.
func TestStoreCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, log := newFakeKV(), &orders{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i := range 2 {
			name := fmt.Sprintf("n%d", i)
			d := newDuty(kv, name, log.perform(name, func() bool { return false }))
			wg.Go(func() { _ = d.Run(ctx) })
		}
		time.Sleep(2 * time.Minute)
		cancel()
		wg.Wait()
		if limit := 90; kv.calls > limit {
			t.Errorf("%d calls to the store in 2 min, want at most %d", kv.calls, limit)
		}
	})
}

func TestSuccessorWaitsForMaxOrderLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, log := newFakeKV(), &orders{}
		never := func() bool { return false }
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = newDuty(kv, "first", log.perform("first", never)).Run(ctx) })
		time.Sleep(20 * time.Second)
		next, stop := context.WithCancel(t.Context())
		second := newDuty(kv, "second", log.perform("second", never))
		second.Settings.RetryInterval = 10 * time.Millisecond
		wg.Go(func() { _ = second.Run(next) })
		time.Sleep(time.Second)
		cancel()
		time.Sleep(20 * time.Second)
		stop()
		wg.Wait()
		for i, o := range log.list[1:] {
			last := log.list[i]
			if gap := o.at.Sub(last.at); o.holder != last.holder && gap < DefaultSettings.MaxOrderLifetime {
				t.Errorf("first order of %s came %v after the last one of %s, want at least MaxOrderLifetime", o.holder, gap, last.holder)
			}
		}
		if got := log.last().holder; got != "second" {
			t.Errorf("last order came from %s, want second", got)
		}
	})
}

// A holder continues while the store does not answer if its receivers check the
// fencing token, and stops before its lease can expire if they do not.
func TestHolderContinuesWhileStoreIsDownIfFencingIsEnforced(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			kv := newFakeKV()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			log := logrus.New()
			log.SetOutput(io.Discard)
			start := time.Now()
			var lastOrder atomic.Int64
			d := &Duty{
				Name: "d", Holder: "a", KV: kv, Now: time.Now, Log: logrus.NewEntry(log),
				Settings: Settings{TTL: 3 * time.Second, RetryInterval: time.Second, FencingEnforced: fenced},
				Perform: func(ctx context.Context, lease *Lease) error {
					for ctx.Err() == nil {
						if err := lease.Check(); err != nil {
							return err
						}
						lastOrder.Store(int64(time.Since(start)))
						sleep(ctx, 100*time.Millisecond)
					}
					return nil
				},
			}
			done := make(chan error, 1)
			go func() { done <- d.Run(ctx) }()
			time.Sleep(5 * time.Second)
			kv.mu.Lock()
			kv.down = true
			kv.mu.Unlock()
			time.Sleep(10 * time.Second)
			last := time.Duration(lastOrder.Load())
			if continued := last > 14*time.Second; continued != fenced {
				t.Errorf("FencingEnforced %v: the last order came %v after the start, with the store down from 5 s on", fenced, last)
			}
			cancel()
			<-done
		})
	}
}

// killedKV fails the calls of a killed process.
type killedKV struct {
	*fakeKV
	killed *atomic.Bool
}

func (k killedKV) RenewSession(ctx context.Context, id string) error {
	if k.killed.Load() {
		return errDown
	}
	return k.fakeKV.RenewSession(ctx, id)
}

func (k killedKV) DestroySession(ctx context.Context, id string) error {
	if k.killed.Load() {
		return errDown
	}
	return k.fakeKV.DestroySession(ctx, id)
}

// A holder that is killed and restarted resumes its duty with a higher fencing token,
// without waiting for its old lease to expire; another process waits for that.
func TestRestartedHolderResumesItsDuty(t *testing.T) {
	for name, resumes := range map[string]bool{"a": true, "b": false} {
		synctest.Test(t, func(t *testing.T) {
			kv := newFakeKV()
			start := func(ctx context.Context, holder string, kv KV, token *atomic.Uint64) {
				d := newDuty(kv, holder, func(ctx context.Context, lease *Lease) error {
					token.Store(lease.FencingToken())
					<-ctx.Done()
					return nil
				})
				d.Settings = Settings{TTL: 3 * time.Second, RetryInterval: 500 * time.Millisecond, FencingEnforced: true, UniqueHolder: true}
				_ = d.Run(ctx)
			}
			var killed atomic.Bool
			var before, after atomic.Uint64
			ctx, kill := context.WithCancel(t.Context())
			go start(ctx, "a", killedKV{kv, &killed}, &before)
			time.Sleep(5 * time.Second)
			killed.Store(true)
			kill()
			synctest.Wait()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go start(ctx, name, kv, &after)
			time.Sleep(100 * time.Millisecond)
			if got := after.Load() == before.Load()+1; got != resumes || before.Load() != 1 {
				t.Errorf("%s: fencing tokens of the killed and the new holder are %d and %d, 100 ms after the start", name, before.Load(), after.Load())
			}
			time.Sleep(4 * time.Second)
			if after.Load() != 2 {
				t.Errorf("%s: fencing token %d after the old lease expired, want 2", name, after.Load())
			}
			stop()
			synctest.Wait()
		})
	}
}

// A holder that is asked to stop while the store is down does the duty until it can
// release the lease, since nobody else can take it. Without fencing it stops at once.
func TestStoppingHolderContinuesUntilItsLeaseIsReleased(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			kv := newFakeKV()
			log := logrus.New()
			log.SetOutput(io.Discard)
			start := time.Now()
			var lastOrder atomic.Int64
			stopping := make(chan struct{})
			d := &Duty{
				Name: "d", Holder: "a", KV: kv, Now: time.Now, Log: logrus.NewEntry(log), Stopping: stopping,
				Settings: Settings{TTL: 3 * time.Second, RetryInterval: time.Second, FencingEnforced: fenced},
				Perform: func(ctx context.Context, lease *Lease) error {
					for ctx.Err() == nil && lease.Check() == nil {
						lastOrder.Store(int64(time.Since(start)))
						sleep(ctx, 100*time.Millisecond)
					}
					return nil
				},
			}
			done := make(chan error, 1)
			go func() { done <- d.Run(t.Context()) }()
			setDown := func(down bool) {
				kv.mu.Lock()
				defer kv.mu.Unlock()
				kv.down = down
			}
			time.Sleep(5 * time.Second)
			setDown(true)
			time.Sleep(500 * time.Millisecond)
			close(stopping)
			time.Sleep(4 * time.Second)
			setDown(false)
			<-done
			last := time.Duration(lastOrder.Load())
			if continued := last > 9*time.Second; continued != fenced {
				t.Errorf("FencingEnforced %v: the last order came %v after the start, with the store down from 5 to 9.5 s", fenced, last)
			}
			if fenced && time.Since(start) > 10*time.Second {
				t.Errorf("the lease was released %v after the start, want within half a second of the store's return", time.Since(start))
			}
			kv.mu.Lock()
			defer kv.mu.Unlock()
			if fenced && kv.entries[d.lockKey()].Session != "" {
				t.Error("the lock is still held")
			}
		})
	}
}

// A lease of the time before a restore may still be in force at its holder: a process counts
// the era's time from when it first saw it, not from its own start.
func TestTimeOfAnEraBeginsWhenItIsSeen(t *testing.T) {
	kv := newFakeKV()
	d := newDuty(kv, "a", nil)
	now := time.Unix(1000, 0)
	d.Now = func() time.Time { return now }
	d.observeEra()
	kv.era = 2
	now = now.Add(time.Hour)
	d.observeEra()
	if d.era != 2 || !d.eraSince.Equal(now) {
		t.Errorf("era %d since %v, want 2 since %v", d.era, d.eraSince, now)
	}
	seen := now
	now = now.Add(time.Minute)
	d.observeEra()
	if !d.eraSince.Equal(seen) {
		t.Errorf("the era's time begins anew at %v", d.eraSince)
	}
}
