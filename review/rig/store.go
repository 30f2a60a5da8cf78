//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memStore is a stand-in of the platform's store. It keeps all keys and its history in memory, and never fails.
type memStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	// compacted is the revision from which on the history is kept.
	compacted uint64
	leases    map[uint64]*storeLease
	changed   chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
	keys []string
}

// keptChanges is the number of changes that the history keeps.
const keptChanges = 8192

func newMemStore() *memStore {
	return &memStore{revision: 1, items: make(map[string]storeItem), leases: make(map[uint64]*storeLease), changed: make(chan struct{})}
}

// Put writes a key as the operator or a server does.
func (s *memStore) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove removes a key as the operator or a server does.
func (s *memStore) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *memStore) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = item
	if l := s.leases[lease]; l != nil {
		l.keys = append(l.keys, key)
	}
	s.record(item)
}

func (s *memStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *memStore) record(change storeItem) {
	s.history = append(s.history, change)
	if len(s.history) > 2*keptChanges {
		s.compacted = s.history[keptChanges-1].Revision
		s.history = append([]storeItem(nil), s.history[keptChanges:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (s *memStore) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys.
func (s *memStore) end(id uint64) {
	l := s.leases[id]
	delete(s.leases, id)
	for _, key := range l.keys {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *memStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if path == "kv-watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	w.Header().Set("Store-Era", "1")
	switch path {
	case "kv-key":
		item, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, item)
	case "kv-range":
		s.list(w, r.URL.Query().Get("prefix"))
	case "kv-txn":
		s.transact(w, r)
	case "kv-lease":
		s.lease(w, r)
	case "kv-keep", "kv-lease-end":
		n, _ := strconv.ParseUint(id, 10, 64)
		l := s.leases[n]
		switch {
		case l == nil:
			w.WriteHeader(http.StatusNotFound)
		case path == "kv-keep":
			l.ends = time.Now().Add(l.ttl)
		default:
			s.end(n)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *memStore) list(w http.ResponseWriter, prefix string) {
	found := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": false, "store_revision": s.revision})
}

// watch answers with at most 500 changes after a revision, as soon as there is one.
func (s *memStore) watch(w http.ResponseWriter, r *http.Request) {
	const most = 500
	after, _ := strconv.ParseUint(r.URL.Query().Get("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	prefix, timeout := r.URL.Query().Get("prefix"), time.After(time.Duration(wait)*time.Millisecond)
	w.Header().Set("Store-Era", "1")
	for {
		s.mu.Lock()
		s.expire(time.Now())
		changed, revision, gone := s.changed, s.revision, after < s.compacted || after > s.revision
		events := []storeItem{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, prefix) && len(events) < most {
				events = append(events, change)
			}
		}
		s.mu.Unlock()
		if len(events) == most {
			revision = events[most-1].Revision
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *memStore) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Puts   []storeItem `json:"puts"`
		Remove []string    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{s.items[e.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *memStore) lease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTL})
}
