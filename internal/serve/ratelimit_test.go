package serve

import (
	"context"
	"errors"
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

// newLimitedFixtures returns the given number of instances that share servers.
func newLimitedFixtures(servers *limitedServers, instances int) []*fixture {
	var names []string
	for n := range instances {
		names = append(names, fmt.Sprint("instance-", n))
	}
	var fixtures []*fixture
	for n, name := range names {
		f := newFixture(5, nil)
		f.Backend = limitedBackend{servers, n}
		f.Limits = ratelimit.New(name, f.Log)
		f.Limits.SetInstances(names, time.Now())
		fixtures = append(fixtures, f)
	}
	return fixtures
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
		fixtures := newLimitedFixtures(servers, instances)
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

// All servers of a pool are at their limits: callers are refused at once, as not run, and
// return one after the other.
func TestPoolAtItsLimitsRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &limitedServers{limits: make(map[machine.ID]float64), told: make(map[told]time.Time)}
		for n := range 5 {
			servers.limits[machine.ID(fmt.Sprint("s", n))] = 1
		}
		f := newLimitedFixtures(servers, 1)[0]
		for range 5 {
			if err := f.Serve(t.Context(), request(once), &fakeCaller{}); err != nil {
				t.Fatal(err)
			}
		}
		sent, last := len(servers.arrivals), time.Duration(0)
		for range 4 {
			began := time.Now()
			err := f.Serve(t.Context(), request(once), &fakeCaller{})
			var e *contract.Error
			if !errors.As(err, &e) || e.Verdict != contract.NotRun || time.Since(began) > 0 {
				t.Fatalf("refused with %v after %v, want at once as not run", err, time.Since(began))
			}
			if e.RetryAfter <= 0 || e.RetryAfter > 4*time.Second {
				t.Errorf("the caller may return after %v, want within the time that the pool takes another request", e.RetryAfter)
			}
			last = max(last, e.RetryAfter)
		}
		if len(servers.arrivals) != sent {
			t.Error("a refused request was sent")
		}
		time.Sleep(last)
		if err := f.Serve(t.Context(), request(once), &fakeCaller{}); err != nil {
			t.Errorf("the request is refused when the caller returns: %v", err)
		}
	})
}

// A limit ends when an answer names none any more, and is not taken from an answer of another
// server at the address.
func TestWhichAnswersNameALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := ratelimit.Limit{Kind: ratelimit.Limited, PerSecond: 0.5}
		answers := []*Answer{ok(""), ok(""), ok(""), ok("")}
		answers[0].Misdirected, answers[0].RateLimit = true, limited
		answers[1].RateLimit = limited
		answers[2].Authentic = false // perhaps not the server's
		f := newFixture(1, func(n int, _ context.Context, a *Attempt) (*Answer, error) {
			if !a.Wanted() {
				return nil, ErrUnwanted
			}
			return answers[n], nil
		})
		for n, want := range []bool{false, true, true, false} {
			_ = f.Serve(t.Context(), request(once), &fakeCaller{})
			if got := f.Limits.IsLimited(ratelimit.IncarnationOf(f.Snapshot().Servers["p"][0])); got != want {
				t.Errorf("after answer %d the server has a limit: %v, want %v", n, got, want)
			}
			time.Sleep(5 * time.Second)
		}
	})
}

// A request of which nothing was sent is not charged to the server's limit.
func TestRequestThatWasNotSentIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, func(n int, _ context.Context, a *Attempt) (*Answer, error) {
			if !a.Wanted() {
				return nil, ErrUnwanted
			}
			if n == 1 {
				return nil, verdictError(contract.NotRun)
			}
			answer := ok("")
			answer.RateLimit = ratelimit.Limit{Kind: ratelimit.Limited, PerSecond: 1}
			return answer, nil
		})
		serve := func() error { return f.Serve(t.Context(), request(once), &fakeCaller{}) }
		first := serve()
		time.Sleep(time.Second)
		if unsent, again, next := serve(), serve(), serve(); first != nil || unsent == nil || again != nil || next == nil {
			t.Errorf("outcomes %v, %v, %v, %v; want the third request served after the second was not sent, and the fourth refused", first, unsent, again, next)
		}
	})
}

// What callers ask of a pool that is at its limits counts as demand, so that servers are
// ordered rather than released.
func TestDemandOfAPoolAtItsLimitsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &limitedServers{limits: make(map[machine.ID]float64), told: make(map[told]time.Time)}
		for n := range 5 {
			servers.limits[machine.ID(fmt.Sprint("s", n))] = 0.1
		}
		f := newLimitedFixtures(servers, 1)[0]
		for range 100 {
			req := request(once)
			req.Prompt = promptOf(1, 2)
			_ = f.Serve(t.Context(), req, &fakeCaller{})
			time.Sleep(100 * time.Millisecond)
		}
		// Ten requests a second of 200 tokens and some output, refused ones counted half.
		if got := f.Demand.Total("p", time.Now()); got < 1000 {
			t.Errorf("the demand is %.0f tokens a second, want at least 1000", got)
		}
	})
}
