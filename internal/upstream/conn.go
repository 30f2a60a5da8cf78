package upstream

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	readBufferBytes = 8 << 10
	// maxSkippedBytes bounds the answer to another request that is skipped.
	maxSkippedBytes = 1 << 20
)

// conn is one connection to a server. A goroutine of its own waits for the
// first byte of each answer, so that bytes or an end that arrive while the
// connection is idle are noticed before it is used again.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// ready receives the outcome of the wait for an answer's first byte.
	ready chan error
	// next tells the reading goroutine that an exchange is over.
	next chan struct{}
	done chan struct{}
	once sync.Once

	mu   sync.Mutex
	busy bool
	dead bool

	// used is when the last exchange ended, and keepFor the server's own limit
	// on idle connections; both belong to the pool.
	used    time.Time
	keepFor time.Duration
	fresh   bool
}

func newConn(raw net.Conn) *conn {
	c := &conn{
		Conn:   raw,
		reader: bufio.NewReaderSize(raw, readBufferBytes),
		ready:  make(chan error, 1),
		next:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		busy:   true,
		fresh:  true,
	}
	go c.watch()
	return c
}

// watch waits for the first byte of each answer.
func (c *conn) watch() {
	for {
		_, err := c.reader.Peek(1)
		if c.expireIdle() {
			c.shut()
			return
		}
		c.ready <- err
		if err != nil {
			return
		}
		select {
		case <-c.next:
		case <-c.done:
			return
		}
	}
}

// expireIdle marks an idle connection as unusable.
func (c *conn) expireIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false
	}
	c.dead = true
	return true
}

// acquire takes an idle connection for an exchange.
func (c *conn) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	c.busy = true
	c.fresh = false
	return true
}

// release makes the connection idle after an exchange that read the whole
// answer and nothing more.
func (c *conn) release() {
	c.mu.Lock()
	c.busy = false
	c.mu.Unlock()
	c.next <- struct{}{}
}

// shut closes the connection for good.
func (c *conn) shut() {
	c.once.Do(func() {
		close(c.done)
		_ = c.Conn.Close()
	})
}
