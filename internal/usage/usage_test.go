package usage

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/duty"
	"kumquatyard/internal/store"
)

const length = 5 * time.Second

// Reports of an instance's counts are lost, repeated and reordered: the total is that
// of the latest report that arrived.
func TestTotalWithLostRepeatedAndReorderedReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := New(length), New(length)
		at := time.Unix(1_700_000_000, 0)
		var sent []map[Window]Counts
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			sender.RecordStart(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"), at)
			sent = append(sent, sender.LocalCounts())
		}
		last := -1
		for range rapid.IntRange(0, 40).Draw(t, "messages") {
			i := rapid.IntRange(0, len(sent)-1).Draw(t, "message")
			receiver.RecordPeerReport("s/1", sent[i])
			last = max(last, i)
		}
		want := Counts{}
		if last >= 0 {
			want = sent[last][sender.WindowAt(at)]
		}
		if diff := cmp.Diff(want, receiver.Total(receiver.WindowAt(at))); diff != "" {
			t.Fatalf("total after message %d (-want +got):\n%s", last, diff)
		}
	})
}

// A restarted instance counts from 0; the counts of its previous incarnation stay in
// the total.
func TestRestartKeepsPreviousIncarnationsCounts(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	before, after, receiver := New(length), New(length), New(length)
	before.RecordStart("a", at)
	before.RecordStart("a", at)
	receiver.RecordPeerReport("s/1", before.LocalCounts())
	after.RecordStart("a", at)
	receiver.RecordPeerReport("s/2", after.LocalCounts())
	if got := receiver.Total(receiver.WindowAt(at))["a"]; got != 3 {
		t.Errorf("total = %d, want 3", got)
	}
}

// fakeStore is a store that can be down or lose the answers of writes.
type fakeStore struct {
	store.Store
	items       map[string]store.Item
	revision    uint64
	era         uint64
	loseAnswers int
	down        bool
	// beforeSwap is called before a key is written; nil does nothing. If it returns true, the
	// call has no answer, and late holds what carries it out.
	beforeSwap func() (isLate bool)
	late       []func()
}

var errNoAnswer = &contract.Error{Kind: contract.KindUnavailable, Verdict: contract.MayHaveRun, Message: "no answer"}

func (s *fakeStore) Item(_ context.Context, key string) (store.Item, error) {
	if s.down {
		return store.Item{}, errNoAnswer
	}
	item := s.items[key]
	item.Key, item.Revision.Era = key, s.era
	return item, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, p store.Put) (store.Revision, error) {
	if s.down {
		return store.Revision{}, errNoAnswer
	}
	if s.beforeSwap != nil && s.beforeSwap() {
		s.late = append(s.late, func() { _, _ = s.swap(p) })
		return store.Revision{}, errNoAnswer
	}
	return s.swap(p)
}

// swap carries a CompareAndSwap out.
func (s *fakeStore) swap(p store.Put) (store.Revision, error) {
	if s.items[p.Key].Revision.Number != p.Expected.Number {
		return store.Revision{}, store.ErrConflict
	}
	s.revision++
	s.items[p.Key] = store.Item{Key: p.Key, Value: p.Value, Revision: store.Revision{Era: s.era, Number: s.revision}}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return store.Revision{}, errNoAnswer
	}
	if p.Expected.Era != 0 && p.Expected.Era != s.era {
		return store.Revision{}, store.ErrRestored
	}
	return store.Revision{Era: s.era, Number: s.revision}, nil
}

func (s *fakeStore) Set(ctx context.Context, key string, value []byte, _ store.Lease) error {
	_, err := s.CompareAndSwap(ctx, store.Put{Key: key, Value: value, Expected: s.items[key].Revision})
	return err
}

func (s *fakeStore) Remove(context.Context, ...string) error { return nil }

// fakeSink records all reports that arrived. It can lose its answers.
type fakeSink struct {
	reports     map[Window][]Counts
	loseAnswers int
	fenced      bool
}

func (d *fakeSink) ReportUsage(_ context.Context, _ uint64, w Window, counts Counts) error {
	if d.fenced {
		return duty.ErrFenced
	}
	d.reports[w] = append(d.reports[w], counts)
	if d.loseAnswers > 0 {
		d.loseAnswers--
		return errNoAnswer
	}
	return nil
}

type fixture struct {
	store *fakeStore
	sink  *fakeSink
	now   time.Time
}

