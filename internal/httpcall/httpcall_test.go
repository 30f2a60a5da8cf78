package httpcall

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/membudget"
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

// Guards against a call that reads for all of its time what is no part of a body, and does not count
// as one: the connection is closed after as many bytes as the longest answer has.
func TestFramingWithoutEnd(t *testing.T) {
	const maxAnswer = 64 << 10
	long := strings.Repeat("x", 64<<10)
	tests := map[string]struct{ start, text string }{
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", long},
		"tiny chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;"+strings.Repeat("e", 1<<10)+"\r\nx\r\n", 64)},
		"trailers":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + long[:1<<10] + "\r\n"},
		"interim answers": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 1<<10)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := endless.Start(t, tt.start, tt.text, maxEndlessBytes)
			client := New(server.Address, 10*time.Second)
			client.Limit(maxAnswer, nil)
			start := time.Now()
			_, err := client.Do(t.Context(), Call{Method: http.MethodGet, Path: "/"})
			if err == nil || contract.VerdictOf(err) != contract.MayHaveRun {
				t.Errorf("error %v, want one with the verdict may_have_run", err)
			}
			if took := time.Since(start); took > 5*time.Second {
				t.Errorf("the call ended after %v", took)
			}
			server.Check(t, time.Second)
		})
	}
}

// Guards against answers without end that each stay within their bound, but together take the
// process's memory: calls in parallel share a budget, small answers go on, and all of it is free
// afterwards.
func TestAnswersInParallelShareTheirMemory(t *testing.T) {
	const limit = 4 << 20
	budget := membudget.New(limit)
	long := strings.Repeat("x", 64<<10)
	var most atomic.Int64
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			default:
				most.Store(max(most.Load(), budget.Held()))
				time.Sleep(100 * time.Microsecond)
			}
		}
	}()
	small := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "small") }))
	defer small.Close()
	smallCalls := New(strings.TrimPrefix(small.URL, "http://"), time.Second)
	smallCalls.Limit(MaxAnswerBytes, budget)
	var wg sync.WaitGroup
	for range 16 {
		server := endless.Start(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n"+long+"\r\n", 2*maxEndlessBytes)
		client := New(server.Address, 5*time.Second)
		client.Limit(MaxAnswerBytes, budget)
		wg.Go(func() {
			if _, err := client.Do(t.Context(), Call{Method: http.MethodGet, Path: "/"}); err == nil {
				t.Error("an answer without end was taken for whole")
			}
		})
		wg.Go(func() {
			if r, err := smallCalls.Do(t.Context(), Call{Method: http.MethodGet, Path: "/"}); err != nil || string(r.Body) != "small" {
				t.Errorf("a small answer beside them failed: %v", err)
			}
		})
	}
	wg.Wait()
	close(done)
	if held := budget.Held(); held != 0 || most.Load() > limit {
		t.Errorf("%d bytes are held after all calls, %d at most, want 0 and at most %d", held, most.Load(), limit)
	}
}

// Guards against a budget that runs out by answers that were read whole: a kept connection holds
// none of it after its call.
func TestAnswerOnAKeptConnectionGivesItsMemoryBack(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	defer server.Close()
	budget := membudget.New(2 << 20)
	client := New(strings.TrimPrefix(server.URL, "http://"), 5*time.Second)
	client.Limit(MaxAnswerBytes, budget)
	for range 3 {
		r, err := client.Do(t.Context(), Call{Method: http.MethodGet, Path: "/"})
		if err != nil || string(r.Body) != body {
			t.Fatalf("%d bytes, %v; want the whole body", len(r.Body), err)
		}
		if held := budget.Held(); held != 0 {
			t.Fatalf("%d bytes are held after the call, want none", held)
		}
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
