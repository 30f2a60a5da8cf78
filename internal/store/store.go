// Package store defines the interface of the key-value store that holds all
// persistent state of kumquat-entry, and its errors. Adapters to a platform's store
// implement it.
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
	// Revision is the revision of the key's last change; 0 if the key does not exist.
	Revision uint64
	// Lease is the lease that the key is removed with; 0 for none.
	Lease uint64
	// Removed is set in events that remove the key.
	Removed bool
}

// Put is a key to write if its revision is ExpectedRevision; 0 means that the key
// must not exist. Lease is the lease to write it under, 0 for none.
type Put struct {
	Key              string
	Value            []byte
	ExpectedRevision uint64
	Lease            uint64
}

// Errors that adapters return besides *contract.Error.
var (
	// ErrCompacted means that the store no longer has the changes since a revision.
	ErrCompacted = errors.New("the store no longer has the changes since this revision")
	// ErrLeaseExpired means that a lease has expired or was revoked.
	ErrLeaseExpired = errors.New("the lease has expired or was revoked")
	// ErrConflict means that a key does not have the expected revision.
	ErrConflict = errors.New("the key does not have the expected revision")
)

// Reader reads and watches the store.
type Reader interface {
	// Item returns the item of a key; its Revision is 0 when it does not exist.
	Item(ctx context.Context, key string) (Item, error)
	// List returns the items below a prefix and the revision to watch from.
	List(ctx context.Context, prefix string) (items []Item, revision uint64, err error)
	// Watch waits until a key below a prefix has changed after a revision, but at most
	// for wait. It returns the changes and the revision to continue from, or
	// ErrCompacted.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
}

// Writer changes the store. A call that got no answer may have taken effect.
type Writer interface {
	// CompareAndSwap writes a key if it has the expected revision and returns the new
	// revision. Otherwise it fails with ErrConflict.
	CompareAndSwap(ctx context.Context, p Put) (revision uint64, err error)
	// Set writes a key regardless of its revision.
	Set(ctx context.Context, key string, value []byte, lease uint64) error
	// Remove removes keys regardless of their revision.
	Remove(ctx context.Context, keys ...string) error
	// CreateLease creates a lease, RenewLease restarts its time to live, and
	// RevokeLease ends it and removes its keys.
	CreateLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
}

// Store reads, watches and changes the key-value store.
type Store interface {
	Reader
	Writer
}
