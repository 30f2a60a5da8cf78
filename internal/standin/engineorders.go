package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// Order is the wished state of an engine, as POST /v1/orders takes it.
type Order struct {
	FencingToken uint64 `json:"fence"`
	// DeadlineUnixMS is when the order becomes void; 0 is never.
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
	if !e.obey(order) {
		fail(ctx, http.StatusConflict, "fencing number %d is old", order.FencingToken)
		return
	}
	writeJSON(ctx, e.State())
}

// obey starts to establish the wished state; false on an old fencing number
// when the engine checks them.
func (e *Engine) obey(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing && order.FencingToken < e.fence {
		return false
	}
	e.fence = order.FencingToken
	if order.Role != "" {
		e.role = order.Role
	}
	if order.Models == nil {
		return true
	}
	e.wanted = slices.Clone(order.Models)
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return !slices.Contains(e.wanted, m) })
	for _, model := range e.wanted {
		if !slices.Contains(e.models, model) && !e.loading[model] {
			e.loading[model] = true
			go e.load(model)
		}
	}
	return true
}

// load makes a model available. A failed load is left to the next order.
func (e *Engine) load(model string) {
	var err error
	if e.options.FetchWeights != nil {
		err = e.options.FetchWeights(model)
	}
	e.sleep(time.Duration(float64(e.options.LoadTime) * e.options.TimeScale))
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loading, model)
	if err == nil && slices.Contains(e.wanted, model) {
		e.models = append(e.models, model)
	}
}
