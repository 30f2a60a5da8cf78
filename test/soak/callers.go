package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kumquatyard/platform/standin"
)

// Paths of the routes, by what a request to them may do.
const (
	lookupPath = "/lookup/x"
	orderPath  = "/order/x"
	draftPath  = "/stream/x"
	// addedPath is on a route that a later configuration adds.
	addedPath = "/added/x"
)

const (
	deadline = 2 * time.Second
	// answerSlack is how long after its deadline a request may stay unanswered.
	answerSlack = time.Second
	apiKey      = "key-1"
	workspace   = "w1"
)

// outcome is what a caller saw of one request.
type outcome struct {
	id     string
	path   string
	status int
	// broken is set when the connection ended without a whole answer.
	broken bool
	at     time.Time
	took   time.Duration
	// instance is the address that the request was sent to.
	instance string
	// unanswered is set when the connection ended before any answer.
	unanswered bool
}

// record collects outcomes and broken promises. It is safe for concurrent use.
type record struct {
	mu       sync.Mutex
	outcomes []outcome
	broken   []string
}

func (r *record) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *record) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// caller sends requests over a connection that it keeps until it breaks.
type caller struct {
	f      *fleet
	record *record
	random *rand.Rand
	ids    *atomic.Int64
	conn   net.Conn
	reader *bufio.Reader
	key    string
}

// newCaller returns a caller with the workspace's key.
func newCaller(f *fleet, r *record, ids *atomic.Int64, seed uint64) *caller {
	return &caller{f: f, record: r, ids: ids, key: apiKey, random: newRandom(seed)}
}

// run sends requests until done is closed.
func (c *caller) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			c.hangUp()
			return
		default:
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		path := []string{lookupPath, lookupPath, orderPath, orderPath, draftPath}[c.random.IntN(5)]
		c.record.add(c.send(path))
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	}
}

// connect opens a connection to one of the instances that say they are ready.
func (c *caller) connect() bool {
	for _, n := range c.random.Perm(len(c.f.instances)) {
		if i := c.f.instances[n]; i.ready() {
			return c.connectTo(i.callers)
		}
	}
	return false
}

func (c *caller) connectTo(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, 500*time.Millisecond)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and checks its answer.
func (c *caller) send(path string) outcome {
	o := outcome{id: fmt.Sprintf("%016x", c.ids.Add(1)), path: path, at: time.Now(), instance: c.conn.RemoteAddr().String()}
	err := c.exchange(&o)
	o.took = time.Since(o.at)
	if err != nil {
		o.broken, o.unanswered = true, errors.Is(err, errNoAnswer)
		c.hangUp()
	}
	return o
}

var errNoAnswer = errors.New("no answer")

func (c *caller) exchange(o *outcome) error {
	if err := c.conn.SetDeadline(time.Now().Add(deadline + 3*answerSlack)); err != nil {
		return err
	}
	method := http.MethodPost
	if o.path == lookupPath || o.path == addedPath {
		method = http.MethodGet
	}
	if err := c.write(method, o); err != nil {
		return fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	if echo := resp.Header.Get(standin.HeaderID); echo != o.id {
		c.record.breach("request %s got the answer to %q", o.id, echo)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	c.check(o, resp.Header.Get(standin.HeaderSeal), body)
	if resp.Close {
		c.hangUp()
	}
	return nil
}

// write sends the request; the order's body goes in a second piece.
func (c *caller) write(method string, o *outcome) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\n",
		method, o.path, standin.Host, standin.HeaderID, o.id, standin.HeaderDeadline, deadline.Milliseconds(), c.key)
	if method == http.MethodGet {
		b.WriteString("\r\n")
		_, err := c.conn.Write(b.Bytes())
		return err
	}
	body := strings.Repeat("b", 200)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return err
	}
	_, err := io.WriteString(c.conn, body)
	return err
}

// check compares a whole answer with what the server sent.
func (c *caller) check(o *outcome, seal string, body []byte) {
	if o.status >= http.StatusMultipleChoices {
		return
	}
	server, _, _ := strings.Cut(seal, ".")
	if o.path == draftPath {
		c.checkStream(o, body)
		return
	}
	if seal == "" || standin.Seal(server, body) != seal || !bytes.Contains(body, []byte(o.id)) {
		c.record.breach("request %s to %s got a success that is not the server's whole answer (seal %q, %d bytes)", o.id, o.path, seal, len(body))
	}
}

func (c *caller) checkStream(o *outcome, body []byte) {
	next := 1
	for event := range strings.SplitSeq(strings.TrimSuffix(string(body), "\n\n"), "\n\n") {
		id, data, _ := strings.Cut(event, "\n")
		want := standin.EventData(o.id, next, streamEvents)
		if id != "id: "+strconv.Itoa(next) || data != "data: "+want {
			c.record.breach("request %s: event %q stands in place of %q", o.id, event, want)
			return
		}
		next++
	}
	if next != streamEvents+1 {
		c.record.breach("request %s: the stream ended as whole after %d of %d events", o.id, next-1, streamEvents)
	}
}

// streamEvents is the length of the servers' streams.
const streamEvents = 20
