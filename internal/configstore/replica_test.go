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
		t.Fatalf("Apply of change %s = %+v, %v, want accepted", id, result, err)
	}
}

func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(propagationLimit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("waiting for %s: timed out after %v", what, propagationLimit)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestUnresponsiveWatchIsReplaced makes all connections of a node without peers
// unresponsive, with the default intervals of Replica: the node must replace its
// watch and its pooled connections to learn of the next change.
func TestUnresponsiveWatchIsReplaced(t *testing.T) {
	t.Parallel()
	s := newStandinKV(t, 1)
	mustApply(t, s.open(), "first", "overrides/a", "drain: true\n")
	for i := range 2 * maxParallelBlobCalls {
		// The node reads these in parallel, each over a separate connection.
		mustApply(t, s.open(), fmt.Sprint("other", i), fmt.Sprint("overrides/b", i), "drain: true\n")
	}
	s.inject(faults{latency: 10 * time.Millisecond})
	counter := &watchCounter{current: map[string]int{}, max: map[string]int{}}
	const clientTimeout = 5 * time.Second
	kv := &processKV{platform.NewKVClient(s.address, clientTimeout), "z0", &gate{}, counter}
	replica := NewReplica(Options{KV: kv, Log: quietLog()})
	replica.SetWatcher(true)
	ctx, stop := context.WithCancel(t.Context())
	var running conc.WaitGroup
	running.Go(func() { _ = replica.Run(ctx) })
	defer running.Wait()
	defer stop()
	await(t, "a watch", func() bool { return counter.count("z0") > 0 })
	s.inject(faults{silent: true})
	mustApply(t, s.open(), "second", "overrides/a", "note: second\n")
	await(t, "second", func() bool { return replica.Version() == 2+2*maxParallelBlobCalls })
}

// TestPushedChangeSpreadsDuringOutage takes the store down after it accepted a
// change and before any watch has answered. The operator pushes the version to
// one node, and the others must pull it from their peers.
func TestPushedChangeSpreadsDuringOutage(t *testing.T) {
	t.Parallel()
	s := newFakeKV(1)
	r := newFleetRun(s)
	mustApply(t, s.open(), "first", "overrides/a", "drain: true\n")
	ctx, stop := context.WithCancel(t.Context())
	var fleet conc.WaitGroup
	defer fleet.Wait()
	defer stop()
	for _, n := range r.nodes {
		fleet.Go(func() { _ = n.replica.Run(ctx) })
	}
	fleet.Go(func() { r.heartbeat(ctx, 1) })
	r.finalVersion = 1
	r.awaitAll(t)
	faulty := &headSwapFaultKV{KV: s.open(), before: func() { s.inject(faults{silent: true}) }}
	w := NewWriter(&afterHeadSwapKV{faulty, func() { s.inject(faults{down: true}) }})
	result, err := w.Apply(ctx, override("second", "overrides/b", "drain: true\n", config.Head{}))
	if err != nil || result.Outcome != Accepted {
		t.Fatalf("Apply = %+v, %v, want accepted", result, err)
	}
	push := &pb.Request{Body: &pb.Request_View{View: &pb.View{Config: result.Bundle}}}
	if _, err := r.nodes[5].replica.Handle(ctx, "ctl", push); err != nil {
		t.Fatal(err)
	}
	r.finalVersion = 2
	r.awaitAll(t)
}

// afterHeadSwapKV calls then after each swap of the head.
type afterHeadSwapKV struct {
	KV
	then func()
}

func (k *afterHeadSwapKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	newIndex, swapped, err := k.KV.CompareAndSwap(ctx, key, value, index)
	if key == headKey {
		k.then()
	}
	return newIndex, swapped, err
}

func TestPullReturnsOnlyMissingDocuments(t *testing.T) {
	kv := newFakeKV(1).open()
	mustApply(t, kv, "1", "overrides/a", "drain: true\n")
	mustApply(t, kv, "2", "overrides/b", "drain: true\n")
	replica := NewReplica(Options{KV: kv, Log: quietLog()})
	if err := replica.readKV(t.Context()); err != nil {
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
		if got := replica.current.Load().since(tt.pull).GetDocuments(); len(got) != tt.want {
			t.Errorf("%s: %d documents, want %d", tt.name, len(got), tt.want)
		}
	}
}

// TestReplicaRejectsDamagedOldAndInvalidVersions checks that a Replica keeps its
// version when it is offered a damaged, older or invalid one, and still adopts a
// valid one afterwards.
func TestReplicaRejectsDamagedOldAndInvalidVersions(t *testing.T) {
	kv := newFakeKV(1).open()
	mustApply(t, kv, "1", "overrides/a", "drain: true\n")
	mustApply(t, kv, "2", "overrides/a", "drain: false\n")
	replica := NewReplica(Options{KV: kv, Log: quietLog()})
	if err := replica.readKV(t.Context()); err != nil {
		t.Fatal(err)
	}
	offer := func(version uint64, named, sent string) error {
		head := config.Head{Version: version, Documents: map[string]config.Hash{"overrides/a": config.HashOf([]byte(named))}}
		data, err := head.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		return replica.adopt(t.Context(), data, "peer", func(_ context.Context, _ config.Head, bodies map[config.Hash][]byte) error {
			bodies[config.HashOf([]byte(named))] = []byte(sent)
			return nil
		})
	}
	if err := offer(3, "drain: true\n", "drain: false\n"); err == nil {
		t.Error("adopt accepted a body that does not match its hash")
	}
	if err := offer(1, "drain: true\n", "drain: true\n"); err != nil || replica.current.Load().head.Version != 2 {
		t.Errorf("adopt of an older version: error %v, holds version %d, want 2", err, replica.current.Load().head.Version)
	}
	rejected := rejectedTotal.Get()
	if err := offer(4, "draim: true\n", "draim: true\n"); err != nil || rejectedTotal.Get() != rejected+1 {
		t.Errorf("adopt of an invalid document: error %v, rejections counted %d, want 1", err, rejectedTotal.Get()-rejected)
	}
	if err := offer(5, "note: fine\n", "note: fine\n"); err != nil || replica.current.Load().head.Version != 5 {
		t.Errorf("adopt of a valid version after an invalid one: error %v, holds version %d, want 5", err, replica.current.Load().head.Version)
	}
}

func TestApplySameChangeIDAgain(t *testing.T) {
	kv := newFakeKV(1).open()
	mustApply(t, kv, "1", "overrides/a", "drain: true\n")
	mustApply(t, kv, "2", "overrides/a", "drain: false\n")
	again, err := NewWriter(kv).Apply(t.Context(), override("1", "overrides/a", "drain: true\n", config.Head{}))
	if err != nil || again.Outcome != Accepted || again.Version != 1 {
		t.Errorf("Apply of the same change again = %+v, %v, want accepted as version 1", again, err)
	}
	other, err := NewWriter(kv).Apply(t.Context(), override("1", "overrides/a", "note: other\n", config.Head{}))
	if err != nil || other.Outcome != Refused {
		t.Errorf("Apply of a different change with a used id = %+v, %v, want refused", other, err)
	}
}

// collectingKV runs a Collector after a Writer has written its blobs and before
// it swaps the head.
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

// TestCollectorKeepsBlobsOfConcurrentWriter collects blobs between a Writer's
// write of a blob and its write of the head that references the blob.
func TestCollectorKeepsBlobsOfConcurrentWriter(t *testing.T) {
	kv := newFakeKV(1).open()
	mustApply(t, kv, "1", "overrides/a", "drain: true\n")
	collector, now, deleted := NewCollector(kv), time.Unix(0, 0).Add(collectInterval), 0
	collect := func() {
		for range 2 {
			n, err := collector.Collect(t.Context(), now)
			if err != nil {
				t.Fatal(err)
			}
			deleted += n
			now = now.Add(collectInterval)
		}
	}
	mustApply(t, &collectingKV{kv, collect}, "2", "overrides/a", "drain: false\n")
	if deleted == 0 {
		t.Error("the collector deleted no blobs, so the test did not exercise the race")
	}
	if _, _, err := NewWriter(kv).Read(t.Context()); err != nil {
		t.Errorf("the committed head references a deleted blob: %v", err)
	}
}

// TestCollectorDeletesUnreferencedBlobs makes more changes than there are
// retained heads.
func TestCollectorDeletesUnreferencedBlobs(t *testing.T) {
	t.Parallel()
	kv := newFakeKV(1).open()
	const extra = 20
	w, head := NewWriter(kv), config.Head{}
	for i := range retainedHeads + extra {
		change := override(fmt.Sprint(i), "overrides/a", fmt.Sprintf("note: %d\n", i), head)
		if result, err := w.Apply(t.Context(), change); err != nil || result.Outcome != Accepted {
			t.Fatalf("Apply = %+v, %v, want accepted", result, err)
		}
		head, _ = config.Apply(head, change)
	}
	now := time.Unix(0, 0)
	collect := func(want int) {
		t.Helper()
		now = now.Add(collectInterval)
		if n, err := NewCollector(kv).Collect(t.Context(), now); err != nil || n != want {
			t.Errorf("Collect deleted %d blobs, want %d; error %v", n, want, err)
		}
	}
	collect(0)
	// Head n, which references version n of the document, becomes a blob when head
	// n+1 is written. The documents of the newest head and of its retainedHeads-1
	// ancestors are retained, and one further ancestor as a blob.
	collect(extra + extra - 1)
	collect(0)
	if _, _, err := NewWriter(kv).Read(t.Context()); err != nil {
		t.Error(err)
	}
}
