package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// conn is a connection that can go silent: what is written to it vanishes and
// what arrives is never seen, while both ends believe that it is open.
type conn struct {
	net.Conn
	silent atomic.Bool
	closed func(*conn)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil && c.silent.Load() {
		_, _ = io.Copy(io.Discard, c.Conn)
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The far end of a silent connection does not
// learn that it was closed: the socket stays open until the stand-in closes.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.closed(c)
	return c.Conn.Close()
}

// listener tracks the connections it accepted.
type listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*conn]struct{}
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, open: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, closed: l.forget}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (l *listener) forget(c *conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

func (l *listener) connections(except net.Conn) []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*conn
	for c := range l.open {
		if net.Conn(c) != except {
			all = append(all, c)
		}
	}
	return all
}

// silence makes the open connections other than except go silent.
func (l *listener) silence(except net.Conn) {
	for _, c := range l.connections(except) {
		c.silent.Store(true)
	}
}

// cut closes the open connections other than except, silent ones included.
func (l *listener) cut(except net.Conn) {
	for _, c := range l.connections(except) {
		l.forget(c)
		_ = c.Conn.Close()
	}
}
