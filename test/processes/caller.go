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

// Refusal is an honest refusal of a request.
type Refusal struct {
	Status  int
	Verdict string
	Message string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with status %d, verdict %s: %s", r.Status, r.Verdict, r.Message)
}

// Caller sends requests to the entry instances in turn, as a balancer that
// sees failed health checks would.
type Caller struct {
	URLs []string
	// BrokenConnections counts the connections that broke in the middle of an answer.
	BrokenConnections int

	client http.Client
	next   int
}

// NewCaller returns a Caller that starts with the entry at index first.
func (f *Fleet) NewCaller(first int) *Caller {
	c := &Caller{next: first, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	for _, e := range f.Entries {
		c.URLs = append(c.URLs, e.URL)
	}
	return c
}

// do sends one request to the next entry.
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

// Call sends one request for a plain service. Its error is a *Refusal, or that
// of a connection that broke.
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
		return nil, refusalOf(resp.StatusCode, data)
	}
	return data, nil
}

func refusalOf(status int, data []byte) error {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Verdict string `json:"verdict"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("status %d without a refusal: %q", status, data)
	}
	return &Refusal{Status: status, Verdict: body.Error.Verdict, Message: body.Error.Message}
}

// chatStream is what a caller has of an answer so far.
type chatStream struct {
	text   strings.Builder
	lastID string
	done   bool
}

// Chat asks for a streamed answer and reads it whole, resuming it at other
// entries when a connection breaks or a gateway asks for it. Until the first
// token it comes back after refusals that say "not run".
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
		return fmt.Errorf("answer is %d bytes, want %d: %q", len(got), len(want), got)
	}
	return nil
}

// retryPause is the time between a caller's attempts.
const retryPause = 50 * time.Millisecond

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
		err := refusalOf(resp.StatusCode, data)
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

// read takes events until the stream ends, and returns the last event's name.
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
				return event, refusalOf(http.StatusOK, []byte(value))
			}
			s.take(id, value)
		}
	}
	return event, nil
}

func (s *chatStream) take(id, data string) {
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