func newFixture() *fixture {
	return &fixture{
		store: &fakeStore{items: make(map[string]store.Item)},
		sink:  &fakeSink{reports: make(map[Window][]Counts)},
		now:   time.Unix(1_700_000_000, 0),
	}
}

func (f *fixture) reporter(c *Counter) *Reporter {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Reporter{
		Counter: c, Stored: NewReports(), Store: f.store, Sink: f.sink, ReportDeadline: 10 * time.Second,
		Now: func() time.Time { return f.now }, Log: logrus.NewEntry(log), next: c.WindowAt(f.now),
	}
}

// All reports of a window have the same counts, despite lost answers of the store and
// of the sink, and a new holder with different counts.
func TestRepeatedReportsHaveTheSameCounts(t *testing.T) {
	for _, lost := range []struct{ store, sink int }{{0, 0}, {1, 0}, {0, 1}, {1, 2}, {2, 1}} {
		f := newFixture()
		f.store.loseAnswers, f.sink.loseAnswers = lost.store, lost.sink
		first, second := New(length), New(length)
		w := first.WindowAt(f.now)
		first.RecordStart("a", f.now)
		second.RecordStart("a", f.now)
		second.RecordStart("a", f.now)
		holders := []*Reporter{f.reporter(first), f.reporter(second)}
		f.now = first.WindowEnd(w).Add(collectionTime)
		for range 4 {
			for _, r := range holders {
				if err := r.reportDue(t.Context(), 1); err != nil {
					t.Fatal(err)
				}
			}
		}
		reports := f.sink.reports[w]
		if len(reports) == 0 {
			t.Fatalf("%+v: the window was not reported", lost)
		}
		for _, counts := range reports[1:] {
			if diff := cmp.Diff(reports[0], counts); diff != "" {
				t.Errorf("%+v: reports of one window differ (-first +later):\n%s", lost, diff)
			}
		}
	}
}

