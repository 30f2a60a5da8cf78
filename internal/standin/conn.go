package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// conn is a connection that can be blackholed: data written to it is discarded
// and received data is not delivered, while both ends consider it open.
type conn struct {
	net.Conn
	blackholed atomic.Bool
	onClose    func(*conn)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil && c.blackholed.Load() {
		_, _ = io.Copy(io.Discard, c.Conn)
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The remote end of a blackholed connection does
// not see the close: the socket stays open until listener.closeConns.
func (c *conn) Close() error {
	if c.blackholed.Load() {
		return nil
	}
	c.onClose(c)
	return c.Conn.Close()
}

// listener tracks the open connections that it accepted.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, onClose: l.untrack}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (l *listener) untrack(c *conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (l *listener) connsExcept(except net.Conn) []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*conn
	for c := range l.conns {
		if net.Conn(c) != except {
			all = append(all, c)
		}
	}
	return all
}

// blackhole blackholes the open connections other than except.
func (l *listener) blackhole(except net.Conn) {
	for _, c := range l.connsExcept(except) {
		c.blackholed.Store(true)
	}
}

// closeConns closes the open connections other than except, including
// blackholed ones.
func (l *listener) closeConns(except net.Conn) {
	for _, c := range l.connsExcept(except) {
		l.untrack(c)
		_ = c.Conn.Close()
	}
}
