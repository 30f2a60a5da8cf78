package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/config"
	"kumquatyard/internal/link"
	"kumquatyard/internal/standin"
	"kumquatyard/internal/telemetry"
	pb "kumquatyard/proto/kumquat/v1"
)

const testKey = "test-key"

// fakeAgent answers its gateway's reports, and claims from memory.
type fakeAgent struct {
	mu     sync.Mutex
	claims map[string]*pb.ClaimReply
	runs   map[string]string
}

func (a *fakeAgent) Call(_ context.Context, _ string, req *pb.Request) (*pb.Response, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch body := req.GetBody().(type) {
	case *pb.Request_Claim:
		key := string(body.Claim.GetKey())
		if reply, ok := a.claims[key]; ok {
			return &pb.Response{Body: &pb.Response_Claim{Claim: reply}}, nil
		}
		a.claims[key] = &pb.ClaimReply{Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING}
		a.runs[key] = body.Claim.GetRunId()
		return &pb.Response{Body: &pb.Response_Claim{Claim: &pb.ClaimReply{Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED}}}, nil
	case *pb.Request_Settle:
		a.settle(body.Settle)
	}
	return &pb.Response{}, nil
}

func (a *fakeAgent) settle(s *pb.ClaimSettle) {
	key := string(s.GetKey())
	if a.runs[key] != s.GetRunId() {
		return
	}
	switch s.GetVerdict() {
	case pb.Verdict_VERDICT_NOT_RUN:
		delete(a.claims, key)
	case pb.Verdict_VERDICT_RAN:
		a.claims[key] = &pb.ClaimReply{Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_RAN, Answer: s.GetAnswer()}
	default:
		a.claims[key] = &pb.ClaimReply{Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_MAY_HAVE_RUN}
	}
}

// yard is a set of servers and gateways in one process.
type yard struct {
	t        *testing.T
	engines  []*standin.Engine
	services []*standin.Service
	agent    *fakeAgent
	head     config.Head
	docs     map[string][]byte
	bundle   *pb.ConfigBundle
	states   []*pb.ServerState
	sequence uint64
	gateways []*Gateway
	urls     []string
}

func newYard(t *testing.T, engines, services, gateways int, options standin.EngineOptions, others ...string) *yard {
	y := &yard{t: t, docs: make(map[string][]byte), agent: &fakeAgent{claims: make(map[string]*pb.ClaimReply), runs: make(map[string]string)}}
	var inventory strings.Builder
	inventory.WriteString("servers:\n")
	for i := range engines {
		e := standin.NewEngine(options)
		y.engines = append(y.engines, e)
		y.add(&inventory, fmt.Sprintf("engine-%d", i), "engine", "chat", y.serve(e.Serve, e.Close))
	}
	for i := range services {
		s := standin.NewService(standin.ServiceOptions{})
		y.services = append(y.services, s)
		y.add(&inventory, fmt.Sprintf("service-%d", i), "service", "app", y.serve(s.Serve, s.Close))
	}
	for i, address := range others {
		y.add(&inventory, fmt.Sprintf("other-%d", i), "engine", "chat", address)
	}
	y.change(testDocuments(inventory.String()))
	for i := range gateways {
		y.start(i)
	}
	y.push()
	return y
}

func (y *yard) serve(serve func(net.Listener) error, stop func()) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		y.t.Fatal(err)
	}
	go func() { _ = serve(l) }()
	y.t.Cleanup(stop)
	return l.Addr().String()
}

func (y *yard) add(inventory *strings.Builder, id, kind, pool, address string) {
	models := ""
	if kind == "engine" {
		models = ", models: [m]"
	}
	fmt.Fprintf(inventory, "  - {id: %s, address: %q, kind: %s, pool: %s, vendor: v, class: c, price_per_hour: 1%s}\n", id, address, kind, pool, models)
	y.states = append(y.states, &pb.ServerState{Id: id, Incarnation: 1, Lifecycle: pb.Lifecycle_LIFECYCLE_SERVING, Slots: 16})
}

