package configstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"kumquatyard/internal/config"
	"kumquatyard/internal/platform"
	pb "kumquatyard/proto/kumquat/v1"
)

func override(id, name, body string, head config.Head) config.Change {
	return config.Change{
		ID: id, BaseVersion: head.Version, BaseHashes: map[string]config.Hash{name: head.Documents[name]},
		Puts: map[string][]byte{name: []byte(body)},
	}
}

func mustApply(t testing.TB, kv KV, id, name, body string) {
	t.Helper()
	w := NewWriter(kv)
	head, _, err := w.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if result, err := w.Apply(t.Context(), override(id, name, body, head)); err != nil || result.Outcome != Accepted {
		t.Fatalf("%s: %+v, %v", id, result, err)
	}
}

func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(inForce)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, inForce)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSilentWatchIsReplaced lets all connections of a node without peers go
// silent, with the intervals that the product uses.
func TestSilentWatchIsReplaced(t *testing.T) {
	t.Parallel()
	s := newStandinKV(t, 1)
	mustApply(t, s.open(), "first", "overrides/a", "drain: true\n")
	for i := range 2 * parallelReads {
		// The node reads these side by side, each over a connection of its own.
		mustApply(t, s.open(), fmt.Sprint("other", i), fmt.Sprint("overrides/b", i), "drain: true\n")
	}
	s.inject(faults{latency: 10 * time.Millisecond})
	counter := &watchCounter{current: map[string]int{}, max: map[string]int{}}
	const clientTimeout = 5 * time.Second
	kv := &processKV{platform.NewKVClient(s.address, clientTimeout), "z0", &gate{}, counter}
	k := NewReplica(Options{KV: kv, Log: quietLog()})
	k.SetWatcher(true)
	ctx, stop := context.WithCancel(t.Context())
	var running conc.WaitGroup
	running.Go(func() { _ = k.Run(ctx) })
	defer running.Wait()
	defer stop()
	await(t, "a watch", func() bool { return counter.held("z0") > 0 })
	s.inject(faults{silent: true})
	mustApply(t, s.open(), "second", "overrides/a", "note: second\n")
	await(t, "second", func() bool { return k.Version() == 2+2*parallelReads })
}

// TestOutageJustAfterAcceptance fails the store before any watch has answered:
// the operator hands the version over, and the nodes pull it from one another.
func TestOutageJustAfterAcceptance(t *testing.T) {
	t.Parallel()
	s := newFakeKV(1)
	r := newFleetRun(s)
	mustApply(t, s.open(), "first", "overrides/a", "drain: true\n")
	ctx, stop := context.WithCancel(t.Context())
	var fleet conc.WaitGroup
	defer fleet.Wait()
	defer stop()
	for _, n := range r.nodes {
		fleet.Go(func() { _ = n.keeper.Run(ctx) })
	}
	fleet.Go(func() { r.heartbeat(ctx, 1) })
	r.final = 1
	r.awaitAll(t)
	faulty := &faultAtHead{KV: s.open(), before: func() { s.inject(faults{silent: true}) }}
	w := NewWriter(&afterHead{faulty, func() { s.inject(faults{down: true}) }})
	result, err := w.Apply(ctx, override("second", "overrides/b", "drain: true\n", config.Head{}))
	if err != nil || result.Outcome != Accepted {
		t.Fatalf("%+v, %v", result, err)
	}
	handOver := &pb.Request{Body: &pb.Request_View{View: &pb.View{Config: result.Bundle}}}
	if _, err := r.nodes[5].keeper.Handle(ctx, "ctl", handOver); err != nil {
		t.Fatal(err)
	}
	r.final = 2
	r.awaitAll(t)
}

// afterHead calls then as soon as the head was swapped.
type afterHead struct {
	KV
	then func()
}

func (k *afterHead) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	newIndex, swapped, err := k.KV.CompareAndSwap(ctx, key, value, index)
	if key == headKey {
		k.then()
	}
	return newIndex, swapped, err
}

func TestPeerSendsOnlyWhatChanged(t *testing.T) {
	kv := newFakeKV(1).open()
	mustApply(t, kv, "1", "overrides/a", "drain: true\n")
	mustApply(t, kv, "2", "overrides/b", "drain: true\n")
	k := NewReplica(Options{KV: kv, Log: quietLog()})
	if err := k.readKV(t.Context()); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		pull *pb.ConfigPull
		want int
	}{
		{"from nothing", &pb.ConfigPull{}, 2},
		{"one version behind", &pb.ConfigPull{HaveVersion: 1}, 1},
		{"up to date", &pb.ConfigPull{HaveVersion: 2}, 0},
		{"known by hash", &pb.ConfigPull{HaveHashes: []string{string(config.HashOf([]byte("drain: true\n")))}}, 0},
	}
	for _, tt := range tests {
		if got := k.current.Load().since(tt.pull).GetDocuments(); len(got) != tt.want {
			t.Errorf("%s: %d documents, want %d", tt.name, len(got), tt.want)
		}
	}
}

