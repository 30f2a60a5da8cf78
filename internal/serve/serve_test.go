package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/demand"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/retry"
)

// fakeBackend answers the n-th attempt, from 0, by a script.
type fakeBackend struct {
	mu       sync.Mutex
	attempts []Attempt
	script   func(n int, ctx context.Context, a *Attempt) (*Answer, error)
}

func (b *fakeBackend) Send(ctx context.Context, a *Attempt) (*Answer, error) {
	b.mu.Lock()
	n := len(b.attempts)
	b.attempts = append(b.attempts, *a)
	b.mu.Unlock()
	return b.script(n, ctx, a)
}

func ok(body string) *Answer {
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)), Authentic: true}
}

// brokenAfter is an answer whose connection breaks after some bytes.
func brokenAfter(body string) *Answer {
	a := ok(body)
	a.Length = -1
	a.Body = io.NopCloser(io.MultiReader(strings.NewReader(body), failingReader{}))
	return a
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// fakeCaller keeps what it receives.
type fakeCaller struct {
	status int
	header http.Header
	body   strings.Builder
}

func (c *fakeCaller) Begin(status int, h http.Header, _ int64) error {
	c.status, c.header = status, h
	return nil
}

func (c *fakeCaller) Write(p []byte) error {
	c.body.Write(p)
	return nil
}

// unlimited is a quota that allows everything and counts.
type unlimited struct{ taken, refunded float64 }

func (u *unlimited) Take(_ *fleet.Workspace, amount float64, _ time.Time) (time.Duration, bool) {
	u.taken += amount
	return 0, true
}

func (u *unlimited) Refund(_ *fleet.Workspace, amount float64, _ time.Time) { u.refunded += amount }

type usageCount struct{ n int }

func (u *usageCount) RecordStart(string, time.Time) { u.n++ }

type fixture struct {
	*Server
	backend *fakeBackend
	quotas  *unlimited
	usage   *usageCount
}

func newFixture(servers int, script func(n int, ctx context.Context, a *Attempt) (*Answer, error)) *fixture {
	var list []*fleet.Server
	for i := range servers {
		list = append(list, &fleet.Server{
			Server: machine.Server{ID: machine.ID(fmt.Sprintf("s%d", i)), Pool: "p", Zone: "z", Reclaimable: true}, Lifecycle: machine.Serving, Slots: 8,
		})
	}
	picture := &fleet.Snapshot{
		Config:  fleet.NewConfig(1, nil, []*fleet.Pool{{Name: "p", MaxConns: 100}}, nil, fleet.Limits{}),
		Servers: map[string][]*fleet.Server{"p": list},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{backend: &fakeBackend{script: script}, quotas: &unlimited{}, usage: &usageCount{}}
	f.Server = New(Options{
		Zone: "z", Snapshot: func() *fleet.Snapshot { return picture }, Instances: func() int { return 7 }, Backend: f.backend, Quotas: f.quotas, Usage: f.usage,
		Predictor: forecast.NewPredictor(), Budget: retry.NewPoolBudget(0.2, 10, 10*time.Second), Demand: demand.New(), Log: logrus.NewEntry(log),
	})
	return f
}

// A server whose connections are all in use is passed over, and not suspected.
func TestServerWithoutAFreeConnectionIsPassedOver(t *testing.T) {
	f := newFixture(3, func(n int, _ context.Context, _ *Attempt) (*Answer, error) {
		if n == 0 {
			err := &contract.Error{Kind: contract.KindOverloaded, Verdict: contract.NotRun, Message: "full"}
			return nil, errors.Join(err, ErrNoConnection)
		}
		return ok("done"), nil
	})
	caller := &fakeCaller{}
	if err := f.Serve(t.Context(), &Request{ID: "1", Route: &once, Arrived: time.Now()}, caller); err != nil || caller.body.String() != "done" {
		t.Fatalf("answer %q, %v", caller.body.String(), err)
	}
	first := f.backend.attempts[0]
	if first.Server.ID == f.backend.attempts[1].Server.ID || f.suspected(first.Server.ID, time.Now()) {
		t.Error("the server was asked again or is suspected")
	}
	if first.MaxConnections != 14 {
		t.Errorf("%d connections allowed, want the 14 that are a seventh of 100", first.MaxConnections)
	}
}

// kinds of routes.
var (
	once      = fleet.Route{Name: "once", Targets: []fleet.Target{{Pool: "p", Weight: 1}}, MaxAttempts: 2}
	repeats   = fleet.Route{Name: "repeats", Idempotent: true, Targets: once.Targets, MaxAttempts: 2}
	stream    = fleet.Route{Name: "stream", Stream: true, Targets: once.Targets, MaxAttempts: 2}
	resumable = fleet.Route{Name: "resumable", Stream: true, Resumable: true, Targets: once.Targets, MaxAttempts: 2}
)

func request(route fleet.Route) *Request {
	now := time.Now()
	return &Request{
		ID: "r", Method: http.MethodPost, Route: &route, Workspace: &fleet.Workspace{Name: "w"}, Arrived: now, Deadline: now.Add(2 * time.Second),
	}
}

func verdictError(v contract.Verdict) error {
	return &contract.Error{Kind: contract.KindUnavailable, Verdict: v, Message: "scripted"}
}

// The second attempt always succeeds; whether it is made depends on what may
// have become of the first.
func TestRepeatsOnlyWhatMayBeRepeated(t *testing.T) {
	refused := func() (*Answer, error) {
		a := ok("")
		a.Status, a.Refused, a.Authentic = http.StatusServiceUnavailable, true, false
		return a, nil
	}
	failed := func() (*Answer, error) {
		a := ok("failed")
		a.Status = http.StatusInternalServerError
		return a, nil
	}
	lost := func() (*Answer, error) { return nil, verdictError(contract.MayHaveRun) }
	unreachable := func() (*Answer, error) { return nil, verdictError(contract.NotRun) }
	broken := func() (*Answer, error) { return brokenAfter("ab"), nil }
	unmarked := func() (*Answer, error) {
		a := ok("x")
		a.Authentic = false
		return a, nil
	}
	tests := []struct {
		name     string
		route    fleet.Route
		first    func() (*Answer, error)
		attempts int
		// verdict is that of the failure, 0 for an answer.
		verdict contract.Verdict
	}{
		{"once, lost", once, lost, 1, contract.MayHaveRun},
		{"once, broken answer", once, broken, 1, contract.Ran},
		{"once, no mark", once, unmarked, 1, contract.Ran},
		{"once, unreachable", once, unreachable, 2, 0},
		{"once, refused", once, refused, 2, 0},
		{"once, failure of the server", once, failed, 1, 0},
		{"repeats, lost", repeats, lost, 2, 0},
		{"repeats, broken answer", repeats, broken, 2, 0},
		{"repeats, no mark", repeats, unmarked, 2, 0},
		{"repeats, failure of the server", repeats, failed, 2, 0},
		{"stream, lost", stream, lost, 1, contract.MayHaveRun},
		{"resumable, lost", resumable, lost, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(3, func(n int, _ context.Context, _ *Attempt) (*Answer, error) {
				if n == 0 {
					return tt.first()
				}
				return ok("fine"), nil
			})
			err := f.Serve(t.Context(), request(tt.route), &fakeCaller{})
			if got := len(f.backend.attempts); got != tt.attempts {
				t.Errorf("%d attempts, want %d", got, tt.attempts)
			}
			if tt.verdict == 0 && err != nil {
				t.Errorf("error %v, want an answer", err)
			}
			if tt.verdict != 0 && (err == nil || contract.VerdictOf(err) != tt.verdict) {
				t.Errorf("error %v, want verdict %v", err, tt.verdict)
			}
		})
	}
}

func TestMaxAttemptsBoundsTheServersThatAreSentTo(t *testing.T) {
	f := newFixture(5, func(int, context.Context, *Attempt) (*Answer, error) { return nil, verdictError(contract.MayHaveRun) })
	if err := f.Serve(t.Context(), request(repeats), &fakeCaller{}); contract.VerdictOf(err) != contract.MayHaveRun {
		t.Errorf("error %v, want one that may have run", err)
	}
	if got := len(f.backend.attempts); got != repeats.MaxAttempts {
		t.Errorf("%d attempts, want %d", got, repeats.MaxAttempts)
	}
}

func TestRetryBudgetBoundsRepeats(t *testing.T) {
	const requests, burst = 200, 10
	f := newFixture(3, func(int, context.Context, *Attempt) (*Answer, error) { return nil, verdictError(contract.MayHaveRun) })
	for range requests {
		_ = f.Serve(t.Context(), request(repeats), &fakeCaller{})
	}
	again := len(f.backend.attempts) - requests
	if limit := burst + requests/5; again > limit {
		t.Errorf("%d repeats for %d requests, bound %d", again, requests, limit)
	}
}

// With the budget spent, a server's own failure is passed on as it is.
func TestFailureOfAServerIsPassedOnWithoutABudget(t *testing.T) {
	f := newFixture(3, func(int, context.Context, *Attempt) (*Answer, error) {
		a := ok("failed")
		a.Status = http.StatusInternalServerError
		return a, nil
	})
	f.Budget = retry.NewPoolBudget(0, 0, 10*time.Second)
	c := &fakeCaller{}
	if err := f.Serve(t.Context(), request(repeats), c); err != nil || c.status != http.StatusInternalServerError {
		t.Errorf("status %d, error %v, want the server's 500", c.status, err)
	}
}

func events(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", id)
	}
	return b.String()
}

