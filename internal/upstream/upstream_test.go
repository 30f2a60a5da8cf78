package upstream

import (
	"bufio"
	"context"
	"errors"
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

// script serves the n-th request of a connection, counted from 0, and reports whether
// the connection stays open.
type script func(conn net.Conn, r *http.Request, n int) bool

// scripted is a server that lets a script write raw answers.
type scripted struct {
	address  string
	requests atomic.Int64
	conns    atomic.Int64
	// ended receives a value for each connection that ended.
	ended chan struct{}
}

func serve(t *testing.T, f script) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scripted{address: l.Addr().String(), ended: make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serveConn(conn, f)
		}
	}()
	return s
}

func (s *scripted) serveConn(conn net.Conn, f script) {
	defer func() { s.ended <- struct{}{} }()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if !f(conn, r, n) {
			return
		}
	}
}

func answer(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func call(address, id string, body []byte) *Call {
	return &Call{
		Address: address, Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{"Id": {id}}, Body: body, NonIdempotent: true,
		Belongs: func(r *http.Response) Belonging {
			switch r.Header.Get("Id") {
			case id:
				return OwnRequest
			case "":
				return UnnamedRequest
			}
			return OtherRequest
		},
	}
}

// get sends a call and returns the whole body of the answer.
func get(t *testing.T, p *Pool, c *Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, c)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func mustGet(t *testing.T, p *Pool, c *Call, want string) {
	t.Helper()
	if body, err := get(t, p, c); err != nil || body != want {
		t.Fatalf("answer = %q, %v, want %q", body, err, want)
	}
}

func echo(conn net.Conn, r *http.Request, _ int) bool {
	answer(conn, r.Header.Get("Id"), "of "+r.Header.Get("Id"))
	return true
}

func TestConnectionIsReused(t *testing.T) {
	s := serve(t, echo)
	p := NewPool(DefaultSettings)
	for _, id := range []string{"1", "2", "3"} {
		mustGet(t, p, call(s.address, id, nil), "of "+id)
	}
	if s.conns.Load() != 1 {
		t.Errorf("%d connections, want 1", s.conns.Load())
	}
}

// A second answer to a request, sent right after the first, while the connection is
// idle, or before the next answer, must not be taken as the answer to another request.
func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	tests := map[string]script{
		"right after the answer": func(conn net.Conn, r *http.Request, _ int) bool {
			echo(conn, r, 0)
			answer(conn, r.Header.Get("Id"), "again")
			return true
		},
		"while idle": func(conn net.Conn, r *http.Request, _ int) bool {
			echo(conn, r, 0)
			time.Sleep(10 * time.Millisecond)
			answer(conn, r.Header.Get("Id"), "again")
			return true
		},
		"before the next answer": func(conn net.Conn, r *http.Request, n int) bool {
			if n > 0 {
				answer(conn, "0", "again")
			}
			return echo(conn, r, n)
		},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, f)
			p := NewPool(DefaultSettings)
			for n := range 4 {
				id := fmt.Sprint(n)
				mustGet(t, p, call(s.address, id, nil), "of "+id)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// Guards against refusals that are taken for another request's (issue 33): a faulty server sends an
// earlier refusal once more on a kept connection, with or without the id of its request, and then
// runs the next one. Nobody is told that the latter did not run.
func TestEarlierRefusalSentAgain(t *testing.T) {
	refuse := func(conn net.Conn, id string) {
		if id != "" {
			id = "Id: " + id + "\r\n"
		}
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 4\r\n\r\nfull", id)
	}
	for name, tt := range map[string]struct {
		named    bool
		againID  string
		wantBody string
	}{
		"with its id":              {true, "1", "of 2"},
		"without an id":            {false, "", ""},
		"without the id it had":    {true, "", ""},
		"with the id it had not":   {false, "1", "of 2"},
		"with an id of no request": {true, "9", "of 2"},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, r *http.Request, n int) bool {
				if n == 0 && tt.named {
					refuse(conn, r.Header.Get("Id"))
					return true
				}
				if n == 0 {
					refuse(conn, "")
					return true
				}
				refuse(conn, tt.againID)
				return echo(conn, r, n)
			})
			p := NewPool(DefaultSettings)
			mustGet(t, p, call(s.address, "1", nil), "full")
			body, err := get(t, p, call(s.address, "2", nil))
			if tt.wantBody != "" {
				if err != nil || body != tt.wantBody {
					t.Errorf("answer %q, %v, want %q", body, err, tt.wantBody)
				}
				return
			}
			if err == nil || contract.VerdictOf(err) != contract.MayHaveRun {
				t.Errorf("answer %q, error %v, want that it may have run", body, err)
			}
			mustGet(t, p, call(s.address, "3", nil), "full")
			if s.conns.Load() != 2 {
				t.Errorf("%d connections, want the first one to be closed", s.conns.Load())
			}
		})
	}
}

