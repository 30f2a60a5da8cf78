// Package atmostonce tests, with gateways and agents as processes, that a request
// with an idempotency key runs at most once and that each verdict not_run is true
// while processes and the key-value service fail. It has only test files.
package atmostonce

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"kumquatyard/internal/standin"
	"kumquatyard/test/processes"
)

func TestMain(m *testing.M) { os.Exit(processes.Run(m)) }

const (
	defaultDuration = 8 * time.Second
	callerCount     = 64
	// maxAttempts limits the attempts of one booking.
	maxAttempts = 6
	// callTimeout exceeds the contract's deadline of 5 s.
	callTimeout = 8 * time.Second
	// settleTime is the time after the load until the services' counts are final.
	settleTime = 500 * time.Millisecond
)

// answer is the response to one call. Its status is 0 if there was none.
type answer struct {
	gateway   int
	status    int
	verdict   string
	requestID string
	replayed  bool
	body      string
}

// booking is a request that must run at most once, with the answers to its calls.
type booking struct {
	key     string
	mu      sync.Mutex
	answers []answer
}

// answered reports whether a call was answered with status 200.
func (b *booking) answered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.answers {
		if a.status == http.StatusOK {
			return true
		}
	}
	return false
}

// caller makes bookings. It sends each to random gateways, sometimes to two at
// once, until one answers, and sometimes again after that.
type caller struct {
	urls     []string
	rng      *rand.Rand
	http     *http.Client
	bookings []*booking
}

// makeBookings makes one booking after another until the given time.
func (c *caller) makeBookings(id int, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		b := &booking{key: fmt.Sprintf("booking-%d-%d", id, n)}
		c.bookings = append(c.bookings, b)
		for range maxAttempts {
			c.attempt(b)
			if (b.answered() && c.rng.IntN(4) > 0) || time.Now().After(until) {
				break
			}
			time.Sleep(time.Duration(c.rng.IntN(300)) * time.Millisecond)
		}
	}
}

// attempt sends a booking to one or two gateways at once.
func (c *caller) attempt(b *booking) {
	var group conc.WaitGroup
	for range 1 + c.rng.IntN(2) {
		gateway := c.rng.IntN(len(c.urls))
		group.Go(func() {
			a := c.call(b.key, gateway)
			b.mu.Lock()
			b.answers = append(b.answers, a)
			b.mu.Unlock()
		})
	}
	group.Wait()
}

func (c *caller) call(key string, gateway int) answer {
	out := answer{gateway: gateway}
	req, _ := http.NewRequest(http.MethodPost, c.urls[gateway]+"/bookings", strings.NewReader("book "+key))
	req.Header.Set("Authorization", "Bearer "+processes.APIKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := c.http.Do(req)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return out
	}
	out.status, out.body = resp.StatusCode, string(body)
	out.verdict, out.requestID = resp.Header.Get("Kumquat-Verdict"), resp.Header.Get("X-Request-Id")
	out.replayed = resp.Header.Get("Idempotent-Replayed") != ""
	return out
}

// faultInjector injects one fault after another until the load ends.
type faultInjector struct {
	fleet    *processes.Fleet
	rng      *rand.Rand
	injected []string
}

func (fi *faultInjector) record(format string, args ...any) {
	fi.injected = append(fi.injected, fmt.Sprintf(format, args...))
}

func (fi *faultInjector) pause(low, high time.Duration) {
	time.Sleep(low + time.Duration(fi.rng.Int64N(int64(high-low))))
}

// disruptProcesses kills, stops and freezes processes of group until the given
// time. It disrupts the next one before all peers have detected the last fault.
func (fi *faultInjector) disruptProcesses(group []*processes.Process, until time.Time) {
	for time.Now().Before(until) {
		p := group[fi.rng.IntN(len(group))]
		switch fi.rng.IntN(4) {
		case 0:
			fi.record("kill %s", p.Name)
			p.Kill()
			p.Start()
		case 1:
			fi.record("stop %s", p.Name)
			p.Terminate()
			p.Start()
		default:
			fi.record("freeze %s", p.Name)
			p.Freeze()
			fi.pause(time.Second, 5*time.Second)
			p.Thaw()
		}
		fi.pause(200*time.Millisecond, time.Second)
	}
}

var kvFaults = []struct {
	name   string
	faults standin.Faults
}{
	{"down", standin.Faults{Down: true}},
	{"slow", standin.Faults{LatencyMS: 300}},
	{"loses answers", standin.Faults{LoseAnswers: 0.3}},
	{"loses answers and slow", standin.Faults{LoseAnswers: 0.5, LatencyMS: 50}},
	{"silent", standin.Faults{Silent: true}},
}

// disruptKV sets one of kvFaults at a time on the key-value service, with pauses
// in between, until the given time.
func (fi *faultInjector) disruptKV(until time.Time) {
	for time.Now().Before(until) {
		fault := kvFaults[fi.rng.IntN(len(kvFaults))]
		fi.record("kv %s", fault.name)
		fi.setFaults(fault.faults)
		fi.pause(300*time.Millisecond, 1500*time.Millisecond)
		fi.setFaults(standin.Faults{LatencyMS: 2})
		fi.pause(200*time.Millisecond, 1500*time.Millisecond)
	}
}

