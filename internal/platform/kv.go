// Package platform provides clients of the services that kumquat-agent and
// kumquatctl use: the key-value service, the cloud API, the instance list and the
// weight store. Each package that uses a client defines the interface that it needs.
// The adapters of kumquat-entry are in package kumquatyard/platform.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"kumquatyard/internal/httpcall"
)

// ErrSessionGone means that a session has expired or was destroyed.
var ErrSessionGone = errors.New("the session has expired or was destroyed")

// Entry is a key of the key-value service with its value.
type Entry struct {
	Key   string
	Value []byte
	// ModifyIndex changes with every write to the key; 0 means that the key is
	// absent.
	ModifyIndex uint64
	// Session is the session that holds the key's lock, empty if there is none.
	Session string
}

// KVClient is a client of the key-value service. Unless documented otherwise its
// errors are *contract.Error, with verdict NotRun if nothing was sent or the
// service refused, and MayHaveRun if the answer was lost. It never retries a
// call.
type KVClient struct {
	http *httpcall.Client
}

// NewKVClient returns a client of the service at address, an IP:port. A call
// fails after timeout; a blocking call fails after its wait plus timeout.
func NewKVClient(address string, timeout time.Duration) *KVClient {
	calls := httpcall.New(address, timeout)
	calls.AnswerHeader = indexHeader
	return &KVClient{http: calls}
}

// indexHeader is the header of answers with the index of the latest change.
const indexHeader = "X-Consul-Index"

type txnOp struct {
	KV txnKV
}

type txnKV struct {
	Verb  string
	Key   string
	Value []byte
	Index uint64
}

type txnReply struct {
	Results []struct {
		KV Entry
	}
}

func keyPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

// Get returns the entry of key, with ModifyIndex 0 if the key is absent.
func (c *KVClient) Get(ctx context.Context, key string) (Entry, error) {
	entry, _, err := c.get(ctx, httpcall.Call{Method: http.MethodGet, Path: keyPath(key)}, key)
	return entry, err
}

// get returns the entry of key and the index after which a blocking query waits
// for its next change.
func (c *KVClient) get(ctx context.Context, req httpcall.Call, key string) (Entry, uint64, error) {
	r, err := c.http.Do(ctx, req)
	if err != nil {
		return Entry{}, 0, err
	}
	index, _ := strconv.ParseUint(r.Header, 10, 64)
	if r.Status == http.StatusNotFound {
		return Entry{Key: key}, index, nil
	}
	entries, err := decodeEntries(req, r, key)
	if err != nil {
		return Entry{}, 0, err
	}
	if len(entries) != 1 || entries[0].Key != key {
		return Entry{}, 0, httpcall.UnexpectedStatus(req, r)
	}
	return entries[0], index, nil
}

// List returns the entries whose keys start with prefix, ordered by key.
func (c *KVClient) List(ctx context.Context, prefix string) ([]Entry, error) {
	req := httpcall.Call{Method: http.MethodGet, Path: keyPath(prefix) + "?recurse"}
	r, err := c.http.Do(ctx, req)
	if err != nil {
		return nil, err
	}
	if r.Status == http.StatusNotFound {
		return nil, nil
	}
	return decodeEntries(req, r, prefix)
}

// decodeEntries decodes entries whose keys have a prefix. An answer that lacks their keys or indexes,
// or has other keys, is an error: it does not tell which keys exist.
func decodeEntries(req httpcall.Call, r httpcall.Reply, prefix string) ([]Entry, error) {
	if r.Status != http.StatusOK {
		return nil, httpcall.UnexpectedStatus(req, r)
	}
	var entries []Entry
	if err := json.Unmarshal(r.Body, &entries); err != nil || entries == nil {
		return nil, httpcall.UnexpectedStatus(req, r)
	}
	for _, e := range entries {
		if e.ModifyIndex == 0 || !strings.HasPrefix(e.Key, prefix) {
			return nil, httpcall.UnexpectedStatus(req, r)
		}
	}
	return entries, nil
}

// CompareAndSwap writes value if key's ModifyIndex is index; index 0 creates the
// key if it is absent. It returns the new ModifyIndex and whether it wrote.
func (c *KVClient) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	body, err := json.Marshal([]txnOp{{KV: txnKV{Verb: "cas", Key: key, Value: value, Index: index}}})
	if err != nil {
		return 0, false, err
	}
	req := httpcall.Call{Method: http.MethodPut, Path: "/v1/txn", Body: body}
	r, err := c.http.Do(ctx, req)
	if err != nil {
		return 0, false, err
	}
	if r.Status == http.StatusConflict {
		return 0, false, nil
	}
	var result txnReply
	if r.Status != http.StatusOK {
		return 0, false, httpcall.UnexpectedStatus(req, r)
	}
	if err := json.Unmarshal(r.Body, &result); err != nil || len(result.Results) != 1 {
		return 0, false, httpcall.UnexpectedStatus(req, r)
	}
	written := result.Results[0].KV
	if written.Key != key || written.ModifyIndex == 0 {
		return 0, false, httpcall.UnexpectedStatus(req, r)
	}
	return written.ModifyIndex, true, nil
}

