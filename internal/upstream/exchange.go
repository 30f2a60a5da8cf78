package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/frame"
)

// Call is a request to one server.
type Call struct {
	Address string
	Method  string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NonIdempotent marks a request that must not be repeated.
	NonIdempotent bool
	// MaxConnections bounds the connections to the address; 0 means no bound.
	MaxConnections int
	// Wanted is called right before the request is written; if it returns false, the call
	// fails with ErrUnwanted and nothing is sent. Nil means true.
	Wanted func() bool
	// Offer, if set, offers the request before its body is sent; nil sends all of it at once.
	Offer *Offer
	// Belongs tells whether an answer belongs to this request. Answers to others are skipped.
	Belongs func(*http.Response) Belonging
}

// Offer makes a receiver accept a request before it has the whole of it, by Expect: 100-continue:
// without an interim answer nothing can have run. A receiver that sends other interim answers has
// to go on with them until its answer.
type Offer struct {
	// AcceptTimeout is the time in which the receiver has to accept the request or to answer.
	AcceptTimeout time.Duration
	// SilenceTimeout bounds the time without a byte after the first interim answer that follows
	// the acceptance, until the answer.
	SilenceTimeout time.Duration
}

// ErrSilent means that the receiver of an offered request did not accept it in time, or was silent
// after it had accepted it.
var ErrSilent = errors.New("the receiver is silent")

// Belonging tells whether an answer belongs to a request.
type Belonging int

const (
	// OtherRequest is the answer to another request.
	OtherRequest Belonging = iota
	// OwnRequest is the answer to the request.
	OwnRequest
	// UnnamedRequest is an answer that does not tell. It is taken for the request's only on
	// a connection that carried no other request: a server may send an earlier answer again.
	UnnamedRequest
)

// ErrUnwanted means that Call.Wanted returned false.
var ErrUnwanted = errors.New("the server accepts no requests at present")

const (
	// maxInlineBytes is the size up to which a request is written before waiting for
	// its answer. A larger one is written concurrently.
	maxInlineBytes = 4 << 10
	// maxSkippedAnswers is the number of answers to other requests that are skipped.
	maxSkippedAnswers = 2
	// maxInterimAnswers is the number of interim answers that are skipped before an answer.
	maxInterimAnswers = 8
)

// Do sends a call at most once. It returns when the answer's header has arrived; the
// caller must close the body. Errors are *contract.Error. The connection is closed
// when ctx is done before the body was read.
func (p *Pool) Do(ctx context.Context, call *Call) (*http.Response, error) {
	c, err := p.get(ctx, call)
	if errors.Is(err, ErrConnectionLimit) {
		return nil, &contract.Error{Kind: contract.KindOverloaded, Verdict: contract.NotRun, Message: err.Error(), Err: err}
	}
	if err != nil {
		return nil, failure(contract.NotRun, "connect to the server", err)
	}
	if call.Wanted != nil && !call.Wanted() {
		p.putUnused(call.Address, c)
		return nil, &contract.Error{Kind: contract.KindUnavailable, Verdict: contract.NotRun, Message: ErrUnwanted.Error(), Err: ErrUnwanted}
	}
	c.exchanges++
	x := &exchange{pool: p, call: call, conn: c, upload: newUpload()}
	x.stop = context.AfterFunc(ctx, c.shut)
	resp, err := x.run(ctx)
	if err != nil {
		x.abandon()
		return nil, err
	}
	return resp, nil
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool   *Pool
	call   *Call
	conn   *conn
	stop   func() bool
	upload *upload
	// reusable is false if the answer arrived before the request was written, or if
	// the server closes the connection.
	reusable bool
	closed   bool
}

func (x *exchange) run(ctx context.Context) (*http.Response, error) {
	if x.call.Offer != nil {
		return x.offer(ctx)
	}
	if err := x.write(x.request()); err != nil {
		return nil, err
	}
	select {
	case err := <-x.conn.ready:
		if err != nil {
			return nil, failure(contract.MayHaveRun, "the server closed the connection without an answer", err)
		}
	case <-ctx.Done():
		return nil, failure(contract.MayHaveRun, "no answer in time", context.Cause(ctx))
	}
	return x.read()
}

// request returns the bytes of the whole request.
func (x *exchange) request() []byte {
	var b bytes.Buffer
	writeHead(&b, x.call)
	b.Write(x.call.Body)
	return b.Bytes()
}

// write sends the request, or the rest of it. It returns before more than maxInlineBytes are
// written.
func (x *exchange) write(data []byte) error {
	if len(data) <= maxInlineBytes {
		n, err := x.conn.Write(data)
		x.upload.end(err)
		if err != nil && n == 0 {
			return failure(contract.NotRun, "no byte of the request was written", err)
		}
		if err != nil {
			return failure(contract.MayHaveRun, "the request broke off", err)
		}
		return nil
	}
	go func() {
		_, err := x.conn.Write(data)
		x.upload.end(err)
	}()
	return nil
}

