package serve

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/ratelimit"
)

// limitedServers are servers of which some name a limit of their request rate in their
// answers, for a time. Several instances share them.
type limitedServers struct {
	mu sync.Mutex
	// limits holds the limits that servers name at present, in requests per second.
	limits   map[machine.ID]float64
	arrivals []arrival
	// told is when each instance got an answer of a server with a limit first.
	told map[told]time.Time
}

type arrival struct {
	at       time.Time
	server   machine.ID
	instance int
}

type told struct {
	server   machine.ID
	instance int
}

// limitedBackend is the Backend of one instance.
type limitedBackend struct {
	*limitedServers
	instance int
}

const answerTime = 40 * time.Millisecond

// Send implements Backend.
func (b limitedBackend) Send(ctx context.Context, a *Attempt) (*Answer, error) {
	if !a.Wanted() {
		return nil, ErrUnwanted
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, arrival{time.Now(), a.Server.ID, b.instance})
	b.mu.Unlock()
	select {
	case <-time.After(answerTime):
	case <-ctx.Done():
		return nil, verdictError(contract.MayHaveRun)
	}
	answer := ok("done")
	b.mu.Lock()
	defer b.mu.Unlock()
	if rate, limited := b.limits[a.Server.ID]; limited {
		answer.RateLimit = ratelimit.Limit{Kind: ratelimit.Limited, PerSecond: rate}
		if key := (told{a.Server.ID, b.instance}); b.told[key].IsZero() {
			b.told[key] = time.Now()
		}
	}
	return answer, nil
}

// sentByTold returns the number of requests that reached a server from the instances that
// it had told half a second before, by the time since start.
func (s *limitedServers) sentByTold(server machine.ID, start time.Time) []time.Duration {
	var times []time.Duration
	for _, a := range s.arrivals {
		since := s.told[told{server, a.instance}]
		if a.server == server && !since.IsZero() && a.at.Sub(since) >= 500*time.Millisecond {
			times = append(times, a.at.Sub(start))
		}
	}
	return times
}

// most returns the largest number of times within a span.
func most(times []time.Duration, span time.Duration) int {
	largest, first := 0, 0
	for last, at := range times {
		for at-times[first] > span {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// Guards against LIMIT of issue 27: a server names a limit of its request rate, and the
// instances together exceed it, each sending as if the server had said nothing.
func TestServerIsSentNoMoreThanItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, rate, limited = 6, 2.2, machine.ID("s0")
		servers := &limitedServers{limits: make(map[machine.ID]float64), told: make(map[told]time.Time)}
		var fixtures []*fixture
		for n := range instances {
			f := newFixture(5, nil)
			f.Backend = limitedBackend{servers, n}
			fixtures = append(fixtures, f)
		}
		start := time.Now()
		var wg sync.WaitGroup
		refused := 0
		for n := 0; time.Since(start) < 14*time.Second; n++ {
			if time.Since(start) >= time.Second {
				servers.mu.Lock()
				servers.limits[limited] = rate
				servers.mu.Unlock()
			}
			wg.Go(func() {
				req := request(once)
				req.ID = fmt.Sprint(n)
				if err := fixtures[n%instances].Serve(t.Context(), req, &fakeCaller{}); err != nil {
					servers.mu.Lock()
					refused++
					servers.mu.Unlock()
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		allowed := 1.5*4*rate + 5
		var settled []time.Duration
		for _, at := range servers.sentByTold(limited, start) {
			if at >= time.Second+contactTime {
				settled = append(settled, at)
			}
		}
		if got := most(settled, 4*time.Second); float64(got) > allowed {
			t.Errorf("the server got %d requests in 4 s from instances that it had told, want at most %.0f", got, allowed)
		}
		if refused > 0 {
			t.Errorf("%d requests were refused although other servers are free", refused)
		}
	})
}
