package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/standin"
)

const (
	dialTimeout = 5 * time.Second
	maxConns    = 50_000
	resumePath  = "/v1/streams/resume"
	// resumePause is the delay before a broken stream is resumed.
	resumePause = 50 * time.Millisecond
)

// errDial marks a failed connection attempt.
var errDial = errors.New("cannot connect")

// client sends requests to the gateways of a target. The HTTP library's retries
// are disabled, so that a request that runs twice is a fault of the target.
type client struct {
	gateways []*fasthttp.HostClient
	timeout  time.Duration
	resumes  int
}

func newClient(t *Target, s *Scenario) *client {
	c := &client{timeout: s.CallerTimeout, resumes: s.Resumes}
	for _, address := range t.Gateways {
		c.gateways = append(c.gateways, newHostClient(address))
	}
	return c
}

func newHostClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      dial,
		MaxConns:                  maxConns,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	return conn, nil
}

// refusalBody is the JSON body of an error response.
type refusalBody struct {
	Error struct {
		Type         string `json:"type"`
		Message      string `json:"message"`
		Verdict      string `json:"verdict"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// send sends a request whose arrival time is due and returns its outcome.
func (c *client) send(r *Request, due time.Time) *Outcome {
	o := &Outcome{Request: r, SendDelay: time.Since(due)}
	deadline := due.Add(c.timeout)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.fill(req, r)
	if r.Class.Kind == Chat {
		c.chat(req, o, due, deadline)
	} else {
		c.call(req, o, due, deadline)
	}
	o.Total = time.Since(due)
	return o
}

// fill sets the URI, headers and body of r.
func (c *client) fill(req *fasthttp.Request, r *Request) {
	req.SetRequestURI("http://" + c.gateways[0].Addr + r.Path)
	req.Header.SetMethod(r.Method)
	req.Header.Set("Authorization", "Bearer "+r.Workspace.Key)
	if r.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(r.Body)
	}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	for name, value := range r.Class.Headers {
		req.Header.Set(name, value)
	}
}

// call sends a request to a plain service and checks the answer.
func (c *client) call(req *fasthttp.Request, o *Outcome, due, deadline time.Time) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	body, err := c.exchange(o.Request.Number, req, resp, deadline)
	defer closeBody(resp)
	if err != nil {
		o.recordFailure(err)
		return
	}
	o.FirstToken = time.Since(due)
	answer, err := io.ReadAll(body)
	switch {
	case resp.StatusCode() != fasthttp.StatusOK:
		o.recordRefusal(resp, answer)
	case err != nil:
		o.recordFailure(err)
	default:
		o.Status = resp.StatusCode()
		o.checkCall(answer)
	}
}

// checkCall sets the result by comparing the path and body that the service
// echoed with those of the request.
func (o *Outcome) checkCall(answer []byte) {
	var got standin.ServiceAnswer
	err := json.Unmarshal(answer, &got)
	if err != nil || got.Path != o.Request.Path || got.Echo != string(o.Request.Body) {
		o.Result, o.Detail = Wrong, string(answer[:min(len(answer), 200)])
		return
	}
	o.Result = OK
}

// exchange sends req to a gateway and returns the response body as a stream. As
// a load balancer would, it tries the next gateway when it cannot connect.
func (c *client) exchange(gateway int, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) (io.Reader, error) {
	err := errDial
	for i := 0; i < len(c.gateways) && errors.Is(err, errDial); i++ {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, fasthttp.ErrTimeout
		}
		host := c.gateways[(gateway+i)%len(c.gateways)]
		req.SetHost(host.Addr)
		req.SetTimeout(remaining)
		err = host.Do(req, resp)
	}
	if err != nil {
		return nil, err
	}
	if stream := resp.BodyStream(); stream != nil {
		return stream, nil
	}
	return bytes.NewReader(resp.Body()), nil
}

func closeBody(resp *fasthttp.Response) {
	if resp.BodyStream() != nil {
		_ = resp.CloseBodyStream()
	}
}

// recordFailure records that the request got no usable response.
func (o *Outcome) recordFailure(err error) {
	o.Result, o.Detail = Lost, err.Error()
	if errors.Is(err, errDial) {
		o.Result = Unsent
	}
}

// recordRefusal records an error response.
func (o *Outcome) recordRefusal(resp *fasthttp.Response, body []byte) {
	var refusal refusalBody
	_ = json.Unmarshal(body, &refusal)
	o.Result = Refused
	o.Status = resp.StatusCode()
	o.Verdict = string(resp.Header.Peek("Kumquat-Verdict"))
	if o.Verdict == "" {
		o.Verdict = refusal.Error.Verdict
	}
	o.ErrorType = refusal.Error.Type
	o.Detail = refusal.Error.Message
}
