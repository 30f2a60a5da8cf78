package standin

import (
	"slices"
	"strings"
	"time"
)

// kvEntry is one key as the service's JSON shows it.
type kvEntry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// kvSession is a lease.
type kvSession struct {
	ID      string
	Name    string
	TTL     time.Duration
	deletes bool
	expires time.Time
}

// kvStore is the state of the key-value service. It does no I/O, starts no
// goroutine and takes the time from its caller. An entry is never changed
// after it was stored. Deleted keys keep the index of their deletion, so that
// indexes never go backwards.
type kvStore struct {
	index      uint64
	entries    map[string]*kvEntry
	tombstones map[string]uint64
	sessions   map[string]*kvSession
	// changed receives the keys that each write touched.
	changed func(keys []string)
}

func newKVStore(changed func([]string)) *kvStore {
	return &kvStore{
		index:      1,
		entries:    make(map[string]*kvEntry),
		tombstones: make(map[string]uint64),
		sessions:   make(map[string]*kvSession),
		changed:    changed,
	}
}

// get returns key's entry, nil when absent, and the index to wait on.
func (s *kvStore) get(key string) (*kvEntry, uint64) {
	if e := s.entries[key]; e != nil {
		return e, e.ModifyIndex
	}
	return nil, max(s.tombstones[key], 1)
}

// list returns the entries under prefix in order and the index to wait on.
func (s *kvStore) list(prefix string) ([]*kvEntry, uint64) {
	var found []*kvEntry
	index := uint64(1)
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
			index = max(index, e.ModifyIndex)
		}
	}
	for key, deleted := range s.tombstones {
		if strings.HasPrefix(key, prefix) {
			index = max(index, deleted)
		}
	}
	slices.SortFunc(found, func(a, b *kvEntry) int { return strings.Compare(a.Key, b.Key) })
	return found, index
}

// kvVerb is an operation of a transaction.
type kvVerb string

const (
	verbSet            kvVerb = "set"
	verbCAS            kvVerb = "cas"
	verbGet            kvVerb = "get"
	verbDelete         kvVerb = "delete"
	verbDeleteCAS      kvVerb = "delete-cas"
	verbCheckIndex     kvVerb = "check-index"
	verbCheckNotExists kvVerb = "check-not-exists"
)

// kvOp is one operation of a transaction.
type kvOp struct {
	Verb  kvVerb
	Key   string
	Value []byte
	Flags uint64
	Index uint64
}

// opError says which operation of a transaction failed.
type opError struct {
	OpIndex int
	What    string
}

// txn applies all operations under one index, or none.
func (s *kvStore) txn(ops []kvOp) ([]*kvEntry, *opError) {
	t := &kvTxn{store: s, index: s.index + 1, changed: make(map[string]*kvEntry)}
	var results []*kvEntry
	for i, op := range ops {
		result, what := t.apply(op)
		if what != "" {
			return nil, &opError{OpIndex: i, What: what}
		}
		if result != nil {
			results = append(results, result)
		}
	}
	t.commit()
	return results, nil
}

// kvTxn collects the changes of a transaction before they are committed.
type kvTxn struct {
	store *kvStore
	index uint64
	// changed maps keys to their new entries, nil for deleted ones.
	changed map[string]*kvEntry
}

func (t *kvTxn) get(key string) *kvEntry {
	if e, ok := t.changed[key]; ok {
		return e
	}
	return t.store.entries[key]
}

func (t *kvTxn) apply(op kvOp) (result *kvEntry, failure string) {
	current := t.get(op.Key)
	var index uint64
	if current != nil {
		index = current.ModifyIndex
	}
	switch op.Verb {
	case verbSet:
		return t.set(op, current), ""
	case verbCAS:
		if index != op.Index {
			return nil, "failed to set key: index is stale"
		}
		return t.set(op, current), ""
	case verbGet:
		if current == nil {
			return nil, "key does not exist"
		}
		return current, ""
	case verbDelete:
		t.remove(op.Key, current)
		return nil, ""
	case verbDeleteCAS:
		if current != nil && index != op.Index {
			return nil, "failed to delete key: index is stale"
		}
		t.remove(op.Key, current)
		return nil, ""
	case verbCheckIndex:
		if current == nil || index != op.Index {
			return nil, "current modify index does not match"
		}
		return current, ""
	case verbCheckNotExists:
		if current != nil {
			return nil, "key exists"
		}
		return nil, ""
	default:
		return nil, "unknown verb " + string(op.Verb)
	}
}

// set returns the stored entry without its value, as transactions answer.
func (t *kvTxn) set(op kvOp, current *kvEntry) *kvEntry {
	e := &kvEntry{Key: op.Key, Value: op.Value, Flags: op.Flags, CreateIndex: t.index, ModifyIndex: t.index}
	if current != nil {
		e.CreateIndex = current.CreateIndex
		e.LockIndex = current.LockIndex
		e.Session = current.Session
	}
	t.changed[op.Key] = e
	result := *e
	result.Value = nil
	return &result
}

func (t *kvTxn) remove(key string, current *kvEntry) {
	if current != nil {
		t.changed[key] = nil
	}
}

func (t *kvTxn) commit() {
	if len(t.changed) == 0 {
		return
	}
	t.store.index = t.index
	keys := make([]string, 0, len(t.changed))
	for key, e := range t.changed {
		keys = append(keys, key)
		if e == nil {
			delete(t.store.entries, key)
			t.store.tombstones[key] = t.index
			continue
		}
		t.store.entries[key] = e
		delete(t.store.tombstones, key)
	}
	t.store.changed(keys)
}

// replace stores a changed copy of e under a new index.
func (s *kvStore) replace(e kvEntry) {
	t := &kvTxn{store: s, index: s.index + 1, changed: make(map[string]*kvEntry)}
	e.ModifyIndex = t.index
	if e.CreateIndex == 0 {
		e.CreateIndex = t.index
	}
	t.changed[e.Key] = &e
	t.commit()
}
