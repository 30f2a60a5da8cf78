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

// serveChat answers a chat completion, whole or as a stream of events. With
// Last-Event-ID it goes on with an answer that began at any gateway.
func (g *Gateway) serveChat(c fiber.Ctx) error {
	who, err := g.identify(c, false)
	if err != nil {
		return err
	}
	if who.contract.Target != contract.Model {
		return g.servePlain(c)
	}
	req, err := newChatRequest(ownBody(c))
	if err != nil {
		return err
	}
	if req.mayWait {
		if who, err = g.identify(c, true); err != nil {
			return err
		}
	}
	req.serveAs(who)
	countRequest(who.contract, who.workspace.Name)
	if eventID := c.Get(headerLastEventID); eventID != "" {
		return g.resume(c, who, req, eventID)
	}
	return g.answerChat(c, who, req, func(ctx context.Context) (*run, error) { return g.newRun(ctx, req, 0), nil })
}

// answerChat admits a request, waits for its first token and relays the rest.
func (g *Gateway) answerChat(c fiber.Ctx, who caller, req *chatRequest, begin func(context.Context) (*run, error)) error {
	ctx := context.WithoutCancel(c.Context())
	c.Set(headerRequestID, req.id)
	done := g.activity.begin()
	leave, err := g.admit(ctx, who, req.promptTokens+req.maxTokens)
	if err != nil {
		done()
		return err
	}
	began := time.Now()
	r, err := begin(ctx)
	if err != nil {
		leave(admit.Outcome{Latency: time.Since(began), Failed: true})
		done()
		return err
	}
	r.caller = c.RequestCtx().Conn()
	finish := func(err error) {
		r.close()
		leave(admit.Outcome{Latency: time.Since(began), FirstByte: r.firstByte, Failed: err != nil})
		done()
	}
	chunks, err := r.first()
	if err != nil {
		finish(err)
		return giveUp(err)
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

// giveUp turns the stop of the gateway before the first token into a refusal.
func giveUp(err error) error {
	if errors.Is(err, errReconnect) {
		return &contract.Error{Kind: contract.KindUnavailable, Verdict: contract.MayHaveRun, RetryAfter: retryAfterNotReady, Message: "the gateway is stopping"}
	}
	return err
}

// first waits for the first tokens.
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

// relay writes the answer as server-sent events until its end.
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
		_, _ = w.WriteString("id: " + answer.EventID(r.signed, c.Offset+1) + "\ndata: ")
		_, _ = w.Write(c.Raw)
		_, _ = w.WriteString("\n\n")
	}
	return w.Flush()
}

// writeFailure ends a stream that cannot go on here. The caller learns whether
// it may resume it elsewhere.
func (r *run) writeFailure(w *bufio.Writer, err error) error {
	if errors.Is(err, errReconnect) {
		_, _ = w.WriteString("event: reconnect\nid: " + answer.EventID(r.signed, r.asm.Next()) + "\nretry: 100\ndata: {}\n\n")
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

// collect answers with the whole completion at once.
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
			return giveUp(err)
		}
	}
	tokens := int(r.asm.Next())
	return c.JSON(completion{
		ID: r.req.id, Object: "chat.completion", Created: r.started.Unix(), Model: r.req.model,
		Choices: []completionChoice{{Message: completionMessage{Role: "assistant", Content: text.String()}, FinishReason: finish}},
		Usage:   completionUsage{PromptTokens: r.req.promptTokens, CompletionTokens: tokens, TotalTokens: r.req.promptTokens + tokens},
	})
}
