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

// testEngine is an engine a hundred times faster than its options say.
func testEngine(t *testing.T, o standin.EngineOptions) (*standin.Engine, string) {
	t.Helper()
	if o.TimeScale == 0 {
		o.TimeScale = 0.01
	}
	e := standin.NewEngine(o)
	return e, "http://" + serve(t, e)
}

// send makes a call with headers given as pairs.
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

// read returns the chunks of a stream, at most limit, and whether it is whole.
func read(t *testing.T, resp *http.Response, limit int) (chunks []standin.ChatChunk, whole bool) {
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

func TestStreamOutlivesItsClientAndResumesAtAnyOffset(t *testing.T) {
	e, url := testEngine(t, standin.EngineOptions{})
	request := chat(strings.Repeat("house notes ", 100))
	want := answerTo(request)
	resp := send(t, http.MethodPost, url+"/v1/chat/completions", request, "X-Request-Id", "r1")
	chunks, _ := read(t, resp, 3)
	checkTokens(t, chunks, want[:3], 0)
	_ = resp.Body.Close()
	for _, offset := range []int{0, 3, len(want) - 1, len(want)} {
		chunks, whole := read(t, send(t, http.MethodGet, fmt.Sprintf("%s/v1/streams/r1?offset=%d", url, offset), nil), testTokens)
		if !whole {
			t.Errorf("resume at %d is not whole", offset)
		}
		if offset < len(want) {
			checkTokens(t, chunks, want[offset:], offset)
		}
	}
	if got := e.Counts(); got.TokensGenerated != uint64(len(want)) || got.TokensRecomputed != 0 || got.Runs["r1"] != 1 {
		t.Errorf("counts: %+v, want %d tokens generated", got, len(want))
	}
	if resp := send(t, http.MethodDelete, url+"/v1/streams/r1", nil); resp.StatusCode != http.StatusOK {
		t.Errorf("cancel: status %d", resp.StatusCode)
	}
	if resp := send(t, http.MethodGet, url+"/v1/streams/r1", nil); resp.StatusCode != http.StatusNotFound {
		t.Errorf("resume after cancel: status %d", resp.StatusCode)
	}
}

func TestAbandonedStreamIsForgotten(t *testing.T) {
	const hold = 20 * time.Millisecond
	_, url := testEngine(t, standin.EngineOptions{StreamRetention: hold})
	resp := send(t, http.MethodPost, url+"/v1/chat/completions", chat("x"), "X-Request-Id", "r1")
	if _, whole := read(t, resp, testTokens+1); !whole {
		t.Fatal("answer is not whole")
	}
	for send(t, http.MethodGet, url+"/v1/streams/r1", nil).StatusCode != http.StatusNotFound {
		// Each try is a reader and starts the hold time anew.
		time.Sleep(5 * hold)
	}
}

func TestContinuationRecomputesOnlyWhatIsNotCached(t *testing.T) {
	request := chat(strings.Repeat("correction history; ", 200))
	want := answerTo(request)
	const offset = testTokens / 3
	for _, test := range []struct {
		name  string
		blank bool
	}{{name: "where it ran before"}, {name: "on another engine", blank: true}} {
		t.Run(test.name, func(t *testing.T) {
			e, url := testEngine(t, standin.EngineOptions{})
			if !test.blank {
				if _, whole := read(t, send(t, http.MethodPost, url+"/v1/chat/completions", request), testTokens+1); !whole {
					t.Fatal("answer is not whole")
				}
			}
			before := e.Counts()
			resp := send(t, http.MethodPost, url+"/v1/chat/completions", request, "X-Request-Id", "r", "X-Request-Attempt", "2",
				"X-Continue-Offset", fmt.Sprint(offset))
			chunks, whole := read(t, resp, testTokens+1)
			if !whole {
				t.Error("continuation is not whole")
			}
			checkTokens(t, chunks, want[offset:], offset)
			after := e.Counts()
			// All but the last, partial block of the text is cached.
			recomputed := after.TokensRecomputed - before.TokensRecomputed
			prompt := after.PromptTokensRecomputed - before.PromptTokensRecomputed
			if test.blank && (recomputed != offset || prompt != uint64(*chunks[0].PromptTokens) || *chunks[0].CachedTokens != 0) {
				t.Errorf("blank engine recomputed %d and %d tokens", recomputed, prompt)
			}
			if !test.blank && (prompt != 0 || recomputed >= offset || *chunks[0].CachedTokens < *chunks[0].PromptTokens) {
				t.Errorf("recomputed %d and %d tokens, cached %d", recomputed, prompt, *chunks[0].CachedTokens)
			}
		})
	}
}

func TestExportedStreamGoesOnElsewhereWithNothingRecomputed(t *testing.T) {
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
	if _, whole := read(t, resp, testTokens); whole {
		t.Error("the exported stream ended as if it were whole")
	}
	if resp := send(t, http.MethodPost, to+"/v1/streams/import", cache); resp.StatusCode != http.StatusOK {
		t.Fatalf("import: status %d", resp.StatusCode)
	}
	rest, whole := read(t, send(t, http.MethodGet, fmt.Sprintf("%s/v1/streams/r1?offset=%d", to, len(chunks)), nil), testTokens)
	if !whole {
		t.Error("imported stream is not whole")
	}
	checkTokens(t, append(chunks, rest...), want, 0)
	if got := target.Counts(); got.PromptTokensComputed+got.TokensRecomputed != 0 || len(got.Runs) != 0 {
		t.Errorf("the import computed tokens or counted as a run: %+v", got)
	}
}

func TestInteractiveRequestsLeaveTheQueueFirst(t *testing.T) {
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
		t.Errorf("full queue: status %d, header %q", full.StatusCode, full.Header.Get("X-Not-Run"))
	}
	if first := <-ended; first != "interactive" {
		t.Errorf("%s ended first", first)
	}
	<-ended
}

func TestReclaimedEngineRefusesNewWorkAndDies(t *testing.T) {
	e, url := testEngine(t, standin.EngineOptions{TimeScale: 1})
	resp := send(t, http.MethodPost, url+"/v1/chat/completions", chat("x"), "X-Request-Id", "r")
	read(t, resp, 1)
	e.Reclaim(200 * time.Millisecond)
	refused := send(t, http.MethodPost, url+"/v1/chat/completions", chat("y"), "X-Request-Id", "late")
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("X-Not-Run") != "true" {
		t.Errorf("leaving engine: status %d", refused.StatusCode)
	}
	if state := e.State(); state.Lifecycle != "leaving" || state.ReclaimAtUnixMS == 0 {
		t.Errorf("state: %+v", state)
	}
	if _, whole := read(t, resp, testTokens+1); whole {
		t.Error("a killed stream ended as if it were whole")
	}
	// The stand-in closes its listener before the connections.
	if _, err := http.Get(url + "/v1/state"); err == nil {
		t.Error("a dead engine answered")
	}
	if runs := e.Counts().Runs; runs["late"] != 0 || runs["r"] != 1 {
		t.Errorf("runs: %v", runs)
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
				t.Errorf("old fencing number: status %d, want %d", got, want)
			}
			if got := order(standin.Order{FencingToken: 9, DeadlineUnixMS: 1}); got != http.StatusGone {
				t.Errorf("expired order: status %d", got)
			}
			if fencing {
				resp := send(t, http.MethodPost, url+"/v1/chat/completions", standin.ChatRequest{Model: "old"})
				if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Not-Run") != "true" {
					t.Errorf("model that is not loaded: status %d", resp.StatusCode)
				}
			}
		})
	}
}
