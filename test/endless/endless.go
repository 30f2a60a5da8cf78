// Package endless is a server for tests that sends bytes without end.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Server answers one request with bytes without end.
type Server struct {
	Address string
	most    int64
	written atomic.Int64
	ended   chan struct{}
}

// Start starts a server that sends start, and then text again and again until its client
// closes the connection. A client should close it before most bytes are sent; the server
// gives up at ten times as many.
func Start(t testing.TB, start, text string, most int64) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Address: l.Addr().String(), most: most, ended: make(chan struct{})}
	go s.serve(l, start, text)
	return s
}

func (s *Server) serve(l net.Listener, start, text string) {
	defer close(s.ended)
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err = io.WriteString(conn, start)
	for err == nil && s.written.Load() < 10*s.most {
		var n int
		n, err = io.WriteString(conn, text)
		s.written.Add(int64(n))
	}
}

// Check fails the test if the client does not close the connection within a time, or took
// more bytes than it should.
func (s *Server) Check(t testing.TB, within time.Duration) {
	t.Helper()
	select {
	case <-s.ended:
	case <-time.After(within):
		t.Fatal("the connection is still open")
	}
	if n := s.written.Load(); n > s.most {
		t.Errorf("the server sent %d bytes before the connection was closed, want at most %d", n, s.most)
	}
}
