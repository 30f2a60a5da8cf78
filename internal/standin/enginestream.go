package standin

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"
)

// progress is a snapshot of a stream for its readers.
type progress struct {
	emitted      int
	state        streamState
	promptTokens int
	cachedTokens int
	changed      <-chan struct{}
}

func (e *Engine) progress(s *stream) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{
		emitted:      s.emitted,
		state:        s.state,
		promptTokens: s.promptTokens,
		cachedTokens: s.cachedTokens,
		changed:      s.changed,
	}
}

// await blocks until the stream has more than next tokens or has ended. It
// reports false if the engine closes first.
func (e *Engine) await(s *stream, next int) (progress, bool) {
	for {
		p := e.progress(s)
		if p.emitted > next || p.state >= streamDone {
			return p, true
		}
		select {
		case <-p.changed:
		case <-e.done:
			return p, false
		}
	}
}

// writeStream sends the events of a stream, starting with the token at offset
// from. A stream that is canceled or exported ends without [DONE].
func (e *Engine) writeStream(ctx *fasthttp.RequestCtx, s *stream, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.Header.Set("X-Request-Id", s.id)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.detach(s)
		e.pump(w, s, from)
	})
}

func (e *Engine) pump(w *bufio.Writer, s *stream, next int) {
	first := next
	for {
		p, open := e.await(s, next)
		if !open {
			return
		}
		for ; next < p.emitted; next++ {
			chunk := s.chunk(next)
			if next == first {
				chunk.PromptTokens, chunk.CachedTokens = &p.promptTokens, &p.cachedTokens
			}
			if writeEvent(w, chunk) != nil {
				return
			}
		}
		if p.state == streamDone && next >= p.emitted {
			_, _ = w.WriteString("data: [DONE]\n\n")
		}
		if w.Flush() != nil || p.state >= streamDone {
			return
		}
	}
}

func writeEvent(w *bufio.Writer, chunk ChatChunk) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(body)
	_, err = w.WriteString("\n\n")
	return err
}

// chunk returns the event for the token at offset.
func (s *stream) chunk(offset int) ChatChunk {
	c := ChatChunk{
		ID:      s.id,
		Object:  "chat.completion.chunk",
		Model:   s.model,
		Choices: []ChatChoice{{Delta: Delta{Content: s.tokens[offset]}}},
		Offset:  offset,
	}
	if offset == 0 {
		c.Choices[0].Delta.Role = "assistant"
	}
	if offset == len(s.tokens)-1 {
		reason := "stop"
		c.Choices[0].FinishReason = &reason
	}
	return c
}

// writeCompletion responds once the whole answer is generated.
func (e *Engine) writeCompletion(ctx *fasthttp.RequestCtx, s *stream) {
	defer e.detach(s)
	p, open := e.await(s, len(s.tokens))
	if !open {
		drop(ctx)
		return
	}
	if p.state != streamDone {
		fail(ctx, http.StatusInternalServerError, "stream was cancelled")
		return
	}
	writeJSON(ctx, ChatCompletion{
		ID:     s.id,
		Object: "chat.completion",
		Model:  s.model,
		Choices: []CompletionChoice{{
			Message:      Message{Role: "assistant", Content: strings.Join(s.tokens, "")},
			FinishReason: "stop",
		}},
		Usage: Usage{PromptTokens: p.promptTokens, CompletionTokens: len(s.tokens), CachedTokens: p.cachedTokens},
	})
}
