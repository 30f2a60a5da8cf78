package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/handover"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/reach"
)

// helpedBackend is a backend whose servers this instance does not reach, beside other instances
// that answer by a script.
type helpedBackend struct {
	fakeBackend
	offers   []string
	attempts []int
	help     func(helper handover.Helper, req *Request) (*Answer, error)
}

func (b *helpedBackend) HandOver(_ context.Context, helper handover.Helper, req *Request, attempts int) (*Answer, error) {
	b.offers = append(b.offers, helper.Name)
	b.attempts = append(b.attempts, attempts)
	return b.help(helper, req)
}

func declined() error {
	return &contract.Error{Kind: contract.KindUnavailable, Verdict: contract.NotRun, Message: "declined", Err: ErrDeclined}
}

func newHelpedFixture(help func(handover.Helper, *Request) (*Answer, error)) (*fixture, *helpedBackend) {
	b := &helpedBackend{help: help}
	b.script = func(int, context.Context, *Attempt) (*Answer, error) { return nil, verdictError(contract.NotRun) }
	f := newFixture(5, nil)
	f.Backend = b
	f.OtherInstances = func() []handover.Helper {
		return []handover.Helper{{Name: "far", Zone: "y"}, {Name: "near", Zone: "z"}, {Name: "near2", Zone: "z"}}
	}
	return f, b
}

// While this instance reaches no server, a request goes to another instance at once, to one of
// its zone first, after which it leaves the zone, and is not sent to a server (issue 30, RECOVER).
func TestRequestIsHandedOverWhilePathsAreLost(t *testing.T) {
	f, b := newHelpedFixture(func(helper handover.Helper, _ *Request) (*Answer, error) {
		if helper.Name != "far" {
			return nil, declined()
		}
		return ok("answer"), nil
	})
	f.paths.Judge("p", false, time.Now())
	caller := &fakeCaller{}
	if err := f.Serve(t.Context(), request(once), caller); err != nil || caller.body.String() != "answer" {
		t.Fatalf("answer %q, error %v, want that of the other instance", caller.body.String(), err)
	}
	if len(b.fakeBackend.attempts) != 0 || len(b.offers) != 2 || b.offers[1] != "far" {
		t.Errorf("%d attempts, offers to %v, want none, and the other zone second", len(b.fakeBackend.attempts), b.offers)
	}
	if f.quotas.taken != 1 || f.quotas.refunded != 0 || f.usage.n != 0 {
		t.Errorf("%v charged, %v refunded, %d starts counted; want one charge, and the start counted by the other instance", f.quotas.taken, f.quotas.refunded, f.usage.n)
	}
	b.offers = nil
	for _, near := range f.OtherInstances()[1:] {
		f.Helpers.Declined(near, "p", time.Now())
	}
	if err := f.Serve(t.Context(), request(once), &fakeCaller{}); err != nil || !slices.Equal(b.offers, []string{"far"}) {
		t.Errorf("error %v, offers to %v, want none to those that have just declined", err, b.offers)
	}
}

// A request that no instance can serve is refused at once, as not run, and is not charged.
func TestRequestThatNobodyServesIsRefusedAtOnce(t *testing.T) {
	f, _ := newHelpedFixture(func(handover.Helper, *Request) (*Answer, error) { return nil, declined() })
	f.paths.Judge("p", false, time.Now())
	err := f.Serve(t.Context(), request(once), &fakeCaller{})
	if contract.VerdictOf(err) != contract.NotRun || f.quotas.refunded != f.quotas.taken {
		t.Errorf("error %v, %v of %v refunded; want a refusal as not run without a charge", err, f.quotas.refunded, f.quotas.taken)
	}
}