func testDocuments(inventory string) map[string][]byte {
	sum := sha256.Sum256([]byte(testKey))
	return map[string][]byte{
		"zones":       []byte("zones:\n  - {name: a, region: r}\n"),
		"inventory/a": []byte(inventory),
		"rules/w":     fmt.Appendf(nil, "name: w\nweight: 1\nmax_in_flight: 100\nretry_ratio: 1\napi_key_sha256: [%s]\n", hex.EncodeToString(sum[:])),
		"rules/fleet": []byte(`
contracts:
  - {name: chat, method: POST, path_prefix: /v1/chat/completions, target: model, pool: chat, idempotent: true, priority: interactive, deadline: 5s, max_body_bytes: 100000}
  - {name: lookup, method: GET, path_prefix: /lookups, target: service, pool: app, idempotent: true, priority: interactive, deadline: 2s}
  - {name: booking, method: POST, path_prefix: /bookings, target: service, pool: app, key_required: true, priority: interactive, deadline: 2s}
limits: {heartbeat_every: 100ms}
token_keys:
  - {id: k1, secret_hex: "` + strings.Repeat("ab", 32) + `"}
`),
	}
}

// change makes a change of the configuration; push sends it.
func (y *yard) change(puts map[string][]byte) {
	y.t.Helper()
	change := config.Change{ID: fmt.Sprint(y.head.Version), BaseVersion: y.head.Version, BaseHashes: y.head.Documents, Puts: puts}
	head, conflicts := config.Apply(y.head, change)
	if len(conflicts) > 0 {
		y.t.Fatalf("conflicts: %v", conflicts)
	}
	data, err := head.Marshal()
	if err != nil {
		y.t.Fatal(err)
	}
	maps.Copy(y.docs, puts)
	y.head = head
	y.bundle = &pb.ConfigBundle{Version: head.Version, Head: data}
	for name, body := range y.docs {
		y.bundle.Documents = append(y.bundle.Documents, &pb.ConfigDocument{Name: name, Hash: string(config.HashOf(body)), Body: body})
	}
}

func (y *yard) start(i int) {
	s := DefaultSettings()
	s.ID, s.Zone = fmt.Sprintf("g%d", i), "a"
	s.ReadTimeout = 2 * time.Second
	g := New(s, link.Caller(y.agent), telemetry.NewLogger("test", s.ID, "error"))
	g.log.Logger.SetLevel(logrus.ErrorLevel)
	y.gateways = append(y.gateways, g)
	app := g.newApp()
	address := y.serve(func(l net.Listener) error { return app.Server().Serve(deadlineListener{l, s.WriteTimeout}) }, func() {
		_ = app.ShutdownWithTimeout(100 * time.Millisecond)
	})
	app.Handler()
	y.urls = append(y.urls, "http://"+address)
}

// push sends every gateway a full view of the current states.
func (y *yard) push() {
	y.t.Helper()
	y.sequence++
	view := &pb.View{Sequence: y.sequence, Config: y.bundle, Servers: y.states, Full: true}
	for _, g := range y.gateways {
		if err := g.keeper.apply(view, time.Now()); err != nil {
			y.t.Fatal(err)
		}
	}
}

// runs returns how often the services ran the requests of an idempotency key.
func (y *yard) runs(key string) int {
	n := 0
	for _, s := range y.services {
		n += s.Runs().ByKey[key]
	}
	return n
}

func chatBodyOf(prompt string, maxTokens int, stream bool) []byte {
	body, _ := json.Marshal(standin.ChatRequest{
		Model: "m", Messages: []standin.Message{{Role: "user", Content: prompt}}, MaxTokens: maxTokens, Stream: stream,
	})
	return body
}

// wantAnswer is the whole text that any engine gives.
func wantAnswer(prompt string, maxTokens int) string {
	r := standin.ChatRequest{Messages: []standin.Message{{Role: "user", Content: prompt}}}
	return strings.Join(standin.Answer("m", r.Prompt(), maxTokens), "")
}

func (y *yard) do(method, url string, header map[string]string, body []byte) *http.Response {
	y.t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		y.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// events is a caller that reads a stream.
type events struct {
	text   strings.Builder
	lastID string
	tokens int
	name   string
	done   bool
	// lines outlives one read, since it buffers.
	lines *bufio.Scanner
	body  io.Reader
}

// read takes events until the stream ends or limit tokens have arrived.
func (e *events) read(body io.Reader, limit int) {
	if e.body != body {
		e.body, e.lines = body, bufio.NewScanner(body)
		e.lines.Buffer(nil, 1<<20)
	}
	id := ""
	for e.tokens < limit && e.lines.Scan() {
		field, value, _ := strings.Cut(e.lines.Text(), ": ")
		switch field {
		case "id":
			id = value
		case "event":
			e.name = value
		case "data":
			e.take(id, value)
		}
	}
}

func (e *events) take(id, data string) {
	if data == "[DONE]" {
		e.done = true
		return
	}
	var c engineChunk
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
		return
	}
	e.text.WriteString(c.Choices[0].Delta.Content)
	e.lastID = id
	e.tokens++
}
