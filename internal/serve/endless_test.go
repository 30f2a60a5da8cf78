package serve

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/frame"
)

// endlessBody yields bytes until it is closed; the test has failed long before givenUp
// bytes.
type endlessBody struct {
	read   int
	closed bool
}

const givenUp = 16 << 20

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.closed || b.read > givenUp {
		return 0, io.ErrClosedPipe
	}
	for i := range p {
		p[i] = 'x'
	}
	b.read += len(p)
	return len(p), nil
}

func (b *endlessBody) Close() error {
	b.closed = true
	return nil
}

// Guards against servers that send bytes without end where a body is due: what does not
// bear the server's mark is not forwarded, and an event that does not end is dropped.
func TestBodyWithoutEnd(t *testing.T) {
	tests := map[string]struct {
		status int
		stream bool
		sealed bool
	}{
		"plain, unmarked":         {http.StatusOK, false, false},
		"plain failure, unmarked": {http.StatusInternalServerError, false, false},
		"stream, unmarked":        {http.StatusOK, true, false},
		"event":                   {http.StatusOK, true, true},
	}
	const most = 256 << 10
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			body := &endlessBody{}
			f := newFixture(1, func(int, context.Context, *Attempt) (*Answer, error) {
				return &Answer{Status: tt.status, Header: http.Header{}, Framing: frame.Close, Body: body, Authentic: tt.sealed}, nil
			})
			route := once
			if tt.stream {
				route = stream
			}
			req := request(route)
			req.Deadline = time.Now().Add(2 * time.Second)
			c := &fakeCaller{}
			err := f.Serve(t.Context(), req, c)
			if err == nil || contract.VerdictOf(err) == contract.NotRun || c.status != 0 {
				t.Errorf("status %d with %d bytes, error %v, want a failure that may have run", c.status, c.body.Len(), err)
			}
			if body.read > most || !body.closed {
				t.Errorf("%d bytes were read, closed %v, want at most %d and then a closed connection", body.read, body.closed, most)
			}
		})
	}
}
