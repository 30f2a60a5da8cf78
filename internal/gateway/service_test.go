package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatyard/internal/standin"
)

func verdictOf(t *testing.T, resp *http.Response) string {
	t.Helper()
	var body refusalBody
	data, _ := io.ReadAll(resp.Body)
	if err := json.Unmarshal(data, &body); err != nil {
		t.Fatalf("status %d carries no refusal: %q", resp.StatusCode, data)
	}
	if got := resp.Header.Get(headerVerdict); got != body.Error.Verdict {
		t.Errorf("header says %q, body says %q", got, body.Error.Verdict)
	}
	return body.Error.Verdict
}

func TestRefusals(t *testing.T) {
	y := newYard(t, 1, 1, 1, quickEngine)
	tests := []struct {
		name, method, path string
		header             map[string]string
		body               []byte
		want               int
	}{
		{"malformed JSON", "POST", chatPath, nil, []byte("{"), 400},
		{"no messages", "POST", chatPath, nil, []byte(`{"model":"m"}`), 400},
		{"unknown model", "POST", chatPath, nil, bytes.ReplaceAll(chatBodyOf("x", 1, true), []byte(`"m"`), []byte(`"none"`)), 503},
		{"bad key", "POST", chatPath, map[string]string{"Authorization": "Bearer no"}, chatBodyOf("x", 1, true), 401},
		{"contract's body limit", "POST", chatPath, nil, bytes.Repeat([]byte("x"), 200_000), 413},
		{"gateway's body limit", "POST", chatPath, nil, bytes.Repeat([]byte("x"), 9<<20), 413},
		{"header bomb", "GET", "/lookups/1", map[string]string{"X-Bomb": strings.Repeat("x", 64<<10)}, nil, 413},
		{"no contract", "GET", "/nothing", nil, nil, 404},
		{"no idempotency key", "POST", "/bookings", nil, nil, 400},
		{"bad resume token", "GET", resumePath, map[string]string{headerLastEventID: "x~1"}, nil, 400},
		{"bad timeout", "GET", "/lookups/1", map[string]string{headerTimeout: "soon"}, nil, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := y.do(tt.method, y.urls[0]+tt.path, tt.header, tt.body)
			if resp.StatusCode != tt.want {
				t.Errorf("status = %d, want %d", resp.StatusCode, tt.want)
			}
			if got := verdictOf(t, resp); got != "not_run" {
				t.Errorf("verdict = %q, want not_run", got)
			}
		})
	}
}

