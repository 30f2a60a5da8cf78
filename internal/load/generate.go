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

// Request is one request of a run, the same for every target but for its key
// and the first line of its prompt.
type Request struct {
	// Number counts the requests of a run from 0.
	Number    int
	At        time.Duration
	Class     *Class
	Workspace *Workspace
	Method    string
	Path      string
	Body      []byte
	// Key is the Idempotency-Key, empty when the class has none.
	Key string
	// Chat is set for requests to a model, with the answer they must get.
	Chat   *standin.ChatRequest
	Answer string
	// Prompt is the text of a chat.
	Prompt string
}

// generator makes the requests of a run in order of arrival.
type generator struct {
	scenario *Scenario
	rng      *rand.Rand
	// run distinguishes the keys and prompts of targets and rounds, so that no
	// target profits from what another left in the caches.
	run      string
	times    []time.Duration
	next     int
	sessions map[sessionSlot]*session
	opened   int
}

type sessionSlot struct {
	class     string
	workspace string
	slot      int
}

// session is a conversation whose prompt grows with each revision.
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
		sessions: make(map[sessionSlot]*session),
	}
}

// request returns the next request, nil after the last.
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

// pick draws an element with a probability in proportion to its weight.
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

const lookups = 500

func (g *generator) fillCall(r *Request) {
	r.Method = r.Class.Method
	r.Path = r.Class.Path
	if r.Method == "" || r.Method == http.MethodGet {
		r.Method = http.MethodGet
		r.Path = fmt.Sprintf("%s/%d", r.Path, g.rng.IntN(lookups))
		return
	}
	r.Body = fmt.Appendf(nil, `{"workspace":%q,"item":%d}`, r.Workspace.Name, g.rng.IntN(lookups))
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
		MaxTokens: max(1, g.within(r.Class.Output)),
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

// session returns the session that a request belongs to, a new one when the
// chosen one has had all its revisions.
func (g *generator) session(r *Request) *session {
	slot := sessionSlot{class: r.Class.Name, workspace: r.Workspace.Name}
	if r.Class.Sessions > 0 {
		slot.slot = g.rng.IntN(r.Class.Sessions)
	}
	s := g.sessions[slot]
	if s != nil && r.Class.Sessions > 0 && s.revisions < max(1, r.Class.Revisions) {
		return s
	}
	g.opened++
	s = &session{messages: []standin.Message{
		{Role: "system", Content: fmt.Sprintf("Run %s: assist %s with each %s.", g.run, r.Workspace.Name, r.Class.Name)},
		{Role: "user", Content: fmt.Sprintf("Document %d. %s", g.opened, g.text(r.Class.Document))},
	}}
	g.sessions[slot] = s
	return s
}

func (g *generator) within(r Range) int {
	return r.Min + g.rng.IntN(r.Max-r.Min+1)
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// text returns random words of a length within r.
func (g *generator) text(r Range) string {
	n := g.within(r) * prefix.BytesPerToken
	text := make([]byte, n)
	for i := range text {
		text[i] = letters[g.rng.IntN(len(letters))]
		if i%6 == 5 {
			text[i] = ' '
		}
	}
	return string(text)
}