// TestKeeperRefusesWhatItCannotTrust offers damaged, older and invalid bundles.
func TestKeeperRefusesWhatItCannotTrust(t *testing.T) {
	kv := newFakeKV(1).open()
	mustApply(t, kv, "1", "overrides/a", "drain: true\n")
	mustApply(t, kv, "2", "overrides/a", "drain: false\n")
	k := NewReplica(Options{KV: kv, Log: quietLog()})
	if err := k.readKV(t.Context()); err != nil {
		t.Fatal(err)
	}
	offer := func(version uint64, named, sent string) error {
		head := config.Head{Version: version, Documents: map[string]config.Hash{"overrides/a": config.HashOf([]byte(named))}}
		data, err := head.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		return k.adopt(t.Context(), data, "peer", func(_ context.Context, _ config.Head, bodies map[config.Hash][]byte) error {
			bodies[config.HashOf([]byte(named))] = []byte(sent)
			return nil
		})
	}
	if err := offer(3, "drain: true\n", "drain: false\n"); err == nil {
		t.Error("a body that does not have its hash was taken")
	}
	if err := offer(1, "drain: true\n", "drain: true\n"); err != nil || k.current.Load().head.Version != 2 {
		t.Errorf("older version: %v, holds %d", err, k.current.Load().head.Version)
	}
	rejected := rejectedTotal.Get()
	if err := offer(4, "draim: true\n", "draim: true\n"); err != nil || rejectedTotal.Get() != rejected+1 {
		t.Errorf("invalid document: %v, counted %d", err, rejectedTotal.Get()-rejected)
	}
	if err := offer(5, "note: fine\n", "note: fine\n"); err != nil || k.current.Load().head.Version != 5 {
		t.Errorf("the version after an invalid one: %v, holds %d", err, k.current.Load().head.Version)
	}
}

func TestRepeatedChange(t *testing.T) {
	kv := newFakeKV(1).open()
	mustApply(t, kv, "1", "overrides/a", "drain: true\n")
	mustApply(t, kv, "2", "overrides/a", "drain: false\n")
	again, err := NewWriter(kv).Apply(t.Context(), override("1", "overrides/a", "drain: true\n", config.Head{}))
	if err != nil || again.Outcome != Accepted || again.Version != 1 {
		t.Errorf("same change: %+v, %v", again, err)
	}
	other, err := NewWriter(kv).Apply(t.Context(), override("1", "overrides/a", "note: other\n", config.Head{}))
	if err != nil || other.Outcome != Refused {
		t.Errorf("another change with its id: %+v, %v", other, err)
	}
}

// collectingKV runs a Collector between a Writer's blobs and its head.
type collectingKV struct {
	KV
	collect func()
}

func (k *collectingKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	if collect := k.collect; key == headKey && collect != nil {
		k.collect = nil
		collect()
	}
	return k.KV.CompareAndSwap(ctx, key, value, index)
}

// TestCollectorKeepsWhatAWriterIsAboutToName deletes blobs between the writing
// of a blob and of the head that names it.
func TestCollectorKeepsWhatAWriterIsAboutToName(t *testing.T) {
	kv := newFakeKV(1).open()
	mustApply(t, kv, "1", "overrides/a", "drain: true\n")
	collector, now, deleted := NewCollector(kv), time.Unix(0, 0).Add(collectEvery), 0
	collect := func() {
		for range 2 {
			n, err := collector.Collect(t.Context(), now)
			if err != nil {
				t.Fatal(err)
			}
			deleted += n
			now = now.Add(collectEvery)
		}
	}
	mustApply(t, &collectingKV{kv, collect}, "2", "overrides/a", "drain: false\n")
	if deleted == 0 {
		t.Error("the collector deleted nothing, so nothing was tried")
	}
	if _, _, err := NewWriter(kv).Read(t.Context()); err != nil {
		t.Errorf("a committed head names a blob that is gone: %v", err)
	}
}

// TestCollectorDeletesWhatIsForgotten makes more changes than are remembered.
func TestCollectorDeletesWhatIsForgotten(t *testing.T) {
	t.Parallel()
	kv := newFakeKV(1).open()
	const extra = 20
	w, head := NewWriter(kv), config.Head{}
	for i := range keptHeads + extra {
		change := override(fmt.Sprint(i), "overrides/a", fmt.Sprintf("note: %d\n", i), head)
		if result, err := w.Apply(t.Context(), change); err != nil || result.Outcome != Accepted {
			t.Fatalf("%+v, %v", result, err)
		}
		head, _ = config.Apply(head, change)
	}
	now := time.Unix(0, 0)
	collect := func(want int) {
		t.Helper()
		now = now.Add(collectEvery)
		if n, err := NewCollector(kv).Collect(t.Context(), now); err != nil || n != want {
			t.Errorf("%d blobs deleted, want %d; %v", n, want, err)
		}
	}
	collect(0)
	// Version n of the document is in head n, which is stored with head n+1.
	// The newest head and its keptHeads-1 ancestors keep their documents; one
	// more ancestor is kept as a blob.
	collect(extra + extra - 1)
	collect(0)
	if _, _, err := NewWriter(kv).Read(t.Context()); err != nil {
		t.Error(err)
	}
}
