package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/answer"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
)

const (
	// eventLineBytes bounds one line of an engine's event stream.
	eventLineBytes = 64 << 10
	// sourceBuffer is the number of events read ahead of the run.
	sourceBuffer = 32
)

// errStreamEnded means that an event stream closed before its last event.
var errStreamEnded = errors.New("the engine's stream ended early")

// engineChunk is an OpenAI chunk with the offset that engines add.
type engineChunk struct {
	Offset  uint32 `json:"offset"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// sourceEvent is a chunk, the end of the stream, or the error that ended it.
type sourceEvent struct {
	chunk answer.Chunk
	end   bool
	err   error
}

// source is an engine's event stream on a dedicated connection, so that closing
// the connection ends the reader at once.
type source struct {
	server  machine.ID
	attempt uint32
	events  chan sourceEvent
	conn    net.Conn
	done    chan struct{}
	release func()
}

// openSource sends req and returns the event stream of its answer. The deadline
// of ctx applies to the header of the answer only.
func (g *Gateway) openSource(ctx context.Context, req *fasthttp.Request, server *machine.Server, attempt uint32) (*source, error) {
	s := &source{server: server.ID, attempt: attempt, events: make(chan sourceEvent, sourceBuffer), done: make(chan struct{})}
	client := newHTTPClient()
	client.Dial = func(addr string) (net.Conn, error) {
		conn, err := fasthttp.DialTimeout(addr, dialTimeout)
		if err != nil {
			return nil, &dialError{err}
		}
		s.conn = conn
		return conn, nil
	}
	single := &upstream{fresh: client}
	resp := fasthttp.AcquireResponse()
	if err := single.do(ctx, req, resp, false); err != nil {
		if s.conn != nil {
			_ = s.conn.Close()
		}
		return nil, err
	}
	if err := answerError(resp); err != nil {
		_ = resp.CloseBodyStream()
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	// The read deadline applied to the answer's header; the stream has none.
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, upstreamError(err)
	}
	g.activity.spawn(func() { s.read(resp) })
	return s, nil
}

// rejections are the statuses that say that an engine did not take up a request, as it is not
// valid. Any other one leaves open how far the engine came.
var rejections = []int{
	fasthttp.StatusBadRequest, fasthttp.StatusUnauthorized, fasthttp.StatusForbidden, fasthttp.StatusMethodNotAllowed,
	fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusRequestURITooLong, fasthttp.StatusUnsupportedMediaType,
	fasthttp.StatusUnprocessableEntity, fasthttp.StatusRequestHeaderFieldsTooLarge,
}

// answerError returns the error for an answer without a stream, or nil for one
// with a stream.
func answerError(resp *fasthttp.Response) error {
	if err := refusedByServer(resp); err != nil {
		return err
	}
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusOK:
		return nil
	case status == fasthttp.StatusNotFound:
		return &contract.Error{Kind: contract.KindNotFound, Verdict: contract.MayHaveRun, Message: "the engine does not hold the stream"}
	case slices.Contains(rejections, status):
		return contract.Refusal(contract.KindInvalid, 0, fmt.Sprintf("the engine rejected the request with status %d", status))
	default:
		return mayHaveRun(fmt.Sprintf("the engine failed with status %d", status), nil)
	}
}

// read turns the body into events until it ends or the connection is closed.
func (s *source) read(resp *fasthttp.Response) {
	defer fasthttp.ReleaseResponse(resp)
	defer func() { _ = resp.CloseBodyStream() }()
	lines := bufio.NewReaderSize(resp.BodyStream(), eventLineBytes)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errStreamEnded
			}
			s.send(sourceEvent{err: err})
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: "))
		if !ok {
			continue
		}
		event := s.parse(data)
		if !s.send(event) || event.end || event.err != nil {
			return
		}
	}
}

// errRunStopped means that an engine stopped the run of a stream, as when another gateway cancels
// it. It names the finish reason.
var errRunStopped = errors.New("the engine stopped the run")

var errNoChoices = errors.New("the engine sent an event without choices")

func (s *source) parse(data []byte) sourceEvent {
	if string(data) == "[DONE]" {
		return sourceEvent{end: true}
	}
	var c engineChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return sourceEvent{err: fmt.Errorf("the engine sent a malformed event: %w", err)}
	}
	if len(c.Choices) == 0 {
		return sourceEvent{err: errNoChoices}
	}
	chunk := answer.Chunk{Attempt: s.attempt, Offset: c.Offset, Text: c.Choices[0].Delta.Content, Raw: bytes.Clone(data)}
	if reason := c.Choices[0].FinishReason; reason != nil {
		chunk.Finish = *reason
	}
	if chunk.Finish != "" && !answer.IsComplete(chunk.Finish) {
		return sourceEvent{err: fmt.Errorf("%w: %q", errRunStopped, chunk.Finish)}
	}
	return sourceEvent{chunk: chunk}
}

func (s *source) send(e sourceEvent) bool {
	select {
	case s.events <- e:
		return true
	case <-s.done:
		return false
	}
}

// close closes the connection; the engine retains the stream for a time.
func (s *source) close() {
	close(s.done)
	_ = s.conn.Close()
	if s.release != nil {
		s.release()
	}
}

func newEngineRequest(r *chatRequest, server *machine.Server, attempt, offset uint32) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(serverURL(server, "/v1/chat/completions"))
	req.Header.SetContentType("application/json")
	req.Header.Set(headerRequestID, r.id)
	req.Header.Set(headerAttempt, strconv.Itoa(int(attempt)))
	req.Header.Set(headerPriority, r.contract.Priority.String())
	if offset > 0 {
		req.Header.Set(headerContinueOffset, strconv.Itoa(int(offset)))
	}
	req.SetBodyRaw(r.body)
	return req
}

func newReattachRequest(id string, server *machine.Server, offset uint32) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI(serverURL(server, "/v1/streams/"+id+"?offset="+strconv.Itoa(int(offset))))
	return req
}

// cancelStream asks an engine to discard a stream that is no longer needed.
func (g *Gateway) cancelStream(server *machine.Server, id string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI(serverURL(server, "/v1/streams/"+id))
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := g.upstream.do(ctx, req, resp, false); err != nil {
		g.log.WithError(err).WithField("server", server.ID).Debug("canceling a stream that is no longer needed failed at its engine")
		return
	}
	_ = resp.CloseBodyStream()
}

// newTimer returns a channel that receives once after d, and its stop function.
func newTimer(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}