// The other instance is lost after the request was handed over: it may have run, so that one
// that is not idempotent is not handed over again.
func TestRequestThatMayHaveRunIsNotHandedOverAgain(t *testing.T) {
	f, b := newHelpedFixture(func(handover.Helper, *Request) (*Answer, error) { return nil, verdictError(contract.MayHaveRun) })
	f.paths.Judge("p", false, time.Now())
	err := f.Serve(t.Context(), request(once), &fakeCaller{})
	if contract.VerdictOf(err) != contract.MayHaveRun || len(b.offers) != 1 {
		t.Errorf("error %v after %d offers, want one offer, and that the request may have run", err, len(b.offers))
	}
}

// A request that another instance has handed over is charged there, and handed to nobody else.
func TestRequestIsHandedOverOnce(t *testing.T) {
	f, b := newHelpedFixture(nil)
	f.paths.Judge("p", false, time.Now())
	req := request(once)
	req.HandedOver = true
	err := f.Serve(t.Context(), req, &fakeCaller{})
	if !errors.Is(err, ErrDeclined) || contract.VerdictOf(err) != contract.NotRun || len(b.offers) != 0 || f.quotas.taken != 0 {
		t.Errorf("error %v, %d offers, %v charged; want it declined without any", err, len(b.offers), f.quotas.taken)
	}
}

// Servers could not be reached though the paths are not known to be lost yet: the third try is
// another instance.
func TestRequestIsHandedOverAfterUnreachedServers(t *testing.T) {
	f, b := newHelpedFixture(func(handover.Helper, *Request) (*Answer, error) { return ok("answer"), nil })
	if err := f.Serve(t.Context(), request(once), &fakeCaller{}); err != nil {
		t.Fatal(err)
	}
	if len(b.fakeBackend.attempts) != unreachedServers || len(b.offers) != 1 {
		t.Errorf("%d attempts and %d offers, want %d and one", len(b.fakeBackend.attempts), len(b.offers), unreachedServers)
	}
}

// A pool whose servers this instance does not reach, one by one: its requests are handed over,
// with as many attempts as are left.
func TestRequestToUnreachedPoolIsHandedOver(t *testing.T) {
	f, b := newHelpedFixture(func(handover.Helper, *Request) (*Answer, error) { return ok("answer"), nil })
	for _, s := range f.Snapshot().Servers["p"] {
		f.paths.Failed(pathTo(s), reach.Silent, time.Now())
	}
	if err := f.Serve(t.Context(), request(idempotent), &fakeCaller{}); err != nil {
		t.Fatal(err)
	}
	if len(b.fakeBackend.attempts) != 0 || !slices.Equal(b.attempts, []int{2}) {
		t.Errorf("%d attempts, handed over with %v left, want none and 2", len(b.fakeBackend.attempts), b.attempts)
	}
}

// A request that waits at a server when the paths are lost goes to another instance if it may
// be repeated.
func TestWaitingRequestIsHandedOverWhenPathsAreLost(t *testing.T) {
	f, b := newHelpedFixture(func(handover.Helper, *Request) (*Answer, error) { return ok("answer"), nil })
	b.script = func(_ int, ctx context.Context, _ *Attempt) (*Answer, error) {
		f.paths.Judge("p", false, time.Now())
		<-ctx.Done()
		return nil, contract.Unavailable(contract.MayHaveRun, "no answer", context.Cause(ctx))
	}
	caller := &fakeCaller{}
	if err := f.Serve(t.Context(), request(idempotent), caller); err != nil || caller.body.String() != "answer" {
		t.Errorf("answer %q, error %v, want that of the other instance", caller.body.String(), err)
	}
	if !slices.Equal(b.attempts, []int{1}) {
		t.Errorf("handed over with %v attempts left, want 1", b.attempts)
	}
}

