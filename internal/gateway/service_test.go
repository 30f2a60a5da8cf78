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

// verdictOf returns the verdict of a refusal and checks that header and body
// agree on it.
func verdictOf(t *testing.T, resp *http.Response) string {
	t.Helper()
	var body refusalBody
	data, _ := io.ReadAll(resp.Body)
	if err := json.Unmarshal(data, &body); err != nil {
		t.Fatalf("status %d carries no refusal: %q", resp.StatusCode, data)
	}
	if got := resp.Header.Get(headerVerdict); got != body.Error.Verdict {
		t.Errorf("verdict in the header = %q, in the body %q", got, body.Error.Verdict)
	}
	return body.Error.Verdict
}

func TestRefusals(t *testing.T) {
	tc := newTestCluster(t, 1, 1, 1, quickEngine)
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
			resp := tc.do(tt.method, tc.urls[0]+tt.path, tt.header, tt.body)
			if resp.StatusCode != tt.want {
				t.Errorf("status = %d, want %d", resp.StatusCode, tt.want)
			}
			if got := verdictOf(t, resp); got != "not_run" {
				t.Errorf("verdict = %q, want not_run", got)
			}
		})
	}
}

// TestSlowLoris sends an incomplete request header. The gateway must keep serving
// other connections and refuse the slow one after the read timeout.
func TestSlowLoris(t *testing.T) {
	tc := newTestCluster(t, 0, 1, 1, quickEngine)
	conn, err := net.Dial("tcp", strings.TrimPrefix(tc.urls[0], "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("GET /lookups")); err != nil {
		t.Fatal(err)
	}
	if resp := tc.do("GET", tc.urls[0]+"/lookups/1", nil, nil); resp.StatusCode != 200 {
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

func TestRepeatedBookingIsReplayed(t *testing.T) {
	tc := newTestCluster(t, 0, 2, 2, quickEngine)
	header := map[string]string{headerIdempotencyKey: "k1"}
	first := tc.do("POST", tc.urls[0]+"/bookings", header, []byte("seat 1"))
	want, _ := io.ReadAll(first.Body)
	for tc.agent.settled() == 0 {
		time.Sleep(time.Millisecond)
	}
	again := tc.do("POST", tc.urls[1]+"/bookings", header, []byte("seat 1"))
	got, _ := io.ReadAll(again.Body)
	if !bytes.Equal(got, want) || again.Header.Get(headerReplayed) != "true" {
		t.Errorf("repeat = %q, replayed %q; want the first answer %q, replayed true", got, again.Header.Get(headerReplayed), want)
	}
	if n := tc.runs("k1"); n != 1 {
		t.Errorf("the booking ran %d times, want 1", n)
	}
}

// TestBookingWithLostAnswerIsNotResent has all services lose their answers after
// running the request. The booking must run at most once, and both the request
// and its repeat must get the verdict may_have_run.
func TestBookingWithLostAnswerIsNotResent(t *testing.T) {
	tc := newTestCluster(t, 0, 2, 1, quickEngine)
	for _, s := range tc.services {
		s.ChangeFaults(func(f *standin.Faults) { f.LoseAnswers = 1 })
	}
	resp := tc.do("POST", tc.urls[0]+"/bookings", map[string]string{headerIdempotencyKey: "k1"}, []byte("seat"))
	if got := verdictOf(t, resp); got != "may_have_run" {
		t.Errorf("verdict = %q, want may_have_run", got)
	}
	if n := tc.runs("k1"); n > 1 {
		t.Errorf("the booking ran %d times, want at most 1", n)
	}
	again := tc.do("POST", tc.urls[0]+"/bookings", map[string]string{headerIdempotencyKey: "k1"}, []byte("seat"))
	if got := verdictOf(t, again); got != "may_have_run" {
		t.Errorf("verdict of the repeat = %q, want may_have_run", got)
	}
	if n := tc.runs("k1"); n > 1 {
		t.Errorf("the booking ran %d times after the repeat, want at most 1", n)
	}
}

// TestBookingIsRetriedWhenNotRun closes one server. Bookings must be retried at
// the other one, because a refused connection means that nothing ran.
func TestBookingIsRetriedWhenNotRun(t *testing.T) {
	tc := newTestCluster(t, 0, 2, 1, quickEngine)
	tc.services[0].Close()
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		resp := tc.do("POST", tc.urls[0]+"/bookings", map[string]string{headerIdempotencyKey: key}, []byte("seat"))
		if resp.StatusCode != 200 || tc.runs(key) != 1 {
			t.Errorf("booking %s: status %d, %d runs; want status 200, 1 run", key, resp.StatusCode, tc.runs(key))
		}
	}
}

// settled returns the number of claims with a stored answer.
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

// TestHedgedLookups makes one server slow without its reported state showing it.
// Lookups sent to it must be answered by the other server in time, and bookings
// must never be hedged.
func TestHedgedLookups(t *testing.T) {
	tc := newTestCluster(t, 0, 2, 1, quickEngine)
	h := tc.gateways[0].hedger("app")
	for range 1000 {
		h.observe(time.Millisecond)
	}
	tc.services[0].ChangeFaults(func(f *standin.Faults) { f.LatencyMS = 4000 })
	for range 6 {
		if resp := tc.do("GET", tc.urls[0]+"/lookups/1", nil, nil); resp.StatusCode != 200 {
			t.Errorf("status = %d, want 200 before the deadline of 2 s", resp.StatusCode)
		}
	}
	tc.services[0].ChangeFaults(func(f *standin.Faults) { f.LatencyMS = 0 })
	tc.do("POST", tc.urls[0]+"/bookings", map[string]string{headerIdempotencyKey: "k1"}, []byte("seat"))
	if n := tc.runs("k1"); n != 1 {
		t.Errorf("the booking ran %d times, want 1", n)
	}
}

// TestLookupRetriedOverNewConnection makes kept-alive connections stop answering.
// Lookups sent on them must be retried over new connections before the deadline.
func TestLookupRetriedOverNewConnection(t *testing.T) {
	tc := newTestCluster(t, 0, 2, 1, quickEngine)
	for range 8 {
		tc.do("GET", tc.urls[0]+"/lookups/1", nil, nil)
	}
	for _, s := range tc.services {
		s.ChangeFaults(func(f *standin.Faults) { f.Silent = true })
	}
	if resp := tc.do("GET", tc.urls[0]+"/lookups/1", nil, nil); resp.StatusCode != 200 {
		t.Errorf("status = %d, want 200", resp.StatusCode)
	}
}

// TestDrain drains a server and a gateway by an override of the configuration,
// and then undrains them.
func TestDrain(t *testing.T) {
	tc := newTestCluster(t, 0, 2, 2, quickEngine)
	book := func(url, key string) *http.Response {
		return tc.do("POST", url+"/bookings", map[string]string{headerIdempotencyKey: key}, nil)
	}
	tc.change(map[string][]byte{"overrides/service-0": []byte("drain: true\n"), "overrides/g1": []byte("drain: true\n")})
	tc.push()
	for i := range 6 {
		book(tc.urls[0], fmt.Sprint("drained", i))
	}
	if n := len(tc.services[0].Runs().ByKey); n != 0 {
		t.Errorf("the drained server ran %d bookings, want 0", n)
	}
	resp := book(tc.urls[1], "refused")
	if got := verdictOf(t, resp); resp.StatusCode != 503 || got != "not_run" {
		t.Errorf("drained gateway: status %d, verdict %q; want 503, not_run", resp.StatusCode, got)
	}
	tc.change(map[string][]byte{"overrides/service-0": []byte("drain: false\n"), "overrides/g1": []byte("drain: false\n")})
	tc.push()
	for i := range 20 {
		if resp := book(tc.urls[1], fmt.Sprint("undrained", i)); resp.StatusCode != 200 {
			t.Errorf("undrained gateway: status = %d, want 200", resp.StatusCode)
		}
	}
	if n := len(tc.services[0].Runs().ByKey); n == 0 {
		t.Error("the undrained server ran no booking, want at least 1")
	}
}