func (fi *faultInjector) setFaults(faults standin.Faults) {
	fi.fleet.KV.ChangeFaults(func(f *standin.Faults) { *f = faults })
}

// runs returns the number of runs that the services counted, by request and key.
func runs(f *processes.Fleet) standin.Runs {
	total := standin.Runs{ByRequest: map[string]int{}, ByKey: map[string]int{}}
	for _, s := range f.Services {
		one := s.Runs()
		for id, n := range one.ByRequest {
			total.ByRequest[id] += n
		}
		for key, n := range one.ByKey {
			total.ByKey[key] += n
		}
	}
	return total
}

// seedAndDuration returns the values of SEED and DURATION, or their defaults.
func seedAndDuration(t *testing.T) (seed uint64, duration time.Duration) {
	seed, duration = 1, defaultDuration
	if text := os.Getenv("SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = n
	}
	if text := os.Getenv("DURATION"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		duration = d
	}
	return seed, duration
}

// TestAtMostOnce runs callers and fault injectors at the same time and then checks
// all answers against the services' counts.
func TestAtMostOnce(t *testing.T) {
	seed, duration := seedAndDuration(t)
	t.Logf("seed %d, duration %v", seed, duration)
	f := processes.Start(t, processes.Options{
		Entries: 3, Services: 3, KV: standin.KVOptions{Seed: seed, WritesPerSecond: 300, ReadsPerSecond: 2000},
		Service: standin.ServiceOptions{Seed: seed, ServiceTime: 10 * time.Millisecond, FailAfterRun: 0.05, CloseBeforeRun: 0.05},
	})
	var urls []string
	var agents, gateways []*processes.Process
	for _, e := range f.Entries {
		urls, agents, gateways = append(urls, e.URL), append(agents, e.Agent), append(gateways, e.Gateway)
	}
	until := time.Now().Add(duration)
	callers := make([]*caller, callerCount)
	var work conc.WaitGroup
	for i := range callers {
		c := &caller{urls: urls, rng: rand.New(rand.NewPCG(seed, uint64(i))), http: &http.Client{Timeout: callTimeout}}
		callers[i] = c
		work.Go(func() { c.makeBookings(i, until) })
	}
	injectors := make([]*faultInjector, 3)
	for i := range injectors {
		injectors[i] = &faultInjector{fleet: f, rng: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
	}
	work.Go(func() { injectors[0].disruptProcesses(agents, until) })
	work.Go(func() { injectors[1].disruptProcesses(gateways, until) })
	work.Go(func() { injectors[2].disruptKV(until) })
	work.Wait()
	time.Sleep(settleTime)
	for _, fi := range injectors {
		t.Logf("injected faults: %s", strings.Join(fi.injected, ", "))
	}
	check(t, callers, runs(f))
}

// check compares the answers with the services' counts. A run without an answer, a
// replayed answer or a refusal with verdict not_run fails, as it tests too little.
func check(t *testing.T, callers []*caller, runs standin.Runs) {
	var total tally
	for _, c := range callers {
		for _, b := range c.bookings {
			checkBooking(t, b, runs, &total)
		}
	}
	t.Logf("%+v", total)
	if total.Answered == 0 || total.Replayed == 0 || total.NotRun == 0 {
		t.Errorf("want at least one answer, one replay and one refusal as not_run, got %d, %d and %d", total.Answered, total.Replayed, total.NotRun)
	}
}

// tally counts bookings, runs and answers by kind. Silent counts calls without an
// answer.
type tally struct {
	Bookings, Ran, Answered, Replayed, NotRun, MayHaveRun, Conflicts, Silent int
}

// checkBooking checks that a booking ran at most once, that all its answers are
// equal, and that no request refused as not_run has run.
func checkBooking(t *testing.T, b *booking, runs standin.Runs, total *tally) {
	n := runs.ByKey[b.key]
	total.Bookings++
	total.Ran += n
	if n > 1 {
		t.Errorf("%s ran %d times, want at most 1: %+v", b.key, n, b.answers)
	}
	first, allNotRun := "", true
	for _, a := range b.answers {
		total.count(a)
		allNotRun = allNotRun && a.verdict == "not_run"
		if a.verdict == "not_run" && runs.ByRequest[a.requestID] > 0 {
			t.Errorf("%s: request %s was refused as not_run but ran", b.key, a.requestID)
		}
		if a.status != http.StatusOK {
			continue
		}
		if first == "" {
			first = a.body
		}
		if a.body != first || n != 1 {
			t.Errorf("%s ran %d times, want 1, and got answers %q and %q, want equal ones", b.key, n, first, a.body)
		}
	}
	if allNotRun && n > 0 {
		t.Errorf("%s ran although every answer has verdict not_run: %+v", b.key, b.answers)
	}
}

func (s *tally) count(a answer) {
	switch {
	case a.status == 0:
		s.Silent++
	case a.status == http.StatusOK && a.replayed:
		s.Replayed++
	case a.status == http.StatusOK:
		s.Answered++
	case a.verdict == "not_run":
		s.NotRun++
	case a.status == http.StatusConflict:
		s.Conflicts++
	case a.verdict == "may_have_run":
		s.MayHaveRun++
	}
}
