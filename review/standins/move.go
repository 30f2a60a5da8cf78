//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// addLive records a run that may be stopped, and returns what is closed then.
func (s *Server) addLive(id string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live == nil {
		s.live = make(map[string]chan struct{})
	}
	stopped := make(chan struct{})
	s.live[id] = stopped
	return stopped
}

func (s *Server) removeLive(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, id)
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != "ready"
}

// takeHandle uses the memory of a run that was stopped, here or at the server that moved it here. A
// handle can be used once.
func (s *Server) takeHandle(from string) bool {
	source, handle, _ := strings.Cut(from, "/")
	found, ok := stoppedRuns.LoadAndDelete(source + "/" + handle)
	return ok && (source == s.Address || found == s.Address)
}

// stoppedRuns holds where the memory of a stopped run was copied to, "" if only its source has it, by
// the source's address and the handle.
var stoppedRuns sync.Map

// countMove returns the number of runs that were stopped here to be moved, with this one.
func (s *Server) countMove() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moves++
	return s.moves
}

// move copies a run's memory to another server. The destinations have room for the memory of a run
// when it is copied first, but for every second run none for what it has added when it is stopped:
// that call is answered 503 with the handle, and the source keeps the memory.
func (s *Server) move(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	stopped := s.live[call.ID]
	handle := "h-" + call.ID
	if stopped != nil && call.Last {
		close(stopped)
		delete(s.live, call.ID)
	}
	s.mu.Unlock()
	status := http.StatusOK
	switch {
	case stopped == nil:
		status = http.StatusNotFound
	case call.Last && s.countMove()%2 == 1:
		status = http.StatusServiceUnavailable
	}
	if call.Last && stopped != nil {
		to := call.To
		if status != http.StatusOK {
			to = ""
		}
		stoppedRuns.Store(s.Address+"/"+handle, to)
	}
	s.Printf("server %s: move of %s to %s, last %v -> %d", s.ID, call.ID, call.To, call.Last, status)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if status != http.StatusNotFound {
		fmt.Fprintf(w, `{"handle":%q,"created":1}`, handle)
	}
}
