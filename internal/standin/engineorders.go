package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// Order is the desired state of an engine and the body of POST /v1/orders.
type Order struct {
	FencingToken uint64 `json:"fence"`
	// DeadlineUnixMS is when the order expires; 0 means never.
	DeadlineUnixMS int64    `json:"deadline_unix_ms"`
	Models         []string `json:"models"`
	Role           string   `json:"role"`
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var order Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		fail(ctx, http.StatusBadRequest, "%v", err)
		return
	}
	if order.DeadlineUnixMS > 0 && time.Now().UnixMilli() > order.DeadlineUnixMS {
		fail(ctx, http.StatusGone, "the order's deadline has passed")
		return
	}
	if !e.applyOrder(order) {
		fail(ctx, http.StatusConflict, "fencing number %d is old", order.FencingToken)
		return
	}
	writeJSON(ctx, e.State())
}

// applyOrder starts to apply the desired state. It reports false if the engine
// checks fencing tokens and the order's token is stale.
func (e *Engine) applyOrder(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing && order.FencingToken < e.fencingToken {
		return false
	}
	e.fencingToken = order.FencingToken
	if order.Role != "" {
		e.role = order.Role
	}
	if order.Models == nil {
		return true
	}
	e.wantedModels = slices.Clone(order.Models)
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return !slices.Contains(e.wantedModels, m) })
	for _, model := range e.wantedModels {
		if !slices.Contains(e.models, model) && !e.loading[model] {
			e.loading[model] = true
			go e.loadModel(model)
		}
	}
	return true
}

// loadModel makes a model available. It does not retry a failed load; the next
// order does.
func (e *Engine) loadModel(model string) {
	var err error
	if e.options.FetchWeights != nil {
		err = e.options.FetchWeights(model)
	}
	e.sleep(time.Duration(float64(e.options.LoadTime) * e.options.TimeScale))
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loading, model)
	if err == nil && slices.Contains(e.wantedModels, model) {
		e.models = append(e.models, model)
	}
}
