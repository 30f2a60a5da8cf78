package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/rollup"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

// The relay is the zone's first instance in rank that reaches the store and is not
// stopping.
func TestRelayOfAZone(t *testing.T) {
	now := time.Now()
	away := func(m *pb.MemberState) { m.StoreAway = true }
	stopping := func(m *pb.MemberState) { m.Stopping = true }
	ranked := rollup.Rank([]*pb.Instance{{Name: "k", Zone: "z"}, {Name: "l", Zone: "z"}, {Name: "m", Zone: "z"}})
	cases := map[string]struct {
		// change holds a function for each instance in rank that changes its state; its
		// state is not sent if there is none.
		change []func(*pb.MemberState)
		want   string
	}{
		"all reach the store":       {[]func(*pb.MemberState){nop, nop, nop}, ranked[0].GetName()},
		"first one lost the store":  {[]func(*pb.MemberState){away, nop, nop}, ranked[1].GetName()},
		"first one is stopping":     {[]func(*pb.MemberState){stopping, nop, nop}, ranked[1].GetName()},
		"first two lost the store":  {[]func(*pb.MemberState){away, away, nop}, ranked[2].GetName()},
		"first one sends no states": {[]func(*pb.MemberState){nil, nop, nop}, ranked[1].GetName()},
		"all lost the store":        {[]func(*pb.MemberState){away, away, away}, ""},
		"no other instance":         {[]func(*pb.MemberState){nil, nil, nop}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			i := newInstance(t, ranked[2].GetName(), "z")
			aggregator := rollup.NewAggregator(&pb.Instance{Name: "x", Zone: "z"}, noQuotas{})
			for n, change := range c.change {
				if change == nil {
					continue
				}
				m := &pb.MemberState{From: ranked[n], Sequence: 1}
				change(m)
				aggregator.RecordMember(m, now)
			}
			i.handleFleet(aggregator.FleetSum(aggregator.ZoneSum(now), false, now), now)
			if got := i.Relay(now); got != c.want {
				t.Errorf("Relay = %q, want %q", got, c.want)
			}
			if got := i.Relay(now.Add(sumTimeout)); got != "" {
				t.Errorf("Relay = %q without sums, want none", got)
			}
		})
	}
}

func nop(*pb.MemberState) {}

// The relay replays the changes of the store from the lowest revision that an instance of
// the zone applied which does not reach the store, within the store's era.
func TestReplayFromTheLowestRevision(t *testing.T) {
	now := time.Now()
	i := newInstance(t, "a", "z")
	aggregator := rollup.NewAggregator(&pb.Instance{Name: "x", Zone: "z"}, noQuotas{})
	for n, at := range []store.Revision{{Era: 2, Number: 70}, {Era: 2, Number: 50}, {Era: 1, Number: 20}, {}} {
		aggregator.RecordMember(&pb.MemberState{
			From: &pb.Instance{Name: fmt.Sprint(n), Zone: "z"}, Sequence: 1,
			StoreAway: !at.IsZero(), StoreEra: at.Era, StoreRevision: at.Number,
		}, now)
	}
	i.handleFleet(aggregator.FleetSum(aggregator.ZoneSum(now), false, now), now)
	if got, want := i.ReplayFrom(2, now), (store.Revision{Era: 2, Number: 50}); got != want {
		t.Errorf("ReplayFrom(2) = %v, want %v", got, want)
	}
	if got := i.ReplayFrom(1, now); !got.IsZero() {
		t.Errorf("ReplayFrom(1) = %v, want none", got)
	}
}

// Changes are sent to the instances of the zone and to no others.
func TestChangesAreSentToTheZoneOnly(t *testing.T) {
	c := newCluster(t, map[string]int{"z": 2, "y": 1})
	relay := c.instances["z0"]
	got := func(name string) int {
		i := c.instances[name]
		i.mu.Lock()
		defer i.mu.Unlock()
		return i.changes[7]
	}
	await(t, "the changes arrive in the zone", func() bool {
		relay.SendChanges(&pb.StoreChanges{From: "z0", After: 6, Revision: 7})
		return got("z1") > 0
	})
	time.Sleep(50 * time.Millisecond)
	if got("z0") != 0 || got("y0") != 0 {
		t.Errorf("changes arrived %d times at the sender and %d times in another zone, want never", got("z0"), got("y0"))
	}
}

// FuzzHandleDatagram handles datagrams of any content.
func FuzzHandleDatagram(f *testing.F) {
	for _, m := range []*pb.PeerMessage{
		{Body: &pb.PeerMessage_Member{Member: &pb.MemberState{From: &pb.Instance{Name: "b", Zone: "z", Address: "127.0.0.1:9"}, Sequence: 1}}},
		{Body: &pb.PeerMessage_Zone{Zone: &pb.ZoneSum{From: &pb.Instance{Name: "b", Zone: "y", Address: "127.0.0.1:9"}, Work: &pb.Work{Servers: []uint32{1, 2}}}}},
		{Body: &pb.PeerMessage_Fleet{Fleet: &pb.FleetSum{From: &pb.Instance{Name: "b", Zone: "z"}, Members: []*pb.MemberSequence{{Member: 1}}}}},
		{Body: &pb.PeerMessage_Usage{Usage: &pb.UsageCounts{From: &pb.Instance{Name: "b"}}}},
		{Body: &pb.PeerMessage_Changes{Changes: s2.Encode(nil, []byte{10, 1, 98, 16, 1, 24, 2})}},
		{},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		i := newInstance(t, "a", "z")
		i.handleDatagram(datagram, time.Now())
		i.sendAll(time.Now())
	})
}
