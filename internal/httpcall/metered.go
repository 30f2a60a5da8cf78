package httpcall

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"kumquatyard/internal/membudget"
)

// headBytes is what an answer may have beside its body: its head, and the framing of chunks.
const headBytes = 64 << 10

var (
	errAnswerTooLong  = errors.New("the answer is longer than any that the call may get")
	errAnswersTooMany = errors.New("the answers that are being read take too much memory together")
)

// meteredConn counts the bytes of the answer that is being read, whatever they are: a head, a body or
// the framing of chunks. It ends an answer that is too long, by itself or together with others.
type meteredConn struct {
	net.Conn
	client *Client
	// used is set once a call was sent.
	used bool

	mu     sync.Mutex
	read   int64
	charge membudget.Charge
}

// meter returns conn with a meter.
func (h *Client) meter(conn net.Conn) net.Conn {
	return &meteredConn{Conn: conn, client: h, charge: h.budget.Charge()}
}

// Read reads a part of an answer.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil {
		err = c.add(int64(n))
	}
	return n, err
}

func (c *meteredConn) add(n int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += n
	switch {
	case c.read > int64(c.client.host.MaxResponseBodySize)+headBytes:
		return errAnswerTooLong
	case !c.charge.Grow(c.read):
		return errAnswersTooMany
	}
	return nil
}

// isQuiet reports whether the service has neither sent anything since the last answer nor closed the
// connection. What it sends while no call waits is the answer to none.
func (c *meteredConn) isQuiet() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// settle returns what the answer was charged with.
func (c *meteredConn) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = 0
	c.charge.Release()
}

// Close closes the connection.
func (c *meteredConn) Close() error {
	c.settle()
	return c.Conn.Close()
}
