package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/contract"
)

const (
	maxConns         = 1024
	maxResponseBytes = 64 << 20
	// idleConnLimit is below the idle timeout of the usual servers, so that a
	// request seldom meets a connection that the server is closing.
	idleConnLimit = 10 * time.Second
)

// call is one HTTP request to a platform service.
type call struct {
	method string
	path   string
	body   []byte
	// wait is how long the service may hold the answer back, 0 when it may not.
	wait time.Duration
}

// reply is a complete HTTP answer.
type reply struct {
	status int
	body   []byte
	index  string
}

// dialError marks an error that happened before a connection existed.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// httpClient sends each call at most once; the library's own retries are off.
type httpClient struct {
	host    *fasthttp.HostClient
	address string
	timeout time.Duration
}

func newHTTPClient(address string, timeout time.Duration) *httpClient {
	return &httpClient{
		address: address,
		timeout: timeout,
		host: &fasthttp.HostClient{
			Addr:                          address,
			Dial:                          func(addr string) (net.Conn, error) { return dial(addr, timeout) },
			MaxConns:                      maxConns,
			MaxIdleConnDuration:           idleConnLimit,
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxResponseBodySize:           maxResponseBytes,
			NoDefaultUserAgentHeader:      true,
			DisablePathNormalizing:        true,
			DisableHeaderNamesNormalizing: false,
		},
	}
}

func dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return conn, nil
}

// do sends c and waits for the answer until ctx is done or c's time is over.
// The error is a *contract.Error.
func (h *httpClient) do(ctx context.Context, c call) (reply, error) {
	limit := h.timeout
	if c.wait > 0 {
		// The service adds up to a sixteenth to spread its answers.
		limit += c.wait + c.wait/16
	}
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	if err := ctx.Err(); err != nil || limit <= 0 {
		return reply{}, unsent(c, context.Cause(ctx))
	}
	type outcome struct {
		reply reply
		err   error
	}
	// The exchange outlives this function when ctx is cancelled; limit bounds it.
	done := make(chan outcome, 1)
	go func() {
		r, err := h.exchange(c, limit)
		done <- outcome{reply: r, err: err}
	}()
	select {
	case o := <-done:
		return o.reply, o.err
	case <-ctx.Done():
		h.suspectIdle(context.Cause(ctx))
		return reply{}, lost(c, context.Cause(ctx))
	}
}

// suspectIdle closes the idle connections after a timeout: whatever made one
// connection silent is likely to have silenced them all, and each would cost
// its next user a timeout.
func (h *httpClient) suspectIdle(cause error) {
	if errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, fasthttp.ErrTimeout) {
		h.host.CloseIdleConnections()
	}
}

func (h *httpClient) exchange(c call, limit time.Duration) (reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.URI().DisablePathNormalizing = true
	req.SetRequestURI("http://" + h.address + c.path)
	req.Header.SetMethod(c.method)
	if c.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(c.body)
	}
	req.SetTimeout(limit)
	if err := h.host.Do(req, resp); err != nil {
		h.suspectIdle(err)
		return reply{}, classify(c, err)
	}
	r := reply{
		status: resp.StatusCode(),
		body:   append([]byte(nil), resp.Body()...),
		index:  string(resp.Header.Peek("X-Consul-Index")),
	}
	if r.status == fasthttp.StatusTooManyRequests {
		return r, refused(c, r)
	}
	return r, nil
}

func classify(c call, err error) error {
	var d *dialError
	if errors.As(err, &d) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return unsent(c, err)
	}
	return lost(c, err)
}

// unsent is the failure of a call of which no byte was sent.
func unsent(c call, err error) error {
	return &contract.Error{
		Kind:    contract.KindUnavailable,
		Verdict: contract.NotRun,
		Message: fmt.Sprintf("%s %s was not sent", c.method, c.path),
		Err:     err,
	}
}

// lost is the failure of a call that may have taken effect.
func lost(c call, err error) error {
	return &contract.Error{
		Kind:    contract.KindUnavailable,
		Verdict: contract.MayHaveRun,
		Message: fmt.Sprintf("%s %s got no answer", c.method, c.path),
		Err:     err,
	}
}

// refused is a call that the service turned away for its rate.
func refused(c call, r reply) error {
	return &contract.Error{
		Kind:    contract.KindOverloaded,
		Verdict: contract.NotRun,
		Message: fmt.Sprintf("%s %s: %s", c.method, c.path, r.body),
	}
}

// unexpected is an answer with a status that the protocol does not foresee.
// The call may have taken effect before the service failed.
func unexpected(c call, r reply) error {
	return &contract.Error{
		Kind:    contract.KindUnavailable,
		Verdict: contract.MayHaveRun,
		Message: fmt.Sprintf("%s %s: status %d: %.200s", c.method, c.path, r.status, r.body),
	}
}
