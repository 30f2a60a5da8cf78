// Package store describes the key-value store in which everything lies that
// must last: what its users may ask of it and how it fails. Adapters implement it.
package store

import (
	"context"
	"errors"
	"time"
)

// Item is a key and its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change of the key; 0 for a key that does not exist.
	Revision uint64
	// Lease is the lease that the key ends with; 0 for none.
	Lease uint64
	// Removed is set in events that tell of a removal.
	Removed bool
}

// Put is a key to write. Expect is the revision that it must have, 0 for one
// that must not exist.
type Put struct {
	Key              string
	Value            []byte
	ExpectedRevision uint64
	Lease            uint64
}

// Errors beside *contract.Error.
var (
	// ErrCompacted means that changes since a revision are no longer known.
	ErrCompacted = errors.New("the store no longer has the history since this revision")
	// ErrLeaseExpired means that a lease has ended.
	ErrLeaseExpired = errors.New("the lease has ended")
	// ErrConflict means that a key has another revision than expected.
	ErrConflict = errors.New("a key has another revision than expected")
)

// Reader reads and follows the store.
type Reader interface {
	// Item returns the item of a key; its Revision is 0 when it does not exist.
	Item(ctx context.Context, key string) (Item, error)
	// List returns the items below a prefix and the revision to watch from.
	List(ctx context.Context, prefix string) (items []Item, revision uint64, err error)
	// Watch waits until something below a prefix has changed after a revision, or
	// for wait, and returns the changes and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
}

// Writer changes the store. A call without an answer may have taken effect.
type Writer interface {
	// CompareAndSwap writes a key if it has the expected revision, else ErrConflict.
	CompareAndSwap(ctx context.Context, p Put) (revision uint64, err error)
	// Set writes a key whatever its revision.
	Set(ctx context.Context, key string, value []byte, lease uint64) error
	// Remove removes keys whatever their revision.
	Remove(ctx context.Context, keys ...string) error
	// CreateLease creates a lease; Renew restarts it and RevokeLease removes its keys.
	CreateLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
}

// Store is the whole store.
type Store interface {
	Reader
	Writer
}
