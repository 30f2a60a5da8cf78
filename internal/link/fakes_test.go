package link

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"go.opentelemetry.io/otel/trace"
)

// tcpProxy forwards TCP connections. It can discard all traffic of the open
// connections while new ones keep working.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// gate is closed when the connections accepted so far are to be dropped.
	gate chan struct{}
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: target, gate: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go p.run()
	return p
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

// dropOpenConnections discards all further traffic of the open connections
// without closing them.
func (p *tcpProxy) dropOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.gate)
	p.gate = make(chan struct{})
}

func (p *tcpProxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		gate := p.gate
		p.mu.Unlock()
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		go forward(out, conn, gate)
		go forward(conn, out, gate)
	}
}

func forward(to, from net.Conn, gate chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-gate:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func sampledContext(t *testing.T) context.Context {
	t.Helper()
	id, err := trace.TraceIDFromHex("0102030405060708090a0b0c0d0e0f10")
	if err != nil {
		t.Fatal(err)
	}
	return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: id, SpanID: trace.SpanID{1}, TraceFlags: trace.FlagsSampled, Remote: true,
	}))
}
