package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	readBufferBytes = 8 << 10
	// maxSkippedBytes bounds the body of an answer to another request that is read in
	// order to skip it.
	maxSkippedBytes = 1 << 20
	// maxHeadBytes and headTime bound the heads of the answers to a request, the latter
	// from the first byte on.
	maxHeadBytes = 256 << 10
	headTime     = 5 * time.Second
)

// errHeadTooLong means that a server sent more bytes than a head may have.
var errHeadTooLong = fmt.Errorf("the head of the answer exceeds %d bytes", maxHeadBytes)

// headLimit reads from a connection, at most as many bytes as are left of a head's while
// one is read.
type headLimit struct {
	io.Reader
	reading bool
	left    int
	// kept are the bytes since conn.keepHead, and nil if none are kept.
	kept []byte
}

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if !h.reading {
		return h.Reader.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.Reader.Read(p[:min(len(p), h.left)])
	h.left -= n
	if h.kept != nil {
		h.kept = append(h.kept, p[:n]...)
	}
	return n, err
}

// conn is one connection to a server. Its own goroutine waits for the first byte of
// each answer, so that data or an end of the connection that arrives while it is idle
// is detected before it is used again.
type conn struct {
	net.Conn
	reader *bufio.Reader
	head   *headLimit
	// ready receives nil when an answer's first byte arrives, or the read error.
	ready chan error
	// exchangeDone tells the reading goroutine that an exchange is over.
	exchangeDone chan struct{}
	done         chan struct{}
	closeOnce    sync.Once

	mu       sync.Mutex
	busy     bool
	unusable bool

	// exchanges is the number of requests that were sent. It belongs to the exchange in progress.
	exchanges int

	// lastUsed is when the last exchange ended, and maxIdle how long the connection
	// may stay idle. Both belong to the pool.
	lastUsed time.Time
	maxIdle  time.Duration
}

func newConn(raw net.Conn) *conn {
	head := &headLimit{Reader: raw}
	c := &conn{
		Conn:         raw,
		reader:       bufio.NewReaderSize(head, readBufferBytes),
		head:         head,
		ready:        make(chan error, 1),
		exchangeDone: make(chan struct{}, 1),
		done:         make(chan struct{}),
		busy:         true,
	}
	go c.awaitAnswers()
	return c
}

// awaitAnswers waits for the first byte of each answer, until the connection ends.
func (c *conn) awaitAnswers() {
	for {
		_, err := c.reader.Peek(1)
		if c.markIdleUnusable() {
			c.shut()
			return
		}
		c.ready <- err
		if err != nil {
			return
		}
		select {
		case <-c.exchangeDone:
		case <-c.done:
			return
		}
	}
}

// markIdleUnusable marks the connection as unusable if it is idle, and reports
// whether it was.
func (c *conn) markIdleUnusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false
	}
	c.unusable = true
	return true
}

// beginHead bounds what is read until endHead, in bytes and in time. The goroutine of the
// connection must not be reading.
func (c *conn) beginHead() error {
	c.head.reading, c.head.left = true, maxHeadBytes
	return c.SetReadDeadline(time.Now().Add(headTime))
}

func (c *conn) endHead() error {
	c.head.reading = false
	return c.SetReadDeadline(time.Time{})
}

// isOpen reports whether an idle connection has neither ended nor got bytes that belong to no request.
func (c *conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unusable && len(c.ready) == 0
}

// acquire marks an idle connection as busy. It returns false if the connection is
// unusable, or if bytes arrived, or the connection ended, while it was being released: they
// are no answer to a request that was not sent yet.
func (c *conn) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unusable || len(c.ready) > 0 {
		return false
	}
	c.busy = true
	return true
}

// release marks the connection as idle.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// shut closes the connection and ends its goroutine. It may be called repeatedly.
func (c *conn) shut() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.Conn.Close()
	})
}