// Bytes that arrived before a request was sent are no answer to it.
func TestAnswerBeforeTheRequest(t *testing.T) {
	s := serve(t, echo)
	p := NewPool(DefaultSettings)
	mustGet(t, p, call(s.address, "1", nil), "of 1")
	c := call(s.address, "2", nil)
	kept := p.popIdle(s.address, true)
	if kept == nil {
		t.Fatal("the connection was not kept")
	}
	kept.ready <- nil
	p.put(s.address, kept)
	mustGet(t, p, c, "of 2")
	if s.conns.Load() != 2 {
		t.Errorf("%d connections, want the first one to be closed", s.conns.Load())
	}
}

func TestVerdicts(t *testing.T) {
	silent := func(net.Conn, *http.Request, int) bool { return false }
	tests := map[string]struct {
		f    script
		want contract.Verdict
	}{
		"closed without an answer": {silent, contract.MayHaveRun},
		"reset": {func(conn net.Conn, _ *http.Request, _ int) bool {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}, contract.MayHaveRun},
		"not HTTP": {func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, "garbage\r\n\r\n")
			return false
		}, contract.MayHaveRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, tt.f)
			_, err := get(t, NewPool(DefaultSettings), call(s.address, "1", nil))
			if got := contract.VerdictOf(err); err == nil || got != tt.want {
				t.Errorf("error %v with verdict %v, want %v", err, got, tt.want)
			}
			if s.requests.Load() != 1 {
				t.Errorf("the server received the request %d times, want once", s.requests.Load())
			}
		})
	}
}

func TestUnreachableServerMeansNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = get(t, NewPool(DefaultSettings), call(address, "1", nil))
	if got := contract.VerdictOf(err); err == nil || got != contract.NotRun {
		t.Errorf("error %v with verdict %v, want an error with not_run", err, got)
	}
}

// A connection that the server closed while it was idle must not be used for the next
// request, whose outcome would be unknown.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, n int) bool {
		echo(conn, r, n)
		return false
	})
	p := NewPool(DefaultSettings)
	for n := range 5 {
		id := fmt.Sprint(n)
		mustGet(t, p, call(s.address, id, nil), "of "+id)
		<-s.ended
		time.Sleep(10 * time.Millisecond)
	}
}

func TestTruncatedAnswers(t *testing.T) {
	tests := map[string]struct {
		bytes string
		whole bool
	}{
		"shorter than Content-Length": {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc", false},
		"without last chunk":          {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
		"delimited by close":          {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, tt.bytes)
				return false
			})
			body, err := get(t, NewPool(DefaultSettings), call(s.address, "1", nil))
			if whole := err == nil; whole != tt.whole || body != "abc" {
				t.Errorf("body %q, error %v, want whole %v", body, err, tt.whole)
			}
		})
	}
}

// When the answer arrives before a long body was sent, no other request may follow on
// the connection: the server could take it for the rest of the body.
func TestEarlyAnswerClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	rest := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		answer(conn, "1", "early")
		time.Sleep(100 * time.Millisecond)
		n, _ := io.Copy(io.Discard, reader)
		rest <- int(n)
	}()
	p := NewPool(DefaultSettings)
	body := []byte(strings.Repeat("x", 32<<20))
	mustGet(t, p, call(l.Addr().String(), "1", body), "early")
	if n := <-rest; n > len(body) {
		t.Errorf("the server read %d bytes after the head, want at most the body's %d", n, len(body))
	}
	if n := p.ConnectionCount(l.Addr().String()); n != 0 {
		t.Errorf("%d connections are open after an early answer, want none", n)
	}
}

// When the caller cancels, the connection is closed, which stops the server's work.
func TestCanceledContextClosesConnection(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := NewPool(DefaultSettings).Do(ctx, call(s.address, "1", nil))
	if contract.VerdictOf(err) != contract.MayHaveRun {
		t.Errorf("error %v, want one with verdict may_have_run", err)
	}
	select {
	case <-s.ended:
	case <-time.After(time.Second):
		t.Error("the connection is still open a second after the context was canceled")
	}
}

