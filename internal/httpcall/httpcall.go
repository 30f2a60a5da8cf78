// Package httpcall sends single HTTP calls to the platform's services: each at most
// once, with an error that says whether it may have taken effect.
package httpcall

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

// Call is one HTTP request to a platform service.
type Call struct {
	Method string
	Path   string
	// Header holds the headers that the call adds.
	Header map[string]string
	Body   []byte
	// Wait is how long the service may hold the answer back, 0 when it may not.
	Wait time.Duration
}

// Reply is a complete HTTP answer.
type Reply struct {
	Status int
	Body   []byte
	Index  string
}

// dialError marks an error that happened before a connection existed.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// Client sends each call at most once; the library's own retries are off.
type Client struct {
	host    *fasthttp.HostClient
	address string
	timeout time.Duration
}

// New returns a client of the service at address, host:port by IP number.
// timeout bounds a call, beside the time that the service may hold it.
func New(address string, timeout time.Duration) *Client {
	return &Client{
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

// Do sends c and waits for the answer until ctx is done or c's time is over.
// The error is a *contract.Error.
func (h *Client) Do(ctx context.Context, c Call) (Reply, error) {
	limit := h.timeout
	if c.Wait > 0 {
		// The service adds up to a sixteenth to spread its answers.
		limit += c.Wait + c.Wait/16
	}
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	if err := ctx.Err(); err != nil || limit <= 0 {
		return Reply{}, unsent(c, context.Cause(ctx))
	}
	type outcome struct {
		reply Reply
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
		return Reply{}, lost(c, context.Cause(ctx))
	}
}

// suspectIdle closes the idle connections after a timeout: whatever made one
// connection silent is likely to have silenced them all, and each would cost
// its next user a timeout.
func (h *Client) suspectIdle(cause error) {
	if errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, fasthttp.ErrTimeout) {
		h.host.CloseIdleConnections()
	}
}

func (h *Client) exchange(c Call, limit time.Duration) (Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.URI().DisablePathNormalizing = true
	req.SetRequestURI("http://" + h.address + c.Path)
	req.Header.SetMethod(c.Method)
	for name, value := range c.Header {
		req.Header.Set(name, value)
	}
	if c.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(c.Body)
	}
	req.SetTimeout(limit)
	if err := h.host.Do(req, resp); err != nil {
		h.suspectIdle(err)
		return Reply{}, classify(c, err)
	}
	r := Reply{
		Status: resp.StatusCode(),
		Body:   append([]byte(nil), resp.Body()...),
		Index:  string(resp.Header.Peek("X-Consul-Index")),
	}
	if r.Status == fasthttp.StatusTooManyRequests {
		return r, refused(c, r)
	}
	return r, nil
}

func classify(c Call, err error) error {
	var d *dialError
	if errors.As(err, &d) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return unsent(c, err)
	}
	return lost(c, err)
}

// unsent is the failure of a call of which no byte was sent.
func unsent(c Call, err error) error {
	return contract.Unavailable(contract.NotRun, fmt.Sprintf("%s %s was not sent", c.Method, c.Path), err)
}

// lost is the failure of a call that may have taken effect.
func lost(c Call, err error) error {
	return contract.Unavailable(contract.MayHaveRun, fmt.Sprintf("%s %s got no answer", c.Method, c.Path), err)
}

// refused is a call that the service turned away for its rate.
func refused(c Call, r Reply) error {
	return contract.Refusal(contract.KindOverloaded, 0, fmt.Sprintf("%s %s: %s", c.Method, c.Path, r.Body))
}

// UnexpectedStatus is an answer with a status that the protocol does not foresee.
// The call may have taken effect before the service failed.
func UnexpectedStatus(c Call, r Reply) error {
	return contract.Unavailable(contract.MayHaveRun, fmt.Sprintf("%s %s: status %d: %.200s", c.Method, c.Path, r.Status, r.Body), nil)
}
