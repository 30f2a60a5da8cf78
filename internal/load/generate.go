package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"kumquatyard/internal/prefix"
	"kumquatyard/internal/standin"
)

// Request is one request of a run. All targets get the same requests, except for
// the idempotency key and the first line of the prompt.
type Request struct {
	// Number is the index of the request in the run, from 0.
	Number int
	// At is the arrival time after the start of the run.
	At        time.Duration
	Class     *Class
	Workspace *Workspace
	Method    string
	Path      string
	Body      []byte
	// Key is the Idempotency-Key, empty when the class has none.
	Key string
	// Chat is set for requests to a model; Answer is the expected answer.
	Chat   *standin.ChatRequest
	Answer string
	// Prompt is the text of all messages of Chat.
	Prompt string
}

// generator generates the requests of a run in order of arrival.
type generator struct {
	scenario *Scenario
	rng      *rand.Rand
	// run makes keys and prompts unique to a target and round, so that no target
	// benefits from cache entries that another one left behind.
	run      string
	times    []time.Duration
	next     int
	sessions map[sessionKey]*session
	// opened is the number of sessions so far.
	opened int
}

// sessionKey identifies one of the concurrent sessions of a class and workspace.
type sessionKey struct {
	class     string
	workspace string
	slot      int
}

// session is a conversation. Each revision appends a turn and its answer to the
// prompt.
type session struct {
	messages  []standin.Message
	revisions int
}

func newGenerator(s *Scenario, run string) *generator {
	rng := rand.New(rand.NewPCG(s.Seed, 7))
	return &generator{
		scenario: s,
		rng:      rng,
		run:      run,
		times:    s.Arrivals.times(rng, s.Duration),
		sessions: make(map[sessionKey]*session),
	}
}

// request returns the next request, or nil after the last.
func (g *generator) request() (*Request, error) {
	if g.next == len(g.times) {
		return nil, nil
	}
	r := &Request{Number: g.next, At: g.times[g.next]}
	g.next++
	r.Class = pick(g.rng, g.scenario.Classes, func(c *Class) float64 { return c.Weight })
	r.Workspace = pick(g.rng, g.scenario.Workspaces, func(w *Workspace) float64 { return w.Weight })
	if r.Class.Kind == Call {
		g.fillCall(r)
		return r, nil
	}
	return r, g.fillChat(r)
}

// pick draws an element with probability proportional to its weight.
func pick[T any](rng *rand.Rand, all []T, weight func(*T) float64) *T {
	total := 0.0
	for i := range all {
		total += weight(&all[i])
	}
	at := rng.Float64() * total
	for i := range all {
		at -= weight(&all[i])
		if at < 0 {
			return &all[i]
		}
	}
	return &all[len(all)-1]
}

// lookupCount is the number of distinct paths or items of a call.
const lookupCount = 500

func (g *generator) fillCall(r *Request) {
	r.Method = r.Class.Method
	r.Path = r.Class.Path
	if r.Method == "" || r.Method == http.MethodGet {
		r.Method = http.MethodGet
		r.Path = fmt.Sprintf("%s/%d", r.Path, g.rng.IntN(lookupCount))
		return
	}
	r.Body = fmt.Appendf(nil, `{"workspace":%q,"item":%d}`, r.Workspace.Name, g.rng.IntN(lookupCount))
	if r.Class.Keyed {
		r.Key = fmt.Sprintf("%s-%d", g.run, r.Number)
	}
}

func (g *generator) fillChat(r *Request) error {
	s := g.session(r)
	s.revisions++
	s.messages = append(s.messages, standin.Message{Role: "user", Content: g.text(r.Class.Turn)})
	chat := &standin.ChatRequest{
		Model:     g.scenario.Model,
		Messages:  append([]standin.Message{}, s.messages...),
		MaxTokens: max(1, g.drawInt(r.Class.Output)),
		Stream:    true,
	}
	body, err := json.Marshal(chat)
	if err != nil {
		return err
	}
	r.Method, r.Path, r.Body, r.Chat = http.MethodPost, r.Class.Path, body, chat
	if r.Path == "" {
		r.Path = chatPath
	}
	r.Prompt = chat.Prompt()
	r.Answer = strings.Join(standin.Answer(chat.Model, r.Prompt, chat.MaxTokens), "")
	s.messages = append(s.messages, standin.Message{Role: "assistant", Content: r.Answer})
	return nil
}

// session returns the session of a request. It opens a new one if the class has
// no lasting sessions or the selected session has had all its revisions.
func (g *generator) session(r *Request) *session {
	key := sessionKey{class: r.Class.Name, workspace: r.Workspace.Name}
	if r.Class.Sessions > 0 {
		key.slot = g.rng.IntN(r.Class.Sessions)
	}
	s := g.sessions[key]
	if s != nil && r.Class.Sessions > 0 && s.revisions < max(1, r.Class.Revisions) {
		return s
	}
	g.opened++
	s = &session{messages: []standin.Message{
		{Role: "system", Content: fmt.Sprintf("Run %s: assist %s with each %s.", g.run, r.Workspace.Name, r.Class.Name)},
		{Role: "user", Content: fmt.Sprintf("Document %d. %s", g.opened, g.text(r.Class.Document))},
	}}
	g.sessions[key] = s
	return s
}

// drawInt returns a uniform random integer in r.
func (g *generator) drawInt(r Range) int {
	return r.Min + g.rng.IntN(r.Max-r.Min+1)
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// text returns random words whose length in tokens is drawn from r.
func (g *generator) text(r Range) string {
	n := g.drawInt(r) * prefix.BytesPerToken
	text := make([]byte, n)
	for i := range text {
		text[i] = letters[g.rng.IntN(len(letters))]
		if i%6 == 5 {
			text[i] = ' '
		}
	}
	return string(text)
}
