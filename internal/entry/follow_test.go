package entry

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/serve"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

var now = time.Unix(1_700_000_000, 0)

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// decodeVersion decodes a configuration that consists of its version.
func decodeVersion(value []byte) (*fleet.Config, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return nil, err
	}
	return fleet.NewConfig(version, nil, nil, nil, fleet.Limits{}), nil
}

// Versions arrive repeated, unreadable and in any order, by changes and by lists: the
// applied one is always the largest that was read.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshots := newSnapshotPublisher(quietLog())
		h := &configHandler{key: "config", decode: decodeVersion, snapshots: snapshots, log: quietLog()}
		largest := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			version := rapid.Uint64Range(1, 20).Draw(t, "version")
			item := store.Item{Key: "config", Value: strconv.AppendUint(nil, version, 10)}
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				item.Value = []byte("unreadable")
			case 1:
				item = store.Item{Key: "config", Removed: true}
			case 2:
				item.Key = "config-of-another"
			default:
				largest = max(largest, version)
			}
			if rapid.Bool().Draw(t, "list") {
				h.Resync([]store.Item{item}, now, time.Time{})
			} else {
				h.Change([]store.Item{item}, now, time.Time{})
			}
			applied := uint64(0)
			if p := snapshots.Load(); p != nil {
				applied = p.Config.Version
			}
			if applied != largest {
				t.Fatalf("version %d is applied, want %d", applied, largest)
			}
		}
	})
}

var errUnreadable = errors.New("unreadable")

// decodeState decodes a server's entry that consists of its state.
func decodeState(item store.Item, _ time.Time) (fleet.Server, error) {
	states := map[string]machine.Lifecycle{"serving": machine.Serving, "leaving": machine.Leaving}
	state, ok := states[string(item.Value)]
	if !ok {
		return fleet.Server{}, errUnreadable
	}
	id := machine.ID(strings.TrimPrefix(item.Key, "servers/"))
	return fleet.Server{Server: machine.Server{ID: id, Pool: "p"}, Lifecycle: state}, nil
}

func serversOf(k *snapshotPublisher) map[machine.ID]machine.Lifecycle {
	got := make(map[machine.ID]machine.Lifecycle)
	for _, s := range k.Load().Servers["p"] {
		got[s.ID] = s.Lifecycle
	}
	return got
}

func TestServersFollowStoreChanges(t *testing.T) {
	snapshots := newSnapshotPublisher(quietLog())
	snapshots.setConfig(fleet.NewConfig(1, nil, nil, nil, fleet.Limits{}), nil)
	h := &serverHandler{
		decode: decodeState, snapshots: snapshots, log: quietLog(),
		id: func(key string) machine.ID { return machine.ID(strings.TrimPrefix(key, "servers/")) },
	}
	entry := func(id, state string) store.Item { return store.Item{Key: "servers/" + id, Value: []byte(state)} }
	h.Resync([]store.Item{entry("a", "serving"), entry("b", "serving"), entry("c", "serving"), entry("x", "of another writer")}, now, time.Time{})
	h.Change([]store.Item{
		entry("a", "leaving"),
		{Key: "servers/b", Removed: true},
		// An entry that cannot be decoded leaves the server as it was.
		entry("c", "garbage"),
	}, now, time.Time{})
	want := map[machine.ID]machine.Lifecycle{"a": machine.Leaving, "c": machine.Serving}
	if diff := cmp.Diff(want, serversOf(snapshots)); diff != "" {
		t.Errorf("servers (-want +got):\n%s", diff)
	}
}

// A server that left during a gap of the watch is removed by the next list; one
// whose lease may have expired in an outage is kept until the grace period ends.
// Guards against servers that are lost since another writer's odd entry took the place of their
// own (issue 33): it leaves the server as it was, whether it comes as a change or with the list,
// and is logged once.
func TestOddEntryLeavesItsServer(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	snapshots := newSnapshotPublisher(quietLog())
	snapshots.setConfig(fleet.NewConfig(1, nil, nil, nil, fleet.Limits{}), nil)
	h := &serverHandler{
		decode: decodeState, snapshots: snapshots, log: logrus.NewEntry(log),
		id: func(key string) machine.ID { return machine.ID(strings.TrimPrefix(key, "servers/")) },
	}
	entry := func(id, state string) store.Item { return store.Item{Key: "servers/" + id, Value: []byte(state)} }
	h.Resync([]store.Item{entry("a", "serving"), entry("b", "serving")}, now, time.Time{})
	odd := []store.Item{entry("a", strings.Repeat("[", 1<<20)), entry("b", "serving"), entry("x", "odd")}
	for range 5 {
		h.Change(odd, now, time.Time{})
		h.Resync(odd, now, time.Time{})
	}
	want := map[machine.ID]machine.Lifecycle{"a": machine.Serving, "b": machine.Serving}
	if diff := cmp.Diff(want, serversOf(snapshots)); diff != "" {
		t.Errorf("servers (-want +got):\n%s", diff)
	}
	if n := strings.Count(out.String(), "server_unreadable"); n != 2 {
		t.Errorf("the two odd entries are logged %d times", n)
	}
	h.Change([]store.Item{entry("a", "serving")}, now, time.Time{})
	h.Change(odd, now, time.Time{})
	if n := strings.Count(out.String(), "server_unreadable"); n != 3 {
		t.Errorf("an entry that became odd again is logged %d times in all, want 3", n)
	}
	if out.Len() > 10_000 {
		t.Errorf("%d bytes are logged", out.Len())
	}
	h.Change([]store.Item{{Key: "servers/a", Removed: true}}, now, time.Time{})
	if _, known := serversOf(snapshots)["a"]; known {
		t.Error("the server is known after its odd entry was removed")
	}
}

