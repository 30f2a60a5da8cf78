package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/membudget"
)

const testTimeout = 10 * time.Second

// startDoor serves a handler behind a door and returns its address.
func startDoor(t *testing.T, d *Door, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: testTimeout}
	d.Configure(server)
	go func() { _ = server.Serve(d.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func newTestDoor(t *testing.T, s Settings, r Rules) *Door {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.Name, s.Rules, s.Log = t.Name(), func() Rules { return r }, logrus.NewEntry(log)
	return NewDoor(s)
}

// dial opens a connection and sends a text.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status returns the status of an answer, 0 if the connection ended.
func status(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Failure: clients take all places and stop. The one that stopped first gives way to a caller,
// and requests that run keep their places.
func TestStoppedClientGivesItsPlaceToACaller(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	d := newTestDoor(t, Settings{Limit: 3}, Rules{Grace: time.Millisecond})
	address := startDoor(t, d, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			running <- struct{}{}
			<-finish
		}
	})
	long := dial(t, address, strings.Replace(request, "/", "/long", 1))
	<-running
	first := dial(t, address, "GET / HT")
	time.Sleep(50 * time.Millisecond)
	dial(t, address, "GET / HT")
	time.Sleep(50 * time.Millisecond)
	if got := status(dial(t, address, request)); got != http.StatusOK {
		t.Errorf("the caller got status %d, want 200", got)
	}
	if n, err := first.Read(make([]byte, 1)); err == nil {
		t.Errorf("the client that stopped first read %d bytes, want the end", n)
	}
	close(finish)
	if got := status(long); got != http.StatusOK {
		t.Errorf("the request that ran got status %d, want 200", got)
	}
}

// Failure: a client stops reading its answer. Its request ends after the time without progress,
// and a client that reads slowly gets all.
func TestAnswerThatIsNotReadEnds(t *testing.T) {
	const answerBytes = 16 << 20
	ended := make(chan error, 1)
	d := newTestDoor(t, Settings{}, Rules{AnswerStall: 300 * time.Millisecond})
	address := startDoor(t, d, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
		piece := make([]byte, 256<<10)
		for range answerBytes / len(piece) {
			if _, err := w.Write(piece); err != nil {
				ended <- err
				return
			}
		}
		ended <- nil
	})
	ticker := time.NewTicker(20 * time.Millisecond)
	stop := make(chan struct{})
	defer ticker.Stop()
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case now := <-ticker.C:
				d.sweep(now)
			}
		}
	}()
	dial(t, address, request)
	select {
	case err := <-ended:
		if err == nil {
			t.Error("an answer that nobody reads was written whole")
		}
	case <-time.After(testTimeout):
		t.Fatal("the answer that is not read still holds its request")
	}
	slow := dial(t, address, request)
	buffer := make([]byte, 512<<10)
	for err := error(nil); err == nil; time.Sleep(5 * time.Millisecond) {
		_, err = slow.Read(buffer)
		select {
		case werr := <-ended:
			if werr != nil {
				t.Errorf("the answer that is read slowly ended with %v", werr)
			}
			return
		default:
		}
	}
}

// Load: heads of very many fields, open. One at a time is served, the next makes the one without
// progress give way, and one that finds nobody to give way is refused.
func TestHeadsShareTheirMemory(t *testing.T) {
	var fields strings.Builder
	for n := range 5000 {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	many := strings.Replace(request, "\r\n\r\n", "\r\n"+fields.String()+"\r\n", 1)
	heads := membudget.New(2_000_000)
	var grace atomic.Int64
	grace.Store(int64(time.Hour))
	d := newTestDoor(t, Settings{Heads: heads}, Rules{})
	d.settings.Rules = func() Rules { return Rules{Grace: time.Duration(grace.Load())} }
	address := startDoor(t, d, func(http.ResponseWriter, *http.Request) {})
	if got := status(dial(t, address, many)); got != http.StatusOK {
		t.Errorf("a single head got status %d, want 200", got)
	}
	awaitHeld(t, heads, 0)
	var scanner headScanner
	scanner.scan([]byte(many[:len(many)-2]))
	open := dial(t, address, many[:len(many)-2])
	awaitHeld(t, heads, scanner.cost())
	if got := status(dial(t, address, many)); got != http.StatusServiceUnavailable {
		t.Errorf("a head without memory got status %d, want 503", got)
	}
	grace.Store(int64(200 * time.Millisecond))
	time.Sleep(400 * time.Millisecond)
	if got := status(dial(t, address, many)); got != http.StatusOK {
		t.Errorf("a head got status %d, want 200 in place of the one without progress", got)
	}
	if got := status(open); got != 0 {
		t.Errorf("the head without progress got status %d, want the end", got)
	}
}

// awaitHeld waits until so much of a budget is charged.
func awaitHeld(t *testing.T, b *membudget.Budget, want int64) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); b.Held() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d bytes charged, want %d", b.Held(), want)
		}
	}
}
