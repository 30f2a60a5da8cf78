package usage

import (
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"kumquatyard/internal/store"
)

// savedStore is a copy of a fakeStore's content.
type savedStore struct {
	at       time.Time
	items    map[string]store.Item
	revision uint64
}

func (f *fixture) save() savedStore {
	return savedStore{at: f.now, items: maps.Clone(f.store.items), revision: f.store.revision}
}

// restore brings the store back from a copy, in a new era.
func (f *fixture) restore(from savedStore) {
	f.store.items, f.store.revision = maps.Clone(from.items), from.revision
	f.store.era++
}

// The store is restored from older copies of itself, holders of the duty change, and
// answers are lost: all reports of a window have the same counts.
func TestReportsOfAWindowAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		f.store.era = 1
		var restoredAt time.Time
		holders := make([]*Reporter, 3)
		restart := func(i int) {
			holders[i] = f.reporter(New(length))
			startedAt := f.now
			holders[i].StoreEra = func() (uint64, time.Time) {
				if startedAt.After(restoredAt) {
					return f.store.era, startedAt
				}
				return f.store.era, restoredAt
			}
		}
		for i := range holders {
			restart(i)
		}
		copies := []savedStore{f.save()}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
			holders[i].Counter.RecordStart("a", f.now)
			f.store.loseAnswers, f.sink.loseAnswers = 0, 0
			switch rapid.IntRange(0, 7).Draw(t, "kind") {
			case 0:
				restart(i)
			case 1:
				f.store.loseAnswers = 1
			case 2:
				f.sink.loseAnswers = 1
			case 3:
				f.restore(rapid.SampledFrom(copies[max(len(copies)-8, 0):]).Draw(t, "copy"))
				restoredAt = f.now
			}
			if err := holders[i].runOnce(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			copies = append(copies, f.save())
		}
		for w, reports := range f.sink.reports {
			for _, counts := range reports[1:] {
				if diff := cmp.Diff(reports[0], counts); diff != "" {
					t.Fatalf("reports of window %d differ (-first +later):\n%s", w, diff)
				}
			}
		}
	})
}

// After a restore, the holder that reported a window stores it again, and a window that
// ended after the restore is reported by any holder.
func TestReportingContinuesAfterARestore(t *testing.T) {
	f := newFixture()
	f.store.era = 1
	startedAt := f.now
	empty := f.save()
	first, second := f.reporter(New(length)), f.reporter(New(length))
	first.StoreEra = func() (uint64, time.Time) { return 1, startedAt }
	w := first.Counter.WindowAt(f.now)
	first.Counter.RecordStart("a", f.now)
	f.now = first.Counter.WindowEnd(w).Add(collectionTime)
	if err := first.reportDue(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	f.restore(empty)
	restoredAt := f.now
	first.StoreEra = func() (uint64, time.Time) { return 2, restoredAt }
	second.StoreEra = first.StoreEra
	first.next = w
	if err := first.reportDue(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	if got := f.sink.reports[w]; len(got) != 2 || got[1]["a"] != 1 {
		t.Errorf("reports %v of the window, want the first one repeated", got)
	}
	f.now = second.Counter.WindowEnd(w + 1).Add(collectionTime)
	if err := second.reportDue(t.Context(), 3); err != nil {
		t.Fatal(err)
	}
	if len(f.sink.reports[w+1]) != 1 {
		t.Error("the window after the restore was not reported")
	}
}

// A process that starts later in an era knows from the checkpoint that the windows since
// its beginning were not reported.
func TestRestartedHolderReportsTheWindowsOfTheEra(t *testing.T) {
	f := newFixture()
	f.store.era = 1
	since := f.now
	before, after := f.reporter(New(length)), f.reporter(New(length))
	before.StoreEra = func() (uint64, time.Time) { return 1, since }
	w := before.Counter.WindowAt(f.now)
	before.Counter.RecordStart("a", f.now)
	before.Incarnation, after.Incarnation = "a/1", "a/2"
	before.saveCheckpoint(t.Context())
	f.now = before.Counter.WindowEnd(w).Add(collectionTime)
	startedAt := f.now
	after.StoreEra = func() (uint64, time.Time) { return 1, startedAt }
	if err := after.runOnce(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	if got := f.sink.reports[w]; len(got) != 1 || got[0]["a"] != 1 {
		t.Errorf("reports %v, want the window's one request", got)
	}
}

// A checkpoint that went back adds nothing twice.
func TestRestoredCheckpointIsNotCountedTwice(t *testing.T) {
	f := newFixture()
	w := New(length).WindowAt(f.now)
	previous := f.reporter(New(length))
	previous.Incarnation = "former/1"
	previous.Counter.RecordPeerReport("x/1", map[Window]Counts{w: {"a": 3}})
	previous.saveCheckpoint(t.Context())
	older := f.save()
	r := f.reporter(New(length))
	r.Counter.RecordPeerReport("x/1", map[Window]Counts{w: {"a": 5}})
	r.Counter.RecordPeerReport("former/1", map[Window]Counts{w: {"a": 1}})
	for range 2 {
		r.loaded = false
		if err := r.loadCheckpoint(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.restore(older)
	}
	if got := r.Counter.Total(w)["a"]; got != 6 {
		t.Errorf("total = %d, want 6", got)
	}
}