// A stream that breaks in the middle of an event goes on at another server after
// the last whole one; the caller sees each event once.
func TestResumableStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	f := newFixture(3, func(n int, _ context.Context, a *Attempt) (*Answer, error) {
		if n == 0 {
			return brokenAfter(events(1, 2) + "id: 3\nda"), nil
		}
		if a.LastEventID != "2" {
			return nil, fmt.Errorf("asked to go on after %q", a.LastEventID)
		}
		return ok(events(3, 4)), nil
	})
	c := &fakeCaller{}
	if err := f.Serve(t.Context(), request(resumable), c); err != nil {
		t.Fatal(err)
	}
	if got := c.body.String(); got != events(1, 2, 3, 4) {
		t.Errorf("caller got %q", got)
	}
	if f.usage.n != 1 {
		t.Errorf("counted %d times, want once", f.usage.n)
	}
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	f := newFixture(3, func(int, context.Context, *Attempt) (*Answer, error) { return brokenAfter(events(1)), nil })
	if err := f.Serve(t.Context(), request(stream), &fakeCaller{}); !errors.Is(err, ErrTruncated) {
		t.Errorf("error %v, want ErrBroken", err)
	}
	if len(f.backend.attempts) != 1 {
		t.Errorf("%d attempts of a stream that must not be repeated", len(f.backend.attempts))
	}
}

