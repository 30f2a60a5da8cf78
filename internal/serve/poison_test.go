package serve

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
)

const (
	// poisonTarget is the path of the request that ends each server that begins to run it.
	poisonTarget = "/orders/666"
	// maxPoisonArrivals is the number of times that it may reach servers later than
	// contactTime after the third end.
	maxPoisonArrivals = 3
	// runTime is how long a server of a plain service works on a request.
	runTime = 60 * time.Millisecond
)

// plainServers are servers of a plain service, each of which ends when it has worked for
// half of runTime on the poison request, with all that it runs, and is back some seconds
// later.
type plainServers struct {
	mu sync.Mutex
	// endedAt holds the last end of each server, ends all ends, and arrivals those of the
	// poison request.
	endedAt  map[machine.ID]time.Time
	ends     []time.Time
	arrivals []time.Time
}

// HasEnded implements Checker.
func (p *plainServers) HasEnded(_ context.Context, s *fleet.Server) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isDown(s.ID), nil
}

func (p *plainServers) isDown(id machine.ID) bool {
	at, ok := p.endedAt[id]
	return ok && time.Since(at) < restartTime
}

// end ends a server.
func (p *plainServers) end(id machine.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isDown(id) {
		p.endedAt[id] = time.Now()
	}
}

// Send implements Backend.
func (p *plainServers) Send(ctx context.Context, a *Attempt) (*Answer, error) {
	isPoison := a.Request.Target == poisonTarget
	p.mu.Lock()
	if !a.Wanted() {
		p.mu.Unlock()
		return nil, ErrUnwanted
	}
	if p.isDown(a.Server.ID) {
		p.mu.Unlock()
		return nil, verdictError(contract.NotRun)
	}
	if isPoison {
		p.arrivals = append(p.arrivals, time.Now())
	}
	p.mu.Unlock()
	sent := time.Now()
	select {
	case <-time.After(runTime / 2):
	case <-ctx.Done():
		return nil, verdictError(contract.MayHaveRun)
	}
	if isPoison {
		p.mu.Lock()
		if !p.isDown(a.Server.ID) {
			p.endedAt[a.Server.ID] = time.Now()
			p.ends = append(p.ends, time.Now())
		}
		p.mu.Unlock()
	}
	time.Sleep(runTime / 2)
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.endedAt[a.Server.ID]; ok && !at.Before(sent) {
		return nil, verdictError(contract.MayHaveRun)
	}
	return ok("done"), nil
}

// late returns the number of times that the poison request reached servers later than
// contactTime after the third end.
func (p *plainServers) late() int {
	n := 0
	for _, at := range p.arrivals {
		if len(p.ends) >= 3 && at.Sub(p.ends[2]) > contactTime {
			n++
		}
	}
	return n
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
				servers := &plainServers{endedAt: make(map[machine.ID]time.Time)}
				f := newFixture(4, nil)
				f.Backend = servers
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
				if late := servers.late(); late > maxPoisonArrivals {
					t.Errorf("the request reached servers %d times later than %v after the third of %d ends, want at most %d", late, contactTime, len(servers.ends), maxPoisonArrivals)
				}
				if served < sound*99/100 {
					t.Errorf("%d of %d sound requests were served after the first seconds", served, sound)
				}
			})
		})
	}
}
