package origin

import (
	"errors"
	"slices"
	"testing"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/store"
)

var start = time.Unix(1_700_000_000, 0)

func server(id, version string) *fleet.Server {
	return &fleet.Server{Server: machine.Server{ID: machine.ID(id), Pool: testPool}, Version: version}
}

func snapshotOf(servers ...*fleet.Server) *fleet.Snapshot {
	return &fleet.Snapshot{Config: testConfig, Servers: map[string][]*fleet.Server{testPool: servers}}
}

func revision(era, number uint64) store.Revision { return store.Revision{Era: era, Number: number} }

func TestCanContinue(t *testing.T) {
	other := server("s1", "v1")
	other.Pool = "q"
	restarted := server("s1", "")
	restarted.StartedAtMs = 5
	tests := []struct {
		name   string
		origin Origin
		server *fleet.Server
		want   bool
	}{
		{"same version", Of(server("s1", "v1")), server("s2", "v1"), true},
		{"other version", Of(server("s1", "v1")), server("s2", "v2"), false},
		{"same server, restarted with another version", Of(server("s1", "v1")), server("s1", "v2"), false},
		{"other pool", Of(server("s1", "v1")), other, false},
		{"unknown version, same incarnation", Of(server("s1", "")), server("s1", ""), true},
		{"unknown version, another server", Of(server("s1", "")), server("s2", ""), false},
		{"unknown version, another incarnation", Of(server("s1", "")), restarted, false},
		{"unknown version of the other server", Of(server("s1", "v1")), server("s2", ""), false},
	}
	for _, tt := range tests {
		if got := tt.origin.CanContinue(tt.server); got != tt.want {
			t.Errorf("%s: CanContinue = %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A version that other instances do not know yet must not begin streams: they would be taken
// for streams of the only version in the list.
func TestVersionBeginsNoStreamsBeforeItIsListed(t *testing.T) {
	tracker := New(Options{Store: newFakeStore(0), Log: quiet})
	tracker.versions.set(testPool, list{versions: []string{"v1"}, revision: revision(0, 1)}, start)
	if !tracker.MayBegin(server("s1", "v1")) || tracker.MayBegin(server("s2", "v2")) {
		t.Error("servers of v1 may not begin streams, or those of v2 may, with only v1 in the list")
	}
	tracker.versions.set(testPool, list{versions: []string{"v1", "v2"}, revision: revision(0, 2)}, start)
	if !tracker.MayBegin(server("s2", "v2")) {
		t.Error("servers of v2 may not begin streams although v2 is in the list")
	}
}

// A process that starts in a store that reports its era does not know whether the list has
// lost versions through a restore, until their streams have ended.
func TestListIsCompleteOnceNoUnknownStreamCanBeLeft(t *testing.T) {
	v := newVersions()
	v.set(testPool, list{versions: []string{"v1"}, era: 1, revision: revision(2, 1)}, start)
	early := start.Add(retention - time.Second)
	v.observe(snapshotOf(server("s1", "v1")), 2, start)
	v.observe(snapshotOf(server("s1", "v1")), 2, early)
	if _, ok := v.get(testPool).single(); ok || len(v.changes([]string{testPool}, early)) > 0 {
		t.Error("the list of an earlier era counts as complete")
	}
	late := start.Add(retention)
	v.observe(snapshotOf(server("s1", "v1")), 2, late)
	changes := v.changes([]string{testPool}, late)
	if len(changes) != 1 || changes[0].list.era != 2 {
		t.Errorf("changes %+v after %v in the era, want the list marked as complete", changes, retention)
	}
}

// A process that has followed the store since before a restore waits until the others have
// added again what the restore has lost.
func TestListIsCompleteSomeTimeAfterARestore(t *testing.T) {
	v := newVersions()
	v.set(testPool, list{versions: []string{"v1"}, era: 1, revision: revision(1, 1)}, start)
	v.observe(snapshotOf(server("s1", "v1")), 1, start)
	restored := start.Add(time.Minute)
	v.set(testPool, list{versions: []string{"v1"}, era: 1, revision: revision(2, 1)}, restored)
	v.observe(snapshotOf(server("s1", "v1")), 2, restored)
	if changes := v.changes([]string{testPool}, restored.Add(completeDelay-time.Millisecond)); len(changes) > 0 {
		t.Errorf("changes %+v within %v of the restore, want none", changes, completeDelay)
	}
	later := restored.Add(completeDelay)
	v.observe(snapshotOf(server("s1", "v1")), 2, later)
	if changes := v.changes([]string{testPool}, later); len(changes) != 1 || changes[0].list.era != 2 {
		t.Errorf("changes %+v, want the list marked as complete", changes)
	}
}

// A version stays in the list while streams that it began may be resumed, and leaves it then,
// after it has retired; an instance that started later does not add it again.
func TestVersionLeavesTheListAfterItsStreams(t *testing.T) {
	v, later := newVersions(), newVersions()
	known := list{versions: []string{"v1", "v2"}, revision: revision(0, 1)}
	v.set(testPool, known, start)
	later.set(testPool, known, start.Add(retention/2))
	for at := start; at.Before(start.Add(retention)); at = at.Add(time.Second) {
		v.observe(snapshotOf(server("s2", "v2")), 0, at)
		changes := v.changes([]string{testPool}, at)
		if len(changes) == 0 {
			continue
		}
		retires := slices.Equal(changes[0].list.versions, known.versions) && slices.Equal(changes[0].list.retiring, []string{"v1"})
		if at.Sub(start) <= retireAge || len(known.retiring) > 0 || !retires {
			t.Fatalf("changes %+v after %v, want v1 to retire once, and not before %v", changes, at.Sub(start), retireAge)
		}
		known = changes[0].list
		known.revision = revision(0, 2)
		v.set(testPool, known, at)
		later.set(testPool, known, at)
		if v.isListed(testPool, "v1") {
			t.Error("a version that retires may begin streams")
		}
		if _, ok := known.single(); ok {
			t.Error("a list with a version that retires counts as one of a single version")
		}
	}
	end := start.Add(retireAge + time.Second + retireTime)
	v.observe(snapshotOf(server("s2", "v2")), 0, end)
	changes := v.changes([]string{testPool}, end)
	if len(changes) != 1 || !slices.Equal(changes[0].list.versions, []string{"v2"}) {
		t.Fatalf("changes %+v, want a list of v2 only", changes)
	}
	later.set(testPool, list{versions: []string{"v2"}, revision: revision(0, 3)}, end)
	later.observe(snapshotOf(server("s2", "v2")), 0, end)
	if changes := later.changes([]string{testPool}, end); len(changes) > 0 {
		t.Errorf("an instance that started later writes %+v, want no change", changes)
	}
}

// A version that retires serves again: it does not leave the list, and begins streams once the
// list says that it does not retire.
func TestVersionThatServesAgainRetiresNoMore(t *testing.T) {
	v := newVersions()
	v.set(testPool, list{versions: []string{"v1", "v2"}, retiring: []string{"v1"}, revision: revision(0, 1)}, start)
	again := start.Add(2 * retireTime)
	v.observe(snapshotOf(server("s1", "v1"), server("s2", "v2")), 0, again)
	if v.isListed(testPool, "v1") {
		t.Error("the version may begin streams before the list is changed")
	}
	changes := v.changes([]string{testPool}, again)
	if len(changes) != 1 || len(changes[0].list.retiring) != 0 || !slices.Equal(changes[0].list.versions, []string{"v1", "v2"}) {
		t.Errorf("changes %+v, want both versions and none that retires", changes)
	}
}

// Two records with different origins say that the stream was sent to two versions; which of
// them began it is not known.
func TestRecordsThatDisagreeAreUnknown(t *testing.T) {
	var items []store.Item
	for n, version := range []string{"v1", "v1", "v2"} {
		key, value, err := Record{"r", Of(server("s"+version, version))}.encode()
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, store.Item{Key: key, Value: value})
		o, err := decodeRecords(items)
		if isKnown := err == nil; isKnown != (n < 2) || (isKnown && o.Version != "v1") {
			t.Errorf("%d records: origin %+v, error %v", len(items), o, err)
		}
	}
	if _, err := decodeRecords(nil); !errors.Is(err, ErrUnknown) {
		t.Errorf("no records: error %v, want ErrUnknown", err)
	}
}

// The server turns a request away that was recorded as its stream, and another version begins
// it: the first record must not be believed.
func TestStreamThatBeginsElsewhereIsStoredFirst(t *testing.T) {
	fake := newFakeStore(0)
	tracker := New(Options{Store: fake, Log: quiet})
	tracker.Begin("r", server("s1", "v1"))
	if err := tracker.Confirm(t.Context(), "r", server("s1", "v1")); err != nil || fake.writes != 0 {
		t.Errorf("error %v and %d writes for a stream that begins where it was sent, want none", err, fake.writes)
	}
	tracker.ledger.due(func(string) bool { return true }, 1, time.Now())
	tracker.Begin("r", server("s2", "v2"))
	if err := tracker.Confirm(t.Context(), "r", server("s2", "v2")); err != nil || fake.writes != 1 {
		t.Errorf("error %v and %d writes, want one before the first event", err, fake.writes)
	}
	fake.setAway(true)
	tracker.Begin("r", server("s3", "v3"))
	if err := tracker.Confirm(t.Context(), "r", server("s3", "v3")); err == nil {
		t.Error("the stream begins although its origin could not be stored")
	}
}
