package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/contract"
)

// transferBytesPerToken is the size of an exported KV cache per token.
const transferBytesPerToken = 64

// transfer is the exported state of a stream. Callers treat it as opaque.
type transfer struct {
	ID        string            `json:"id"`
	Model     string            `json:"model"`
	Prompt    string            `json:"prompt"`
	MaxTokens int               `json:"max_tokens"`
	Attempt   int               `json:"attempt"`
	Priority  contract.Priority `json:"priority"`
	Emitted   int               `json:"emitted"`
	Prefilled bool              `json:"prefilled"`
	// Cache stands in for the key and value tensors.
	Cache []byte `json:"cache"`
}

func (e *Engine) handleExport(ctx *fasthttp.RequestCtx, id string) {
	t, ok := e.export(id)
	if !ok {
		fail(ctx, http.StatusNotFound, "no running stream %s", id)
		return
	}
	writeJSON(ctx, t)
	ctx.SetContentType("application/octet-stream")
}

// export stops a stream that has not ended and returns its state.
func (e *Engine) export(id string) (transfer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil || s.ended() {
		return transfer{}, false
	}
	t := transfer{
		ID:        s.id,
		Model:     s.model,
		Prompt:    s.prompt,
		MaxTokens: s.maxTokens,
		Attempt:   s.attempt,
		Priority:  s.priority,
		Emitted:   s.emitted,
		Prefilled: s.state == streamDecode,
	}
	if t.Prefilled {
		t.Cache = make([]byte, (s.promptTokens+s.emitted)*transferBytesPerToken)
	}
	e.endLocked(s, streamCanceled)
	delete(e.streams, id)
	return t, true
}

func (e *Engine) handleImport(ctx *fasthttp.RequestCtx) {
	var t transfer
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil || t.ID == "" {
		refuse(ctx, http.StatusBadRequest, "malformed export")
		return
	}
	if reason := e.importStream(t); reason != "" {
		refuse(ctx, http.StatusServiceUnavailable, string(reason))
		return
	}
	writeJSON(ctx, true)
}

// importStream queues an exported stream to continue on this engine. If the
// stream was prefilled before the export, it is not prefilled again.
func (e *Engine) importStream(t transfer) refusalReason {
	s := &stream{
		id:         t.ID,
		model:      t.Model,
		prompt:     t.Prompt,
		maxTokens:  t.MaxTokens,
		attempt:    t.Attempt,
		priority:   t.Priority,
		tokens:     Answer(t.Model, t.Prompt, t.MaxTokens),
		start:      t.Emitted,
		emitted:    t.Emitted,
		imported:   t.Prefilled,
		detachedAt: time.Now(),
		changed:    make(chan struct{}),
	}
	return e.submit(s)
}
