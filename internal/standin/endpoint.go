// Package standin provides stand-ins for the systems outside kumquatyard: the
// key-value service, model engines, plain services, the cloud API, the instance list
// and the weight store. docs/STANDINS.md describes their protocols. Each stand-in
// can simulate the failures of the real system. kumquat-standin runs them as a
// process. The platform of kumquat-entry is simulated by platform/standin instead.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const maxBodyBytes = 64 << 20

// Standin is the interface of all stand-ins.
type Standin interface {
	// Handle serves one call.
	Handle(ctx *fasthttp.RequestCtx)
	// Serve serves the calls that arrive on l until Close.
	Serve(l net.Listener) error
	// Close stops Serve and closes all connections.
	Close()
	// Faults returns the current faults.
	Faults() Faults
	// ChangeFaults updates the faults as POST /_faults does and returns them.
	ChangeFaults(update func(*Faults)) Faults
}

// Endpoint serves a stand-in's calls and applies its faults to them.
type Endpoint struct {
	faults  *faultState
	handler fasthttp.RequestHandler
	done    chan struct{}

	mu     sync.Mutex
	lis    *listener
	closed bool
}

func newEndpoint(seed uint64, handler fasthttp.RequestHandler) *Endpoint {
	return &Endpoint{faults: newFaultState(seed), handler: handler, done: make(chan struct{})}
}

// Serve implements Standin.
func (e *Endpoint) Serve(l net.Listener) error {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return l.Close()
	}
	e.lis = newListener(l)
	lis := e.lis
	e.mu.Unlock()
	server := &fasthttp.Server{
		Handler:                      e.Handle,
		NoDefaultServerHeader:        true,
		MaxRequestBodySize:           maxBodyBytes,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
	}
	err := server.Serve(lis)
	if errors.Is(err, net.ErrClosed) || e.isClosed() {
		return nil
	}
	return err
}

// Close implements Standin.
func (e *Endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	if e.lis != nil {
		_ = e.lis.Close()
		e.lis.closeConns(nil)
	}
	// done is closed last, because it ends unfinished responses: a client that
	// sees its response break off must not be able to connect again.
	close(e.done)
}

func (e *Endpoint) isClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// Faults implements Standin.
func (e *Endpoint) Faults() Faults { return e.faults.get() }

// ChangeFaults implements Standin.
func (e *Endpoint) ChangeFaults(update func(*Faults)) Faults {
	return e.changeFaults(update, nil)
}

// changeFaults updates the faults and applies them to the open connections
// other than except, the one that carries the call.
func (e *Endpoint) changeFaults(update func(*Faults), except net.Conn) Faults {
	after := e.faults.change(update)
	e.mu.Lock()
	lis := e.lis
	e.mu.Unlock()
	if lis == nil {
		return after
	}
	if after.Silent {
		lis.blackhole(except)
	}
	if after.Down {
		lis.closeConns(except)
	}
	return after
}

// Handle implements Standin.
func (e *Endpoint) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/_faults" {
		e.handleFaults(ctx)
		return
	}
	if len(path) > 1 && path[1] == '_' {
		e.handler(ctx)
		return
	}
	f := e.faults.get()
	if f.LatencyMS > 0 {
		e.sleep(time.Duration(f.LatencyMS) * time.Millisecond)
	}
	if f.Down {
		drop(ctx)
		return
	}
	e.handler(ctx)
	if !ctx.IsGet() && e.faults.occurs(f.LoseAnswers) {
		drop(ctx)
	}
}

// sleep waits for d or until the stand-in closes.
func (e *Endpoint) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.done:
	}
}

// drop closes the connection without a response.
func drop(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func (e *Endpoint) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		writeJSON(ctx, e.faults.get())
		return
	}
	var parsed Faults
	if err := json.Unmarshal(ctx.PostBody(), &parsed); err != nil {
		fail(ctx, http.StatusBadRequest, "%v", err)
		return
	}
	body := ctx.PostBody()
	writeJSON(ctx, e.changeFaults(func(f *Faults) { _ = json.Unmarshal(body, f) }, ctx.Conn()))
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		fail(ctx, http.StatusInternalServerError, "%v", err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func fail(ctx *fasthttp.RequestCtx, status int, format string, args ...any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(fmt.Sprintf(format, args...))
}

// refuse sends an error with the X-Not-Run header, which says that no work was
// done.
func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	fail(ctx, status, "%s", reason)
	ctx.Response.Header.Set("X-Not-Run", "true")
}