// Delete removes key if its ModifyIndex is index. It reports whether the key is
// absent afterwards, so it returns true for a key that did not exist.
func (c *KVClient) Delete(ctx context.Context, key string, index uint64) (bool, error) {
	path := fmt.Sprintf("%s?cas=%d", keyPath(key), index)
	return c.boolean(ctx, httpcall.Call{Method: http.MethodDelete, Path: path})
}

// Watch blocks until key's ModifyIndex differs from after, but no longer than
// wait, and returns the current entry.
func (c *KVClient) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	end := time.Now().Add(wait)
	index := after
	if after == 0 {
		// An absent key has no index of its own to wait on.
		entry, current, err := c.get(ctx, httpcall.Call{Method: http.MethodGet, Path: keyPath(key)}, key)
		if err != nil || entry.ModifyIndex != 0 {
			return entry, err
		}
		index = max(current, 1)
	}
	for {
		remaining := max(time.Until(end), time.Millisecond)
		path := fmt.Sprintf("%s?index=%d&wait=%dms", keyPath(key), index, remaining.Milliseconds())
		entry, current, err := c.get(ctx, httpcall.Call{Method: http.MethodGet, Path: path, Wait: remaining}, key)
		if err != nil || entry.ModifyIndex != after || !time.Now().Before(end) {
			return entry, err
		}
		// The service may return before the key has changed. An index that decreased
		// means that the service was restored.
		index = max(current, 1)
	}
}

type sessionRequest struct {
	Name      string
	TTL       string
	Behavior  string
	LockDelay string
}

// CreateSession creates a session with the given time to live and returns its id.
// The locks that the session holds are released when it ends.
func (c *KVClient) CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error) {
	body, err := json.Marshal(sessionRequest{Name: name, TTL: ttl.String(), Behavior: "release", LockDelay: "0s"})
	if err != nil {
		return "", err
	}
	req := httpcall.Call{Method: http.MethodPut, Path: "/v1/session/create", Body: body}
	r, err := c.http.Do(ctx, req)
	if err != nil {
		return "", err
	}
	if r.Status != http.StatusOK {
		return "", httpcall.UnexpectedStatus(req, r)
	}
	var created struct{ ID string }
	if err := json.Unmarshal(r.Body, &created); err != nil || created.ID == "" {
		return "", httpcall.UnexpectedStatus(req, r)
	}
	return created.ID, nil
}

// RenewSession restarts the session's time to live. It returns ErrSessionGone if
// the session no longer exists.
func (c *KVClient) RenewSession(ctx context.Context, id string) error {
	req := httpcall.Call{Method: http.MethodPut, Path: "/v1/session/renew/" + url.PathEscape(id)}
	r, err := c.http.Do(ctx, req)
	if err != nil {
		return err
	}
	switch r.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrSessionGone
	default:
		return httpcall.UnexpectedStatus(req, r)
	}
}

// DestroySession ends a session. It succeeds if the session no longer exists.
func (c *KVClient) DestroySession(ctx context.Context, id string) error {
	_, err := c.boolean(ctx, httpcall.Call{Method: http.MethodPut, Path: "/v1/session/destroy/" + url.PathEscape(id)})
	return err
}

// Acquire writes value and locks key for session, unless another session holds
// the lock. It reports whether session holds the lock, and returns ErrSessionGone
// if session has ended.
func (c *KVClient) Acquire(ctx context.Context, key string, value []byte, session string) (bool, error) {
	if value == nil {
		value = []byte{}
	}
	path := keyPath(key) + "?acquire=" + url.QueryEscape(session)
	return c.boolean(ctx, httpcall.Call{Method: http.MethodPut, Path: path, Body: value})
}

// Era returns 0: this service does not say when it was restored from an older copy.
func (c *KVClient) Era() uint64 { return 0 }

// Release unlocks key if session holds its lock. The value is unchanged.
func (c *KVClient) Release(ctx context.Context, key, session string) (bool, error) {
	path := keyPath(key) + "?release=" + url.QueryEscape(session)
	return c.boolean(ctx, httpcall.Call{Method: http.MethodPut, Path: path})
}

// boolean sends a call whose response body is true or false, and returns it.
func (c *KVClient) boolean(ctx context.Context, req httpcall.Call) (bool, error) {
	r, err := c.http.Do(ctx, req)
	if err != nil {
		return false, err
	}
	if r.Status == http.StatusInternalServerError && bytes.Contains(r.Body, []byte("invalid session")) {
		return false, ErrSessionGone
	}
	if r.Status != http.StatusOK {
		return false, httpcall.UnexpectedStatus(req, r)
	}
	switch string(bytes.TrimSpace(r.Body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, httpcall.UnexpectedStatus(req, r)
	}
}
