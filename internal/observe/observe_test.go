package observe

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

var start = time.Unix(1_800_000_000, 0)

func drawState(t *rapid.T, at time.Time) machine.State {
	s := machine.State{
		ID:          machine.ID(rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "id")),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Lifecycle:   machine.Lifecycle(rapid.IntRange(1, 4).Draw(t, "lifecycle")),
		Unreachable: rapid.Bool().Draw(t, "unreachable"),
		Load: machine.Load{
			At:       at,
			Running:  rapid.IntRange(0, 40).Draw(t, "running"),
			Slots:    rapid.IntRange(1, 32).Draw(t, "slots"),
			Adapters: rapid.SampledFrom([][]string{nil, {"base"}, {"base", "pt"}}).Draw(t, "adapters"),
		},
	}
	if s.Lifecycle >= machine.Leaving && rapid.Bool().Draw(t, "reclaimed") {
		s.ReclaimAt = start.Add(time.Minute)
	}
	return s
}

// network delivers digests to one receiver with loss, duplication and reordering.
type network struct {
	inFlight []*pb.Digest
	store    *Store
	now      time.Time
}

func (n *network) send(d *pb.Digest) {
	n.inFlight = append(n.inFlight, proto.Clone(d).(*pb.Digest))
}

// step delivers or loses one digest in flight, and may keep it in flight as a
// duplicate. On a gap it sends a full digest, which may be lost as well.
func (n *network) step(t *rapid.T, publisher *Publisher) {
	if len(n.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.inFlight)-1).Draw(t, "which")
	d := n.inFlight[i]
	if rapid.Bool().Draw(t, "once") {
		n.inFlight = slices.Delete(n.inFlight, i, i+1)
	}
	if rapid.Float64().Draw(t, "loss") < 0.3 {
		return
	}
	if errors.Is(n.store.Apply(d, n.now), ErrGap) {
		n.send(publisher.Full(n.now))
	}
}

// key holds the fields that must be equal at the observer and its receivers.
type key struct {
	ID          machine.ID
	Incarnation uint64
	Lifecycle   machine.Lifecycle
	ReclaimAt   time.Time
	Unreachable bool
	Load        machine.Load
}

func keyOf(s machine.State) key {
	s.Load.At = time.Time{}
	return key{s.ID, s.Incarnation, s.Lifecycle, s.ReclaimAt.UTC(), s.Unreachable, s.Load}
}

func TestReplicasConvergeAndNeverMoveBackwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		publisher := NewPublisher("o", 1)
		net := &network{store: NewStore(), now: start}
		base, restarts := uint64(0), 0
		seen := map[machine.ID]machine.State{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			net.now = net.now.Add(time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 4: // The observer restarts without state.
				restarts++
				publisher, base = NewPublisher("o", uint64(1+restarts)), 0
			case 0, 1:
				publisher.Observe(drawState(t, net.now))
			case 2:
				net.send(publisher.Delta(base, 8, net.now))
				base = publisher.Version()
			default:
				net.step(t, publisher)
			}
			requireForward(t, seen, net.store.States())
		}
		net.now = net.now.Add(time.Second)
		if err := net.store.Apply(publisher.Delta(base, 8, net.now), net.now); errors.Is(err, ErrGap) {
			if err := net.store.Apply(publisher.Full(net.now), net.now); err != nil {
				t.Fatalf("full digest: %v", err)
			}
		}
		requireForward(t, seen, net.store.States())
		if restarts > 0 {
			return // The receiver may know more than the observer.
		}
		for _, id := range publisher.Observed() {
			want, _ := publisher.State(id)
			got, _ := net.store.State(id)
			if diff := cmp.Diff(keyOf(want), keyOf(got)); diff != "" {
				t.Fatalf("replica differs (-observer +receiver):\n%s", diff)
			}
		}
	})
}

// requireForward fails if a server's incarnation or lifecycle moved backwards.
func requireForward(t *rapid.T, seen map[machine.ID]machine.State, states []machine.State) {
	for _, s := range states {
		old := seen[s.ID]
		if s.Incarnation < old.Incarnation || (s.Incarnation == old.Incarnation && s.Lifecycle < old.Lifecycle) {
			t.Fatalf("%s moved from %d/%v to %d/%v", s.ID, old.Incarnation, old.Lifecycle, s.Incarnation, s.Lifecycle)
		}
		seen[s.ID] = s
	}
}

