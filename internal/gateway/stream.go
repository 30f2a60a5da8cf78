package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"kumquatyard/internal/admit"
	"kumquatyard/internal/answer"
	"kumquatyard/internal/contract"
)

// serveChat answers a chat completion request, as one response or as a stream
// of events. With Last-Event-ID it continues an answer that any gateway began.
func (g *Gateway) serveChat(c fiber.Ctx) error {
	info, err := g.identify(c, false)
	if err != nil {
		return err
	}
	if info.contract.Target != contract.Model {
		return g.servePlain(c)
	}
	req, err := parseChatRequest(copyBody(c))
	if err != nil {
		return err
	}
	if req.deferrable {
		if info, err = g.identify(c, true); err != nil {
			return err
		}
	}
	req.setCall(info)
	countRequest(info.contract, info.workspace.Name)
	if eventID := c.Get(headerLastEventID); eventID != "" {
		return g.resume(c, info, req, eventID)
	}
	return g.answerChat(c, info, req, func(ctx context.Context) (*run, error) { return g.newRun(ctx, req, 0), nil })
}

// answerChat admits a request, starts its run with begin, waits for the first
// token and relays the rest.
func (g *Gateway) answerChat(c fiber.Ctx, info callInfo, req *chatRequest, begin func(context.Context) (*run, error)) error {
	ctx := context.WithoutCancel(c.Context())
	c.Set(headerRequestID, req.id)
	done := g.activity.begin()
	release, err := g.admit(ctx, info, req.promptTokens+req.maxTokens)
	if err != nil {
		done()
		return err
	}
	started := time.Now()
	r, err := begin(ctx)
	if err != nil {
		release(admit.Outcome{Latency: time.Since(started), Failed: true})
		done()
		return err
	}
	r.callerConn = c.RequestCtx().Conn()
	finish := func(err error) {
		r.close()
		release(admit.Outcome{Latency: time.Since(started), FirstByte: r.firstByte, Failed: err != nil})
		done()
	}
	chunks, err := r.first()
	if err != nil {
		finish(err)
		return stopRefusal(err)
	}
	if !req.stream {
		err := g.collect(c, r, chunks)
		finish(err)
		return err
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-store")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		streamsOpen.Inc()
		defer streamsOpen.Dec()
		finish(r.relay(w, chunks))
	})
}

// stopRefusal turns errReconnect into a refusal, for answers that are not
// streamed or have not begun. It returns other errors unchanged.
func stopRefusal(err error) error {
	if errors.Is(err, errReconnect) {
		return &contract.Error{Kind: contract.KindUnavailable, Verdict: contract.MayHaveRun, RetryAfter: retryAfterNotReady, Message: "the gateway is stopping"}
	}
	return err
}

// first returns the first tokens of the answer, or an error at the request's
// deadline.
func (r *run) first() ([]answer.Chunk, error) {
	for {
		chunks, err := r.next()
		if err != nil || len(chunks) > 0 || r.asm.Done() {
			return chunks, err
		}
		if time.Now().After(r.req.deadline) {
			if r.server != nil {
				r.abandon(r.server)
			}
			return nil, &contract.Error{Kind: contract.KindDeadline, Verdict: contract.MayHaveRun, Message: "no token arrived before the deadline", RetryAfter: retryAfterNoServer}
		}
	}
}

// relay writes the answer to w as server-sent events until it is complete.
func (r *run) relay(w *bufio.Writer, chunks []answer.Chunk) error {
	for {
		if err := r.writeEvents(w, chunks); err != nil {
			return err
		}
		if r.asm.Done() {
			_, _ = w.WriteString("data: [DONE]\n\n")
			return w.Flush()
		}
		var err error
		if chunks, err = r.next(); err != nil {
			return r.writeFailure(w, err)
		}
	}
}

func (r *run) writeEvents(w *bufio.Writer, chunks []answer.Chunk) error {
	if len(chunks) == 0 {
		_, _ = w.WriteString(": waiting\n\n")
	}
	for _, c := range chunks {
		_, _ = w.WriteString("id: " + answer.EventID(r.signedPosition, c.Offset+1) + "\ndata: ")
		_, _ = w.Write(c.Raw)
		_, _ = w.WriteString("\n\n")
	}
	return w.Flush()
}

// writeFailure ends a stream that cannot continue here with a reconnect event,
// if the caller can resume it at another gateway, or with an error event.
func (r *run) writeFailure(w *bufio.Writer, err error) error {
	if errors.Is(err, errReconnect) {
		_, _ = w.WriteString("event: reconnect\nid: " + answer.EventID(r.signedPosition, r.asm.Next()) + "\nretry: 100\ndata: {}\n\n")
		return errors.Join(err, w.Flush())
	}
	e := asRefusal(err)
	countRefusal(e)
	body, marshalErr := json.Marshal(refusalOf(e))
	if marshalErr != nil {
		return marshalErr
	}
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	return errors.Join(err, w.Flush())
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// collect reads the whole answer and sends it as one completion.
func (g *Gateway) collect(c fiber.Ctx, r *run, chunks []answer.Chunk) error {
	var text strings.Builder
	finish := ""
	for {
		for _, chunk := range chunks {
			text.WriteString(chunk.Text)
			finish = chunk.Finish
		}
		if r.asm.Done() {
			break
		}
		var err error
		if chunks, err = r.next(); err != nil {
			return stopRefusal(err)
		}
	}
	tokens := int(r.asm.Next())
	return c.JSON(completion{
		ID: r.req.id, Object: "chat.completion", Created: r.started.Unix(), Model: r.req.model,
		Choices: []completionChoice{{Message: completionMessage{Role: "assistant", Content: text.String()}, FinishReason: finish}},
		Usage:   completionUsage{PromptTokens: r.req.promptTokens, CompletionTokens: tokens, TotalTokens: r.req.promptTokens + tokens},
	})
}
