//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Outcome is what became of a client's attempt.
type Outcome struct {
	ID, Method, Path, Entry string
	Kept                    bool
	SentAt, EndedAt         time.Time
	Status                  int
	Header                  http.Header
	Body                    string
	// Whole is set if the answer arrived to its end.
	Whole bool
	Err   error
	// RanAt is the server that ran the request, if a case notes it.
	RanAt string
}

// Client sends requests on kept connections, one at a time.
type Client struct {
	*Record
	entry  *Entry
	conn   net.Conn
	reader *bufio.Reader
	used   bool
	// quiet is set if only failures are recorded.
	quiet bool
}

// NewID returns a new id of a client's attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Call is a request of a client.
type Call struct {
	Method, Path, Body string
	Header             http.Header
	Deadline           time.Duration
	ID, Key            string
}

// Do sends a request and reads the answer to its end.
func (c *Client) Do(call Call) Outcome {
	o := Outcome{ID: call.ID, Method: call.Method, Path: call.Path, Entry: c.entry.Name, Kept: c.used, SentAt: time.Now()}
	if o.ID == "" {
		o.ID = NewID()
	}
	o.Err = c.exchange(call, &o)
	o.EndedAt = time.Now()
	if o.Err != nil || o.Header.Get("Connection") == "close" {
		c.Close()
	} else {
		c.used = true
	}
	if c.quiet && o.Err == nil && o.Status == http.StatusOK {
		return o
	}
	c.Printf("client: %s %s %s to %s (kept connection %v) sent at %.3f -> %d whole %v verdict %q, %d bytes, error %v", o.ID, o.Method, o.Path, o.Entry, o.Kept, o.SentAt.Sub(c.start).Seconds(), o.Status, o.Whole, firstLine(o), len(o.Body), o.Err)
	return o
}

func firstLine(o Outcome) string {
	if o.Status == http.StatusOK {
		return ""
	}
	line, _, _ := strings.Cut(o.Body, "\n")
	return line
}

func (c *Client) exchange(call Call, o *Outcome) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.entry.Callers, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
		o.Kept = false
	}
	key := call.Key
	if key == "" {
		key = apiKey
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Kumquatyard-Attempt-Id: %s\r\nX-Kumquatyard-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", call.Method, call.Path, host, o.ID, call.Deadline.Milliseconds(), key)
	_ = call.Header.Write(&b)
	if call.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(call.Body))
	}
	b.WriteString("\r\n" + call.Body)
	_ = c.conn.SetDeadline(time.Now().Add(call.Deadline))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
	if err != nil {
		return err
	}
	o.Status, o.Header = resp.StatusCode, resp.Header
	if resp.Close {
		o.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(resp.Body)
	o.Body = string(body)
	if err != nil {
		return err
	}
	o.Whole = true
	return nil
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Outcomes collects outcomes.
type Outcomes struct {
	mu   sync.Mutex
	list []Outcome
}

// Add adds an outcome.
func (o *Outcomes) Add(out Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, out)
}

// All returns the outcomes so far.
func (o *Outcomes) All() []Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Outcome(nil), o.list...)
}

// Load runs clients of each entry until done is closed. call returns the next request of a client.
func (f *Fleet) Load(perEntry int, done <-chan struct{}, pause time.Duration, out *Outcomes, call func(n int) Call) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, e := range f.Entries {
		for n := range perEntry {
			wg.Go(func() {
				c := &Client{Record: f.Record, entry: e}
				defer c.Close()
				for {
					select {
					case <-done:
						return
					case <-time.After(time.Duration(rand.Int64N(int64(pause) + 1))):
					}
					out.Add(c.Do(call(n)))
				}
			})
		}
	}
	return &wg
}

// isClosedWithoutAnswer reports whether the connection ended before any answer, and not by the
// client's own deadline.
func isClosedWithoutAnswer(o Outcome) bool {
	var timeout net.Error
	if errors.As(o.Err, &timeout) && timeout.Timeout() {
		return false
	}
	return o.Err != nil && o.Status == 0
}
