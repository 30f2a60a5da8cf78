package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kumquatyard/internal/standin"
	pb "kumquatyard/proto/kumquat/v1"
)

var quickEngine = standin.EngineOptions{TokenTime: 2 * time.Millisecond, TokenTimePerRequest: time.Microsecond, StreamRetention: 5 * time.Second}

func TestWholeAnswer(t *testing.T) {
	y := newYard(t, 2, 0, 1, quickEngine)
	resp := y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf("hello", 20, true))
	var e events
	e.read(resp.Body, math.MaxInt)
	if got, want := e.text.String(), wantAnswer("hello", 20); got != want || !e.done {
		t.Errorf("stream = %q, done %v; want %q", got, e.done, want)
	}
	resp = y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf("hello", 20, false))
	var whole completion
	if err := json.NewDecoder(resp.Body).Decode(&whole); err != nil {
		t.Fatal(err)
	}
	if got, want := whole.Choices[0].Message.Content, wantAnswer("hello", 20); got != want {
		t.Errorf("completion = %q, want %q", got, want)
	}
}

// TestAnswerSurvives breaks the engine in the middle of an answer.
func TestAnswerSurvives(t *testing.T) {
	const tokens = 60
	breaks := map[string]func(*standin.Engine){
		"engine dies":                func(e *standin.Engine) { e.Close() },
		"connections fall silent":    func(e *standin.Engine) { e.ChangeFaults(func(f *standin.Faults) { f.Silent = true }) },
		"engine is stuck":            func(e *standin.Engine) { e.ChangeFaults(func(f *standin.Faults) { f.SlowFactor = 1e6 }) },
		"engine stops taking orders": func(e *standin.Engine) { e.ChangeFaults(func(f *standin.Faults) { f.Down = true; f.Silent = true }) },
	}
	for name, fault := range breaks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			y := newYard(t, 2, 0, 1, quickEngine)
			resp := y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf(name, tokens, true))
			var e events
			e.read(resp.Body, 5)
			for _, engine := range y.engines {
				if engine.Counts().TokensGenerated > 0 {
					fault(engine)
				}
			}
			e.read(resp.Body, math.MaxInt)
			if got, want := e.text.String(), wantAnswer(name, tokens); got != want || !e.done {
				t.Errorf("answer = %q, done %v, event %q; want %q", got, e.done, e.name, want)
			}
		})
	}
}

// TestResumeElsewhere reads part of a stream at one gateway and the rest at
// another, which recomputes nothing.
func TestResumeElsewhere(t *testing.T) {
	const tokens = 60
	for _, repeat := range []bool{false, true} {
		y := newYard(t, 1, 0, 2, quickEngine)
		first := y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf("resume", tokens, true))
		var e events
		e.read(first.Body, 7)
		_ = first.Body.Close()
		header := map[string]string{headerLastEventID: e.lastID}
		second := y.do("GET", y.urls[1]+resumePath, header, nil)
		if repeat {
			second = y.do("POST", y.urls[1]+chatPath, header, chatBodyOf("resume", tokens, true))
		}
		e.read(second.Body, math.MaxInt)
		if got, want := e.text.String(), wantAnswer("resume", tokens); got != want || !e.done {
			t.Errorf("repeat %v: answer = %q; want %q", repeat, got, want)
		}
		counts := y.engines[0].Counts()
		if counts.TokensRecomputed != 0 || counts.TokensGenerated > tokens {
			t.Errorf("repeat %v: engine generated %d and recomputed %d tokens", repeat, counts.TokensGenerated, counts.TokensRecomputed)
		}
	}
}

// TestResumeAfterEngineLoss repeats the request with Last-Event-ID when the
// gateway and the engine are both gone.
func TestResumeAfterEngineLoss(t *testing.T) {
	const tokens = 60
	y := newYard(t, 2, 0, 2, quickEngine)
	first := y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf("lost", tokens, true))
	var e events
	e.read(first.Body, 7)
	_ = first.Body.Close()
	for _, engine := range y.engines {
		if engine.Counts().TokensGenerated > 0 {
			engine.Close()
		}
	}
	second := y.do("POST", y.urls[1]+chatPath, map[string]string{headerLastEventID: e.lastID}, chatBodyOf("lost", tokens, true))
	e.read(second.Body, math.MaxInt)
	if got, want := e.text.String(), wantAnswer("lost", tokens); got != want || !e.done {
		t.Errorf("answer = %q; want %q", got, want)
	}
}

// TestReclaimWave announces the loss of an engine to a gateway with several
// running streams: each goes on elsewhere without a token computed twice.
func TestReclaimWave(t *testing.T) {
	const tokens, streams = 200, 4
	y := newYard(t, 2, 0, 1, quickEngine)
	y.states[1].Lifecycle = pb.Lifecycle_LIFECYCLE_STARTING
	y.push()
	answers := make([]events, streams)
	ended := make(chan struct{}, streams)
	prompts := make([]string, streams)
	for i := range streams {
		prompts[i] = strings.Repeat("p", i+1)
		resp := y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf(prompts[i], tokens, true))
		answers[i].read(resp.Body, 2)
		go func() {
			answers[i].read(resp.Body, math.MaxInt)
			ended <- struct{}{}
		}()
	}
	y.engines[0].Reclaim(800 * time.Millisecond)
	y.states[1].Lifecycle = pb.Lifecycle_LIFECYCLE_SERVING
	y.states[0].Lifecycle = pb.Lifecycle_LIFECYCLE_LEAVING
	y.states[0].ReclaimAtUnixMs = time.Now().Add(800 * time.Millisecond).UnixMilli()
	y.push()
	for range streams {
		<-ended
	}
	for i := range answers {
		if got, want := answers[i].text.String(), wantAnswer(prompts[i], tokens); got != want || !answers[i].done {
			t.Errorf("answer %d = %q, done %v, event %q", i, got, answers[i].done, answers[i].name)
		}
	}
	recomputed := y.engines[1].Counts().TokensRecomputed + y.engines[1].Counts().PromptTokensRecomputed
	if recomputed != 0 {
		t.Errorf("%d tokens were recomputed although every KV cache could be exported", recomputed)
	}
}

