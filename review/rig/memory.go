//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["prompt-parts"] = func(r *rig) ([]string, error) { return r.playCrowd(manyParts) }
	cases["long-ids"] = func(r *rig) ([]string, error) { return r.playCrowd(longIDs) }
}

// crowd is what the clients of the first workspace send. All of them stay within max_header_bytes and the
// quota.
type crowd struct {
	// parts is the number of parts of a prompt of promptTokens, and idBytes the length of a request's id.
	parts, idBytes             int
	promptTokens, outputTokens int
	// interval is the time between two requests of a client.
	interval  time.Duration
	resumable bool
	attempts  int
	duration  time.Duration
}

// Crowds, and what ordinary clients send instead.
var (
	manyParts = crowd{parts: 1700, idBytes: ordinaryIDBytes, promptTokens: 1700, outputTokens: 8, interval: 460 * time.Millisecond, attempts: 1, duration: 100 * time.Second}
	longIDs   = crowd{parts: ordinaryParts, idBytes: 15000, promptTokens: 8, outputTokens: 8, interval: 65 * time.Millisecond, resumable: true, attempts: 2, duration: 50 * time.Second}
)

const (
	// memoryBytes is the limit of a process, memory_mb of the settings.
	memoryBytes     = 284_000_000
	ordinaryParts   = 4
	ordinaryIDBytes = 16
	crowdClients    = 48
	// ordinaryCallers send requests that take commitTime, one after the other.
	ordinaryCallers = 16
	commitTime      = 400 * time.Millisecond
	// allowedLost is the number of kept connections that may close without an answer, by the rule.
	allowedLost = 3
)

// anonymousBytes returns the memory of a process that no file backs, which is less than what it holds in
// all; 0 if it has ended.
func anonymousBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "RssAnon:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// limitMemory does what the platform does: it kills a process that exceeds its memory. It returns the
// most that was seen.
func (r *rig) limitMemory(e *entry, stop <-chan struct{}) (peak int64, killed bool) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	noted := time.Now()
	for {
		select {
		case <-stop:
			return peak, false
		case <-ticker.C:
		}
		held := anonymousBytes(e.cmd.Process.Pid)
		peak = max(peak, held)
		if time.Since(noted) >= 5*time.Second {
			noted = time.Now()
			r.note("entry %s holds %d MB", e.name, held/1_000_000)
		}
		if held > memoryBytes {
			r.note("entry %s holds %d bytes, more than its memory_mb: the platform kills it", e.name, held)
			_ = e.cmd.Process.Signal(syscall.SIGKILL)
			return peak, true
		}
	}
}

// prompt returns the header that lists the parts of a prompt. With 1,700 parts it has 15,299 bytes.
func (c crowd) prompt() string {
	var b strings.Builder
	for n := range c.parts {
		if n > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%06x:%d", rand.IntN(1<<24), c.promptTokens/c.parts)
	}
	return b.String()
}

// id returns the id of the k-th request of a client.
func (c crowd) id(client, k int) string {
	id := fmt.Sprintf("m%d-%d-", client, k)
	return id + strings.Repeat("x", max(c.idBytes-len(id), 0))
}