// The final answer comes at the route's timeout, as a failure that promises nothing.
func TestTimeoutEndsTheRequest(t *testing.T) {
	f := newFixture(3, func(_ int, ctx context.Context, _ *Attempt) (*Answer, error) {
		<-ctx.Done()
		return nil, verdictError(contract.MayHaveRun)
	})
	req := request(once)
	req.Timeout = req.Arrived.Add(100 * time.Millisecond)
	err := f.Serve(t.Context(), req, &fakeCaller{})
	var e *contract.Error
	if !errors.As(err, &e) || e.Kind != contract.KindDeadline || e.Verdict != contract.MayHaveRun {
		t.Errorf("error %v, want a deadline that may have run", err)
	}
	if took := time.Since(req.Arrived); took < 100*time.Millisecond || took > time.Second {
		t.Errorf("answered after %v, want right after 100 ms", took)
	}
}

func TestRefusalsAreTrueAndRefunded(t *testing.T) {
	f := newFixture(0, nil)
	err := f.Serve(t.Context(), request(once), &fakeCaller{})
	var e *contract.Error
	if !errors.As(err, &e) || e.Verdict != contract.NotRun || e.RetryAfter <= 0 {
		t.Errorf("error %v, want a refusal as not run with a time to come back", err)
	}
	if f.quotas.taken != f.quotas.refunded {
		t.Errorf("charged %v, refunded %v", f.quotas.taken, f.quotas.refunded)
	}
}

// After a refusal by one server and an unknown outcome at another, the request
// may have run.
func TestVerdictCoversAllAttempts(t *testing.T) {
	f := newFixture(3, func(n int, _ context.Context, _ *Attempt) (*Answer, error) {
		if n == 0 {
			return nil, verdictError(contract.MayHaveRun)
		}
		return nil, verdictError(contract.NotRun)
	})
	if err := f.Serve(t.Context(), request(repeats), &fakeCaller{}); contract.VerdictOf(err) != contract.MayHaveRun {
		t.Errorf("error %v, want one that may have run", err)
	}
}

func TestLeavingServersAreNotChosen(t *testing.T) {
	f := newFixture(2, func(int, context.Context, *Attempt) (*Answer, error) { return ok("fine"), nil })
	f.Snapshot().Servers["p"][0].Lifecycle = machine.Leaving
	for range 20 {
		if err := f.Serve(t.Context(), request(once), &fakeCaller{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range f.backend.attempts {
		if a.Server.ID == "s0" {
			t.Fatal("a leaving server was sent a request")
		}
	}
}

// A server that goes silent does not keep a request that may run elsewhere.
func TestSilentServerIsLeftForAnother(t *testing.T) {
	for _, route := range []fleet.Route{repeats, resumable} {
		f := newFixture(3, func(n int, ctx context.Context, _ *Attempt) (*Answer, error) {
			if n == 0 {
				<-ctx.Done()
				return nil, verdictError(contract.MayHaveRun)
			}
			return ok(events(1)), nil
		})
		req := request(route)
		if err := f.Serve(t.Context(), req, &fakeCaller{}); err != nil {
			t.Errorf("%s: error %v, want the answer of another server", route.Name, err)
		}
		if took := time.Since(req.Arrived); took > 1500*time.Millisecond {
			t.Errorf("%s: answered after %v of 2 s", route.Name, took)
		}
	}
}

// A server whose entry lapsed while the store was away is a last resort: it may
// have left.
func TestLapsedServersAreALastResort(t *testing.T) {
	f := newFixture(2, func(int, context.Context, *Attempt) (*Answer, error) { return ok("fine"), nil })
	servers := f.Snapshot().Servers["p"]
	servers[0].ExpiryGraceUntil = time.Now().Add(time.Minute)
	for range 20 {
		if err := f.Serve(t.Context(), request(once), &fakeCaller{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range f.backend.attempts {
		if a.Server.ID == "s0" {
			t.Fatal("a lapsed server was sent a request although another was there")
		}
	}
	servers[1].Lifecycle = machine.Leaving
	if err := f.Serve(t.Context(), request(once), &fakeCaller{}); err != nil {
		t.Errorf("error %v with a lapsed server left", err)
	}
}