// TestSlowLoris sends a header one byte at a time; the gateway closes the
// connection and serves others meanwhile.
func TestSlowLoris(t *testing.T) {
	y := newYard(t, 0, 1, 1, quickEngine)
	conn, err := net.Dial("tcp", strings.TrimPrefix(y.urls[0], "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("GET /lookups")); err != nil {
		t.Fatal(err)
	}
	if resp := y.do("GET", y.urls[0]+"/lookups/1", nil, nil); resp.StatusCode != 200 {
		t.Errorf("status = %d, want 200", resp.StatusCode)
	}
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil || !bytes.Contains(answer, []byte("400 Bad Request")) || !bytes.Contains(answer, []byte("not_run")) {
		t.Errorf("the slow client got %q, %v; want a refusal with status 400 and the end of the connection", answer, err)
	}
}

func TestBookingRepeats(t *testing.T) {
	y := newYard(t, 0, 2, 2, quickEngine)
	header := map[string]string{headerIdempotencyKey: "k1"}
	first := y.do("POST", y.urls[0]+"/bookings", header, []byte("seat 1"))
	want, _ := io.ReadAll(first.Body)
	for y.agent.settled() == 0 {
		time.Sleep(time.Millisecond)
	}
	again := y.do("POST", y.urls[1]+"/bookings", header, []byte("seat 1"))
	got, _ := io.ReadAll(again.Body)
	if !bytes.Equal(got, want) || again.Header.Get(headerReplayed) != "true" {
		t.Errorf("repeat = %q, want the first answer %q", got, want)
	}
	if n := y.runs("k1"); n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

// TestBookingOverBrokenServers loses answers after the run and closes
// connections before it. A booking is sent once, whatever the verdict.
func TestBookingOverBrokenServers(t *testing.T) {
	y := newYard(t, 0, 2, 1, quickEngine)
	for _, s := range y.services {
		s.ChangeFaults(func(f *standin.Faults) { f.LoseAnswers = 1 })
	}
	resp := y.do("POST", y.urls[0]+"/bookings", map[string]string{headerIdempotencyKey: "k1"}, []byte("seat"))
	if got := verdictOf(t, resp); got != "may_have_run" {
		t.Errorf("verdict = %q, want may_have_run", got)
	}
	if n := y.runs("k1"); n > 1 {
		t.Errorf("the booking ran %d times", n)
	}
	again := y.do("POST", y.urls[0]+"/bookings", map[string]string{headerIdempotencyKey: "k1"}, []byte("seat"))
	if got := verdictOf(t, again); got != "may_have_run" {
		t.Errorf("verdict of the repeat = %q, want may_have_run", got)
	}
	if n := y.runs("k1"); n > 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

// TestBookingGoesOnWhenNotRun takes one server away: the booking moves on to
// the other, because nothing can have run.
func TestBookingGoesOnWhenNotRun(t *testing.T) {
	y := newYard(t, 0, 2, 1, quickEngine)
	y.services[0].Close()
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		resp := y.do("POST", y.urls[0]+"/bookings", map[string]string{headerIdempotencyKey: key}, []byte("seat"))
		if resp.StatusCode != 200 || y.runs(key) != 1 {
			t.Errorf("booking %s: status %d, %d runs", key, resp.StatusCode, y.runs(key))
		}
	}
}

func (a *fakeAgent) settled() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, reply := range a.claims {
		if reply.GetAnswer() != nil {
			n++
		}
	}
	return n
}

// TestHedgedLookups makes one server slow without saying so: lookups that meet
// it are answered by another one, and bookings are never copied.
func TestHedgedLookups(t *testing.T) {
	y := newYard(t, 0, 2, 1, quickEngine)
	h := y.gateways[0].hedger("app")
	for range 1000 {
		h.observe(time.Millisecond)
	}
	y.services[0].ChangeFaults(func(f *standin.Faults) { f.LatencyMS = 4000 })
	for range 6 {
		if resp := y.do("GET", y.urls[0]+"/lookups/1", nil, nil); resp.StatusCode != 200 {
			t.Errorf("status = %d, want 200 before the deadline of 2 s", resp.StatusCode)
		}
	}
	y.services[0].ChangeFaults(func(f *standin.Faults) { f.LatencyMS = 0 })
	y.do("POST", y.urls[0]+"/bookings", map[string]string{headerIdempotencyKey: "k1"}, []byte("seat"))
	if n := y.runs("k1"); n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

// TestSilentConnections lets kept connections go silent: lookups that meet
// them are answered over new ones before their deadline.
func TestSilentConnections(t *testing.T) {
	y := newYard(t, 0, 2, 1, quickEngine)
	for range 8 {
		y.do("GET", y.urls[0]+"/lookups/1", nil, nil)
	}
	for _, s := range y.services {
		s.ChangeFaults(func(f *standin.Faults) { f.Silent = true })
	}
	if resp := y.do("GET", y.urls[0]+"/lookups/1", nil, nil); resp.StatusCode != 200 {
		t.Errorf("status = %d, want 200", resp.StatusCode)
	}
}

// TestDrain drains a server and a gateway by rule, and takes it back.
func TestDrain(t *testing.T) {
	y := newYard(t, 0, 2, 2, quickEngine)
	book := func(url, key string) *http.Response {
		return y.do("POST", url+"/bookings", map[string]string{headerIdempotencyKey: key}, nil)
	}
	y.change(map[string][]byte{"overrides/service-0": []byte("drain: true\n"), "overrides/g1": []byte("drain: true\n")})
	y.push()
	for i := range 6 {
		book(y.urls[0], fmt.Sprint("drained", i))
	}
	if n := len(y.services[0].Runs().ByKey); n != 0 {
		t.Errorf("the drained server ran %d bookings", n)
	}
	resp := book(y.urls[1], "refused")
	if got := verdictOf(t, resp); resp.StatusCode != 503 || got != "not_run" {
		t.Errorf("drained gateway: status %d, verdict %q", resp.StatusCode, got)
	}
	y.change(map[string][]byte{"overrides/service-0": []byte("drain: false\n"), "overrides/g1": []byte("drain: false\n")})
	y.push()
	for i := range 20 {
		if resp := book(y.urls[1], fmt.Sprint("undrained", i)); resp.StatusCode != 200 {
			t.Errorf("undrained gateway: status %d", resp.StatusCode)
		}
	}
	if n := len(y.services[0].Runs().ByKey); n == 0 {
		t.Error("the undrained server got no booking")
	}
}