// playCrowd lets a crowd send requests to one entry instance, beside ordinary callers, while the platform
// watches the memory of its process.
func (r *rig) playCrowd(c crowd) (broken []string, err error) {
	if !r.trouble {
		c.parts, c.idBytes = ordinaryParts, ordinaryIDBytes
	}
	for n := range 9 {
		if _, err := r.startServer(fmt.Sprintf("w-%d", n+1), "writers", fmt.Sprintf("zone-%c", 'a'+n%3), "-events", "2", "-interval", "1ms", "-quiet"); err != nil {
			return nil, err
		}
	}
	for n := range 3 {
		if _, err := r.startServer(fmt.Sprintf("a-%d", n+1), "app", fmt.Sprintf("zone-%c", 'a'+n), "-pause", commitTime.String(), "-terse"); err != nil {
			return nil, err
		}
	}
	routes := []route{
		{name: "guide", prefix: "/stream/", service: "writers", kind: "streaming", timeoutMS: 15000, attempts: c.attempts, resumable: c.resumable},
		{name: "commit", prefix: "/commit/", service: "app", kind: "non_idempotent", timeoutMS: 5000, attempts: 1},
	}
	if err := r.configure(1, routes); err != nil {
		return nil, err
	}
	if err := r.startEntries(); err != nil {
		return nil, err
	}
	e := r.entries[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, refused, failed atomic.Int64
	for n := range crowdClients {
		wg.Go(func() { r.crowdClient(e, n, c, stop, &served, &refused, &failed) })
	}
	callers := make([]*caller, ordinaryCallers)
	for n := range callers {
		callers[n] = &caller{rig: r, entry: e, number: n}
		wg.Go(func() { callers[n].run(stop) })
	}
	limit := make(chan struct{})
	time.AfterFunc(c.duration, func() { close(limit) })
	peak, killed := r.limitMemory(e, limit)
	close(stop)
	wg.Wait()
	r.note("%d requests with prompts of %d parts and ids of %d bytes were served, %d refused, %d failed; entry %s held at most %d bytes of %d", served.Load(), c.parts, c.idBytes, refused.Load(), failed.Load(), e.name, peak, memoryBytes)
	if served.Load() == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	for _, caller := range callers {
		r.note("caller %d: %d requests were refused", caller.number, caller.refused)
	}
	lost := r.lostOf(callers)
	if len(lost) > allowedLost {
		broken = append(broken, fmt.Sprintf("LOST: %d requests of ordinary callers were passed on from kept connections, which closed without an answer: %s", len(lost), joined(lost)))
	}
	if killed {
		broken = append(broken, fmt.Sprintf("Fault: entry %s exceeded its memory (%d bytes of %d) and was killed, after %d requests of legal size", e.name, peak, memoryBytes, served.Load()))
	}
	return broken, nil
}

// crowdClient sends one request after the other on one connection until stop is closed.
func (r *rig) crowdClient(e *entry, n int, c crowd, stop <-chan struct{}, served, refused, failed *atomic.Int64) {
	client := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	time.Sleep(time.Duration(n) * c.interval / crowdClients)
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		header := map[string]string{"X-Kumquatyard-Model": "m", "X-Kumquatyard-Token-Usage": fmt.Sprintf("%d,%d", c.promptTokens, c.outputTokens), "X-Kumquatyard-Prefix-Hash": c.prompt()}
		switch status, err := r.post(&client, e, c.id(n, k), header); {
		case err != nil:
			failed.Add(1)
		case status == http.StatusOK:
			served.Add(1)
		default:
			refused.Add(1)
		}
	}
}

// caller is an ordinary caller, who sends one request after the other on one connection.
type caller struct {
	rig    *rig
	entry  *entry
	number int
	// unanswered holds the requests on a kept connection that closed without an answer.
	unanswered []string
	// refused counts the requests that were answered with another status than 200.
	refused int
}

// run sends requests until stop is closed, or one gets no answer.
func (c *caller) run(stop <-chan struct{}) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("o%d-%d", c.number, k)
		reused := false
		trace := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }})
		req, err := http.NewRequestWithContext(trace, http.MethodPost, "http://"+c.entry.callers+"/commit/x", strings.NewReader("request "+id))
		if err != nil {
			return
		}
		req.Host = routeHost
		req.Header.Set(headerID, id)
		req.Header.Set("Authorization", "Token "+callersKey)
		req.Header.Set(headerDeadline, "5000")
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode != http.StatusOK {
			c.refused++
			time.Sleep(commitTime)
		}
		if err != nil {
			c.rig.note("caller %d: request %s on a kept connection (%t) got no answer: %v", c.number, id, reused, err)
			// A caller that gives up closes the connection itself.
			if timeout, ok := errors.AsType[net.Error](err); reused && !(ok && timeout.Timeout()) {
				c.unanswered = append(c.unanswered, id)
			}
			return
		}
	}
}

// lostOf returns the requests of callers that got no answer although a server ran them.
func (r *rig) lostOf(callers []*caller) (lost []string) {
	ran := make(map[string]bool)
	for _, event := range r.eventsOf("runs") {
		ran[event.ID] = true
	}
	for _, c := range callers {
		for _, id := range c.unanswered {
			if ran[id] {
				lost = append(lost, id)
			}
		}
	}
	return lost
}
