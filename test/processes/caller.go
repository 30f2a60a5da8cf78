package processes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"kumquatyard/internal/standin"
)

// Refusal is the error that a gateway answered a request with.
type Refusal struct {
	Status  int
	Verdict string
	Message string
}

// Error returns the status, verdict and message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with status %d, verdict %s: %s", r.Status, r.Verdict, r.Message)
}

// Caller sends each request to the next entry instance, like a load balancer that
// skips instances whose health check fails.
type Caller struct {
	// URLs are those of the gateways.
	URLs []string
	// BrokenConnections counts connections that broke before the end of an answer.
	BrokenConnections int

	client http.Client
	next   int
}

// NewCaller returns a Caller whose first request goes to the entry instance at
// index first.
func (f *Fleet) NewCaller(first int) *Caller {
	c := &Caller{next: first, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	for _, e := range f.Entries {
		c.URLs = append(c.URLs, e.URL)
	}
	return c
}

// do sends one request to the next entry instance.
func (c *Caller) do(ctx context.Context, method, path string, header map[string]string, body []byte) (*http.Response, error) {
	url := c.URLs[c.next%len(c.URLs)]
	c.next++
	req, err := http.NewRequestWithContext(ctx, method, url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+APIKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return c.client.Do(req)
}

// Call sends one request to a plain service and returns the body of the answer.
// The error is a *Refusal if the gateway refused the request.
func (c *Caller) Call(ctx context.Context, method, path, key string, body []byte) ([]byte, error) {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	resp, err := c.do(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, parseRefusal(resp.StatusCode, data)
	}
	return data, nil
}

// parseRefusal returns the *Refusal in the body of an error response, or another
// error if the body is malformed.
func parseRefusal(status int, data []byte) error {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Verdict string `json:"verdict"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("status %d: body is not a refusal: %q", status, data)
	}
	return &Refusal{Status: status, Verdict: body.Error.Verdict, Message: body.Error.Message}
}

// chatStream is the part of an answer received so far.
type chatStream struct {
	text   strings.Builder
	lastID string
	done   bool
}

// Chat requests a streamed answer and checks that it is complete and correct. It
// resumes the answer at the next entry instance when a connection fails or a
// gateway sends the event "reconnect". It retries requests refused with status
// 503: before the first token only if the verdict is not_run, later always.
func (c *Caller) Chat(ctx context.Context, prompt string, maxTokens int) error {
	body, err := json.Marshal(standin.ChatRequest{
		Model: Model, Messages: []standin.Message{{Role: "user", Content: prompt}}, MaxTokens: maxTokens, Stream: true,
	})
	if err != nil {
		return err
	}
	var s chatStream
	for !s.done {
		if err := c.chatOnce(ctx, &s, body); err != nil {
			return err
		}
	}
	request := standin.ChatRequest{Messages: []standin.Message{{Role: "user", Content: prompt}}}
	want := strings.Join(standin.Answer(Model, request.Prompt(), maxTokens), "")
	if got := s.text.String(); got != want {
		return fmt.Errorf("got answer of %d bytes, want %d: %q", len(got), len(want), got)
	}
	return nil
}

// retryPause is the delay before Chat tries again.
const retryPause = 50 * time.Millisecond

// chatOnce sends the request once, with Last-Event-ID if there is one, and reads
// the answer until the connection ends. It returns nil if the answer is complete
// or the caller may try again.
func (c *Caller) chatOnce(ctx context.Context, s *chatStream, body []byte) error {
	header := map[string]string{}
	if s.lastID != "" {
		header["Last-Event-ID"] = s.lastID
	}
	resp, err := c.do(ctx, http.MethodPost, "/v1/chat/completions", header, body)
	if err != nil {
		time.Sleep(retryPause)
		return ctx.Err()
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		err := parseRefusal(resp.StatusCode, data)
		var refusal *Refusal
		if errors.As(err, &refusal) && (refusal.Verdict == "not_run" || s.lastID != "") && refusal.Status == http.StatusServiceUnavailable {
			time.Sleep(retryPause)
			return ctx.Err()
		}
		return err
	}
	event, err := s.read(resp.Body)
	if !s.done && event != "reconnect" {
		c.BrokenConnections++
	}
	return err
}

// read handles events until the stream ends and returns the name of the last one.
func (s *chatStream) read(body io.Reader) (string, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	id, event := "", ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch field {
		case "id":
			id = value
		case "event":
			event = value
		case "data":
			if event == "error" {
				return event, parseRefusal(http.StatusOK, []byte(value))
			}
			s.handle(id, value)
		}
	}
	return event, nil
}

// handle appends the content of a data line to the text and records its id.
func (s *chatStream) handle(id, data string) {
	if data == "[DONE]" {
		s.done = true
		return
	}
	var c standin.ChatChunk
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
		return
	}
	s.text.WriteString(c.Choices[0].Delta.Content)
	s.lastID = id
}
