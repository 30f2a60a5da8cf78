package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/frame"
	"kumquatyard/internal/machine"
)

const (
	// deadlyPart ends each server that begins to answer on it.
	deadlyPart = 666
	// contactTime is how soon all instances must know of a change.
	contactTime = 3 * time.Second
	// maxArrivals is the number of requests with a deadly part that may reach servers
	// later than contactTime after the fifth end.
	maxArrivals = 3
	// beginTime is the time until a server begins an answer, and restartTime the time
	// until it serves again after its end.
	beginTime   = 80 * time.Millisecond
	restartTime = 2500 * time.Millisecond
)

// deadlyServers are servers of which each ends when it begins to answer a request with
// deadlyPart, and serves again some seconds later.
type deadlyServers struct {
	mu sync.Mutex
	// endedAt holds the last end of each server, ends all ends, and arrivals the requests
	// with deadlyPart.
	endedAt  map[machine.ID]time.Time
	ends     []time.Time
	arrivals []time.Time
}

func (d *deadlyServers) hasEnded(id machine.ID) bool {
	at, ok := d.endedAt[id]
	return ok && time.Since(at) < restartTime
}

// HasEnded implements Checker.
func (d *deadlyServers) HasEnded(_ context.Context, s *fleet.Server) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasEnded(s.ID), nil
}

func isDeadly(p *forecast.Prompt) bool {
	for _, part := range p.Parts {
		if part.ID == deadlyPart {
			return true
		}
	}
	return false
}

// Send implements Backend.
func (d *deadlyServers) Send(ctx context.Context, a *Attempt) (*Answer, error) {
	deadly := isDeadly(a.Request.Prompt)
	d.mu.Lock()
	if !a.Wanted() {
		d.mu.Unlock()
		return nil, ErrUnwanted
	}
	if d.hasEnded(a.Server.ID) {
		d.mu.Unlock()
		return nil, verdictError(contract.NotRun)
	}
	if deadly {
		d.arrivals = append(d.arrivals, time.Now())
	}
	d.mu.Unlock()
	sent := time.Now()
	select {
	case <-time.After(beginTime):
	case <-ctx.Done():
		return nil, verdictError(contract.MayHaveRun)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.endedAt[a.Server.ID]; ok && at.After(sent) {
		return nil, verdictError(contract.MayHaveRun)
	}
	answer := &Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Framing: frame.Chunks, Authentic: true}
	if deadly {
		d.endedAt[a.Server.ID] = time.Now()
		d.ends = append(d.ends, time.Now())
		answer.Body = io.NopCloser(failingReader{})
		return answer, nil
	}
	answer.Body = io.NopCloser(strings.NewReader(events(1, 2, 3)))
	return answer, nil
}

// lateArrivals returns the number of requests with deadlyPart that reached servers later
// than contactTime after the fifth end.
func (d *deadlyServers) lateArrivals() int {
	n := 0
	for _, at := range d.arrivals {
		if len(d.ends) >= 5 && at.Sub(d.ends[4]) > contactTime {
			n++
		}
	}
	return n
}

func promptOf(parts ...uint64) *forecast.Prompt {
	p := &forecast.Prompt{Model: "m", MaxOutput: 10}
	for _, id := range parts {
		p.Parts = append(p.Parts, forecast.Part{ID: id, Tokens: 100})
		p.Tokens += 100
	}
	return p
}

// Guards against second1: requests that share a part of their prompts, under which each
// server ends that begins to answer, were sent to one server after the other. Sound
// requests that share their caller and their other parts are served meanwhile.
func TestPartThatEndsServersIsNotSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &deadlyServers{endedAt: make(map[machine.ID]time.Time)}
		f := newFixture(18, nil)
		f.Backend = servers
		send := func(n int, parts ...uint64) error {
			req := request(resumable)
			req.ID, req.Body, req.Prompt = fmt.Sprint(n), fmt.Append(nil, n), promptOf(parts...)
			return f.Serve(t.Context(), req, &fakeCaller{})
		}
		const runTime = 12 * time.Second
		var wg sync.WaitGroup
		var mu sync.Mutex
		sound, served := 0, 0
		start := time.Now()
		for n := uint64(0); time.Since(start) < runTime; n++ {
			wg.Go(func() { _ = send(int(n), 1, deadlyPart, 1000+n) })
			wg.Go(func() {
				sentAt := time.Since(start)
				err := send(int(n)+1<<20, 1, 2, 2000+n)
				mu.Lock()
				defer mu.Unlock()
				if sentAt > 2*contactTime {
					sound++
					if err == nil {
						served++
					}
				}
			})
			time.Sleep(70 * time.Millisecond)
		}
		wg.Wait()
		if late := servers.lateArrivals(); late > maxArrivals {
			t.Errorf("%d requests with the part reached servers later than %v after the fifth of %d ends, want at most %d", late, contactTime, len(servers.ends), maxArrivals)
		}
		if served < sound*9/10 {
			t.Errorf("%d of %d sound requests were served after the first seconds", served, sound)
		}
	})
}
