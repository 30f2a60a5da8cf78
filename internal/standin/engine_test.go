package standin_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"kumquatyard/internal/standin"
)

const (
	testModel  = "drafter"
	testTokens = 60
)

// testEngine serves an engine and returns its URL. Unless o sets TimeScale, the
// engine runs a hundred times faster than its options say.
func testEngine(t *testing.T, o standin.EngineOptions) (*standin.Engine, string) {
	t.Helper()
	if o.TimeScale == 0 {
		o.TimeScale = 0.01
	}
	e := standin.NewEngine(o)
	return e, "http://" + serve(t, e)
}

// send makes an HTTP call. headers are alternating names and values.
func send(t *testing.T, method, url string, body any, headers ...string) *http.Response {
	t.Helper()
	var reader io.Reader
	switch b := body.(type) {
	case nil:
	case []byte:
		reader = bytes.NewReader(b)
	default:
		encoded, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		reader = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(t.Context(), method, url, reader)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func chat(prompt string) standin.ChatRequest {
	return standin.ChatRequest{
		Model:     testModel,
		Messages:  []standin.Message{{Role: "user", Content: prompt}},
		MaxTokens: testTokens,
		Stream:    true,
	}
}

func answerTo(r standin.ChatRequest) []string {
	return standin.Answer(r.Model, r.Prompt(), r.MaxTokens)
}

// read returns at most limit chunks of a stream and whether it read [DONE].
func read(t *testing.T, resp *http.Response, limit int) (chunks []standin.ChatChunk, done bool) {
	t.Helper()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for len(chunks) < limit && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return chunks, true
		}
		var chunk standin.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("%q: %v", data, err)
		}
		chunks = append(chunks, chunk)
	}
	return chunks, false
}

// checkTokens checks the tokens of chunks, the first of which has offset from.
func checkTokens(t *testing.T, chunks []standin.ChatChunk, want []string, from int) {
	t.Helper()
	var got []string
	for i, c := range chunks {
		if c.Offset != from+i {
			t.Errorf("chunk %d has offset %d, want %d", i, c.Offset, from+i)
		}
		got = append(got, c.Choices[0].Delta.Content)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("tokens from %d (-want +got):\n%s", from, diff)
	}
}

func TestStreamResumesAtAnyOffsetAfterDisconnect(t *testing.T) {
	e, url := testEngine(t, standin.EngineOptions{})
	request := chat(strings.Repeat("house notes ", 100))
	want := answerTo(request)
	resp := send(t, http.MethodPost, url+"/v1/chat/completions", request, "X-Request-Id", "r1")
	chunks, _ := read(t, resp, 3)
	checkTokens(t, chunks, want[:3], 0)
	_ = resp.Body.Close()
	for _, offset := range []int{0, 3, len(want) - 1, len(want)} {
		chunks, done := read(t, send(t, http.MethodGet, fmt.Sprintf("%s/v1/streams/r1?offset=%d", url, offset), nil), testTokens)
		if !done {
			t.Errorf("resume at offset %d ended without [DONE]", offset)
		}
		if offset < len(want) {
			checkTokens(t, chunks, want[offset:], offset)
		}
	}
	if got := e.Counts(); got.TokensGenerated != uint64(len(want)) || got.TokensRecomputed != 0 || got.Runs["r1"] != 1 {
		t.Errorf("counts: %+v, want %d tokens generated", got, len(want))
	}
	if resp := send(t, http.MethodDelete, url+"/v1/streams/r1", nil); resp.StatusCode != http.StatusOK {
		t.Errorf("cancel: status %d, want 200", resp.StatusCode)
	}
	if resp := send(t, http.MethodGet, url+"/v1/streams/r1", nil); resp.StatusCode != http.StatusNotFound {
		t.Errorf("resume after cancel: status %d, want 404", resp.StatusCode)
	}
}

