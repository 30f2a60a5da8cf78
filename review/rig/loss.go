//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["all-servers-crash"] = allServersCrash }

const (
	streamEvents   = 40
	streamInterval = 50 * time.Millisecond
	plainPause     = 2 * time.Second
)

// allServersCrash lets all servers crash at once while they send answers that end with their connection.
func allServersCrash(r *rig) (broken []string, err error) {
	routes := []route{
		{name: "guide", prefix: "/stream/", service: "writers", kind: "streaming", timeoutMS: 15000, attempts: 1},
		{name: "commit", prefix: "/commit/", service: "writers", kind: "non_idempotent", timeoutMS: 5000, attempts: 1},
	}
	for n := range 3 {
		zone := fmt.Sprintf("zone-%c", 'a'+n)
		options := []string{"-unframed", "-events", fmt.Sprint(streamEvents), "-interval", streamInterval.String(), "-pause", plainPause.String()}
		if _, err := r.startServer(fmt.Sprintf("w-%d", n+1), "writers", zone, options...); err != nil {
			return nil, err
		}
	}
	if err := r.configure(1, routes); err != nil {
		return nil, err
	}
	if err := r.startEntries(); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	results := make([]result, 36)
	for n := range results {
		wg.Go(func() {
			e := r.entries[n%len(r.entries)]
			if n%2 == 0 {
				results[n] = r.send(e, http.MethodPost, "/stream/x", fmt.Sprintf("s%03d", n), 10*time.Second)
			} else {
				results[n] = r.send(e, http.MethodPost, "/commit/x", fmt.Sprintf("c%03d", n), 5*time.Second)
			}
		})
	}
	time.Sleep(900 * time.Millisecond)
	if r.trouble {
		r.note("all server processes are killed")
		for _, s := range r.servers {
			s.kill()
		}
	}
	wg.Wait()
	return r.judgeWhole(results)
}

// judgeWhole finds answers of 200 that reached their clients as complete and are not whole. Results with
// even numbers are of streams, the others of plain answers.
func (r *rig) judgeWhole(results []result) (broken []string, err error) {
	var streams, plain []string
	complete := 0
	for n, res := range results {
		if res.err != nil || res.status != http.StatusOK {
			continue
		}
		complete++
		switch {
		case n%2 == 0 && !strings.Contains(res.body, fmt.Sprintf(" %d/%d ", streamEvents, streamEvents)):
			streams = append(streams, fmt.Sprintf("%s has %d of %d events", res.id, strings.Count(res.body, "data: "), streamEvents))
		case n%2 == 1 && !strings.HasSuffix(res.body, "end\n"):
			plain = append(plain, fmt.Sprintf("%s has %d bytes", res.id, len(res.body)))
		}
	}
	if !r.trouble && complete != len(results) {
		return nil, fmt.Errorf("only %d of %d requests were served without the disruption", complete, len(results))
	}
	if len(streams) > 0 {
		broken = append(broken, fmt.Sprintf("ORDER: %d streams ended as complete before their last piece: %s", len(streams), joined(streams)))
	}
	if len(plain) > 0 {
		broken = append(broken, fmt.Sprintf("MIXED: %d answers of 200 were delivered as complete and are not whole: %s", len(plain), joined(plain)))
	}
	return broken, nil
}