// A server that this instance does not reach is not chosen while it reaches others.
func TestUnreachedServerIsNotChosen(t *testing.T) {
	f := newFixture(5, func(int, context.Context, *Attempt) (*Answer, error) { return ok("answer"), nil })
	var reached machine.ID
	for n, s := range f.Snapshot().Servers["p"] {
		if n == 0 {
			reached = s.ID
			continue
		}
		f.paths.Failed(pathTo(s), reach.Silent, time.Now())
	}
	for range 20 {
		if err := f.Serve(t.Context(), request(once), &fakeCaller{}); err != nil {
			t.Fatal(err)
		}
	}
	if slices.ContainsFunc(f.backend.attempts, func(a Attempt) bool { return a.Server.ID != reached }) {
		t.Error("a server that is not reached was chosen")
	}
}

func lost(v contract.Verdict) error {
	return &contract.Error{Kind: contract.KindUnavailable, Verdict: v, Message: "silent", Err: ErrHelperLost}
}

// Guards against requests that end with one silent instance (issue 36, RECOVER): an instance that is
// silent before it has accepted a request costs the others nothing, and one that is lost afterwards
// only the requests that must not be repeated.
func TestRequestGoesOnWhenAHelperIsLost(t *testing.T) {
	for name, tt := range map[string]struct {
		verdict    contract.Verdict
		route      fleet.Route
		wantOffers int
	}{
		"before it accepted":                     {contract.NotRun, once, 3},
		"after it accepted":                      {contract.MayHaveRun, once, 1},
		"before it accepted, may be repeated":    {contract.NotRun, idempotent, 3},
		"after it accepted, two attempts at all": {contract.MayHaveRun, idempotent, 2},
	} {
		t.Run(name, func(t *testing.T) {
			offers := 0
			f, b := newHelpedFixture(func(handover.Helper, *Request) (*Answer, error) {
				if offers++; offers < 3 {
					return nil, lost(tt.verdict)
				}
				return ok("answer"), nil
			})
			f.paths.Judge("p", false, time.Now())
			err := f.Serve(t.Context(), request(tt.route), &fakeCaller{})
			if len(b.offers) != tt.wantOffers || (err == nil) != (tt.wantOffers == 3) {
				t.Errorf("%d offers, error %v, want %d offers", len(b.offers), err, tt.wantOffers)
			}
			if err != nil && contract.VerdictOf(err) != contract.MayHaveRun {
				t.Errorf("verdict %v, want that it may have run", contract.VerdictOf(err))
			}
			if len(b.fakeBackend.attempts) != 0 {
				t.Errorf("%d attempts at servers of its own, want none", len(b.fakeBackend.attempts))
			}
		})
	}
}

// overdue is a context whose deadline has passed, and whose timer has not run yet.
type overdue struct{ context.Context }

// Deadline implements context.Context.
func (overdue) Deadline() (time.Time, bool) { return time.Now().Add(-time.Microsecond), true }

// Guards against requests whose time is over and that are held against all others (issue 36, RECOVER): a
// connection is given up at the deadline, before the context says that it has passed.
func TestRequestWhoseTimeIsOverBlamesNobody(t *testing.T) {
	f, b := newHelpedFixture(func(handover.Helper, *Request) (*Answer, error) { return nil, lost(contract.NotRun) })
	f.paths.Judge("p", false, time.Now())
	r := &run{server: f.Server, ctx: overdue{t.Context()}, req: request(idempotent), caller: &fakeCaller{}, pool: "p"}
	if handled, err := r.handOver(); handled {
		t.Errorf("handled, error %v", err)
	}
	if len(b.offers) > 1 {
		t.Errorf("a request whose time is over was offered to %d instances", len(b.offers))
	}
	if h, ok := f.Helpers.Search(f.OtherInstances(), "p", rand.New(rand.NewPCG(1, 1))).Next(time.Now()); !ok {
		t.Errorf("helper %v, found %v: instances are left out since the time of a request was over", h, ok)
	}
	server := f.Snapshot().Servers["p"][0]
	f.paths.Judge("p", true, time.Now())
	_ = r.recordUnanswered(server, verdictError(contract.NotRun))
	if f.paths.IsDown(pathTo(server)) {
		t.Error("the path to a server is taken for down since the time of a request was over")
	}
}
