package connlimit

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Load: heads that are legal in size and made of very many short fields.
func TestCostOfHeads(t *testing.T) {
	ordinary := "POST /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-Some-Name: some value of it\r\n", 20) + "\r\n"
	var many strings.Builder
	many.WriteString("GET / HTTP/1.1\r\n")
	for n := range 10_000 {
		fmt.Fprintf(&many, "%x:\r\n", n)
	}
	many.WriteString("\r\n")
	for name, tt := range map[string]struct {
		head string
		free bool
	}{"ordinary": {ordinary, true}, "many fields": {many.String(), false}} {
		var h headScanner
		h.scan([]byte(tt.head + "a body\r\n\r\nof lines\n\n"))
		if !h.ended || h.bytes != len(tt.head) || (h.cost() == 0) != tt.free {
			t.Errorf("%s: %+v of %d bytes costs %d, want free: %v", name, h, len(tt.head), h.cost(), tt.free)
		}
	}
}

// FuzzHead checks that no head that net/http takes has more fields than the scanner counted, in
// whatever pieces it comes: a field that is not counted would take memory for nothing.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), 3)
	f.Add([]byte("\r\nPOST /a HTTP/1.1\nHost: h\nA:\n b\nContent-Length: 2\n\nxx"), 1)
	f.Add([]byte("GET / HTTP/1.0\r\na:\r\na:\r\nb:\r\r\n\r\n\r\n"), 7)
	f.Add([]byte("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: h\r\n\r\n0\r\n\r\n"), 64)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		var h headScanner
		for rest := text; len(rest) > 0; {
			n := min(max(piece, 1), len(rest))
			h.scan(rest[:n])
			rest = rest[n:]
		}
		fields := 0
		for _, values := range r.Header {
			fields += len(values)
		}
		if h.lines < fields {
			t.Errorf("%d lines were counted of a head with %d fields", h.lines, fields)
		}
		if !h.ended {
			t.Errorf("a head that net/http takes has no end: %+v", h)
		}
	})
}
