package serve

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kumquatyard/internal/forecast"
	"kumquatyard/internal/frame"
	"kumquatyard/internal/machine"
)

const (
	// deadlyPart ends each server that begins to answer on it.
	deadlyPart = 666
	// maxArrivals is the number of requests with a deadly part that may reach servers
	// later than contactTime after the fifth end.
	maxArrivals = 3
)

func isDeadly(r *Request) bool {
	for _, part := range r.Prompt.Parts {
		if part.ID == deadlyPart {
			return true
		}
	}
	return false
}

func promptOf(parts ...uint64) *forecast.Prompt {
	p := &forecast.Prompt{Model: "m", MaxOutput: 10}
	for _, id := range parts {
		p.Parts = append(p.Parts, forecast.Part{ID: id, Tokens: 100})
		p.Tokens += 100
	}
	return p
}

// newDeadlyFixture returns 18 servers that end when they begin to answer on the deadly part.
func newDeadlyFixture() (*fixture, *endingServers) {
	servers := &endingServers{
		isDeadly: isDeadly, begins: true, endedAt: make(map[machine.ID]time.Time), endsOf: make(map[machine.ID]int64),
		answer: func() *Answer {
			a := ok(events(1, 2, 3))
			a.Framing, a.Length = frame.Chunks, -1
			return a
		},
	}
	f := newFixture(18, nil)
	servers.attach(f)
	return f, servers
}

// checkDeadly checks that few requests with the part reached servers late, and that most of the
// sound ones were served.
func (e *endingServers) checkDeadly(t *testing.T, sound, served int) {
	t.Helper()
	if late := e.late(5); late > maxArrivals {
		t.Errorf("%d requests with the part reached servers later than %v after the fifth of %d ends, want at most %d", late, contactTime, len(e.ends), maxArrivals)
	}
	if served < sound*9/10 {
		t.Errorf("%d of %d sound requests were served", served, sound)
	}
}

// Guards against second1: requests that share a part of their prompts, under which each
// server ends that begins to answer, were sent to one server after the other. Sound
// requests that share their caller and their other parts are served meanwhile.
func TestPartThatEndsServersIsNotSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, servers := newDeadlyFixture()
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
		servers.checkDeadly(t, sound, served)
	})
}

// Guards against BUDGET of issue 33: the callers of requests with a part under which servers end
// come again, so that each request is held responsible for its servers and none of them counts
// against the part.
func TestPartOfRepeatedRequestsIsNotSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, servers := newDeadlyFixture()
		var wg sync.WaitGroup
		var mu sync.Mutex
		sound, served := 0, 0
		send := func(attempt string, n int, parts ...uint64) error {
			req := request(resumable)
			req.ID, req.Body, req.Prompt = attempt, fmt.Append(nil, n), promptOf(parts...)
			return f.Serve(t.Context(), req, &fakeCaller{})
		}
		const (
			callers = 15
			returns = 4
		)
		for n := range callers {
			wg.Go(func() {
				for try := range returns {
					_ = send(fmt.Sprint(n, "/", try), n, 1, deadlyPart, 1000+uint64(n))
					time.Sleep(1200 * time.Millisecond)
				}
			})
			for step := range 40 {
				wg.Go(func() {
					err := send(fmt.Sprint("s", n, "/", step), 1<<20+40*n+step, 1, 2, 2000+uint64(step))
					mu.Lock()
					defer mu.Unlock()
					sound++
					if err == nil {
						served++
					}
				})
				time.Sleep(100 * time.Millisecond)
			}
		}
		wg.Wait()
		servers.checkDeadly(t, sound, served)
	})
}
