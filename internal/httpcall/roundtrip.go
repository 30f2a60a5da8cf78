package httpcall

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/frame"
)

// errUnsolicited means that a service sent bytes on a new connection, or closed it, before the call.
var errUnsolicited = errors.New("the service sent or closed before the call was sent")

// roundTrip sends a call on one connection and reads its answer, within limit. It returns the
// framing of the answer. Kept connections on which something has arrived are closed unused.
func (h *Client) roundTrip(req *fasthttp.Request, resp *fasthttp.Response, limit time.Duration) (frame.Framing, error) {
	deadline := time.Now().Add(limit)
	cc, err := h.host.AcquireConn(limit, false)
	for err == nil {
		conn := cc.Conn().(*meteredConn)
		if conn.isQuiet() {
			break
		}
		isNew := !conn.used
		h.host.CloseConn(cc)
		if isNew {
			return frame.Close, &notSent{err: errUnsolicited}
		}
		cc, err = h.host.AcquireConn(limit, false)
	}
	if err != nil {
		return frame.Close, err
	}
	framing, reusable, err := h.talk(cc.Conn().(*meteredConn), req, resp, deadline)
	if reusable {
		h.host.ReleaseConn(cc)
	} else {
		h.host.CloseConn(cc)
	}
	return framing, err
}

// talk sends a call on a connection and reads its answer. reusable is set if the connection is where
// the next answer begins.
func (h *Client) talk(conn *meteredConn, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) (framing frame.Framing, reusable bool, err error) {
	conn.used = true
	defer conn.settle()
	if err := conn.SetDeadline(deadline); err != nil {
		return frame.Close, false, err
	}
	if err := h.write(conn, req); err != nil {
		return frame.Close, false, timeoutOr(err)
	}
	br := h.host.AcquireReader(conn)
	defer h.host.ReleaseReader(br)
	framing, err = readAnswer(br, resp, h.host.MaxResponseBodySize, string(req.Header.Peek(fasthttp.HeaderAcceptEncoding)))
	if err != nil {
		return framing, false, timeoutOr(err)
	}
	// A body may follow a head that says so, although the status has none.
	reusable = !resp.ConnectionClose() && !hasNoBody(resp.StatusCode()) && br.Buffered() == 0
	return framing, reusable, nil
}

func (h *Client) write(conn net.Conn, req *fasthttp.Request) error {
	bw := h.host.AcquireWriter(conn)
	defer h.host.ReleaseWriter(bw)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// timeoutOr returns fasthttp.ErrTimeout if err is a timeout, and err otherwise.
func timeoutOr(err error) error {
	if t, ok := err.(interface{ Timeout() bool }); ok && t.Timeout() {
		return fasthttp.ErrTimeout
	}
	return err
}