func TestNonIdempotentCallUsesFreshConnection(t *testing.T) {
	s := serve(t, echo)
	settings := DefaultSettings
	settings.NonIdempotentIdleLimit = 20 * time.Millisecond
	p := NewPool(settings)
	mustGet(t, p, call(s.address, "1", nil), "of 1")
	time.Sleep(50 * time.Millisecond)
	mustGet(t, p, call(s.address, "2", nil), "of 2")
	if s.conns.Load() != 2 {
		t.Errorf("%d connections, want 2: a new one for the second request", s.conns.Load())
	}
}

func TestSweepClosesIdleConnections(t *testing.T) {
	s := serve(t, echo)
	p := NewPool(DefaultSettings)
	mustGet(t, p, call(s.address, "1", nil), "of 1")
	p.Sweep(time.Now())
	if p.ConnectionCount(s.address) != 1 {
		t.Fatal("Sweep closed a connection before its idle limit")
	}
	p.Sweep(time.Now().Add(DefaultSettings.IdleLimit + time.Second))
	if p.ConnectionCount(s.address) != 0 {
		t.Error("Sweep left a connection open after its idle limit")
	}
}

// A request over MaxConnections is refused as not run, so that it can be sent
// elsewhere. An idle connection that the request may not use is closed to make room.
func TestMaxConnections(t *testing.T) {
	hold := make(chan struct{})
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		<-hold
		answer(conn, r.Header.Get("Id"), "done")
		return true
	})
	settings := DefaultSettings
	settings.NonIdempotentIdleLimit = 0
	p := NewPool(settings)
	send := func(id string) error {
		c := call(s.address, id, nil)
		c.MaxConnections = 2
		resp, err := p.Do(t.Context(), c)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		return err
	}
	results := make(chan error, 2)
	for _, id := range []string{"1", "2"} {
		go func() { results <- send(id) }()
	}
	for s.requests.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	err := send("3")
	if !errors.Is(err, ErrConnectionLimit) || contract.VerdictOf(err) != contract.NotRun {
		t.Errorf("third request: error %v, want ErrConnectionLimit with verdict not_run", err)
	}
	close(hold)
	for range 2 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	// Both connections are idle, but for too long to be used for a request that must
	// not be repeated.
	if err := send("4"); err != nil {
		t.Errorf("request while both connections were idle: %v", err)
	}
	if n := p.ConnectionCount(s.address); n > 2 {
		t.Errorf("%d connections are open, want at most 2", n)
	}
}

// A call that is not wanted any more once it has a connection is not sent, and the
// connection is used by the next call.
func TestUnwantedCallIsNotSent(t *testing.T) {
	s := serve(t, echo)
	p := NewPool(DefaultSettings)
	for n := range 3 {
		unwanted := call(s.address, "u", nil)
		unwanted.Wanted = func() bool { return false }
		_, err := get(t, p, unwanted)
		if !errors.Is(err, ErrUnwanted) || contract.VerdictOf(err) != contract.NotRun {
			t.Fatalf("error %v, want ErrUnwanted with verdict not run", err)
		}
		if got := s.requests.Load(); got != int64(n) {
			t.Fatalf("%d requests were sent, want %d", got, n)
		}
		mustGet(t, p, call(s.address, "a", nil), "of a")
	}
	if got := s.conns.Load(); got != 1 {
		t.Errorf("%d connections were opened, want 1", got)
	}
}

// Listens tells a server that accepts connections, of which it keeps the new one, from one
// that has ended.
func TestListens(t *testing.T) {
	s := serve(t, echo)
	p := NewPool(DefaultSettings)
	if listens, err := p.Listens(t.Context(), s.address, 0); !listens || err != nil {
		t.Errorf("a running server listens: %v, %v", listens, err)
	}
	mustGet(t, p, call(s.address, "a", nil), "of a")
	if got := s.conns.Load(); got != 1 {
		t.Errorf("%d connections were opened, want 1", got)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if listens, err := p.Listens(t.Context(), address, 0); listens || err != nil {
		t.Errorf("a server that has ended listens: %v, %v", listens, err)
	}
	if _, err := p.Listens(t.Context(), s.address, 1); !errors.Is(err, ErrConnectionLimit) {
		t.Errorf("error %v at the limit of connections, want ErrConnectionLimit", err)
	}
	if n := p.ConnectionCount(address); n != 0 {
		t.Errorf("%d connections to the ended server are counted", n)
	}
}
