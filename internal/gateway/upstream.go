package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
)

const (
	dialTimeout = 1 * time.Second
	// probeTimeout bounds asking a server for its state.
	probeTimeout = 500 * time.Millisecond
	// upstreamIdle is how long an unused connection to a server is kept.
	upstreamIdle = 10 * time.Second
	// serverHeaderBytes bounds the header of a server's answer.
	serverHeaderBytes = 16 << 10
)

// dialError marks failures before a connection existed: nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// upstream sends requests to servers. It never sends a request twice.
type upstream struct {
	// reuse keeps connections alive; only for requests that may repeat.
	reuse *fasthttp.Client
	// fresh dials for every request, so that a request never meets a
	// connection that the server is about to close.
	fresh *fasthttp.Client
}

func newUpstream() *upstream {
	return &upstream{reuse: newHTTPClient(), fresh: newHTTPClient()}
}

func newHTTPClient() *fasthttp.Client {
	return &fasthttp.Client{
		NoDefaultUserAgentHeader:      true,
		MaxConnsPerHost:               4096,
		MaxIdleConnDuration:           upstreamIdle,
		ReadBufferSize:                serverHeaderBytes,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:            true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(addr, dialTimeout)
			if err != nil {
				return nil, &dialError{err}
			}
			return conn, nil
		},
	}
}

// do sends req once. The answer's header arrives before the deadline of ctx;
// the body is streamed. Errors are *contract.Error.
func (u *upstream) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, reuse bool) error {
	otel.GetTextMapPropagator().Inject(ctx, headerCarrier{&req.Header})
	client := u.fresh
	if reuse {
		client = u.reuse
	} else {
		req.SetConnectionClose()
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return upstreamError(client.Do(req, resp))
	}
	return upstreamError(client.DoDeadline(req, resp, deadline))
}

func upstreamError(err error) error {
	if err == nil {
		return nil
	}
	e := lost("the server did not answer", err)
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		e.Verdict = contract.NotRun
		e.Message = "the server could not be reached"
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		e.Kind = contract.KindDeadline
	}
	return e
}

// refusedByServer returns the error for an answer with which the server says
// that it did not start the work, or nil for any other answer.
func refusedByServer(resp *fasthttp.Response) *contract.Error {
	if string(resp.Header.Peek(headerNotRun)) != "true" {
		return nil
	}
	return contract.Refusal(contract.KindUnavailable, 0, fmt.Sprintf("the server refused the request with status %d", resp.StatusCode()))
}

// headerCarrier lets OpenTelemetry write trace context into a request header.
type headerCarrier struct{ header *fasthttp.RequestHeader }

var _ propagation.TextMapCarrier = headerCarrier{}

// Get implements propagation.TextMapCarrier.
func (c headerCarrier) Get(key string) string { return string(c.header.Peek(key)) }

// Set implements propagation.TextMapCarrier.
func (c headerCarrier) Set(key, value string) { c.header.Set(key, value) }

// Keys implements propagation.TextMapCarrier.
func (c headerCarrier) Keys() []string {
	var keys []string
	for key := range c.header.All() {
		keys = append(keys, string(key))
	}
	return keys
}

func serverURL(s *machine.Server, path string) string { return "http://" + s.Address + path }
