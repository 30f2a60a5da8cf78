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

const doneData = "[DONE]"

// answerStream is the state of a streamed answer over all its connections.
type answerStream struct {
	outcome *Outcome
	due     time.Time
	last    time.Time
	lastID  string
	// repeat is true when the request itself has to be sent again.
	repeat bool
	text   strings.Builder
}

var (
	// errAnswered ends a stream whose outcome is settled.
	errAnswered = errors.New("answered")
	errNotHeld  = errors.New("no engine holds the stream any more")
)

// chat carries a request to a model out, resuming the stream when it breaks.
func (c *client) chat(req *fasthttp.Request, o *Outcome, due, deadline time.Time) {
	a := &answerStream{outcome: o, due: due}
	gateway := o.Request.Number
	for {
		err := c.stream(req, a, gateway, deadline)
		if errors.Is(err, errAnswered) {
			return
		}
		if a.lastID == "" || o.Resumes >= c.resumes || time.Now().After(deadline) {
			o.fail(err)
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

// fillResume turns req into the resumption of a stream. When no engine holds
// the stream any more, the request is repeated with the place.
func (c *client) fillResume(req *fasthttp.Request, a *answerStream) {
	place := a.lastID
	req.Reset()
	if a.repeat {
		c.fill(req, a.outcome.Request)
	} else {
		req.SetRequestURI("http://" + c.gateways[0].Addr + resumePath)
		req.Header.SetMethod(fasthttp.MethodGet)
		req.Header.Set("Authorization", "Bearer "+a.outcome.Request.Workspace.Key)
	}
	req.Header.Set("Last-Event-ID", place)
}

// stream reads one connection's part of an answer. It returns errAnswered when
// the outcome is settled.
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
	if resp.StatusCode() == fasthttp.StatusNotFound && a.lastID != "" && !a.repeat {
		a.repeat = true
		return errNotHeld
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		answer, _ := io.ReadAll(body)
		a.outcome.refuse(resp, answer)
		if a.outcome.Tokens > 0 {
			a.outcome.Result = Failed
		}
		return errAnswered
	}
	return a.read(body)
}

func (a *answerStream) read(body io.Reader) error {
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			return err
		}
		if e.id != "" {
			a.lastID = e.id
		}
		if a.take(e) {
			return errAnswered
		}
	}
}

// take handles an event and reports whether it settles the outcome.
func (a *answerStream) take(e event) bool {
	o := a.outcome
	if string(e.data) == doneData {
		a.settle()
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
		a.token(chunk.Choices[0].Delta.Content)
	}
	return false
}

func (a *answerStream) token(content string) {
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

// settle compares the whole answer with the one that the request must get.
func (a *answerStream) settle() {
	a.outcome.Result = OK
	if got := a.text.String(); got != a.outcome.Request.Answer {
		a.outcome.Result = Wrong
		a.outcome.Detail = difference(got, a.outcome.Request.Answer)
	}
}

// difference describes where two texts part.
func difference(got, want string) string {
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	window := func(s string) string { return s[min(at, len(s)):min(at+40, len(s))] }
	return fmt.Sprintf("answer of %d bytes in place of %d, at byte %d: %q in place of %q",
		len(got), len(want), at, window(got), window(want))
}
