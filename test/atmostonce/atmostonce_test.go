// Package atmostonce proves, with gateways and agents as processes, that a
// request that must not repeat runs at most once and that every refusal's
// verdict is true. It has only test files.
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
	// attempts bounds the calls for one booking.
	attempts = 6
	// callTimeout is above the contract's deadline of 5 s.
	callTimeout = 8 * time.Second
	// settled is how long after the load the counts are final.
	settled = 500 * time.Millisecond
)

// answer is what a caller got for one call; status is 0 when it got none.
type answer struct {
	gateway   int
	status    int
	verdict   string
	requestID string
	replayed  bool
	body      string
}

// booking is one request that must not repeat, with the answers to its calls.
type booking struct {
	key     string
	mu      sync.Mutex
	answers []answer
}

func (b *booking) done() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.answers {
		if a.status == http.StatusOK {
			return true
		}
	}
	return false
}

// caller makes bookings; each is called for again at other gateways, sometimes
// at two at once, until one answers it.
type caller struct {
	urls []string
	rng  *rand.Rand
	http *http.Client
	made []*booking
}

func (u *caller) work(id int, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		b := &booking{key: fmt.Sprintf("booking-%d-%d", id, n)}
		u.made = append(u.made, b)
		for range attempts {
			u.attempt(b)
			if (b.done() && u.rng.IntN(4) > 0) || time.Now().After(until) {
				break
			}
			time.Sleep(time.Duration(u.rng.IntN(300)) * time.Millisecond)
		}
	}
}

func (u *caller) attempt(b *booking) {
	var group conc.WaitGroup
	for range 1 + u.rng.IntN(2) {
		gateway := u.rng.IntN(len(u.urls))
		group.Go(func() {
			a := u.call(b.key, gateway)
			b.mu.Lock()
			b.answers = append(b.answers, a)
			b.mu.Unlock()
		})
	}
	group.Wait()
}

func (u *caller) call(key string, gateway int) answer {
	out := answer{gateway: gateway}
	req, _ := http.NewRequest(http.MethodPost, u.urls[gateway]+"/bookings", strings.NewReader("book "+key))
	req.Header.Set("Authorization", "Bearer "+processes.APIKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := u.http.Do(req)
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

// disturber injects one failure after another until the load ends.
type disturber struct {
	f   *processes.Fleet
	rng *rand.Rand
	log []string
}

func (d *disturber) note(format string, args ...any) {
	d.log = append(d.log, fmt.Sprintf(format, args...))
}

func (d *disturber) pause(low, high time.Duration) {
	time.Sleep(low + time.Duration(d.rng.Int64N(int64(high-low))))
}

// processes kills, freezes and stops processes of group, the next one before the
// last one's peers have all noticed.
func (d *disturber) processes(group []*processes.Process, until time.Time) {
	for time.Now().Before(until) {
		p := group[d.rng.IntN(len(group))]
		switch d.rng.IntN(4) {
		case 0:
			d.note("kill %s", p.Name)
			p.Kill()
			p.Start()
		case 1:
			d.note("stop %s", p.Name)
			p.Terminate()
			p.Start()
		default:
			d.note("freeze %s", p.Name)
			p.Freeze()
			d.pause(time.Second, 5*time.Second)
			p.Thaw()
		}
		d.pause(200*time.Millisecond, time.Second)
	}
}

var platformFaults = []struct {
	name   string
	faults standin.Faults
}{
	{"down", standin.Faults{Down: true}},
	{"slow", standin.Faults{LatencyMS: 300}},
	{"loses answers", standin.Faults{LoseAnswers: 0.3}},
	{"loses answers and slow", standin.Faults{LoseAnswers: 0.5, LatencyMS: 50}},
	{"silent", standin.Faults{Silent: true}},
}

// platform takes the key-value service down, makes it slow, loses its answers
// and silences its connections.
func (d *disturber) platform(until time.Time) {
	for time.Now().Before(until) {
		fault := platformFaults[d.rng.IntN(len(platformFaults))]
		d.note("kv %s", fault.name)
		d.setFaults(fault.faults)
		d.pause(300*time.Millisecond, 1500*time.Millisecond)
		d.setFaults(standin.Faults{LatencyMS: 2})
		d.pause(200*time.Millisecond, 1500*time.Millisecond)
	}
}

func (d *disturber) setFaults(faults standin.Faults) {
	d.f.KV.ChangeFaults(func(f *standin.Faults) { *f = faults })
}

// runs adds up what the services counted: the ground truth.
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

func environment(t *testing.T) (seed uint64, duration time.Duration) {
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

func TestAtMostOnce(t *testing.T) {
	seed, duration := environment(t)
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
		u := &caller{urls: urls, rng: rand.New(rand.NewPCG(seed, uint64(i))), http: &http.Client{Timeout: callTimeout}}
		callers[i] = u
		work.Go(func() { u.work(i, until) })
	}
	disturbers := make([]*disturber, 3)
	for i := range disturbers {
		disturbers[i] = &disturber{f: f, rng: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
	}
	work.Go(func() { disturbers[0].processes(agents, until) })
	work.Go(func() { disturbers[1].processes(gateways, until) })
	work.Go(func() { disturbers[2].platform(until) })
	work.Wait()
	time.Sleep(settled)
	for _, d := range disturbers {
		t.Logf("failures: %s", strings.Join(d.log, ", "))
	}
	check(t, callers, runs(f))
}

// check compares the answers with the services' own counts.
func check(t *testing.T, callers []*caller, runs standin.Runs) {
	var total tally
	for _, u := range callers {
		for _, b := range u.made {
			checkBooking(t, b, runs, &total)
		}
	}
	t.Logf("%+v", total)
	if total.Answered == 0 || total.Replayed == 0 || total.NotRun == 0 {
		t.Error("the run saw no answer, no replay or no refusal; it proves nothing")
	}
}

// tally counts what the run saw.
type tally struct {
	Bookings, Ran, Answered, Replayed, NotRun, MayHaveRun, Conflicts, Silent int
}

func checkBooking(t *testing.T, b *booking, runs standin.Runs, total *tally) {
	n := runs.ByKey[b.key]
	total.Bookings++
	total.Ran += n
	if n > 1 {
		t.Errorf("%s ran %d times: %+v", b.key, n, b.answers)
	}
	first, allNotRun := "", true
	for _, a := range b.answers {
		total.count(a)
		allNotRun = allNotRun && a.verdict == "not_run"
		if a.verdict == "not_run" && runs.ByRequest[a.requestID] > 0 {
			t.Errorf("%s: request %s was refused as not run and ran", b.key, a.requestID)
		}
		if a.status != http.StatusOK {
			continue
		}
		if first == "" {
			first = a.body
		}
		if a.body != first || n != 1 {
			t.Errorf("%s ran %d times and got the answers %q and %q", b.key, n, first, a.body)
		}
	}
	if allNotRun && n > 0 {
		t.Errorf("%s ran although every answer said not run: %+v", b.key, b.answers)
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