// TestObserversMergeInAnyOrder applies the digests of several observers in
// different orders. The resulting states must be equal.
func TestObserversMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var digests []*pb.Digest
		for i := range 3 {
			publisher := NewPublisher(fmt.Sprintf("o%d", i), 1)
			for j := range rapid.IntRange(1, 4).Draw(t, "states") {
				publisher.Observe(drawState(t, start.Add(time.Duration(10*j+i)*time.Second)))
			}
			digests = append(digests, publisher.Full(start.Add(time.Hour)))
		}
		one, two := NewStore(), NewStore()
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
			_ = one.Apply(digests[i], start.Add(time.Hour))
		}
		for _, d := range digests {
			_ = two.Apply(d, start.Add(time.Hour))
		}
		for _, want := range one.States() {
			got, _ := two.State(want.ID)
			if diff := cmp.Diff(keyOf(want), keyOf(got)); diff != "" {
				t.Fatalf("state of %s depends on the order of digests:\n%s", want.ID, diff)
			}
		}
	})
}

func TestDeltaOmitsUnchangedFields(t *testing.T) {
	state := machine.State{ID: "s", Incarnation: 9, Lifecycle: machine.Serving, Load: machine.Load{
		At: start, Running: 3, Slots: 8, Adapters: []string{"base"},
	}}
	publisher := NewPublisher("o", 1)
	if !publisher.Observe(state) {
		t.Error("the first observation of a server is not urgent")
	}
	base := publisher.Version()
	state.Load.Running, state.Load.At = 4, start.Add(time.Second)
	if publisher.Observe(state); publisher.Version() != base {
		t.Error("a load change within the tolerance increased the version")
	}
	state.Load.Running, state.Load.At = 8, start.Add(2*time.Second)
	if publisher.Observe(state) {
		t.Error("a load change is urgent")
	}
	d := publisher.Delta(base, 0, start.Add(2*time.Second))
	if got := d.GetServers(); len(got) != 1 || got[0].GetRunning() != 8 || len(got[0].GetAdapters()) != 0 {
		t.Errorf("delta = %v, want running 8 without adapters", got)
	}
	state.Lifecycle = machine.Leaving
	if !publisher.Observe(state) {
		t.Error("a leaving server is not urgent")
	}
}

func TestDigestConfirmsUnchangedStates(t *testing.T) {
	publisher, store := NewPublisher("o", 1), NewStore()
	publisher.Observe(machine.State{ID: "s", Incarnation: 1, Lifecycle: machine.Serving, Load: machine.Load{At: start, Slots: 1}})
	_ = store.Apply(publisher.Full(start), start)
	base, later := publisher.Version(), start.Add(2*time.Second)
	_ = store.Apply(publisher.Delta(base, 0, later), later)
	if s, _ := store.State("s"); !s.Load.At.Equal(later) {
		t.Errorf("observation time of the confirmed load = %v, want %v", s.Load.At, later)
	}
}

func TestCacheEventsAreBounded(t *testing.T) {
	publisher, store := NewPublisher("o", 1), NewStore()
	publisher.Observe(machine.State{ID: "s", Incarnation: 1, Lifecycle: machine.Serving, Load: machine.Load{At: start, Slots: 1}})
	publisher.ObserveCache("s", make([]uint64, 10), make([]uint64, 10), false)
	d := publisher.Delta(0, 8, start)
	s := d.GetServers()[0]
	if n := len(s.GetCacheAdded()) + len(s.GetCacheRemoved()); n != 8 || !s.GetCacheGap() {
		t.Errorf("%d hashes with gap %v, want 8 with gap true", n, s.GetCacheGap())
	}
	base := publisher.Version()
	publisher.ObserveCache("s", []uint64{7}, nil, false)
	missed := publisher.Delta(base, 8, start)
	if err := store.Apply(d, start); err != nil {
		t.Fatal(err)
	}
	if err := store.Apply(publisher.Delta(missed.GetVersion(), 8, start), start); !errors.Is(err, ErrGap) {
		t.Errorf("digest after a missed one with cache events: %v, want ErrGap", err)
	}
}
