package rollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatyard/internal/store"
)

var errLost = errors.New("the answer was lost")

// fakeStore holds one status. It loses answers, and is restored from older copies.
type fakeStore struct {
	item    store.Item
	history []store.Item
	number  uint64
	era     uint64
	lose    func() bool
	// written holds the values in order.
	written []string
}

func newFakeStore() *fakeStore {
	return &fakeStore{number: 20, era: 1, lose: func() bool { return false }}
}

func (f *fakeStore) Item(context.Context, string) (store.Item, error) {
	if f.lose() {
		return store.Item{}, errLost
	}
	item := f.item
	item.Revision.Era = f.era
	return item, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, p store.Put) (store.Revision, error) {
	if f.lose() {
		return store.Revision{}, errLost
	}
	if p.Expected.Era != f.era {
		return store.Revision{}, store.ErrRestored
	}
	if p.Expected.Number != f.item.Revision.Number {
		return store.Revision{}, store.ErrConflict
	}
	f.number++
	f.history = append(f.history, f.item)
	f.item = store.Item{Key: p.Key, Value: p.Value, Revision: store.Revision{Era: f.era, Number: f.number}}
	f.written = append(f.written, string(p.Value))
	if f.lose() {
		return store.Revision{}, errLost
	}
	return f.item.Revision, nil
}

// restore goes back to the copy before the last write.
func (f *fakeStore) restore() {
	f.era++
	if n := len(f.history); n > 0 {
		f.item, f.history = f.history[n-1], f.history[:n-1]
		f.written = append(f.written, "restored")
	}
}

func decodeTestStatus(item store.Item) (Status, error) {
	state, version, _ := strings.Cut(string(item.Value), " ")
	for _, s := range []State{InProgress, Completed, Reverted} {
		if s.String() == state {
			return Status{State: s, Version: version, Revision: item.Revision}, nil
		}
	}
	return Status{}, errors.New("unknown state")
}

func runnerOf(t *Tracker, f *fakeStore) *Runner {
	return &Runner{
		Tracker: t, Store: f, Key: func(string) string { return "status" }, Log: quiet(), retryAt: make(map[string]time.Time),
		Encode: func(s Status) ([]byte, error) { return []byte(s.State.String() + " " + s.Version), nil }, Decode: decodeTestStatus,
	}
}

func TestDecide(t *testing.T) {
	ready := Input{Written: InProgress, Age: 9 * time.Second, Duration: 12 * time.Second, Answers: 100, NewServers: 10, OldServers: 10, OldKnown: 10, Fresh: true}
	tests := []struct {
		name string
		set  func(*Input)
		want Step
	}{
		{"first", func(in *Input) { in.Written, in.Age = None, 0 }, WriteInProgress},
		{"early", func(in *Input) { in.Age = 5 * time.Second }, Wait},
		{"ready", func(*Input) {}, SwitchOver},
		{"few answers", func(in *Input) { in.Answers = 3 }, Wait},
		{"few new servers", func(in *Input) { in.NewServers = 3 }, Wait},
		{"counts unknown", func(in *Input) { in.Fresh = false }, Wait},
		{"nobody runs the version until the deadline", func(in *Input) { in.NewServers, in.Age = 0, 12*time.Second }, WriteReverted},
		{"stopped", func(in *Input) { in.Phase, in.Age = Stopped, 2*time.Second }, WriteReverted},
		{"stopped, in progress not written", func(in *Input) { in.Phase, in.Written = Stopped, None }, WriteReverted},
		{"switching", func(in *Input) { in.Phase, in.SwitchedFor = Switching, time.Second }, Wait},
		{"switched", func(in *Input) { in.Phase, in.SwitchedFor = Switching, 3*time.Second }, WriteCompleted},
		{"switched, counts unknown", func(in *Input) { in.Phase, in.SwitchedFor, in.Fresh = Switching, 3*time.Second, false }, Wait},
		{"switched, past the deadline", func(in *Input) {
			in.Phase, in.SwitchedFor, in.Fresh, in.Age = Switching, 3*time.Second, false, 13*time.Second
		}, WriteCompleted},
		{"completed", func(in *Input) { in.Written, in.Phase = Completed, Stopped }, Wait},
		{"reverted", func(in *Input) { in.Written, in.Phase = Reverted, Switching }, Wait},
		{"the store has lost that it is completed", func(in *Input) { in.Phase = Finished }, WriteCompleted},
		{"the store has lost that it is reverted", func(in *Input) { in.Phase, in.Written = Stopped, None }, WriteReverted},
	}
	for _, tt := range tests {
		in := ready
		tt.set(&in)
		if got := Decide(in); got != tt.want {
			t.Errorf("%s: step %d, want %d", tt.name, got, tt.want)
		}
	}
}

