package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kumquatyard/internal/contract"
)

// endless writes start and then text again and again until the connection ends, and
// counts the bytes.
func endless(start, text string, pause time.Duration, written *atomic.Int64) script {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(conn, start)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, text)
			written.Add(int64(n))
			time.Sleep(pause)
		}
		return false
	}
}

// maxEndlessBytes is what a server may send, into the buffers of both ends too, before the
// client closes the connection.
const maxEndlessBytes = 16 << 20

// Guards against servers that send bytes without end where an answer's head is due: the
// client holds few of them, and closes the connection soon also without a deadline.
func TestHeadWithoutEnd(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	tests := map[string]script{}
	var written atomic.Int64
	tests["status line"] = endless("HTTP/1.1 200 ", long, 0, &written)
	tests["no answer"] = endless("", long, 0, &written)
	tests["header line"] = endless("HTTP/1.1 200 OK\r\nX: ", long, 0, &written)
	tests["header lines"] = endless("HTTP/1.1 200 OK\r\n", "X: "+long+"\r\n", 0, &written)
	tests["informational answers"] = endless("", "HTTP/1.1 100 Continue\r\n\r\n", 0, &written)
	tests["few bytes at a time"] = endless("HTTP/1.1 200 OK\r\nX: ", "x", 20*time.Millisecond, &written)
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			written.Store(0)
			s := serve(t, f)
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			_, err := NewPool(DefaultSettings).Do(ctx, call(s.address, "1", nil))
			if err == nil || ctx.Err() != nil {
				t.Fatalf("error %v, deadline %v, want an error before the deadline", err, ctx.Err())
			}
			if got := contract.VerdictOf(err); got != contract.MayHaveRun {
				t.Errorf("verdict %v, want may_have_run", got)
			}
			select {
			case <-s.ended:
			case <-time.After(2 * time.Second):
				t.Error("the connection is still open")
			}
			if n := written.Load(); n > maxEndlessBytes {
				t.Errorf("the server sent %d bytes before the connection was closed", n)
			}
		})
	}
}

// Guards against an answer to another request whose body has no end, or a larger one than
// is skipped: what stands in it must not be taken as the answer.
func TestAnswerInsideTheBodyOfAnotherIsNotTaken(t *testing.T) {
	inner := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nforged"
	s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		padding := strings.Repeat("x", maxSkippedBytes)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: %d\r\n\r\n%s%s", len(padding)+len(inner)+1<<20, padding, inner)
		return false
	})
	if body, err := get(t, NewPool(DefaultSettings), call(s.address, "1", nil)); err == nil {
		t.Errorf("the body %q of another answer was taken as the answer", body)
	}
}
