package gateway

import (
	"io"
	"net"
	"time"
)

// deadlineListener accepts connections whose writes each have a deadline, so
// that a caller that stops reading holds its connection no longer than the
// timeout. The HTTP server's own write timeout would bound the whole answer.
type deadlineListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: conn, timeout: l.timeout}, nil
}

type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Limits on what Close still reads from a caller after the last answer.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 32 << 20
)

// Close implements net.Conn. It reads for a short time from a caller that is
// still sending, such as one whose body exceeds the limit: closing at once would
// reset the connection before the caller reads the refusal.
func (c *deadlineConn) Close() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return c.Conn.Close()
	}
	go func() {
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
		_ = tcp.Close()
	}()
	return nil
}

// Write implements net.Conn; it fails after the connection's timeout.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
