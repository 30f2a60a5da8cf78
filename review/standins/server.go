//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one execution of a request at a server.
type Run struct {
	ID, Server, Service, Method, Target string
	Tenant                              string
	LastEvent, From                     string
	At                                  time.Time
}

// Runs collects the runs of all servers.
type Runs struct {
	mu   sync.Mutex
	list []Run
	// quiet is set if only the latest runs are kept: recent and before hold their servers by id.
	quiet          bool
	count          int
	recent, before map[string]string
}

// recentRuns is the number of runs after which the oldest are dropped.
const recentRuns = 20_000

func (r *Runs) add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if !r.quiet {
		r.list = append(r.list, run)
		return
	}
	if r.recent == nil || len(r.recent) >= recentRuns {
		r.recent, r.before = make(map[string]string, recentRuns), r.recent
	}
	r.recent[run.ID] = run.Server
}

// Count returns the number of runs so far.
func (r *Runs) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Recent returns the server that ran a request lately, "" if none did.
func (r *Runs) Recent(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.recent[id]; server != "" {
		return server
	}
	return r.before[id]
}

// ByID returns the runs by the id of the client's attempt.
func (r *Runs) ByID() map[string][]Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]Run)
	for _, run := range r.list {
		out[run.ID] = append(out[run.ID], run)
	}
	return out
}

// Server is a backend server that follows the users' pages.
type Server struct {
	*Record
	ID, Service, Zone, Address string
	Spot                       bool
	// Stream is set for servers that answer with event streams.
	Stream bool
	// Work is the time of a plain request, or between two events.
	Work time.Duration
	// Events is the least number of events of a stream, and MoreEvents how many more it may have.
	Events, MoreEvents int
	fleet              *Fleet
	runs               *Runs
	http               *http.Server
	born               int64

	mu       sync.Mutex
	seq      int
	state    string
	leavesAt time.Time
	active   int
	conns    map[net.Conn]bool
	// live holds what is closed to stop a run, by the id of its request, and moves counts the runs
	// that were stopped to be moved.
	live  map[string]chan struct{}
	moves int
	// models is the list of models of an engine.
	models []map[string]any
	// handle, if set, answers a request in place of the server; it returns false to let it go on.
	handle func(w http.ResponseWriter, r *http.Request) bool
}

// NewServer starts a server. It is not in the store before Register is called.
func (f *Fleet) NewServer(s *Server, runs *Runs) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Record, s.fleet, s.runs, s.Address, s.born, s.state = f.Record, f, runs, l.Addr().String(), time.Now().UnixMilli(), "ready"
	s.conns = make(map[net.Conn]bool)
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, ConnState: s.track}
	go func() { _ = s.http.Serve(l) }()
	f.mu.Lock()
	f.closers = append(f.closers, func() { _ = s.http.Close() })
	f.mu.Unlock()
	return s, nil
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// Register writes the server's entry.
func (s *Server) Register() {
	s.mu.Lock()
	s.seq++
	entry := map[string]any{
		"service": s.Service, "addr": s.Address, "zone": s.Zone, "version": "v1", "slots": 64, "state": s.state, "cold_left_ms": 0, "seq": s.seq, "born": s.born,
	}
	if s.Spot {
		entry["spot"] = true
	}
	if s.models != nil {
		entry["stage"], entry["models"] = "mixed", s.models
	}
	if !s.leavesAt.IsZero() {
		entry["leaves_ms"] = max(time.Until(s.leavesAt).Milliseconds(), 0)
	}
	s.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	s.Printf("server %s: entry %s", s.ID, value)
	s.fleet.Store.Put("servers/"+s.ID, value)
}

// Reclaim announces that the server is taken away after a notice, and takes it away then.
func (s *Server) Reclaim(notice time.Duration) {
	s.mu.Lock()
	s.state, s.leavesAt = "draining", time.Now().Add(notice)
	s.mu.Unlock()
	s.Register()
	time.Sleep(notice)
	s.Printf("server %s: taken away", s.ID)
	s.Kill()
	s.fleet.Store.Remove("servers/" + s.ID)
}

// Kill ends the server and resets its connections.
func (s *Server) Kill() {
	s.mu.Lock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Kumquatyard-Instance-Id", s.ID)
		return
	case r.URL.Path == "/report":
		s.report(w)
		return
	case r.URL.Path == "/kv-move":
		s.move(w, r)
		return
	}
	s.mu.Lock()
	handle := s.handle
	s.mu.Unlock()
	if handle != nil && handle(w, r) {
		return
	}
	id := r.Header.Get("X-Kumquatyard-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Kumquatyard-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Kumquatyard-Attempt-Id", id)
	if expected := r.Header.Get("X-Kumquatyard-Expect-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("X-Kumquatyard-Not-Executed", "1")
		w.Header().Set("X-Kumquatyard-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if s.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if from := r.Header.Get("Kv-From"); from != "" && !s.takeHandle(from) {
		w.Header().Set("X-Kumquatyard-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.active++
	active := s.active
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	s.begin(r, id)
	w.Header().Set("X-Kumquatyard-Server-Load", fmt.Sprintf("%d,0,64", active))
	w.Header().Set("X-Kumquatyard-Server-Seal", s.ID+"."+id)
	if s.Stream {
		s.stream(w, r, id)
		return
	}
	time.Sleep(s.Work)
	body := PlainBody(id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// begin records that the server began to work on a request.
func (s *Server) begin(r *http.Request, id string) {
	s.runs.add(Run{
		ID: id, Server: s.ID, Service: s.Service, Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("X-Kumquatyard-Tenant"),
		LastEvent: r.Header.Get("Last-Event-Id"), From: r.Header.Get("Kv-From"), At: time.Now(),
	})
	if s.runs.quiet {
		return
	}
	s.Printf("server %s: runs %s %s %s after %q from %q", s.ID, id, r.Method, r.RequestURI, r.Header.Get("Last-Event-Id"), r.Header.Get("Kv-From"))
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	m := map[string]any{"stage": "mixed", "models": s.models, "busy": false, "seq": 0, "queued": 0, "active": s.active, "kv_used": 0, "kv_total": 900000, "handles": 0, "state": s.state, "born": s.born}
	if !s.leavesAt.IsZero() {
		m["leaves_ms"] = max(time.Until(s.leavesAt).Milliseconds(), 0)
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	stopped := s.addLive(id)
	defer s.removeLive(id)
	for n := after + 1; n <= s.length(id); n++ {
		if _, err := io.WriteString(w, Event(id, n)); err != nil || out.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-stopped:
			panic(http.ErrAbortHandler) // the stream is closed without its end
		case <-time.After(s.Work):
		}
	}
}

// length returns the number of events of a request's stream.
func (s *Server) length(id string) int {
	if s.MoreEvents == 0 {
		return s.Events
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return s.Events + int(h.Sum32()%uint32(s.MoreEvents))
}

// PlainBody returns the body of the answer to a plain request.
func PlainBody(id string) string { return strings.Repeat(id+"\n", 800/(len(id)+1)) }

// Event returns an event of a stream.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }
