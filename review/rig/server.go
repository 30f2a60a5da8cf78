//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverEvent is what a server stand-in tells the rig, a line of JSON each.
type serverEvent struct {
	At     time.Time `json:"-"`
	Server string    `json:"server"`
	What   string    `json:"what"`
	ID     string    `json:"id"`
	Note   string    `json:"note,omitempty"`
}

// server is a server stand-in: its process and its entry in the store.
type server struct {
	rig                     *rig
	id, service, zone, addr string
	options                 []string
	born                    int64
	cmd                     *exec.Cmd
	stdin                   io.WriteCloser
	exited                  chan struct{}
	mu                      sync.Mutex
	seq                     int
	beating                 bool
	stopBeats               chan struct{}
}

// startServer starts a server process and registers it in the store. options are flags of the
// server's command line.
func (r *rig) startServer(id, service, zone string, options ...string) (*server, error) {
	s := &server{rig: r, id: id, service: service, zone: zone, options: options}
	if err := s.launch(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	s.startBeats()
	return s, nil
}

// launch starts the server's process, the first time on a free address and then again on the same one.
func (s *server) launch() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	arguments := []string{"server", "-id", s.id}
	if s.addr != "" {
		arguments = append(arguments, "-addr", s.addr)
	}
	s.cmd = exec.Command(program, append(arguments, s.options...)...)
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if s.stdin, err = s.cmd.StdinPipe(); err != nil {
		return err
	}
	s.cmd.Stderr = os.Stderr
	if err := s.cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return fmt.Errorf("server %s did not tell its address", s.id)
	}
	s.addr, s.exited = lines.Text(), make(chan struct{})
	s.mu.Lock()
	s.born, s.seq = time.Now().UnixMilli(), 0
	s.mu.Unlock()
	cmd, exited := s.cmd, s.exited
	go func() {
		for lines.Scan() {
			var e serverEvent
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				s.rig.addEvent(e)
			}
		}
		_ = cmd.Wait()
		close(exited)
	}()
	s.rig.note("server %s (%s in %s) started as pid %d at %s", s.id, s.service, s.zone, cmd.Process.Pid, s.addr)
	return nil
}

func (r *rig) addEvent(e serverEvent) {
	e.At = time.Now()
	r.mu.Lock()
	r.events = append(r.events, e)
	r.mu.Unlock()
	r.note("server %s: %s %s %s", e.Server, e.What, e.ID, e.Note)
}

// eventsOf returns the events of a kind so far.
func (r *rig) eventsOf(what string) (list []serverEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.What == what {
			list = append(list, e)
		}
	}
	return list
}

// kill kills the server's process. It does not wait for its end.
func (s *server) kill() {
	_ = s.cmd.Process.Kill()
	s.stopBeating()
}

// tell sends a line to the server's process.
func (s *server) tell(line string) { _, _ = io.WriteString(s.stdin, line+"\n") }

// startBeats writes the server's entry at once and every beatInterval.
func (s *server) startBeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beating {
		return
	}
	s.beating, s.stopBeats = true, make(chan struct{})
	stop := s.stopBeats
	s.beat()
	go func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				s.mu.Lock()
				if s.beating && s.stopBeats == stop {
					s.beat()
				}
				s.mu.Unlock()
			}
		}
	}()
}

func (s *server) stopBeating() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beating {
		s.beating = false
		close(s.stopBeats)
	}
}

// beat writes the entry. It is called with mu held.
func (s *server) beat() {
	s.seq++
	value, err := json.Marshal(map[string]any{
		"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": serverSlots, "state": "ready",
		"cold_left_ms": 0, "seq": s.seq, "born": s.born,
	})
	if err == nil {
		s.rig.store.Put("servers/"+s.id, value)
	}
}

// Headers of the servers' protocol.
const (
	headerID       = "X-Kumquatyard-Attempt-Id"
	headerSeal     = "X-Kumquatyard-Server-Seal"
	headerNotRun   = "X-Kumquatyard-Not-Executed"
	headerExpect   = "X-Kumquatyard-Expect-Instance"
	headerInstance = "X-Kumquatyard-Instance-Id"
	headerDeadline = "X-Kumquatyard-Deadline-Ms"
	serverSlots    = 64
)

