// Package store defines the interface of the key-value store that holds all
// persistent state of kumquat-entry, and its errors. Adapters to a platform's store
// implement it.
package store

import (
	"context"
	"errors"
	"time"
)

// Revision is a position in the store's history. A store that is restored from an
// older copy loses its latest changes and starts a new era, in which it assigns the
// same numbers again. Numbers are comparable within one era only.
type Revision struct {
	// Era increases with each restore; 0 if the store does not report it.
	Era uint64
	// Number increases with each change; 0 stands for a key that does not exist.
	Number uint64
}

// IsZero reports whether the revision is that of a key that does not exist.
func (r Revision) IsZero() bool { return r.Number == 0 }

// After reports whether r is later than o: in a later era, or in the same era with a
// larger number.
func (r Revision) After(o Revision) bool {
	if r.Era != o.Era {
		return r.Era > o.Era
	}
	return r.Number > o.Number
}

// Lease is a lease of the store. Its ID is valid in its era only: a restored store
// may assign the ID again.
type Lease struct {
	Era uint64
	ID  uint64
}

// IsZero reports whether there is no lease.
func (l Lease) IsZero() bool { return l.ID == 0 }

// Item is a key and its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change; its Number is 0 if the key does
	// not exist.
	Revision Revision
	// Lease is the lease that the key is removed with; zero for none.
	Lease Lease
	// Removed is set in events that remove the key.
	Removed bool
}

// Exists reports whether the key exists.
func (i Item) Exists() bool { return !i.Removed && !i.Revision.IsZero() }

// Put is a key to write if its revision is Expected; a Number of 0 means that the key
// must not exist. Lease is the lease to write it under, zero for none.
type Put struct {
	Key      string
	Value    []byte
	Expected Revision
	Lease    Lease
}

// Errors that adapters return besides *contract.Error.
var (
	// ErrCompacted means that the store no longer has the changes since a revision.
	ErrCompacted = errors.New("the store no longer has the changes since this revision")
	// ErrLeaseExpired means that a lease has expired or was revoked.
	ErrLeaseExpired = errors.New("the lease has expired or was revoked")
	// ErrConflict means that a key does not have the expected revision.
	ErrConflict = errors.New("the key does not have the expected revision")
	// ErrRestored means that the store was restored from an older copy since a revision
	// was read, so that all keys have to be read again.
	ErrRestored = errors.New("the store was restored from an older copy")
)

// Consistency is how current a list must be.
type Consistency int

const (
	// Linearizable lists have all changes that were acknowledged before the call.
	Linearizable Consistency = iota
	// MaybeStale lists may be some seconds old. They cost the store little.
	MaybeStale
)

// Reader reads and watches the store.
type Reader interface {
	// Item returns the item of a key. If the key does not exist, its Revision has the era
	// and the Number 0.
	Item(ctx context.Context, key string) (Item, error)
	// List returns the items below a prefix and the revision to watch from.
	List(ctx context.Context, prefix string, consistency Consistency) (items []Item, revision Revision, err error)
	// Watch waits until a key below a prefix has changed after a revision, but at most
	// for wait. It returns the changes and the revision to continue from, or
	// ErrCompacted, or ErrRestored.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Era returns the latest era that any answer has shown; 0 if none has.
	Era() uint64
}

// MaxSetAll is the number of keys that SetAll may write.
const MaxSetAll = 32

// Writer changes the store. A call that got no answer may have taken effect.
type Writer interface {
	// CompareAndSwap writes a key if it has the expected revision and returns the new
	// revision. Otherwise it fails with ErrConflict. It fails with ErrRestored if the
	// store was restored since the expected revision was read; the key may then have
	// been written.
	CompareAndSwap(ctx context.Context, p Put) (revision Revision, err error)
	// Set writes a key regardless of its revision.
	Set(ctx context.Context, key string, value []byte, lease Lease) error
	// SetAll writes several keys, at most MaxSetAll, regardless of their revisions, all or
	// none of them.
	SetAll(ctx context.Context, values map[string][]byte, lease Lease) error
	// Remove removes keys regardless of their revision.
	Remove(ctx context.Context, keys ...string) error
	// CreateLease creates a lease, RenewLease restarts its time to live, and
	// RevokeLease ends it and removes its keys. A lease of an earlier era has expired.
	CreateLease(ctx context.Context, ttl time.Duration) (Lease, error)
	RenewLease(ctx context.Context, lease Lease) error
	RevokeLease(ctx context.Context, lease Lease) error
}

// Store reads, watches and changes the key-value store.
type Store interface {
	Reader
	Writer
}
