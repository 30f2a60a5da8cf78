package standin

import (
	"slices"
	"strings"
	"time"
)

// kvEntry is a key's entry, in the JSON form of the service.
type kvEntry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// kvSession is a session: a lease that holds keys until it ends.
type kvSession struct {
	ID          string
	Name        string
	TTL         time.Duration
	deletesKeys bool
	expiresAt   time.Time
}

// kvStore is the state of the key-value service. It does no I/O, starts no
// goroutines and takes the time from its caller. Stored entries are immutable.
// tombstones holds the deletion index of each deleted key, so that the index of
// a key never decreases.
type kvStore struct {
	index      uint64
	entries    map[string]*kvEntry
	tombstones map[string]uint64
	sessions   map[string]*kvSession
	// onChange is called with the keys that a commit changed.
	onChange func(keys []string)
}

func newKVStore(onChange func([]string)) *kvStore {
	return &kvStore{
		index:      1,
		entries:    make(map[string]*kvEntry),
		tombstones: make(map[string]uint64),
		sessions:   make(map[string]*kvSession),
		onChange:   onChange,
	}
}

// get returns key's entry, or nil if there is none, and the index to wait on.
func (s *kvStore) get(key string) (*kvEntry, uint64) {
	if e := s.entries[key]; e != nil {
		return e, e.ModifyIndex
	}
	return nil, max(s.tombstones[key], 1)
}

// list returns the entries under prefix, sorted by key, and the index to wait
// on.
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

// opError says which operation of a transaction failed and why.
type opError struct {
	OpIndex int
	What    string
}

// txn applies all operations at one new index, or none if one fails.
func (s *kvStore) txn(ops []kvOp) ([]*kvEntry, *opError) {
	t := &kvTxn{store: s, index: s.index + 1, changes: make(map[string]*kvEntry)}
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

// kvTxn collects the changes of a transaction until commit.
type kvTxn struct {
	store *kvStore
	index uint64
	// changes maps keys to their new entries, nil for deleted keys.
	changes map[string]*kvEntry
}

func (t *kvTxn) get(key string) *kvEntry {
	if e, ok := t.changes[key]; ok {
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

// set sets the key and returns the new entry without its value, as in the
// response to a transaction.
func (t *kvTxn) set(op kvOp, current *kvEntry) *kvEntry {
	e := &kvEntry{Key: op.Key, Value: op.Value, Flags: op.Flags, CreateIndex: t.index, ModifyIndex: t.index}
	if current != nil {
		e.CreateIndex = current.CreateIndex
		e.LockIndex = current.LockIndex
		e.Session = current.Session
	}
	t.changes[op.Key] = e
	result := *e
	result.Value = nil
	return &result
}

func (t *kvTxn) remove(key string, current *kvEntry) {
	if current != nil {
		t.changes[key] = nil
	}
}

func (t *kvTxn) commit() {
	if len(t.changes) == 0 {
		return
	}
	t.store.index = t.index
	keys := make([]string, 0, len(t.changes))
	for key, e := range t.changes {
		keys = append(keys, key)
		if e == nil {
			delete(t.store.entries, key)
			t.store.tombstones[key] = t.index
			continue
		}
		t.store.entries[key] = e
		delete(t.store.tombstones, key)
	}
	t.store.onChange(keys)
}

// replace stores e at a new index.
func (s *kvStore) replace(e kvEntry) {
	t := &kvTxn{store: s, index: s.index + 1, changes: make(map[string]*kvEntry)}
	e.ModifyIndex = t.index
	if e.CreateIndex == 0 {
		e.CreateIndex = t.index
	}
	t.changes[e.Key] = &e
	t.commit()
}