func TestStreamWithoutReaderIsEvicted(t *testing.T) {
	const retention = 20 * time.Millisecond
	_, url := testEngine(t, standin.EngineOptions{StreamRetention: retention})
	resp := send(t, http.MethodPost, url+"/v1/chat/completions", chat("x"), "X-Request-Id", "r1")
	if _, done := read(t, resp, testTokens+1); !done {
		t.Fatal("stream ended without [DONE]")
	}
	for send(t, http.MethodGet, url+"/v1/streams/r1", nil).StatusCode != http.StatusNotFound {
		// Each attempt is a reader and restarts the retention time.
		time.Sleep(5 * retention)
	}
}

func TestContinuationRecomputesOnlyUncachedTokens(t *testing.T) {
	request := chat(strings.Repeat("correction history; ", 200))
	want := answerTo(request)
	const offset = testTokens / 3
	for _, test := range []struct {
		name     string
		uncached bool
	}{{name: "same engine"}, {name: "another engine", uncached: true}} {
		t.Run(test.name, func(t *testing.T) {
			e, url := testEngine(t, standin.EngineOptions{})
			if !test.uncached {
				if _, done := read(t, send(t, http.MethodPost, url+"/v1/chat/completions", request), testTokens+1); !done {
					t.Fatal("stream ended without [DONE]")
				}
			}
			before := e.Counts()
			resp := send(t, http.MethodPost, url+"/v1/chat/completions", request, "X-Request-Id", "r", "X-Request-Attempt", "2",
				"X-Continue-Offset", fmt.Sprint(offset))
			chunks, done := read(t, resp, testTokens+1)
			if !done {
				t.Error("continuation ended without [DONE]")
			}
			checkTokens(t, chunks, want[offset:], offset)
			after := e.Counts()
			// The same engine has cached all of the text but the last, partial block.
			recomputed := after.TokensRecomputed - before.TokensRecomputed
			prompt := after.PromptTokensRecomputed - before.PromptTokensRecomputed
			if test.uncached && (recomputed != offset || prompt != uint64(*chunks[0].PromptTokens) || *chunks[0].CachedTokens != 0) {
				t.Errorf("uncached: recomputed %d generated and %d prompt tokens, want all", recomputed, prompt)
			}
			if !test.uncached && (prompt != 0 || recomputed >= offset || *chunks[0].CachedTokens < *chunks[0].PromptTokens) {
				t.Errorf("cached: recomputed %d generated and %d prompt tokens, reported %d cached tokens", recomputed, prompt, *chunks[0].CachedTokens)
			}
		})
	}
}

func TestImportedStreamContinuesWithoutRecompute(t *testing.T) {
	_, from := testEngine(t, standin.EngineOptions{TimeScale: 0.2})
	target, to := testEngine(t, standin.EngineOptions{})
	request := chat(strings.Repeat("profile drawing ", 100))
	want := answerTo(request)
	resp := send(t, http.MethodPost, from+"/v1/chat/completions", request, "X-Request-Id", "r1", "X-Request-Attempt", "1")
	chunks, _ := read(t, resp, 5)
	export := send(t, http.MethodPost, from+"/v1/streams/r1/export", nil)
	cache, err := io.ReadAll(export.Body)
	if err != nil || export.StatusCode != http.StatusOK {
		t.Fatalf("export: status %d, %v", export.StatusCode, err)
	}
	if _, done := read(t, resp, testTokens); done {
		t.Error("exported stream ended with [DONE]")
	}
	if resp := send(t, http.MethodPost, to+"/v1/streams/import", cache); resp.StatusCode != http.StatusOK {
		t.Fatalf("import: status %d", resp.StatusCode)
	}
	rest, done := read(t, send(t, http.MethodGet, fmt.Sprintf("%s/v1/streams/r1?offset=%d", to, len(chunks)), nil), testTokens)
	if !done {
		t.Error("imported stream ended without [DONE]")
	}
	checkTokens(t, append(chunks, rest...), want, 0)
	if got := target.Counts(); got.PromptTokensComputed+got.TokensRecomputed != 0 || len(got.Runs) != 0 {
		t.Errorf("import computed tokens or counted as a run: %+v", got)
	}
}

