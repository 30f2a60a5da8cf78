package serve

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kumquatyard/internal/brittle"
	"kumquatyard/internal/machine"
)

// brittleServers are servers without a queue: one that has to turn more than allowed requests
// away in a second falls over for a time.
type brittleServers struct {
	slots, allowed int
	work           time.Duration

	mu        sync.Mutex
	running   map[machine.ID]int
	turnedAt  map[machine.ID][]time.Time
	downUntil map[machine.ID]time.Time
	falls     int
	served    int
}

const brittleDownTime = 3 * time.Second

func (b *brittleServers) Send(ctx context.Context, a *Attempt) (*Answer, error) {
	if a.Wanted != nil && !a.Wanted() {
		return nil, ErrUnwanted
	}
	id := a.Server.ID
	if !b.begin(id, time.Now()) {
		refusal := ok("")
		refusal.Status, refusal.Refused, refusal.Brittle, refusal.Authentic = http.StatusServiceUnavailable, true, true, false
		return refusal, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(b.work):
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[id]--
	b.served++
	answer := ok("done")
	answer.Brittle = true
	return answer, nil
}

// begin reports whether a server takes a request; if not, it may fall over.
func (b *brittleServers) begin(id machine.ID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.downUntil[id]) {
		return false
	}
	if b.running[id] < b.slots {
		b.running[id]++
		return true
	}
	var recent []time.Time
	for _, at := range append(b.turnedAt[id], now) {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	if b.turnedAt[id] = recent; len(recent) > b.allowed {
		b.falls++
		b.turnedAt[id], b.downUntil[id] = nil, now.Add(brittleDownTime)
	}
	return false
}

// Instances that share brittle servers keep to their room: the servers do not fall over, and
// most of what they could serve is served (issue 30, LIMIT).
func TestBrittleServersDoNotFallOver(t *testing.T) {
	const servers, slots, duration = 6, 6, 15 * time.Second
	// Until then the instances may not know that the servers are brittle, and those that have
	// fallen over are not back.
	const settled = 5 * time.Second
	for _, allowed := range []int{0, 3} {
		synctest.Test(t, func(t *testing.T) {
			b := &brittleServers{
				slots: slots, allowed: allowed, work: 40 * time.Millisecond,
				running: make(map[machine.ID]int), turnedAt: make(map[machine.ID][]time.Time), downUntil: make(map[machine.ID]time.Time),
			}
			fleetOf := newBrittleFleet(b, 6, servers, slots)
			capacity := float64(servers*slots) / b.work.Seconds()
			falls, served := 0, 0
			for n := range int(capacity * 1.2 * duration.Seconds()) {
				f := fleetOf[n%len(fleetOf)]
				req := request(idempotent)
				req.ID = strconv.Itoa(n)
				go func() { _ = f.Serve(t.Context(), req, &fakeCaller{}) }()
				time.Sleep(time.Duration(float64(time.Second) / (capacity * 1.2)))
				if n == int(capacity*1.2*settled.Seconds()) {
					b.mu.Lock()
					falls, served = b.falls, b.served
					b.mu.Unlock()
				}
			}
			b.mu.Lock()
			falls, served = b.falls-falls, b.served-served
			b.mu.Unlock()
			if falls > 2+servers/10 {
				t.Errorf("%d allowed: servers fell over %d times, want at most %d", allowed, falls, 2+servers/10)
			}
			if room := capacity * (duration - settled).Seconds(); float64(served) < 0.9*room {
				t.Errorf("%d allowed: %d served, want 0.9 of %.0f", allowed, served, room)
			}
			time.Sleep(5 * time.Second)
		})
	}
}

// newBrittleFleet returns instances that share the servers and tell each other nothing.
func newBrittleFleet(b *brittleServers, instances, servers, slots int) []*fixture {
	var list []*fixture
	names := make([]string, instances)
	for n := range names {
		names[n] = "i" + strconv.Itoa(n)
	}
	for _, name := range names {
		f := newFixture(servers, nil)
		for _, s := range f.Snapshot().Servers["p"] {
			s.Slots = slots
		}
		f.Backend = b
		f.join(name, names)
		list = append(list, f)
	}
	return list
}

// join makes the fixture one of the named instances.
func (f *fixture) join(name string, names []string) {
	f.Brittle = brittle.New(name, f.Log)
	f.Brittle.SetInstances(names, time.Now())
}
