package origin

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kumquatyard/internal/store"
)

var errAway = errors.New("the store does not answer")

// fakeStore is a store that answers after some milliseconds, can be away, carry out calls late
// whose answers it loses, and be restored from an older copy.
type fakeStore struct {
	store.Store

	mu     sync.Mutex
	items  map[string]store.Item
	leases map[uint64]time.Time
	era    uint64
	number uint64
	away   bool
	// lateShare is the share of writes that get no answer and are carried out late.
	lateShare float64
	random    *rand.Rand
	copies    []storeCopy
	writes    int
}

// storeCopy is what the store held at a time.
type storeCopy struct {
	at     time.Time
	items  map[string]store.Item
	number uint64
}

const (
	storeDelay = 4 * time.Millisecond
	awayDelay  = 100 * time.Millisecond
	lateDelay  = 2 * time.Second
)

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{items: make(map[string]store.Item), leases: make(map[uint64]time.Time), random: rand.New(rand.NewPCG(seed, 1))}
}

func (s *fakeStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// keepCopy keeps a copy for a later restore.
func (s *fakeStore) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, storeCopy{time.Now(), maps.Clone(s.items), s.number})
}

// restore brings back a copy that is at least age old.
func (s *fakeStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found storeCopy
	for _, c := range s.copies {
		if time.Since(c.at) >= age {
			found = c
		}
	}
	s.era++
	s.items, s.number = make(map[string]store.Item), found.number
	for key, item := range found.items {
		item.Revision.Era = s.era
		s.items[key] = item
	}
	clear(s.leases)
}

// call waits for the store and reports whether it answers.
func (s *fakeStore) call(ctx context.Context) error {
	delay := storeDelay
	s.mu.Lock()
	if s.away {
		delay = awayDelay
	}
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errAway
	}
	return nil
}

// write carries out a change, perhaps late and without an answer.
func (s *fakeStore) write(ctx context.Context, change func() error) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.random.Float64() >= s.lateShare {
		return change()
	}
	time.AfterFunc(time.Duration(s.random.Int64N(int64(lateDelay))), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = change() // its condition may not hold any more
	})
	return errAway
}

func (s *fakeStore) put(key string, value []byte) store.Revision {
	s.number++
	r := store.Revision{Era: s.era, Number: s.number}
	s.items[key] = store.Item{Key: key, Value: value, Revision: r}
	return r
}

// Item implements store.Reader.
func (s *fakeStore) Item(ctx context.Context, key string) (store.Item, error) {
	if err := s.call(ctx); err != nil {
		return store.Item{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if item, ok := s.items[key]; ok {
		return item, nil
	}
	return store.Item{Key: key, Revision: store.Revision{Era: s.era}}, nil
}

// List implements store.Reader.
func (s *fakeStore) List(ctx context.Context, prefix string, _ store.Consistency) ([]store.Item, store.Revision, error) {
	if err := s.call(ctx); err != nil {
		return nil, store.Revision{}, err
	}
	items, revision := s.list(prefix)
	return items, revision, nil
}

func (s *fakeStore) list(prefix string) ([]store.Item, store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return found, store.Revision{Era: s.era, Number: s.number}
}

// CompareAndSwap implements store.Writer.
func (s *fakeStore) CompareAndSwap(ctx context.Context, p store.Put) (store.Revision, error) {
	var revision store.Revision
	err := s.write(ctx, func() error {
		current := s.items[p.Key]
		if p.Expected.Era != 0 && p.Expected.Era != s.era {
			return store.ErrRestored
		}
		if current.Revision.Number != p.Expected.Number {
			return store.ErrConflict
		}
		revision = s.put(p.Key, p.Value)
		return nil
	})
	return revision, err
}

// SetAll implements store.Writer.
func (s *fakeStore) SetAll(ctx context.Context, values map[string][]byte, lease store.Lease) error {
	return s.write(ctx, func() error {
		if until, ok := s.leases[lease.ID]; !ok || lease.Era != s.era || time.Now().After(until) {
			return store.ErrLeaseExpired
		}
		for key, value := range values {
			s.put(key, value)
		}
		return nil
	})
}

// CreateLease implements store.Writer.
func (s *fakeStore) CreateLease(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := s.call(ctx); err != nil {
		return store.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	s.leases[s.number] = time.Now().Add(ttl)
	return store.Lease{Era: s.era, ID: s.number}, nil
}

// cutStore is the store as an instance reaches it.
type cutStore struct {
	*fakeStore
	isCut *atomic.Bool
}

func (c cutStore) check(ctx context.Context) error {
	if !c.isCut.Load() {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(awayDelay):
		return errAway
	}
}

func (c cutStore) Item(ctx context.Context, key string) (store.Item, error) {
	if err := c.check(ctx); err != nil {
		return store.Item{}, err
	}
	return c.fakeStore.Item(ctx, key)
}

func (c cutStore) List(ctx context.Context, prefix string, consistency store.Consistency) ([]store.Item, store.Revision, error) {
	if err := c.check(ctx); err != nil {
		return nil, store.Revision{}, err
	}
	return c.fakeStore.List(ctx, prefix, consistency)
}

func (c cutStore) CompareAndSwap(ctx context.Context, p store.Put) (store.Revision, error) {
	if err := c.check(ctx); err != nil {
		return store.Revision{}, err
	}
	return c.fakeStore.CompareAndSwap(ctx, p)
}

func (c cutStore) SetAll(ctx context.Context, values map[string][]byte, lease store.Lease) error {
	if err := c.check(ctx); err != nil {
		return err
	}
	return c.fakeStore.SetAll(ctx, values, lease)
}

func (c cutStore) CreateLease(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := c.check(ctx); err != nil {
		return store.Lease{}, err
	}
	return c.fakeStore.CreateLease(ctx, ttl)
}
