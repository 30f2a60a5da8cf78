package httpcall

import (
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
