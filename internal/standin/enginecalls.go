package standin

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/contract"
)

const streamsPath = "/v1/streams/"

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/chat/completions":
		e.handleChat(ctx)
	case path == streamsPath+"import":
		e.handleImport(ctx)
	case strings.HasPrefix(path, streamsPath):
		e.handleStream(ctx, path[len(streamsPath):])
	case path == "/v1/state":
		writeJSON(ctx, e.State())
	case path == "/v1/cache/events":
		e.handleEvents(ctx)
	case path == "/v1/orders":
		e.handleOrder(ctx)
	case path == "/_counts":
		writeJSON(ctx, e.Counts())
	case path == "/_runs":
		writeJSON(ctx, e.runs.get())
	case path == "/_reclaim":
		e.handleReclaim(ctx)
	default:
		fail(ctx, http.StatusNotFound, "unknown path %s", path)
	}
}

func (e *Engine) handleChat(ctx *fasthttp.RequestCtx) {
	request, err := decodeChat(ctx.PostBody())
	if err != nil {
		refuse(ctx, http.StatusBadRequest, err.Error())
		return
	}
	header := &ctx.Request.Header
	offset, err := strconv.Atoi(string(header.Peek("X-Continue-Offset")))
	if err != nil && len(header.Peek("X-Continue-Offset")) > 0 {
		refuse(ctx, http.StatusBadRequest, "malformed X-Continue-Offset")
		return
	}
	s := newStream(string(header.Peek("X-Request-Id")), request, offset, time.Now())
	s.attempt, _ = strconv.Atoi(string(header.Peek("X-Request-Attempt")))
	s.priority = contract.Interactive
	if string(header.Peek("X-Request-Priority")) == contract.Deferrable.String() {
		s.priority = contract.Deferrable
	}
	s.readers = 1
	switch reason := e.submit(s); reason {
	case "":
	case reasonQueueFull:
		refuse(ctx, http.StatusTooManyRequests, string(reason))
		return
	default:
		refuse(ctx, http.StatusServiceUnavailable, string(reason))
		return
	}
	e.runs.add(s.id, "")
	if request.Stream {
		e.writeStream(ctx, s, s.start)
		return
	}
	e.writeCompletion(ctx, s)
}

func (e *Engine) handleStream(ctx *fasthttp.RequestCtx, rest string) {
	id, verb, _ := strings.Cut(rest, "/")
	switch {
	case verb == "export":
		e.handleExport(ctx, id)
	case verb != "":
		fail(ctx, http.StatusNotFound, "unknown call %s", verb)
	case ctx.IsDelete():
		if !e.cancel(id) {
			fail(ctx, http.StatusNotFound, "no stream %s", id)
		}
	default:
		e.handleResume(ctx, id)
	}
}

func (e *Engine) handleResume(ctx *fasthttp.RequestCtx, id string) {
	offset, err := uintArg(ctx, "offset")
	if err != nil {
		fail(ctx, http.StatusBadRequest, "%v", err)
		return
	}
	s := e.attach(id)
	if s == nil {
		fail(ctx, http.StatusNotFound, "no stream %s", id)
		return
	}
	e.writeStream(ctx, s, int(offset))
}

func (e *Engine) handleEvents(ctx *fasthttp.RequestCtx) {
	after, err := uintArg(ctx, "after")
	if err != nil {
		fail(ctx, http.StatusBadRequest, "%v", err)
		return
	}
	lag := e.Faults().lag()
	e.mu.Lock()
	answer := e.events.since(after, time.Now(), lag)
	e.mu.Unlock()
	writeJSON(ctx, answer)
}

// State returns the response to GET /v1/state, whose load lags by Faults.LagMS.
func (e *Engine) State() ServerState {
	lag := e.Faults().lag()
	now := time.Now()
	e.mu.Lock()
	load, measured := e.loadLocked(), now
	if lag > 0 {
		load, measured = e.loadHistory.at(now, lag)
		if measured.Before(now.Add(-lag)) {
			measured = now.Add(-lag)
		}
	}
	load.Adapters = append([]string{}, e.models...)
	load.Role = e.role
	load.FencingToken = e.fencingToken
	e.mu.Unlock()
	load.MeasuredAtUnixMS = measured.UnixMilli()
	e.fillLifecycle(&load)
	return load
}
