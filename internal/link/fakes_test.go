package link

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"go.opentelemetry.io/otel/trace"
)

// relay forwards TCP connections and can drop all traffic of those open at a
// moment while new ones work.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	gate chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, gate: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go r.run()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) silenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.gate)
	r.gate = make(chan struct{})
}

func (r *relay) run() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		gate := r.gate
		r.mu.Unlock()
		out, err := net.Dial("tcp", r.target)
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
