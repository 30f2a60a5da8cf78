package serve

import (
	"context"
	"net/http"
	"testing"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/rollout"
	"kumquatyard/internal/store"
)

// rollOut orders version v2 for the pool, of whose servers the later half runs it.
func (f *fixture) rollOut(t *testing.T, share float64) {
	t.Helper()
	servers := f.Snapshot().Servers["p"]
	for _, s := range servers[len(servers)/2:] {
		s.Version = "v2"
	}
	f.Rollouts = rollout.New(rollout.Options{Bounds: rollout.Bounds{Share: share, Slack: 50, Rollback: 5 * time.Second}, Log: f.Log})
	now := time.Now()
	f.Rollouts.Orders("", func(item store.Item) (rollout.Order, error) {
		return rollout.Order{Pool: item.Key, Version: "v2", Duration: 10 * time.Second, Revision: item.Revision}, nil
	}).Change([]store.Item{{Key: "p", Revision: store.Revision{Era: 1, Number: 5}}}, now, time.Time{})
	f.Rollouts.Maintain(f.Snapshot(), 1, now)
	f.Rollouts.Apply(f.Rollouts.Messages(now), now)
}

// wanting returns a script that asks whether the attempt is wanted, as backends do.
func wanting(script func(a *Attempt) (*Answer, error)) func(int, context.Context, *Attempt) (*Answer, error) {
	return func(_ int, _ context.Context, a *Attempt) (*Answer, error) {
		if !a.Wanted() {
			return nil, ErrUnwanted
		}
		return script(a)
	}
}

func failure() *Answer {
	a := ok("failed")
	a.Status = http.StatusInternalServerError
	return a
}

// The new version fails every request: each that it gets is sent again to the old one, within the
// budget, until the version is judged bad. Then it gets none.
func TestBadVersionIsStopped(t *testing.T) {
	const requests = 3000
	newVersion, served := 0, 0
	f := newFixture(20, wanting(func(a *Attempt) (*Answer, error) {
		if a.Server.Version == "v2" {
			newVersion++
			return failure(), nil
		}
		return ok("done"), nil
	}))
	f.rollOut(t, 0.1)
	atStop := 0
	for n := range requests {
		caller := &fakeCaller{}
		if f.Serve(t.Context(), request(idempotent), caller) == nil && caller.status == http.StatusOK {
			served++
		}
		now := time.Now()
		f.Rollouts.Maintain(f.Snapshot(), 1, now)
		f.Rollouts.Apply(f.Rollouts.Messages(now), now)
		if n == requests/2 {
			atStop = newVersion
		}
	}
	t.Logf("%d of %d requests served, %d went to the new version", served, requests, newVersion)
	if newVersion < 3 || newVersion > 25 || newVersion != atStop {
		t.Errorf("the bad version got %d requests, %d of them in the first half; want a few in the first half", newVersion, atStop)
	}
	if served != requests {
		t.Errorf("%d of %d requests were served, want all: what the new version fails is sent to the old one", served, requests)
	}
}

// A good version gets its share and no more, of each kind of request.
func TestGoodVersionGetsItsShare(t *testing.T) {
	const requests = 4000
	for _, route := range []fleet.Route{once, idempotent} {
		newVersion := 0
		f := newFixture(20, wanting(func(a *Attempt) (*Answer, error) {
			if a.Server.Version == "v2" {
				newVersion++
			}
			return ok("done"), nil
		}))
		f.rollOut(t, 0.1)
		for range requests {
			now := time.Now()
			f.Rollouts.Apply(f.Rollouts.Messages(now), now)
			if err := f.Serve(t.Context(), request(route), &fakeCaller{}); err != nil {
				t.Fatal(err)
			}
		}
		if newVersion < requests*3/100 || newVersion > requests*7/100 {
			t.Errorf("%s: the new version got %d of %d requests, want about 5 %%", route.Name, newVersion, requests)
		}
	}
}
