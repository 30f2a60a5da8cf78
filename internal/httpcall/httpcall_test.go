package httpcall

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kumquatyard/internal/contract"
)

// maxEndlessBytes is what a service may send before the client closes the connection: the
// client may take 16 MB, and the kernel's buffers of both ends hold 38 MB at most.
const maxEndlessBytes = (16 + 38) << 20

// Guards against a service that sends bytes without end: the client holds few of them, and
// closes the connection within the call's timeout.
func TestAnswerWithoutEnd(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	tests := map[string]struct{ start, text string }{
		"no answer":    {"", long},
		"header line":  {"HTTP/1.1 200 OK\r\nX: ", long},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X: " + long + "\r\n"},
		"body":         {"HTTP/1.1 200 OK\r\n\r\n", long},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + long + "\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				defer close(ended)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err = io.WriteString(conn, tt.start)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, tt.text)
					written.Add(int64(n))
				}
			}()
			_, err = New(l.Addr().String(), time.Second).Do(t.Context(), Call{Method: http.MethodGet, Path: "/"})
			if err == nil || contract.VerdictOf(err) != contract.MayHaveRun {
				t.Errorf("error %v, want one with the verdict may_have_run", err)
			}
			select {
			case <-ended:
			case <-time.After(3 * time.Second):
				t.Fatal("the connection is still open")
			}
			if n := written.Load(); n > maxEndlessBytes {
				t.Errorf("the service sent %d bytes before the connection was closed", n)
			}
		})
	}
}