func TestInteractiveRequestsAreDequeuedFirst(t *testing.T) {
	e, url := testEngine(t, standin.EngineOptions{Slots: 1, QueueLimit: 2, TimeScale: 0.2})
	running := send(t, http.MethodPost, url+"/v1/chat/completions", chat("running"))
	read(t, running, 1)
	ended := make(chan string, 2)
	for i, priority := range []string{"deferrable", "interactive"} {
		go func() {
			req, _ := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(`{"model":"m","max_tokens":8}`))
			req.Header.Set("X-Request-Priority", priority)
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			ended <- priority
		}()
		for e.State().Queued != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	full := send(t, http.MethodPost, url+"/v1/chat/completions", chat("one too many"))
	if full.StatusCode != http.StatusTooManyRequests || full.Header.Get("X-Not-Run") != "true" {
		t.Errorf("full queue: status %d, X-Not-Run %q; want 429 and true", full.StatusCode, full.Header.Get("X-Not-Run"))
	}
	if first := <-ended; first != "interactive" {
		t.Errorf("%s request ended first, want interactive", first)
	}
	<-ended
}

func TestReclaimedEngineRefusesNewWorkAndStops(t *testing.T) {
	e, url := testEngine(t, standin.EngineOptions{TimeScale: 1})
	resp := send(t, http.MethodPost, url+"/v1/chat/completions", chat("x"), "X-Request-Id", "r")
	read(t, resp, 1)
	e.Reclaim(200 * time.Millisecond)
	refused := send(t, http.MethodPost, url+"/v1/chat/completions", chat("y"), "X-Request-Id", "late")
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("X-Not-Run") != "true" {
		t.Errorf("request to a leaving engine: status %d, want 503 with X-Not-Run", refused.StatusCode)
	}
	if state := e.State(); state.Lifecycle != "leaving" || state.ReclaimAtUnixMS == 0 {
		t.Errorf("state %+v, want lifecycle leaving and a reclaim time", state)
	}
	if _, done := read(t, resp, testTokens+1); done {
		t.Error("stream on a closed engine ended with [DONE]")
	}
	// The stand-in closes its listener before the connections.
	if _, err := http.Get(url + "/v1/state"); err == nil {
		t.Error("closed engine responded")
	}
	if runs := e.Counts().Runs; runs["late"] != 0 || runs["r"] != 1 {
		t.Errorf("runs %v, want 1 of r and none of late", runs)
	}
}

func TestOrdersAndFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %v", fencing), func(t *testing.T) {
			e, url := testEngine(t, standin.EngineOptions{Fencing: fencing, Models: []string{"old"}, LoadTime: time.Millisecond})
			order := func(o standin.Order) int { return send(t, http.MethodPost, url+"/v1/orders", o).StatusCode }
			if got := order(standin.Order{FencingToken: 7, Models: []string{testModel}, Role: "decode"}); got != http.StatusOK {
				t.Errorf("order: status %d", got)
			}
			for !cmp.Equal(e.State().Adapters, []string{testModel}) {
				time.Sleep(time.Millisecond)
			}
			want := map[bool]int{true: http.StatusConflict, false: http.StatusOK}[fencing]
			if got := order(standin.Order{FencingToken: 6, Models: []string{"old"}}); got != want {
				t.Errorf("stale fencing token: status %d, want %d", got, want)
			}
			if got := order(standin.Order{FencingToken: 9, DeadlineUnixMS: 1}); got != http.StatusGone {
				t.Errorf("expired order: status %d, want 410", got)
			}
			if fencing {
				resp := send(t, http.MethodPost, url+"/v1/chat/completions", standin.ChatRequest{Model: "old"})
				if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Not-Run") != "true" {
					t.Errorf("request for a model that is not loaded: status %d, want 503 with X-Not-Run", resp.StatusCode)
				}
			}
		})
	}
}
