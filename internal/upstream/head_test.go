package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"kumquatyard/internal/contract"
)

// Guards against heads that end early and are taken for whole answers (issue 36, MIXED and ORDER, a
// report of other operators): a server stops anywhere in the head of its answer and closes, on a new
// or a kept connection, after an interim answer or without. It has answered nothing.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	heads := map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nId: 1\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\n",
		"chunks":     "HTTP/1.1 200 OK\r\nId: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"connection": "HTTP/1.1 200 OK\r\nId: 1\r\nX-Seal: s\r\n\r\n",
		"no phrase":  "HTTP/1.1 200\r\nId: 1\r\n\r\n",
	}
	for name, head := range heads {
		for _, lines := range []string{"\r\n", "\n"} {
			for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
				t.Run(fmt.Sprintf("%s, lines end with %q, after %d bytes", name, lines, len(before)), func(t *testing.T) {
					cutHead(t, before, strings.ReplaceAll(head, "\r\n", lines))
				})
			}
		}
	}
}

// cutHead ends an answer at each byte of its head, as the first and as the second one of a
// connection.
func cutHead(t *testing.T, before, head string) {
	t.Helper()
	for _, kept := range []bool{false, true} {
		for end := range len(head) {
			s := serve(t, func(conn net.Conn, _ *http.Request, n int) bool {
				if kept && n == 0 {
					answer(conn, "0", "whole")
					return true
				}
				_, _ = io.WriteString(conn, before+head[:end])
				return false
			})
			p := NewPool(DefaultSettings)
			if kept {
				mustGet(t, p, call(s.address, "0", nil), "whole")
			}
			body, err := get(t, p, call(s.address, "1", nil))
			if err == nil || contract.VerdictOf(err) != contract.MayHaveRun {
				t.Errorf("head %q: body %q, error %v, want an error that the request may have run", head[:end], body, err)
			}
		}
	}
}