// A report is not sent before its counts are stored: another holder could not repeat
// it with the same counts.
func TestNoReportWhileStoreIsDown(t *testing.T) {
	f := newFixture()
	c := New(length)
	w := c.WindowAt(f.now)
	c.RecordStart("a", f.now)
	r := f.reporter(c)
	f.store.down = true
	f.now = c.WindowEnd(w).Add(collectionTime)
	if err := r.reportDue(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if len(f.sink.reports) != 0 {
		t.Fatalf("reports while the store was down: %v, want none", f.sink.reports)
	}
	f.store.down = false
	if err := r.reportDue(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if len(f.sink.reports[w]) != 1 {
		t.Error("the window was not reported once after the store's recovery")
	}
}

// An instance that is frozen at a window's end sends its counts when it resumes: the
// report waits for it as long as the deadline allows.
func TestReportWaitsForUnresponsiveInstance(t *testing.T) {
	f := newFixture()
	c := New(length)
	w := c.WindowAt(f.now)
	r := f.reporter(c)
	alive := false
	r.AllReported = func(time.Duration) bool { return alive }
	f.now = c.WindowEnd(w).Add(collectionTime)
	if err := r.reportDue(t.Context(), 1); err != nil || len(f.sink.reports) != 0 {
		t.Fatalf("reports %v (error %v) without the unresponsive instance's counts, want none", f.sink.reports, err)
	}
	c.RecordPeerReport("frozen/1", map[Window]Counts{w: {"a": 5}})
	alive = true
	if err := r.reportDue(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if got := f.sink.reports[w]; len(got) != 1 || got[0]["a"] != 5 {
		t.Errorf("reports %v, want one with the unresponsive instance's counts", got)
	}
}

func TestReportIsSentBeforeDeadlineDespiteUnresponsiveInstance(t *testing.T) {
	f := newFixture()
	c := New(length)
	w := c.WindowAt(f.now)
	r := f.reporter(c)
	r.AllReported = func(time.Duration) bool { return false }
	f.now = c.WindowEnd(w).Add(r.ReportDeadline - reportMargin)
	if err := r.reportDue(t.Context(), 1); err != nil || len(f.sink.reports[w]) != 1 {
		t.Errorf("reports %v (error %v), want one despite the unresponsive instance", f.sink.reports, err)
	}
}

// All instances are killed within a window: the new holder of the duty reports the
// counts of the checkpoint plus the requests since.
func TestCheckpointSurvivesRestartOfAllInstances(t *testing.T) {
	f := newFixture()
	before := New(length)
	w := before.WindowAt(f.now)
	before.RecordStart("a", f.now)
	before.RecordPeerReport("other/1", map[Window]Counts{w: {"a": 3, "b": 2}})
	previous := f.reporter(before)
	previous.Incarnation = "holder/1"
	previous.saveCheckpoint(t.Context())

	after := New(length)
	after.RecordStart("b", f.now)
	r := f.reporter(after)
	r.Incarnation = "holder/2"
	if err := r.loadCheckpoint(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.now = after.WindowEnd(w).Add(collectionTime)
	if err := r.reportDue(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	want := []Counts{{"a": 4, "b": 3}}
	if diff := cmp.Diff(want, f.sink.reports[w]); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}

// Instances that report themselves are not counted again from the checkpoint, whether
// their reports arrive before or after it is read.
func TestCheckpointIsNotCountedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		w := New(length).WindowAt(f.now)
		previous := f.reporter(New(length))
		previous.Incarnation = "former/1"
		truth := make(map[string]int64)
		reported := make(map[string]int64)
		for _, name := range []string{"x/1", "y/1", "z/1"} {
			truth[name] = int64(rapid.IntRange(0, 9).Draw(t, "truth"))
			reported[name] = rapid.Int64Range(0, truth[name]).Draw(t, "reported")
			previous.Counter.RecordPeerReport(name, map[Window]Counts{w: {"a": reported[name]}})
		}
		previous.saveCheckpoint(context.Background())
		r := f.reporter(New(length))
		r.Incarnation = "later/1"
		report := func(name string) { r.Counter.RecordPeerReport(name, map[Window]Counts{w: {"a": truth[name]}}) }
		report("x/1")
		if err := r.loadCheckpoint(context.Background()); err != nil {
			t.Fatal(err)
		}
		report("y/1")
		want := truth["x/1"] + truth["y/1"] + reported["z/1"]
		if got := r.Counter.Total(w)["a"]; got != want {
			t.Fatalf("total = %d, want %d", got, want)
		}
	})
}

// FuzzCheckpoint decodes checkpoints of any content.
func FuzzCheckpoint(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{4, 12, 10, 2, 10, 0})
	f.Fuzz(func(_ *testing.T, value []byte) {
		if m, err := decodeCheckpoint(value); err == nil {
			New(length).Restore("self", m.GetInstances())
		}
	})
}

// A new holder reports due windows before its first wait, since their deadline may be
// near.
func TestNewHolderReportsImmediately(t *testing.T) {
	f := newFixture()
	c := New(length)
	w := c.WindowAt(f.now)
	r := f.reporter(c)
	f.now = c.WindowEnd(w).Add(collectionTime)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := r.Run(ctx, 1, func() error { return nil }); err != nil {
		t.Fatal(err)
	}
	if len(f.sink.reports[w]) != 1 {
		t.Errorf("the window was reported %d times before the first wait, want once", len(f.sink.reports[w]))
	}
}

func TestFencedHolderStops(t *testing.T) {
	f := newFixture()
	f.sink.fenced = true
	c := New(length)
	r := f.reporter(c)
	f.now = c.WindowEnd(c.WindowAt(f.now)).Add(collectionTime)
	if err := r.reportDue(t.Context(), 1); !errors.Is(err, duty.ErrFenced) {
		t.Errorf("reportDue = %v, want ErrFenced", err)
	}
}

// A new holder takes the duty shortly before the report is due. The others learn of it
// only then, so it waits for their counts nearer to the deadline than usual.
func TestNewHolderWaitsForTheOthersCounts(t *testing.T) {
	f := newFixture()
	c := New(length)
	w := c.WindowAt(f.now)
	r := f.reporter(c)
	reported := false
	r.AllReported = func(time.Duration) bool { return reported }
	f.now = c.WindowEnd(w).Add(r.ReportDeadline - reportMargin)
	r.takenAt = f.now.Add(-50 * time.Millisecond)
	if err := r.reportDue(t.Context(), 1); err != nil || len(f.sink.reports[w]) != 0 {
		t.Fatalf("reports %v (error %v) 50 ms after the takeover, want none", f.sink.reports, err)
	}
	c.RecordPeerReport("other/1", map[Window]Counts{w: {"a": 5}})
	reported = true
	if err := r.reportDue(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if got := f.sink.reports[w]; len(got) != 1 || got[0]["a"] != 5 {
		t.Errorf("reports %v, want one with the other instance's counts", got)
	}
}