func TestResyncRemovesMissingServers(t *testing.T) {
	snapshots := newSnapshotPublisher(quietLog())
	snapshots.setConfig(fleet.NewConfig(1, nil, nil, nil, fleet.Limits{}), nil)
	h := &serverHandler{
		decode: decodeState, snapshots: snapshots, log: quietLog(),
		id: func(key string) machine.ID { return machine.ID(strings.TrimPrefix(key, "servers/")) },
	}
	list := []store.Item{{Key: "servers/a", Value: []byte("serving")}, {Key: "servers/b", Value: []byte("serving")}}
	h.Resync(list, now, time.Time{})
	h.Resync(list[:1], now, time.Time{})
	if got := serversOf(snapshots); len(got) != 1 {
		t.Errorf("servers after a gap = %v, want only a", got)
	}
	h.Resync(list, now, time.Time{})
	until := now.Add(2 * time.Second)
	h.Resync(list[:1], now, until)
	if got := serversOf(snapshots); len(got) != 2 {
		t.Errorf("servers within the grace period = %v, want a and b", got)
	}
	snapshots.expire(until)
	if got := serversOf(snapshots); len(got) != 1 {
		t.Errorf("servers after the grace period = %v, want only a", got)
	}
}

func TestMembersFollowStoreChanges(t *testing.T) {
	var members []*pb.Instance
	h := &memberHandler{changed: func(m []*pb.Instance) { members = m }, log: quietLog()}
	entry := func(name string) store.Item {
		value, err := proto.Marshal(&pb.Instance{Name: name, Address: "10.0.0.1:7500"})
		if err != nil {
			t.Fatal(err)
		}
		return store.Item{Key: membersPrefix + name, Value: value}
	}
	h.Resync([]store.Item{entry("a"), entry("b")}, now, time.Time{})
	h.Change([]store.Item{{Key: membersPrefix + "a", Removed: true}, {Key: membersPrefix + "c", Value: []byte{0xff}}}, now, time.Time{})
	if len(members) != 1 || members[0].GetName() != "b" {
		t.Errorf("members = %v, want only b", members)
	}
}

// An odd entry among those of the instances names none, and leaves the instance whose place it
// takes as it was (issue 33).
func TestOddInstanceEntries(t *testing.T) {
	var members []*pb.Instance
	h := &memberHandler{changed: func(m []*pb.Instance) { members = m }, log: quietLog()}
	entry := func(key, name, address string) store.Item {
		value, err := proto.Marshal(&pb.Instance{Name: name, Address: address})
		if err != nil {
			t.Fatal(err)
		}
		return store.Item{Key: membersPrefix + key, Value: value}
	}
	h.Resync([]store.Item{entry("a", "a", "10.0.0.1:7500")}, now, time.Time{})
	odd := []store.Item{
		entry("a", "a", "10.0.0.1:99999"), entry("b", "", "10.0.0.2:7500"), entry("c", "c", "instance.example:7500"), entry("d", "d", "10.0.0.4:0"),
		entry("e", "e", ""),
		{Key: membersPrefix + "f", Value: bytes.Repeat([]byte{0x0b}, 1<<16)},
	}
	h.Change(odd, now, time.Time{})
	h.Resync(odd, now, time.Time{})
	if len(members) != 1 || members[0].GetAddress() != "10.0.0.1:7500" {
		t.Errorf("members = %v, want only a as it was", members)
	}
	h.Resync(nil, now, time.Time{})
	if len(members) != 0 {
		t.Errorf("members = %v after the entries were removed", members)
	}
}

// Reloaded settings apply without a restart.
func TestReloadChangesRetryBudget(t *testing.T) {
	i := New(Options{
		Settings:    Settings{RetryWindow: 10 * time.Second, UsageWindow: time.Second, Reloadable: ReloadableSettings{RetrySlack: 10}},
		NewFrontend: func(*serve.Server, func() *fleet.Snapshot) Frontend { return nil },
		Log:         quietLog(),
	})
	i.setInstances(1)
	now := time.Now()
	allowed := func() (n int) {
		for i.budget.Take("p", now) {
			n++
		}
		return n
	}
	before := allowed()
	i.Reload(ReloadableSettings{RetrySlack: 30})
	if more := allowed(); before != 7 || more != 14 {
		t.Errorf("%d retries allowed with a slack of 10, and %d more with 30; want 7 and 14", before, more)
	}
}
