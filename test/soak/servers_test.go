package soak

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kumquatyard/platform/standin"
)

// contactTime is how soon all instances must act on what a server says or does.
const contactTime = 3 * time.Second

// withLoad runs callers against a started fleet while f runs.
func withLoad(fl *fleet, r *recorder, callers int, f func()) {
	var ids atomic.Int64
	done := make(chan struct{})
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() { newCaller(fl, r, &ids, uint64(n)+1).run(done) })
	}
	f()
	close(done)
	all.Wait()
}

// builds are the binaries that the instances of a fleet run in turn, and the one of them that
// mixes the versions of streams.
type builds struct {
	binaries []string
	mixing   string
}

func newStartedFleet(t *testing.T, instances int, b builds) (*fleet, *recorder) {
	t.Helper()
	f, r := newFleet(t, Options{Instances: instances, MixingBinary: b.mixing}), &recorder{}
	for n, i := range f.instances {
		i.setBuild(b.binaries[n%len(b.binaries)])
	}
	startFleet(t, f, r, Options{Seed: 1}, t.Logf)
	return f, r
}

// server returns the first server of a service.
func (f *fleet) server(service string) *server {
	for _, s := range f.serverList() {
		if s.Service == service {
			return s
		}
	}
	return nil
}

// Guards against LIMIT of issue 27 over processes: instances together send a server no more
// than the limit that it names, and use it; when it names none any more, they send it more.
func TestInstancesShareTheLimitOfAServer(t *testing.T) {
	testLimitIsShared(t, builds{binaries: []string{binary}})
}

func testLimitIsShared(t *testing.T, b builds) {
	t.Helper()
	f, r := newStartedFleet(t, 4, b)
	const limit, window = 1.5, 4 * time.Second
	s := f.server("lookup")
	var namedAt, endedAt time.Time
	withLoad(f, r, 16, func() {
		time.Sleep(time.Second)
		s.SetFaults(standin.ServerFaults{LimitPerSecond: limit})
		namedAt = time.Now()
		time.Sleep(contactTime + 2*window)
		s.SetFaults(standin.ServerFaults{})
		endedAt = time.Now()
		time.Sleep(window)
	})
	var times []time.Time
	after := 0
	for _, a := range s.Arrivals() {
		switch {
		case a.At.After(endedAt):
			after++
		case a.At.Sub(namedAt) >= contactTime:
			times = append(times, a.At)
		}
	}
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		if got, allowed := last-first+1, 1.5*window.Seconds()*limit+5; float64(got) > allowed {
			t.Fatalf("the server got %d requests in %v, want at most %.0f", got, window, allowed)
		}
	}
	t.Logf("%d arrivals under the limit, %d in %v after it", len(times), after, window)
	if used := float64(len(times)) / (limit * 2 * window.Seconds()); used < 0.5 {
		t.Errorf("%.2f of the limit were used, want half at least", used)
	}
	if float64(after) < 2*limit*window.Seconds() {
		t.Errorf("the server got %d requests in %v after its limit ended, want more than its limit", after, window)
	}
	report(t, f, r, nil)
}

// Guards against BUDGET of issue 27 over processes: a request that ends each server that
// begins to run it comes again at all instances; it is soon sent no more, and others of its
// service are served.
func TestRequestThatEndsServersOverProcesses(t *testing.T) {
	testRequestThatEndsServers(t, builds{binaries: []string{binary}})
}

func testRequestThatEndsServers(t *testing.T, b builds) {
	t.Helper()
	f, r := newStartedFleet(t, 4, b)
	var mu sync.Mutex
	var ends []time.Time
	var lookups []*server
	arm := func(s *server) {
		lookups = append(lookups, s)
		var once sync.Once
		s.HandlePoison(func() {
			once.Do(func() {
				mu.Lock()
				ends = append(ends, time.Now())
				mu.Unlock()
				go func() {
					s.Stop()
					s.proxy.close()
					time.Sleep(time.Second)
					s.Unregister()
				}()
			})
		})
	}
	// Spares take the place of those that end: the service always has some.
	for range 4 {
		f.addServer("lookup")
	}
	for _, s := range f.serverList() {
		if s.Service == "lookup" {
			arm(s)
		}
	}
	var ids atomic.Int64
	ids.Store(1 << 40)
	withLoad(f, r, 8, func() {
		poison := newCaller(f, &recorder{}, &ids, 99)
		for began := time.Now(); time.Since(began) < 3*contactTime; time.Sleep(100 * time.Millisecond) {
			if poison.conn != nil || poison.connect() {
				poison.send(standin.PoisonPath)
			}
			poison.disconnect()
		}
	})
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, s := range lookups {
		for _, a := range s.Arrivals() {
			if a.Path == standin.PoisonPath && len(ends) >= 3 && a.At.Sub(ends[2]) > contactTime {
				late++
			}
		}
	}
	if late > 3 || len(ends) > 6 {
		t.Errorf("the request reached servers %d times later than %v after the third of %d ends, want at most 3 times and 6 ends", late, contactTime, len(ends))
	}
	if len(ends) < 3 {
		t.Errorf("only %d servers ended: the test shows nothing", len(ends))
	}
	served := 0
	for _, o := range r.outcomes {
		if o.path == lookupPath && len(ends) > 0 && o.at.After(ends[0].Add(contactTime)) && o.status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		t.Error("no other request of the service was served later")
	}
	report(t, f, r, nil)
}
