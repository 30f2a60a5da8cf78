package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/standin"
)

const (
	doneData = "[DONE]"
	// reconnectEvent is the name of the event with which a gateway that stops ends a stream.
	reconnectEvent = "reconnect"
)

// answerStream is the state of a streamed answer across connections.
type answerStream struct {
	outcome *Outcome
	due     time.Time
	// last is the time of the last token.
	last   time.Time
	lastID string
	// resend is set when the request has to be sent again with Last-Event-ID,
	// because the stream cannot be resumed by its id.
	resend bool
	// reconnect is set if the gateway ended the stream with the request to resume it elsewhere.
	reconnect bool
	text      strings.Builder
}

var (
	// errSettled is returned by stream once the outcome is final.
	errSettled      = errors.New("answered")
	errNotResumable = errors.New("no engine holds the stream")
)

// chat sends a request to a model and reads the streamed answer. A broken
// connection is resumed at the next gateway, up to c.resumes times.
func (c *client) chat(req *fasthttp.Request, o *Outcome, due, deadline time.Time) {
	a := &answerStream{outcome: o, due: due}
	gateway := o.Request.Number
	for {
		err := c.stream(req, a, gateway, deadline)
		if errors.Is(err, errSettled) {
			return
		}
		if a.lastID == "" || o.Resumes >= c.resumes || time.Now().After(deadline) {
			o.recordFailure(err)
			if o.Tokens > 0 {
				o.Result = Lost
			}
			return
		}
		o.Resumes++
		gateway++
		time.Sleep(resumePause)
		c.fillResume(req, a)
	}
}

// fillResume turns req into a request that resumes the stream after the last
// event. If the stream cannot be resumed by its id, req is the original request
// with Last-Event-ID.
func (c *client) fillResume(req *fasthttp.Request, a *answerStream) {
	lastID := a.lastID
	req.Reset()
	if a.resend {
		c.fill(req, a.outcome.Request)
	} else {
		req.SetRequestURI("http://" + c.gateways[0].Addr + resumePath)
		req.Header.SetMethod(fasthttp.MethodGet)
		req.Header.Set("Authorization", "Bearer "+a.outcome.Request.Workspace.Key)
	}
	req.Header.Set("Last-Event-ID", lastID)
}

// stream sends req and reads the answer until the connection ends. It returns
// errSettled when the outcome is final.
func (c *client) stream(req *fasthttp.Request, a *answerStream, gateway int, deadline time.Time) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	defer closeBody(resp)
	body, err := c.exchange(gateway, req, resp, deadline)
	if err != nil {
		return err
	}
	if id := resp.Header.Peek("X-Request-Id"); len(id) > 0 {
		a.outcome.RequestID = string(id)
	}
	a.outcome.Status = resp.StatusCode()
	if resp.StatusCode() == fasthttp.StatusNotFound && a.lastID != "" && !a.resend {
		a.resend = true
		return errNotResumable
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		answer, _ := io.ReadAll(body)
		a.outcome.recordRefusal(resp, answer)
		if a.outcome.Tokens > 0 {
			a.outcome.Result = Failed
		}
		return errSettled
	}
	return a.read(body)
}

// read handles events until the outcome is final or body ends. A regular end is that of the
// answer, unless the gateway asked for a reconnection.
func (a *answerStream) read(body io.Reader) error {
	a.reconnect = false
	events := newEventReader(body)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) && !a.reconnect {
			a.outcome.Result, a.outcome.Detail = Wrong, "the stream ended without its last event"
			return errSettled
		}
		if err != nil {
			return err
		}
		if e.id != "" {
			a.lastID = e.id
		}
		a.reconnect = a.reconnect || e.name == reconnectEvent
		if a.handle(e) {
			return errSettled
		}
	}
}

// handle processes an event and reports whether the outcome is final.
func (a *answerStream) handle(e event) bool {
	o := a.outcome
	if string(e.data) == doneData {
		a.checkAnswer()
		return true
	}
	var refusal refusalBody
	if json.Unmarshal(e.data, &refusal) == nil && refusal.Error.Type != "" {
		o.Result, o.Verdict, o.ErrorType, o.Detail = Failed, refusal.Error.Verdict, refusal.Error.Type, refusal.Error.Message
		if o.Tokens == 0 {
			o.Result = Refused
		}
		return true
	}
	var chunk standin.ChatChunk
	if err := json.Unmarshal(e.data, &chunk); err != nil {
		o.Result, o.Detail = Wrong, "malformed event"
		return true
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
		a.addToken(chunk.Choices[0].Delta.Content)
	}
	return false
}

// addToken records the arrival of a token.
func (a *answerStream) addToken(content string) {
	now := time.Now()
	if a.outcome.Tokens == 0 {
		a.outcome.FirstToken = now.Sub(a.due)
	} else {
		a.outcome.Gaps = append(a.outcome.Gaps, now.Sub(a.last))
	}
	a.last = now
	a.outcome.Tokens++
	a.text.WriteString(content)
}

// checkAnswer sets the result by comparing the complete answer with the expected
// one.
func (a *answerStream) checkAnswer() {
	a.outcome.Result = OK
	if got := a.text.String(); got != a.outcome.Request.Answer {
		a.outcome.Result = Wrong
		a.outcome.Detail = difference(got, a.outcome.Request.Answer)
	}
}

// difference describes the first difference between two texts.
func difference(got, want string) string {
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	window := func(s string) string { return s[min(at, len(s)):min(at+40, len(s))] }
	return fmt.Sprintf("answer has %d bytes, want %d; at byte %d: got %q, want %q",
		len(got), len(want), at, window(got), window(want))
}
