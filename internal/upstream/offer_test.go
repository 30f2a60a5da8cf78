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
	"testing"
	"time"

	"kumquatyard/internal/contract"
)

// receiver is a raw receiver of offers: it reads a head and follows a script.
func receiver(t *testing.T, script func(conn net.Conn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					script(conn, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

const (
	offerAccept  = 100 * time.Millisecond
	offerSilence = 100 * time.Millisecond
)

func offer(address string, body []byte) *Call {
	c := call(address, "1", body)
	c.Offer = &Offer{AcceptTimeout: offerAccept, SilenceTimeout: offerSilence}
	return c
}

// The body follows the acceptance, whatever its length, and an answer after interim ones, or
// without any, is the call's.
func TestOfferedRequestIsAccepted(t *testing.T) {
	for name, body := range map[string]string{"none": "", "short": "abc", "long": strings.Repeat("x", 72<<10)} {
		for _, interims := range []int{0, 1, 5} {
			t.Run(fmt.Sprintf("%s, %d interim answers", name, interims), func(t *testing.T) {
				address := receiver(t, func(conn net.Conn, r *http.Request) {
					if r.Header.Get("Expect") == "" {
						t.Error("the receiver is not told that the body awaits its acceptance")
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
					got, err := io.ReadAll(r.Body)
					if err != nil || string(got) != body {
						t.Errorf("%d bytes of a body arrive, error %v, want %d", len(got), err, len(body))
					}
					for range interims {
						_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
						time.Sleep(offerSilence / 2)
					}
					answer(conn, "1", "done")
				})
				mustGet(t, NewPool(DefaultSettings), offer(address, []byte(body)), "done")
			})
		}
	}
}

// A receiver that is silent, or ends, before it accepted cannot have run the request; after that it
// may have. None takes longer than its timeout.
func TestSilenceOfAReceiver(t *testing.T) {
	accept := func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") }
	silence := func() { time.Sleep(20 * offerAccept) }
	for name, tt := range map[string]struct {
		script     func(conn net.Conn, r *http.Request)
		want       contract.Verdict
		wantSilent bool
	}{
		"before it accepted": {func(net.Conn, *http.Request) { silence() }, contract.NotRun, true},
		"ends instead":       {func(net.Conn, *http.Request) {}, contract.NotRun, false},
		"answers another":    {func(conn net.Conn, _ *http.Request) { answer(conn, "9", "no") }, contract.NotRun, false},
		"after an interim answer": {func(conn net.Conn, r *http.Request) {
			accept(conn)
			_, _ = io.ReadAll(r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			silence()
		}, contract.MayHaveRun, true},
		"ends after it accepted": {func(conn net.Conn, r *http.Request) {
			accept(conn)
			_, _ = io.ReadAll(r.Body)
		}, contract.MayHaveRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			address := receiver(t, tt.script)
			ctx, cancel := context.WithTimeout(t.Context(), 10*offerAccept)
			defer cancel()
			_, err := NewPool(DefaultSettings).Do(ctx, offer(address, []byte("body")))
			if contract.VerdictOf(err) != tt.want || errors.Is(err, ErrSilent) != tt.wantSilent || ctx.Err() != nil {
				t.Errorf("error %v with verdict %v, want %v, silent %v, before the deadline", err, contract.VerdictOf(err), tt.want, tt.wantSilent)
			}
		})
	}
}

// A receiver that declines gets no byte of the body, and its connection is not used again: the
// receiver may take the next request for the body.
func TestDeclinedOfferSendsNoBody(t *testing.T) {
	rest := make(chan int, 1)
	address := receiver(t, func(conn net.Conn, r *http.Request) {
		answer(conn, "1", "declined")
		n, _ := io.Copy(io.Discard, r.Body)
		rest <- int(n)
	})
	p := NewPool(DefaultSettings)
	mustGet(t, p, offer(address, []byte(strings.Repeat("x", 72<<10))), "declined")
	if n := <-rest; n != 0 {
		t.Errorf("%d bytes of the body were sent to a receiver that declined", n)
	}
	if n := p.ConnectionCount(address); n != 0 {
		t.Errorf("%d connections are open, want none", n)
	}
}

// A receiver of an earlier build sends no interim answers after it accepted: it may take as long as
// the call.
func TestReceiverWithoutInterimAnswers(t *testing.T) {
	address := receiver(t, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.ReadAll(r.Body)
		time.Sleep(3 * offerSilence)
		answer(conn, "1", "late")
	})
	mustGet(t, NewPool(DefaultSettings), offer(address, []byte("body")), "late")
}

// Connections to an instance may go silent while new ones work: one silent offer closes those that
// are idle.
func TestSilenceClosesIdleConnections(t *testing.T) {
	s := serve(t, echo)
	p := NewPool(DefaultSettings)
	mustGet(t, p, call(s.address, "1", nil), "of 1")
	idle := p.ConnectionCount(s.address)
	p.closeIdle(s.address)
	if left := p.ConnectionCount(s.address); idle != 1 || left != 0 {
		t.Errorf("%d idle connections, %d after they were closed, want 1 and none", idle, left)
	}
	mustGet(t, p, call(s.address, "2", nil), "of 2")
}
