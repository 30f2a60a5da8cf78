//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crash-during-freeze"] = crashDuringFreeze }

const (
	freezeTime  = 3 * time.Second
	restartTime = time.Second
)

// crashDuringFreeze freezes an entry instance. Meanwhile one of nine servers crashes, and starts again under
// its id and at its address.
func crashDuringFreeze(r *rig) (broken []string, err error) {
	routes := []route{
		{name: "guide", prefix: "/stream/", service: "writers", kind: "streaming", timeoutMS: 15000, attempts: 1},
		{name: "commit", prefix: "/commit/", service: "writers", kind: "non_idempotent", timeoutMS: 8000, attempts: 1},
	}
	for n := range 9 {
		options := []string{"-unframed", "-events", fmt.Sprint(streamEvents), "-interval", "100ms", "-pause", "5s"}
		if _, err := r.startServer(fmt.Sprintf("w-%d", n+1), "writers", fmt.Sprintf("zone-%c", 'a'+n%3), options...); err != nil {
			return nil, err
		}
	}
	if err := r.configure(1, routes); err != nil {
		return nil, err
	}
	if err := r.startEntries(); err != nil {
		return nil, err
	}
	e := r.entries[0]
	results := make([]result, 24)
	var wg sync.WaitGroup
	for n := range results {
		wg.Go(func() {
			if n%2 == 0 {
				results[n] = r.send(e, http.MethodPost, "/stream/x", fmt.Sprintf("s%03d", n), 12*time.Second)
			} else {
				results[n] = r.send(e, http.MethodPost, "/commit/x", fmt.Sprintf("c%03d", n), 8*time.Second)
			}
		})
	}
	time.Sleep(900 * time.Millisecond)
	if r.trouble {
		r.note("entry %s is frozen", e.name)
		_ = e.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		s := r.servers[0]
		r.note("server %s is killed", s.id)
		s.kill()
		<-s.exited
		time.Sleep(restartTime)
		if err := s.launch(); err != nil {
			return nil, err
		}
		s.startBeats()
		time.Sleep(freezeTime - restartTime - 300*time.Millisecond)
		r.note("entry %s wakes again", e.name)
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
	}
	wg.Wait()
	return r.judgeWhole(results)
}
