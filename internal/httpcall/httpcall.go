// Package httpcall is an HTTP client for the platform's services. It sends each call at
// most once, and its errors say whether the call may have taken effect.
package httpcall

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/frame"
	"kumquatyard/internal/membudget"
)

const (
	maxConns = 1024
	// MaxAnswerBytes bounds the body of an answer, unless Limit was called.
	MaxAnswerBytes = 16 << 20
	// maxIdleConnTime is below the idle timeout of common servers, so that a call is
	// seldom sent on a connection that the server is closing.
	maxIdleConnTime = 10 * time.Second
)

// Call is one HTTP request to a platform service.
type Call struct {
	Method string
	Path   string
	// Header holds additional headers.
	Header map[string]string
	Body   []byte
	// Wait is how long the service may delay the answer of a long poll; 0 if the call
	// is none.
	Wait time.Duration
	// Timeout bounds the call instead of the client's timeout; 0 means that one.
	Timeout time.Duration
}

// Reply is a complete HTTP answer. Its status is from 200 to 599, and it has no encoding but the one that
// the call names in Accept-Encoding.
type Reply struct {
	Status int
	Body   []byte
	// Header is the value of the header that Client.AnswerHeader names.
	Header string
	// Framing is how the end of Body was marked.
	Framing frame.Framing
}

// notSent is a failure before any byte of the call was sent.
type notSent struct{ err error }

func (e *notSent) Error() string { return e.err.Error() }
func (e *notSent) Unwrap() error { return e.err }

// Client sends each call at most once, on one connection.
type Client struct {
	// AnswerHeader names the header of answers that Reply has; empty for none. It must
	// be set before the first call.
	AnswerHeader string
	// ResetOnClose is set if connections are closed with a reset, which discards the
	// bytes of a timed-out call that are not delivered yet. It must be set before the
	// first call.
	ResetOnClose bool

	host    *fasthttp.HostClient
	address string
	timeout time.Duration
	// budget bounds the answers that are being read, together with those of other clients.
	budget *membudget.Budget
}

// Limit sets the greatest length of an answer's body, in bytes, and what the answers that are being
// read may take together; nil means no limit. It must be called before the first call.
func (h *Client) Limit(maxAnswer int, budget *membudget.Budget) {
	h.host.MaxResponseBodySize, h.budget = maxAnswer, budget
}

// New returns a client of the service at address, an IP address and port. timeout
// bounds a call, in addition to Call.Wait.
func New(address string, timeout time.Duration) *Client {
	h := &Client{address: address, timeout: timeout}
	h.host = &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          h.dial,
		MaxConns:                      maxConns,
		MaxIdleConnDuration:           maxIdleConnTime,
		MaxResponseBodySize:           MaxAnswerBytes,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
	}
	return h
}

func (h *Client) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, h.timeout)
	if err != nil {
		return nil, &notSent{err: err}
	}
	if !h.ResetOnClose {
		return h.meter(conn), nil
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		_ = conn.Close()
		return nil, &notSent{err: err}
	}
	return h.meter(conn), nil
}

// Do sends c and waits for the answer until ctx is done or the timeout is over. Errors
// are *contract.Error.
func (h *Client) Do(ctx context.Context, c Call) (Reply, error) {
	limit := h.timeout
	if c.Timeout > 0 {
		limit = c.Timeout
	}
	if c.Wait > 0 {
		// The service adds a jitter of up to a sixteenth of the wait.
		limit += c.Wait + c.Wait/16
	}
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	if ctx.Err() != nil {
		return Reply{}, notSentError(c, context.Cause(ctx))
	}
	if limit <= 0 {
		return Reply{}, notSentError(c, context.DeadlineExceeded)
	}
	type outcome struct {
		reply Reply
		err   error
	}
	// The exchange continues after ctx is canceled; limit bounds it.
	done := make(chan outcome, 1)
	go func() {
		r, err := h.exchange(c, limit)
		done <- outcome{reply: r, err: err}
	}()
	select {
	case o := <-done:
		return o.reply, o.err
	case <-ctx.Done():
		h.closeIdleAfterTimeout(context.Cause(ctx))
		return Reply{}, noAnswerError(c, context.Cause(ctx))
	}
}

// closeIdleAfterTimeout closes the idle connections if cause is a timeout: the fault
// behind it has probably broken all of them, and each would cost the next call that
// uses it a timeout.
func (h *Client) closeIdleAfterTimeout(cause error) {
	if errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, fasthttp.ErrTimeout) {
		h.host.CloseIdleConnections()
	}
}

func (h *Client) exchange(c Call, limit time.Duration) (Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + h.address + c.Path)
	req.URI().DisablePathNormalizing = true
	req.Header.SetMethod(c.Method)
	for name, value := range c.Header {
		req.Header.Set(name, value)
	}
	if c.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(c.Body)
	}
	framing, err := h.roundTrip(req, resp, limit)
	if err != nil {
		h.closeIdleAfterTimeout(err)
		return Reply{}, classify(c, err)
	}
	r := Reply{
		Status:  resp.StatusCode(),
		Body:    takeBody(resp),
		Header:  string(resp.Header.Peek(h.AnswerHeader)),
		Framing: framing,
	}
	if r.Status == fasthttp.StatusTooManyRequests {
		return r, rateLimitError(c, r)
	}
	return r, nil
}

// largeBody is the length from which on a body is not copied. Small ones leave their buffer to
// other calls.
const largeBody = 64 << 10

// takeBody returns the body of an answer, which nobody else uses.
func takeBody(resp *fasthttp.Response) []byte {
	if len(resp.Body()) < largeBody {
		return append([]byte(nil), resp.Body()...)
	}
	return resp.SwapBody(nil)
}

// classify returns the error of a failed exchange, with its verdict.
func classify(c Call, err error) error {
	var unsent *notSent
	if errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return notSentError(c, err)
	}
	return noAnswerError(c, err)
}

// notSentError returns the error of a call of which no byte was sent.
func notSentError(c Call, err error) error {
	return contract.Unavailable(contract.NotRun, fmt.Sprintf("%s %s was not sent", c.Method, c.Path), err)
}

// noAnswerError returns the error of a call that may have taken effect.
func noAnswerError(c Call, err error) error {
	return contract.Unavailable(contract.MayHaveRun, fmt.Sprintf("%s %s got no answer", c.Method, c.Path), err)
}

// rateLimitError returns the error of a call that the service refused with status 429.
func rateLimitError(c Call, r Reply) error {
	return contract.Refusal(contract.KindOverloaded, 0, fmt.Sprintf("%s %s: %s", c.Method, c.Path, r.Body))
}

// UnexpectedStatus returns the error of an answer whose status the protocol does not
// define. The call may have taken effect before the service failed.
func UnexpectedStatus(c Call, r Reply) error {
	return contract.Unavailable(contract.MayHaveRun, fmt.Sprintf("%s %s: status %d: %.200s", c.Method, c.Path, r.Status, r.Body), nil)
}