func writeHead(b *bytes.Buffer, call *Call) {
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	// Writing to a buffer cannot fail.
	_ = call.Header.Write(b)
	switch {
	case call.Offer != nil && len(call.Body) == 0:
		// The receiver asks for a body only where there may be one.
		b.WriteString("Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n")
	case call.Offer != nil:
		fmt.Fprintf(b, "Expect: 100-continue\r\nContent-Length: %d\r\n", len(call.Body))
	case len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead:
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(call.Body))
	}
	b.WriteString("\r\n")
}

// readHead waits for the head of one answer and reads it, within the bounds of a head.
func (x *exchange) readHead() (*http.Response, error) {
	if _, err := x.conn.reader.Peek(1); err != nil {
		return nil, failure(contract.MayHaveRun, "the server closed the connection without an answer", err)
	}
	if err := x.conn.beginHead(); err != nil {
		return nil, failure(contract.MayHaveRun, "the connection to the server ended", err)
	}
	resp, err := x.parseHead()
	if err != nil {
		return nil, failure(contract.MayHaveRun, "the server's answer is not HTTP", err)
	}
	if err := x.conn.endHead(); err != nil {
		return nil, failure(contract.MayHaveRun, "the connection to the server ended", err)
	}
	return resp, nil
}

// parseHead reads a head, and fails if it is not that of an answer.
func (x *exchange) parseHead() (*http.Response, error) {
	legacy := x.conn.isLegacy()
	if legacy {
		x.conn.keepHead()
	}
	resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
	if err != nil {
		return nil, err
	}
	if err := frame.CheckHead(resp); err != nil || !legacy {
		return resp, err
	}
	return resp, checkLegacyHead(x.conn.takeHead())
}

// read reads the answer's header. It skips answers to other requests.
func (x *exchange) read() (*http.Response, error) {
	for range maxSkippedAnswers + 1 {
		resp, err := x.readFinalHead()
		if err != nil {
			return nil, err
		}
		if x.isOwn(resp) {
			x.prepare(resp)
			return resp, nil
		}
		if x.call.Belongs(resp) == UnnamedRequest {
			return nil, failure(contract.MayHaveRun, "an answer does not tell to which request of the connection it belongs", nil)
		}
		if err := frame.Discard(resp.Body, maxSkippedBytes); err != nil {
			return nil, failure(contract.MayHaveRun, "an answer to another request could not be skipped", err)
		}
	}
	return nil, failure(contract.MayHaveRun, "the server sent answers to other requests only", nil)
}

// readFinalHead reads the head of one answer. It skips interim answers.
func (x *exchange) readFinalHead() (*http.Response, error) {
	for range maxInterimAnswers + 1 {
		resp, err := x.readHead()
		if err != nil || !frame.IsInterim(resp) {
			return resp, err
		}
	}
	return nil, failure(contract.MayHaveRun, fmt.Sprintf("the server sent more than %d interim answers", maxInterimAnswers), nil)
}

// isOwn reports whether an answer is taken for the one to the request.
func (x *exchange) isOwn(resp *http.Response) bool {
	belongs := x.call.Belongs(resp)
	return belongs == OwnRequest || belongs == UnnamedRequest && x.conn.exchanges == 1
}

func (x *exchange) prepare(resp *http.Response) {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	x.reusable = x.upload.isDone() && x.upload.err == nil && !resp.Close && framed
	x.conn.maxIdle = keepAliveLimit(resp.Header)
	resp.Body = &body{ReadCloser: resp.Body, x: x, framing: frame.Of(resp)}
}

// keepAliveLimit returns how long the connection may stay idle according to the
// Keep-Alive header; 0 if the header has no timeout.
func keepAliveLimit(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(keepAliveShare * float64(seconds) * float64(time.Second))
		}
	}
	return 0
}

// finish ends the exchange after the whole answer was read, and returns the
// connection to the pool if it is reusable.
func (x *exchange) finish() {
	if x.closed {
		return
	}
	if !x.reusable || x.conn.reader.Buffered() > 0 || !x.stop() {
		x.abandon()
		return
	}
	x.closed = true
	x.pool.put(x.call.Address, x.conn)
}

// abandon ends the exchange and closes the connection, which makes most servers stop
// working on the request.
func (x *exchange) abandon() {
	if x.closed {
		return
	}
	x.closed = true
	x.stop()
	x.pool.close(x.call.Address, x.conn)
}

// body is an answer's body. It returns the connection to the pool when it was read to
// its end, and closes the connection otherwise.
type body struct {
	io.ReadCloser
	x       *exchange
	framing frame.Framing
	// end is the end of an unframed body, once it was reached.
	end error
}

// Read implements io.Reader. The end of a body that is not the end of its answer is a
// *frame.CutError.
func (b *body) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.framing == frame.Close {
		b.end = frame.End(b.framing, b.x.endCause())
		err = b.end
	}
	switch {
	case errors.Is(err, io.EOF):
		b.x.finish()
	case err != nil:
		b.x.abandon()
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end closes the
// connection.
func (b *body) Close() error {
	b.x.abandon()
	return nil
}

func failure(v contract.Verdict, message string, err error) *contract.Error {
	e := contract.Unavailable(v, message, err)
	if errors.Is(err, context.DeadlineExceeded) {
		e.Kind = contract.KindDeadline
	}
	return e
}