// Whatever the duration, the switch begins after the order and ends before the deadline.
func TestTimesOfTheSwitch(t *testing.T) {
	for _, d := range []time.Duration{time.Second, 5 * time.Second, 12 * time.Second, 30 * time.Second, time.Hour} {
		in := Input{Duration: d}
		lasts, begins := in.times()
		t.Logf("%v: begins at %v, lasts %v", d, begins, lasts)
		if lasts <= 0 || begins <= 0 || begins+lasts >= d {
			t.Errorf("duration %v: the switch begins at %v and lasts %v", d, begins, lasts)
		}
	}
}

// rollOut plays holders that take turns over a store that loses answers and is restored, and returns
// what the store was given.
func rollOut(isBad bool, restores bool, random *rand.Rand) (f *fakeStore, holders []*Tracker) {
	now := time.Unix(1000, 0)
	snapshot := snapshotOf(10, 10)
	f = newFakeStore()
	loss := random.Float64() * 0.6
	f.lose = func() bool { return random.Float64() < loss }
	holders = []*Tracker{trackerAt(snapshot, 2, now), trackerAt(snapshot, 2, now)}
	runners := []*Runner{runnerOf(holders[0], f), runnerOf(holders[1], f)}
	for step := range 110 {
		now = now.Add(100 * time.Millisecond)
		if step == 85 {
			loss = 0
		}
		// One holder after the other, at times both at once.
		for i, r := range runners {
			if random.IntN(3) == 0 || (step/20)%2 == i {
				if random.IntN(4) == 0 { // the watch delivers the status
					if s, err := decodeTestStatus(f.item); err == nil {
						holders[i].setStatus("p", s, now)
					}
				}
				r.step(context.Background(), holders[i].rolls["p"], now)
			}
		}
		if restores && step < 85 && random.IntN(30) == 0 {
			f.restore()
			for _, h := range holders {
				o := testOrder
				o.Revision.Era = f.era
				h.setOrder(o, now)
				s, _ := decodeTestStatus(f.item)
				s.Revision.Era = f.era
				h.setStatus("p", s, now)
			}
		}
		for i, h := range holders {
			cells := []Cell{
				{cellKey: cellKey{1, false, 0}, Total: Counts{Answers: 100 * step}},
				{cellKey: cellKey{1, true, 1}, Total: Counts{Answers: 5 * step}},
				{cellKey: cellKey{1, true, 2}, Total: Counts{Answers: 5 * step}},
			}
			if isBad && step > 20 {
				cells[1].Total.Failed, cells[2].Total.Failed = step-20, step-20
			}
			m := holders[1-i].Messages(now)
			if len(m) > 0 && random.IntN(3) > 0 {
				m[0].Order, m[0].Cells = h.rolls["p"].order.key(), encodeCells(cells)
				h.Apply(m, now)
			}
		}
		for _, h := range holders {
			h.Maintain(snapshot, 2, now)
		}
	}
	return f, holders
}

