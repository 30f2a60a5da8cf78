package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/frame"
	"kumquatyard/internal/machine"
)

const (
	dialTimeout = 1 * time.Second
	// probeTimeout bounds a probe of a server's state and the cancellation of a
	// stream.
	probeTimeout = 500 * time.Millisecond
	// upstreamIdle is the time after which an unused connection to a server is
	// closed.
	upstreamIdle = 10 * time.Second
	// serverHeaderBytes bounds the header of a server's answer.
	serverHeaderBytes = 16 << 10
)

// dialError marks a failure to connect, after which nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// upstream sends requests to servers and never retries them itself.
type upstream struct {
	// reuse keeps connections alive. It is only for requests that may be
	// retried.
	reuse *fasthttp.Client
	// fresh dials for every request, so that no request is sent on a
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
			return newStatusConn(conn), nil
		},
	}
}

// do sends req once. The deadline of ctx applies to the header of the answer;
// the body is streamed. Errors are of type *contract.Error.
func (u *upstream) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, reuse bool) error {
	otel.GetTextMapPropagator().Inject(ctx, headerCarrier{&req.Header})
	client := u.fresh
	if reuse {
		client = u.reuse
	} else {
		req.SetConnectionClose()
	}
	if deadline, ok := ctx.Deadline(); ok {
		return upstreamError(client.DoDeadline(req, resp, deadline))
	}
	return upstreamError(client.Do(req, resp))
}

// upstreamError returns err as a *contract.Error, or nil. The verdict is NotRun
// if no connection was available and MayHaveRun otherwise.
func upstreamError(err error) error {
	if err == nil {
		return nil
	}
	e := mayHaveRun("the server did not answer", err)
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

// readBody reads the whole body of an answer, of at most limit bytes, without its encoding.
// resp.Body would take the text of an error for the body.
func readBody(resp *fasthttp.Response, limit int64) ([]byte, error) {
	encoding := string(resp.Header.ContentEncoding())
	stream := resp.BodyStream()
	if stream == nil {
		return decodeBody(bytes.Clone(resp.Body()), encoding, limit)
	}
	body, err := frame.ReadAll(stream, limit)
	if err != nil {
		return body, err
	}
	return decodeBody(body, encoding, limit)
}

// errUnknownEncoding means that a body has an encoding that was not asked for.
var errUnknownEncoding = errors.New("the body has an encoding that was not asked for")

// decodeBody removes the encoding of a body, which has at most limit bytes without it.
func decodeBody(body []byte, encoding string, limit int64) ([]byte, error) {
	switch encoding {
	case "", "identity":
		return body, nil
	case "gzip":
		r, err := gzip.NewReader(bytes.NewReader(body))
		if err != nil {
			return nil, fmt.Errorf("decompress the body: %w", err)
		}
		return frame.ReadAll(r, limit)
	default:
		return nil, fmt.Errorf("%w: %q", errUnknownEncoding, encoding)
	}
}

// refusedByServer returns an error with the verdict NotRun if the answer says
// that the server did not start the work, and nil otherwise.
func refusedByServer(resp *fasthttp.Response) *contract.Error {
	if string(resp.Header.Peek(headerNotRun)) != "true" {
		return nil
	}
	return contract.Refusal(contract.KindUnavailable, 0, fmt.Sprintf("the server refused the request with status %d", resp.StatusCode()))
}

// headerCarrier lets OpenTelemetry write trace context into a request's headers.
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
