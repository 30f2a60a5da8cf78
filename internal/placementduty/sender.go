package placementduty

import (
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxOrders      = 32
	maxAnswerBytes = 1 << 20
	dialTimeout    = 500 * time.Millisecond
)

// Order is the desired state of an engine, the body of POST /v1/orders.
type Order struct {
	FencingToken uint64 `json:"fence"`
	// DeadlineUnixMS is when the order becomes void.
	DeadlineUnixMS int64    `json:"deadline_unix_ms"`
	Models         []string `json:"models"`
	// Role is always empty, which leaves the engine's role unchanged.
	Role string `json:"role"`
}

// Sender sends orders to engines.
type Sender interface {
	// Send sends an order at most once and returns the HTTP status of the answer.
	// After an error the order may still take effect until its deadline.
	Send(address string, o Order, timeout time.Duration) (status int, err error)
}

// httpSender sends orders over HTTP. The retries of the HTTP client are disabled.
type httpSender struct{ client *fasthttp.Client }

// NewHTTPSender returns a Sender that sends orders to engines over HTTP.
func NewHTTPSender() Sender {
	return &httpSender{client: &fasthttp.Client{
		Dial:                      func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, dialTimeout) },
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxAnswerBytes,
		MaxConnsPerHost:           maxOrders,
	}}
}

func (s *httpSender) Send(address string, o Order, timeout time.Duration) (int, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return 0, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/v1/orders")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := s.client.DoTimeout(req, resp, timeout); err != nil {
		return 0, err
	}
	return resp.StatusCode(), nil
}