// serverProcess is a server stand-in in its own process.
type serverProcess struct {
	id           string
	unframed     bool
	events       int
	quiet, terse bool
	interval     time.Duration
	pause        time.Duration

	mu sync.Mutex
	// refuseUntil is until when requests are turned away, and retryAfter what such an answer says.
	refuseUntil time.Time
	retryAfter  float64
}

// runServer runs a server stand-in until its standard input ends.
func runServer(args []string) int {
	var s serverProcess
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	flags.StringVar(&s.id, "id", "", "id of the server")
	address := flags.String("addr", "127.0.0.1:0", "address to listen on")
	flags.BoolVar(&s.quiet, "quiet", false, "tell the rig nothing of requests")
	flags.BoolVar(&s.terse, "terse", false, "tell the rig only which requests run")
	flags.BoolVar(&s.unframed, "unframed", false, "answers have no length and end with their connection")
	flags.IntVar(&s.events, "events", 40, "number of events of a stream")
	flags.DurationVar(&s.interval, "interval", 50*time.Millisecond, "time between two events")
	flags.DurationVar(&s.pause, "pause", 100*time.Millisecond, "time in the middle of a plain answer")
	if flags.Parse(args) != nil {
		return exitFailed
	}
	l, err := net.Listen("tcp4", *address)
	if err != nil {
		return exitFailed
	}
	fmt.Println(l.Addr())
	go func() { _ = http.Serve(l, &s) }()
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		s.command(strings.Fields(lines.Text()))
	}
	return exitHeld
}

// command carries out a line of the rig.
func (s *serverProcess) command(words []string) {
	if len(words) == 3 && words[0] == "refuse" {
		window, _ := time.ParseDuration(words[1])
		after, _ := strconv.ParseFloat(words[2], 64)
		s.mu.Lock()
		s.refuseUntil, s.retryAfter = time.Now().Add(window), after
		s.mu.Unlock()
	}
}

// tellRig writes an event to the rig. A line is written at once, so that none is lost when the process is
// killed.
func (s *serverProcess) tellRig(what, id, note string) {
	if s.quiet || s.terse && what != "runs" {
		return
	}
	line, err := json.Marshal(serverEvent{Server: s.id, What: what, ID: id, Note: note})
	if err == nil {
		_, _ = os.Stdout.Write(append(line, '\n'))
	}
}

// ServeHTTP implements http.Handler.
func (s *serverProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(headerInstance, s.id)
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != s.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	refusing, retryAfter := time.Now().Before(s.refuseUntil), s.retryAfter
	s.mu.Unlock()
	s.tellRig("reached", id, r.URL.Path)
	if refusing {
		w.Header().Set(headerNotRun, "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter, 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		s.tellRig("turned-away", id, "")
		return
	}
	s.tellRig("runs", id, r.URL.Path)
	if s.unframed {
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		s.stream(w, id)
		return
	}
	s.plain(w, id)
}

// plainBody is the body of the plain answer to a request.
func plainBody(server, id string) string {
	return strings.Repeat(id+" by "+server+"\n", 20) + "end\n"
}

func (s *serverProcess) plain(w http.ResponseWriter, id string) {
	body := plainBody(s.id, id)
	w.Header().Set(headerSeal, s.id+"."+id)
	if !s.unframed {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	_, _ = io.WriteString(w, body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	time.Sleep(s.pause)
	if _, err := io.WriteString(w, body[len(body)/2:]); err == nil {
		s.tellRig("answered", id, "")
	}
}

func (s *serverProcess) stream(w http.ResponseWriter, id string) {
	w.Header().Set(headerSeal, s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := 1; n <= s.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d/%d by %s\n\n", n, id, n, s.events, s.id); err != nil || out.Flush() != nil {
			return
		}
		time.Sleep(s.interval)
	}
	s.tellRig("answered", id, "")
}
