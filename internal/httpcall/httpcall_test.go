package httpcall

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/test/endless"
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
			server := endless.Start(t, tt.start, tt.text, maxEndlessBytes)
			_, err := New(server.Address, time.Second).Do(t.Context(), Call{Method: http.MethodGet, Path: "/"})
			if err == nil || contract.VerdictOf(err) != contract.MayHaveRun {
				t.Errorf("error %v, want one with the verdict may_have_run", err)
			}
			server.Check(t, 3*time.Second)
		})
	}
}

// Guards against heads that end early and are taken for whole answers (issue 36): a service stops
// anywhere in the head of its answer and closes. The call may have taken effect.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nStore: s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nStore: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nStore: s\r\n\r\n",
	} {
		for end := range len(head) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head[:end])
				}
			}()
			reply, err := New(l.Addr().String(), time.Second).Do(t.Context(), Call{Method: http.MethodGet, Path: "/a"})
			if err == nil || contract.VerdictOf(err) != contract.MayHaveRun {
				t.Errorf("head %q: reply %+v, error %v, want an error that the call may have taken effect", head[:end], reply, err)
			}
			_ = l.Close()
		}
	}
}
