package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

// deliver applies a message of another instance that arrives at the given time.
func (i *instance) deliver(name, zone string, at time.Time, change func(*pb.InstanceState)) {
	m := &pb.InstanceState{From: &pb.Instance{Name: name, Zone: zone, Incarnation: 1, Address: "127.0.0.1:9"}, Sequence: uint64(at.UnixNano())}
	if change != nil {
		change(m)
	}
	i.applyState(m, at)
}

// The relay is the zone's first instance by name that is alive, reaches the store
// and is not stopping.
func TestRelayOfAZone(t *testing.T) {
	now := time.Now()
	away := func(m *pb.InstanceState) { m.StoreAway = true }
	leaving := func(m *pb.InstanceState) { m.Leaving = true }
	cases := map[string]struct {
		deliver  func(i *instance)
		eligible bool
		want     string
	}{
		"no other instance in the zone": {deliver: func(i *instance) { i.deliver("a", "other", now, nil) }, eligible: true, want: ""},
		"another instance is first":     {deliver: func(i *instance) { i.deliver("a", "z", now, nil) }, eligible: true, want: "a"},
		"this instance is first":        {deliver: func(i *instance) { i.deliver("x", "z", now, nil) }, eligible: true, want: "m"},
		"this instance is not eligible": {deliver: func(i *instance) { i.deliver("x", "z", now, nil) }, eligible: false, want: "x"},
		"first one lost the store":      {deliver: func(i *instance) { i.deliver("a", "z", now, away); i.deliver("b", "z", now, nil) }, eligible: true, want: "b"},
		"first one is stopping":         {deliver: func(i *instance) { i.deliver("a", "z", now, leaving) }, eligible: true, want: "m"},
		"first one sends no messages":   {deliver: func(i *instance) { i.deliver("a", "z", now.Add(-3*time.Second), nil); i.deliver("b", "z", now, nil) }, eligible: true, want: "b"},
		"all instances lost the store":  {deliver: func(i *instance) { i.deliver("a", "z", now, away) }, eligible: false, want: ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			i := newInstance(t, "m")
			i.options.Zone = "z"
			c.deliver(i)
			if got := i.Relay(c.eligible, now); got != c.want {
				t.Errorf("Relay = %q, want %q", got, c.want)
			}
		})
	}
}

// Changes are sent to the instances of the zone and to no others.
func TestChangesAreSentToTheZoneOnly(t *testing.T) {
	relay, near, far := newInstance(t, "a"), newInstance(t, "b"), newInstance(t, "c")
	var mu sync.Mutex
	got := make(map[string]int)
	for _, i := range []*instance{relay, near, far} {
		i.options.Zone = "z"
		name := i.options.Name
		i.options.ApplyChanges = func(changes *pb.StoreChanges, _ time.Time) {
			mu.Lock()
			defer mu.Unlock()
			if changes.GetRevision() == 7 && changes.GetFrom() == "a" {
				got[name]++
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, i := range []*instance{relay, near, far} {
		wg.Go(func() {
			if err := i.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	relay.SetMembers([]*pb.Instance{{Name: "b", Zone: "z", Address: near.address}, {Name: "c", Zone: "y", Address: far.address}})
	received := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return got["b"] > 0
	}
	for deadline := time.Now().Add(5 * time.Second); !received() && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		relay.SendChanges(&pb.StoreChanges{From: "a", After: 6, Revision: 7})
	}
	time.Sleep(50 * time.Millisecond)
	cancel()
	wg.Wait()
	if got["b"] == 0 || got["c"] != 0 || got["a"] != 0 {
		t.Errorf("changes received by instance: %v, want only b", got)
	}
}

// FuzzHandleDatagram handles datagrams of any content.
func FuzzHandleDatagram(f *testing.F) {
	for _, m := range []*pb.PeerMessage{
		{Body: &pb.PeerMessage_State{State: &pb.InstanceState{From: &pb.Instance{Name: "b", Address: "127.0.0.1:9"}, Sequence: 1}}},
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
		i := newInstance(t, "a")
		i.options.ApplyChanges = func(*pb.StoreChanges, time.Time) {}
		i.handleDatagram(datagram, time.Now())
	})
}

// When a thousand servers write their entries at once, the batch would fill the link
// even though similar entries compress well: it is not relayed, and each instance
// reads the changes from the store.
func TestLargeBatchesAreNotRelayed(t *testing.T) {
	entry := func(n int) *pb.StoreItem {
		return &pb.StoreItem{
			Key:      fmt.Sprintf("servers/i-%08x", n*2654435761),
			Value:    fmt.Appendf(nil, `{"service":"vohu25a","addr":"10.3.%d.%d:8323","zone":"z","version":"v1","slots":64,"state":"ready","seq":%d}`, n/250, n%250, n),
			Revision: uint64(n),
		}
	}
	size := func(entries int) int {
		m := &pb.StoreChanges{From: "a", After: 1, Revision: uint64(entries)}
		for n := range entries {
			m.Items = append(m.Items, entry(n))
		}
		data, err := encodeChanges(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	if got := size(18) * 33; got > maxRelayBytes/2 {
		t.Errorf("18 entries to 33 instances are %d bytes, want at most half of maxRelayBytes", got)
	}
	if got := size(1000) * 33; got < maxRelayBytes {
		t.Errorf("1000 entries to 33 instances are %d bytes, want more than maxRelayBytes", got)
	}
	a, b := newInstance(t, "a"), newInstance(t, "b")
	a.options.Zone, b.options.Zone = "z", "z"
	got := make(chan *pb.StoreChanges, 1)
	b.options.ApplyChanges = func(changes *pb.StoreChanges, _ time.Time) {
		select {
		case got <- changes:
		default:
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, i := range []*instance{a, b} {
		wg.Go(func() {
			if err := i.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	a.SetMembers([]*pb.Instance{{Name: "b", Zone: "z", Address: b.address}})
	large := &pb.StoreChanges{From: "a", After: 1, Revision: 9, Items: []*pb.StoreItem{{Key: "k", Value: make([]byte, maxRelayBytes*2)}}}
	random := rand.New(rand.NewPCG(1, 1))
	for n := range large.Items[0].Value {
		large.Items[0].Value[n] = byte(random.Uint32())
	}
	var changes *pb.StoreChanges
	for deadline := time.Now().Add(5 * time.Second); changes == nil && time.Now().Before(deadline); {
		a.SendChanges(proto.Clone(large).(*pb.StoreChanges))
		select {
		case changes = <-got:
		case <-time.After(10 * time.Millisecond):
		}
	}
	cancel()
	wg.Wait()
	if changes.GetAfter() != 9 || changes.GetRevision() != 9 || len(changes.GetItems()) != 0 {
		t.Errorf("a batch over maxRelayBytes arrived as %v, want no items and After equal to Revision", changes)
	}
}
