package standin

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

func (k *KV) handleKey(ctx *fasthttp.RequestCtx, escaped string) {
	key, err := url.PathUnescape(escaped)
	args := ctx.QueryArgs()
	recurse := args.Has("recurse")
	if err != nil || (key == "" && !recurse) {
		fail(ctx, http.StatusBadRequest, "missing or malformed key")
		return
	}
	switch string(ctx.Method()) {
	case http.MethodGet:
		k.read(ctx, key, recurse)
	case http.MethodPut:
		k.put(ctx, key)
	case http.MethodDelete:
		k.delete(ctx, key)
	default:
		fail(ctx, http.StatusMethodNotAllowed, "method not allowed")
	}
}

func (k *KV) read(ctx *fasthttp.RequestCtx, key string, recurse bool) {
	after, err := uintArg(ctx, "index")
	if err != nil {
		fail(ctx, http.StatusBadRequest, "%v", err)
		return
	}
	if after > 0 {
		wait, err := waitArg(ctx)
		if err != nil {
			fail(ctx, http.StatusBadRequest, "%v", err)
			return
		}
		k.await(key, recurse, after, wait)
	}
	entries, index := k.lookup(key, recurse)
	ctx.Response.Header.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(entries) == 0 {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	writeJSON(ctx, entries)
}

func (k *KV) lookup(key string, recurse bool) ([]*kvEntry, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lookupLocked(key, recurse)
}

func (k *KV) lookupLocked(key string, recurse bool) ([]*kvEntry, uint64) {
	if recurse {
		return k.store.list(key)
	}
	entry, index := k.store.get(key)
	if entry == nil {
		return nil, index
	}
	return []*kvEntry{entry}, index
}

// await blocks until the index of key exceeds after, wait has elapsed or the KV
// closes.
func (k *KV) await(key string, recurse bool, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w := k.register(key, recurse, after)
		if w == nil {
			return
		}
		select {
		case <-w.woken:
		case <-timer.C:
			k.unregister(w)
			return
		case <-k.done:
			k.unregister(w)
			return
		}
	}
}

// register adds a waiter for key, or returns nil if the index of key exceeds
// after already.
func (k *KV) register(key string, recurse bool, after uint64) *waiter {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, index := k.lookupLocked(key, recurse); index > after {
		return nil
	}
	w := &waiter{key: key, recurse: recurse, woken: make(chan struct{})}
	k.waiters[w] = struct{}{}
	return w
}

func (k *KV) unregister(w *waiter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters, w)
}

func (k *KV) put(ctx *fasthttp.RequestCtx, key string) {
	value := append([]byte{}, ctx.PostBody()...)
	if len(value) > maxValueBytes {
		fail(ctx, http.StatusRequestEntityTooLarge, "value exceeds %d bytes", maxValueBytes)
		return
	}
	args := ctx.QueryArgs()
	flags, err := uintArg(ctx, "flags")
	if err != nil {
		fail(ctx, http.StatusBadRequest, "%v", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case args.Has("acquire"):
		acquired, known := k.store.acquire(key, value, flags, string(args.Peek("acquire")))
		if !known {
			fail(ctx, http.StatusInternalServerError, "invalid session %q", args.Peek("acquire"))
			return
		}
		writeJSON(ctx, acquired)
	case args.Has("release"):
		writeJSON(ctx, k.store.release(key, string(args.Peek("release"))))
	default:
		k.write(ctx, kvOp{Verb: verbSet, Key: key, Value: value, Flags: flags}, verbCAS)
	}
}

func (k *KV) delete(ctx *fasthttp.RequestCtx, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !ctx.QueryArgs().Has("recurse") {
		k.write(ctx, kvOp{Verb: verbDelete, Key: key}, verbDeleteCAS)
		return
	}
	found, _ := k.store.list(key)
	var ops []kvOp
	for _, e := range found {
		ops = append(ops, kvOp{Verb: verbDelete, Key: e.Key})
	}
	_, failure := k.store.txn(ops)
	writeJSON(ctx, failure == nil)
}

// write applies op, with the verb conditional if the call has a cas argument.
func (k *KV) write(ctx *fasthttp.RequestCtx, op kvOp, conditional kvVerb) {
	if ctx.QueryArgs().Has("cas") {
		index, err := uintArg(ctx, "cas")
		if err != nil {
			fail(ctx, http.StatusBadRequest, "%v", err)
			return
		}
		op.Verb, op.Index = conditional, index
	}
	_, failure := k.store.txn([]kvOp{op})
	writeJSON(ctx, failure == nil)
}

func uintArg(ctx *fasthttp.RequestCtx, name string) (uint64, error) {
	raw := string(ctx.QueryArgs().Peek(name))
	if raw == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(raw, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("invalid %s %q", name, raw)
	}
	return n, nil
}

func waitArg(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	raw := string(ctx.QueryArgs().Peek("wait"))
	if raw == "" {
		return defaultWait, nil
	}
	wait, err := time.ParseDuration(raw)
	if err != nil {
		return 0, fmt.Errorf("invalid wait %q", raw)
	}
	return min(wait, maxWait), nil
}