// Two holders at once, lost answers and restored stores: the status ends as it should, and a final one
// is never followed by another one for the order.
func TestHoldersAgreeOnTheStatus(t *testing.T) {
	for _, isBad := range []bool{false, true} {
		for _, restores := range []bool{false, true} {
			t.Run(fmt.Sprintf("bad %t, restores %t", isBad, restores), func(t *testing.T) {
				rapid.Check(t, func(rt *rapid.T) {
					f, _ := rollOut(isBad, restores, rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)))
					want := "completed v2"
					if isBad {
						want = "reverted v2"
					}
					if got := string(f.item.Value); got != want {
						rt.Fatalf("status %q, want %q; written: %v", got, want, f.written)
					}
					final := ""
					for _, w := range f.written {
						if strings.HasPrefix(w, "in_progress") || w == "restored" {
							if final != "" && w != "restored" && !restores {
								rt.Fatalf("%q after the final status; written: %v", w, f.written)
							}
							continue
						}
						if final != "" && w != final {
							rt.Fatalf("two final statuses; written: %v", f.written)
						}
						final = w
					}
				})
			})
		}
	}
}

// A final status that another holder has written stays, also if this one has judged otherwise.
func TestFinalStatusIsNotContradicted(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFakeStore()
	tracker := trackerAt(snapshotOf(10, 10), 2, now)
	runner := runnerOf(tracker, f)
	f.item = store.Item{Value: []byte("completed v2"), Revision: store.Revision{Era: 1, Number: 15}}
	roll := tracker.rolls["p"]
	roll.advance(Stopped, "test", now)
	runner.step(context.Background(), roll, now)
	if got := string(f.item.Value); got != "completed v2" {
		t.Errorf("the status was replaced by %q", got)
	}
	if roll.phase != Finished {
		t.Errorf("phase %v, want finished: the old servers were stopped", roll.phase)
	}
}

// Orders that come twice, again, changed, and from a restored store.
func TestOrders(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(o Order, era, number uint64) Order {
		o.Revision = store.Revision{Era: era, Number: number}
		return o
	}
	completed := func(era, number uint64) Status {
		return Status{State: Completed, Version: "v2", Revision: store.Revision{Era: era, Number: number}}
	}
	tests := []struct {
		name string
		play func(*Tracker)
		// isNew is set if the roll-out begins anew, and final its final state.
		isNew bool
		final State
	}{
		{"twice while in progress", func(t *Tracker) { t.setOrder(at(testOrder, 1, 12), now) }, false, None},
		{"ended", func(t *Tracker) { t.setStatus("p", completed(1, 12), now) }, false, Completed},
		{"again after the end", func(t *Tracker) {
			t.setStatus("p", completed(1, 12), now)
			t.setOrder(at(testOrder, 1, 14), now)
		}, true, None},
		{"another version", func(t *Tracker) {
			o := at(testOrder, 1, 12)
			o.Version = "v3"
			t.setOrder(o, now)
		}, true, None},
		{"ended, and the store restored with the status", func(t *Tracker) {
			t.setStatus("p", completed(1, 12), now)
			t.setOrder(at(testOrder, 2, 10), now)
			t.setStatus("p", completed(2, 12), now)
		}, false, Completed},
		{"ended, and the store restored without the status", func(t *Tracker) {
			t.setStatus("p", completed(1, 12), now)
			t.setOrder(at(testOrder, 2, 10), now)
			t.setStatus("p", Status{}, now)
		}, false, Completed},
		{"the status of an earlier order", func(t *Tracker) { t.setStatus("p", completed(1, 7), now) }, false, None},
		{"the status of another version", func(t *Tracker) {
			s := completed(1, 12)
			s.Version = "v1"
			t.setStatus("p", s, now)
		}, false, None},
	}
	for _, tt := range tests {
		tracker := trackerAt(snapshotOf(3, 3), 1, now)
		before := tracker.rolls["p"]
		tt.play(tracker)
		after := tracker.rolls["p"]
		if (after != before) != tt.isNew || after.final != tt.final {
			t.Errorf("%s: new %t, final %v; want %t, %v", tt.name, after != before, after.final, tt.isNew, tt.final)
		}
	}
}
