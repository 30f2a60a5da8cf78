package serve

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
)

const (
	// poisonTarget is the path of the request that ends each server that begins to run it.
	poisonTarget = "/orders/666"
	// maxPoisonArrivals is the number of times that it may reach servers later than
	// contactTime after the third end.
	maxPoisonArrivals = 3
)

// newPlainServers returns servers of a plain service that end under the poison request.
func newPlainServers() *endingServers {
	return &endingServers{
		isDeadly: func(r *Request) bool { return r.Target == poisonTarget }, answer: func() *Answer { return ok("done") },
		endedAt: make(map[machine.ID]time.Time), endsOf: make(map[machine.ID]int64),
	}
}

// plainRequest returns a request to a plain service.
func plainRequest(route fleet.Route, n int, target string) *Request {
	req := request(route)
	req.ID, req.Target, req.Body = fmt.Sprint(n), target, []byte("{}")
	return req
}

// Guards against BUDGET of issue 27: a request that ends each server that begins to run it
// came again and again, was repeated each time, and took down all servers of its service
// whenever they were back. Sound requests of the same workspace and route are served meanwhile.
func TestRequestThatEndsServersIsNotSentOn(t *testing.T) {
	for _, route := range []fleet.Route{once, idempotent} {
		t.Run(route.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := newPlainServers()
				f := newFixture(4, nil)
				servers.attach(f)
				var wg sync.WaitGroup
				var mu sync.Mutex
				sound, served := 0, 0
				start := time.Now()
				for n := 0; time.Since(start) < 20*time.Second; n++ {
					if n%15 == 0 {
						wg.Go(func() { _ = f.Serve(t.Context(), plainRequest(route, n, poisonTarget), &fakeCaller{}) })
					}
					wg.Go(func() {
						sentAt, caller := time.Since(start), &fakeCaller{}
						err := f.Serve(t.Context(), plainRequest(route, 1<<20+n, fmt.Sprint("/orders/", 1000+n)), caller)
						mu.Lock()
						defer mu.Unlock()
						if sentAt > 2*contactTime {
							sound++
							if err == nil && caller.status == http.StatusOK {
								served++
							}
						}
					})
					time.Sleep(20 * time.Millisecond)
				}
				wg.Wait()
				if late := servers.late(3); late > maxPoisonArrivals {
					t.Errorf("the request reached servers %d times later than %v after the third of %d ends, want at most %d", late, contactTime, len(servers.ends), maxPoisonArrivals)
				}
				if served < sound*99/100 {
					t.Errorf("%d of %d sound requests were served after the first seconds", served, sound)
				}
			})
		})
	}
}

// A service of three servers: a request under which two of them ended is not sent to the last
// one, which serves the sound requests until the others are back.
func TestSuspectedRequestSparesTheLastServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 3
		servers := newPlainServers()
		f := newFixture(size, nil)
		servers.attach(f)
		var wg sync.WaitGroup
		var mu sync.Mutex
		lost, sound := 0, 0
		for n := range 1000 {
			if n%15 == 0 {
				wg.Go(func() { _ = f.Serve(t.Context(), plainRequest(idempotent, n, poisonTarget), &fakeCaller{}) })
			}
			wg.Go(func() {
				err := f.Serve(t.Context(), plainRequest(idempotent, 1<<20+n, fmt.Sprint("/orders/", 1000+n)), &fakeCaller{})
				mu.Lock()
				defer mu.Unlock()
				sound++
				if err != nil {
					lost++
				}
			})
			time.Sleep(20 * time.Millisecond)
			if servers.up(size) == 0 {
				t.Fatalf("all servers are down after %d ends", len(servers.ends))
			}
		}
		wg.Wait()
		if len(servers.ends) != 3 || lost > sound/100 {
			t.Errorf("%d servers ended, %d of %d sound requests were lost, want 3 and at most one in a hundred", len(servers.ends), lost, sound)
		}
	})
}

// A sound request whose servers ended twice by chance is served when its caller comes back,
// and a failure of a server that lives on does not clear a request that ends servers.
func TestEndsByChanceAndFailures(t *testing.T) {
	lost := func() *Answer { return truncatedAfter("") }
	failed := func() *Answer {
		a := ok("failed")
		a.Status = http.StatusInternalServerError
		return a
	}
	served := func() *Answer { return ok("done") }
	tests := map[string]struct {
		answers []func() *Answer
		// sent is the number of attempts of four requests.
		sent int
		held bool
	}{
		"two ends by chance":   {[]func() *Answer{lost, lost, served, served, served}, 5, false},
		"three ends":           {[]func() *Answer{lost, lost, lost}, 3, true},
		"a failure in between": {[]func() *Answer{lost, failed, lost, failed, lost}, 5, true},
		"answers in between":   {[]func() *Answer{lost, served, lost, served, lost, served, served}, 7, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := &endingBackend{ended: true}
			f := newEndingFixture(b)
			b.script = func(n int, _ context.Context, a *Attempt) (*Answer, error) {
				if !a.Wanted() {
					return nil, ErrUnwanted
				}
				return tt.answers[n](), nil
			}
			for n := range 4 {
				_ = f.Serve(t.Context(), plainRequest(idempotent, n, "/orders/7"), &fakeCaller{})
				for _, s := range f.Snapshot().Servers["p"] {
					s.StartedAtMs++ // the servers are back
				}
			}
			req := plainRequest(idempotent, 9, "/orders/7")
			_, held := f.Quarantine.QuarantinedRequest(req.Identity(), time.Now())
			if len(b.attempts) != tt.sent || held != tt.held {
				t.Errorf("%d attempts, held back: %v, want %d and %v", len(b.attempts), held, tt.sent, tt.held)
			}
		})
	}
}

// What makes a request the same one: not its id or headers, but workspace, method, host,
// target and body.
func TestIdentity(t *testing.T) {
	base := func() *Request {
		return &Request{ID: "1", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("x"), Workspace: &fleet.Workspace{Name: "w"}}
	}
	want := base().Identity()
	tests := map[string]struct {
		change func(*Request)
		same   bool
	}{
		"id":         {func(r *Request) { r.ID = "2" }, true},
		"header":     {func(r *Request) { r.Header = http.Header{"X": {"1"}} }, true},
		"workspace":  {func(r *Request) { r.Workspace = nil }, false},
		"method":     {func(r *Request) { r.Method = "PUT" }, false},
		"host":       {func(r *Request) { r.Host = "g" }, false},
		"query":      {func(r *Request) { r.Target = "/a?c" }, false},
		"body":       {func(r *Request) { r.Body = []byte("y") }, false},
		"moved byte": {func(r *Request) { r.Host, r.Target = "h/", "a?b" }, false},
	}
	for name, tt := range tests {
		r := base()
		tt.change(r)
		if same := r.Identity() == want; same != tt.same {
			t.Errorf("another %s: the same request: %v, want %v", name, same, tt.same)
		}
	}
}

func BenchmarkIdentity(b *testing.B) {
	r := plainRequest(once, 1, "/orders/7")
	r.Body = make([]byte, 1500)
	for b.Loop() {
		r.Identity()
	}
}
