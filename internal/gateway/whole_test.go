package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/route"
	"kumquatyard/test/endless"
)

// Guards against a plain server that sends bytes without end: the gateway holds few of
// them, closes the connection, and tells the caller that the request may have run.
func TestPlainAnswerWithoutEnd(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	tests := map[string]string{
		"no answer": "", "header line": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n",
	}
	// The gateway may take 32 MB, and the kernel's buffers of both ends hold 38 MB at most.
	const most = (32 + 38) << 20
	for name, start := range tests {
		t.Run(name, func(t *testing.T) {
			server := endless.Start(t, start, long, most)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			g := &Gateway{upstream: newUpstream()}
			req := &plainRequest{id: "r", method: http.MethodPost, uri: "/", info: callInfo{contract: contract.Contract{}}}
			_, err := g.exchange(ctx, req, &route.Server{Server: machine.Server{ID: "s", Address: server.Address}}, 1)
			if err == nil || contract.VerdictOf(err) != contract.MayHaveRun {
				t.Errorf("error %v, want one with the verdict may_have_run", err)
			}
			server.Check(t, 5*time.Second)
		})
	}
}

// Guards against the class of inc1: a plain answer that broke off was taken as a whole one,
// with the text of the error as its body.
func TestTruncatedPlainAnswerIsNotWhole(t *testing.T) {
	tests := map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 50000),
		"without the last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, text)
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			g := &Gateway{upstream: newUpstream()}
			req := &plainRequest{id: "r", method: http.MethodPost, uri: "/"}
			answer, err := g.exchange(ctx, req, &route.Server{Server: machine.Server{ID: "s", Address: l.Addr().String()}}, 1)
			if err == nil {
				t.Errorf("status %d with the body %.40q is taken as a whole answer", answer.status, answer.body)
			}
		})
	}
}
