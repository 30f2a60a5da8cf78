package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

type txnRequest []struct{ KV *kvOp }

type txnResult struct{ KV *kvEntry }

type txnResponse struct {
	Results []txnResult
	Errors  []opError
}

func (k *KV) handleTxn(ctx *fasthttp.RequestCtx) {
	var req txnRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		fail(ctx, http.StatusBadRequest, "%v", err)
		return
	}
	if len(req) > maxTxnOps {
		fail(ctx, http.StatusRequestEntityTooLarge, "more than %d operations", maxTxnOps)
		return
	}
	ops := make([]kvOp, 0, len(req))
	for _, item := range req {
		if item.KV == nil || item.KV.Key == "" || len(item.KV.Value) > maxValueBytes {
			fail(ctx, http.StatusBadRequest, "operation without a key or with too large a value")
			return
		}
		ops = append(ops, *item.KV)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	results, failure := k.store.txn(ops)
	if failure != nil {
		writeJSON(ctx, txnResponse{Errors: []opError{*failure}})
		ctx.SetStatusCode(http.StatusConflict)
		return
	}
	response := txnResponse{Results: make([]txnResult, 0, len(results))}
	for _, e := range results {
		response.Results = append(response.Results, txnResult{KV: e})
	}
	writeJSON(ctx, response)
}

type sessionRequest struct {
	Name      string
	TTL       string
	Behavior  string
	LockDelay string
}

type sessionResponse struct {
	ID   string
	Name string
	TTL  string
}

func (k *KV) handleCreateSession(ctx *fasthttp.RequestCtx) {
	var req sessionRequest
	if body := ctx.PostBody(); len(body) > 0 {
		if err := json.Unmarshal(body, &req); err != nil {
			fail(ctx, http.StatusBadRequest, "%v", err)
			return
		}
	}
	var ttl time.Duration
	if req.TTL != "" {
		parsed, err := time.ParseDuration(req.TTL)
		if err != nil {
			fail(ctx, http.StatusBadRequest, "invalid TTL %q", req.TTL)
			return
		}
		ttl = parsed
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	id := fmt.Sprintf(sessionIDFormat, k.rng.Uint32(), k.rng.Uint32()>>16, k.rng.Uint32()>>16, k.rng.Uint32()>>16, k.rng.Uint64()>>16)
	k.store.createSession(id, req.Name, ttl, req.Behavior == "delete", k.now())
	writeJSON(ctx, sessionResponse{ID: id})
}

func (k *KV) handleRenewSession(ctx *fasthttp.RequestCtx, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	session := k.store.renewSession(id, k.now())
	if session == nil {
		fail(ctx, http.StatusNotFound, "session id %q not found", id)
		return
	}
	writeJSON(ctx, []sessionResponse{{ID: session.ID, Name: session.Name, TTL: session.TTL.String()}})
}

func (k *KV) handleDestroySession(ctx *fasthttp.RequestCtx, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.destroySession(id)
	writeJSON(ctx, true)
}