// TestStaleViewAsksServer lets a server leave while the agent is silent, and
// while the agent is cut off from those who observe the server.
func TestStaleViewAsksServer(t *testing.T) {
	t.Run("agent silent", func(t *testing.T) {
		testStaleView(t, func(y *yard) {
			g := y.gateways[0]
			old := *g.keeper.load()
			old.receivedAt = time.Now().Add(-time.Minute)
			g.keeper.current.Store(&old)
		})
	})
	t.Run("agent cut off", func(t *testing.T) {
		testStaleView(t, func(y *yard) {
			y.states[1].AgeMs = 60_000
			y.gateways[0].keeper.current.Store(nil)
			y.push()
		})
	})
}

// leavingServer says of itself that it leaves, and counts the work that it is
// given all the same.
type leavingServer struct{ work atomic.Int64 }

func (s *leavingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/state" {
		s.work.Add(1)
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte(`{"incarnation":1,"lifecycle":"leaving"}`))
}

func testStaleView(t *testing.T, grow func(*yard)) {
	var leaving leavingServer
	stub := httptest.NewServer(&leaving)
	defer stub.Close()
	y := newYard(t, 1, 0, 1, quickEngine, strings.TrimPrefix(stub.URL, "http://"))
	grow(y)
	for i := range 10 {
		prompt := strings.Repeat("q", i+1)
		var e events
		e.read(y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf(prompt, 3, true)).Body, math.MaxInt)
		if !e.done {
			t.Errorf("request %d was not answered: event %q", i, e.name)
		}
	}
	if n := leaving.work.Load(); n != 0 {
		t.Errorf("the leaving server was given work %d times", n)
	}
}

// TestSilenceBeforeFirstToken cuts the connections while the engine still
// works on the prompt. The stream is picked up where it is held.
func TestSilenceBeforeFirstToken(t *testing.T) {
	options := quickEngine
	options.PrefillTokensPerSecond = 1000
	y := newYard(t, 2, 0, 1, options)
	prompt := strings.Repeat("long prompt ", 700)
	go func() {
		for y.engines[0].State().Running+y.engines[1].State().Running == 0 {
			time.Sleep(time.Millisecond)
		}
		for _, engine := range y.engines {
			engine.ChangeFaults(func(f *standin.Faults) { f.Silent = true })
		}
	}()
	var e events
	e.read(y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf(prompt, 10, true)).Body, math.MaxInt)
	if got, want := e.text.String(), wantAnswer(prompt, 10); got != want || !e.done {
		t.Errorf("answer = %q, done %v, event %q; want %q", got, e.done, e.name, want)
	}
	for i, engine := range y.engines {
		if counts := engine.Counts(); counts.PromptTokensRecomputed != 0 {
			t.Errorf("engine %d recomputed %d prompt tokens", i, counts.PromptTokensRecomputed)
		}
	}
}

// TestReconnect ends the grace period of a planned stop in the middle of an
// answer: the caller is told to go on elsewhere, and loses nothing.
func TestReconnect(t *testing.T) {
	const tokens = 60
	y := newYard(t, 1, 0, 2, quickEngine)
	resp := y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf("stop", tokens, true))
	var e events
	e.read(resp.Body, 5)
	close(y.gateways[0].stopping)
	e.read(resp.Body, math.MaxInt)
	if e.done || e.name != "reconnect" {
		t.Fatalf("done %v, event %q; want reconnect", e.done, e.name)
	}
	again := y.do("POST", y.urls[1]+chatPath, map[string]string{headerLastEventID: e.lastID}, chatBodyOf("stop", tokens, true))
	e.read(again.Body, math.MaxInt)
	if got, want := e.text.String(), wantAnswer("stop", tokens); got != want || !e.done {
		t.Errorf("answer = %q; want %q", got, want)
	}
	if counts := y.engines[0].Counts(); counts.TokensRecomputed+counts.PromptTokensRecomputed != 0 {
		t.Errorf("tokens were recomputed: %+v", counts)
	}
}

// TestLongStream reads an answer that takes longer than any bound on the
// engine's first answer; its stream is never lost.
func TestLongStream(t *testing.T) {
	options := quickEngine
	options.TokenTime = 12 * time.Millisecond
	y := newYard(t, 1, 0, 1, options)
	var e events
	resp := y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf("long", 400, true))
	e.read(resp.Body, math.MaxInt)
	if !e.done {
		t.Fatalf("the answer is not whole: event %q", e.name)
	}
	lines := y.gateways[0].journal.explain(resp.Header.Get(headerRequestID)).GetLines()
	if len(lines) != 1 {
		t.Errorf("the request went through more than one send: %q", lines)
	}
}
