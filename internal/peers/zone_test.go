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

// hear lets i hear another instance of the zone.
func (i *instance) hear(name, zone string, at time.Time, change func(*pb.InstanceState)) {
	m := &pb.InstanceState{From: &pb.Instance{Name: name, Zone: zone, Incarnation: 1, Address: "127.0.0.1:9"}, Sequence: uint64(at.UnixNano())}
	if change != nil {
		change(m)
	}
	i.take(m, at)
}

// The first instance of the zone by name that is heard, reaches the store and
// does not stop reads for the others.
func TestReaderOfAZone(t *testing.T) {
	now := time.Now()
	away := func(m *pb.InstanceState) { m.StoreAway = true }
	leaving := func(m *pb.InstanceState) { m.Leaving = true }
	cases := map[string]struct {
		hear func(i *instance)
		fit  bool
		want string
	}{
		"alone in the zone":             {hear: func(i *instance) { i.hear("a", "other", now, nil) }, fit: true, want: ""},
		"another comes first":           {hear: func(i *instance) { i.hear("a", "z", now, nil) }, fit: true, want: "a"},
		"this one comes first":          {hear: func(i *instance) { i.hear("x", "z", now, nil) }, fit: true, want: "m"},
		"this one does not reach it":    {hear: func(i *instance) { i.hear("x", "z", now, nil) }, fit: false, want: "x"},
		"the first does not reach it":   {hear: func(i *instance) { i.hear("a", "z", now, away); i.hear("b", "z", now, nil) }, fit: true, want: "b"},
		"the first stops":               {hear: func(i *instance) { i.hear("a", "z", now, leaving) }, fit: true, want: "m"},
		"the first is silent":           {hear: func(i *instance) { i.hear("a", "z", now.Add(-3*time.Second), nil); i.hear("b", "z", now, nil) }, fit: true, want: "b"},
		"nobody in the zone reaches it": {hear: func(i *instance) { i.hear("a", "z", now, away) }, fit: false, want: ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			i := newInstance(t, "m")
			i.options.Zone = "z"
			c.hear(i)
			if got := i.Relay(c.fit, now); got != c.want {
				t.Errorf("Reader = %q, want %q", got, c.want)
			}
		})
	}
}

// Changes reach the instances of the zone and no others.
func TestChangesReachTheZone(t *testing.T) {
	reader, near, far := newInstance(t, "a"), newInstance(t, "b"), newInstance(t, "c")
	var mu sync.Mutex
	got := make(map[string]int)
	for _, i := range []*instance{reader, near, far} {
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
	for _, i := range []*instance{reader, near, far} {
		wg.Go(func() {
			if err := i.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	reader.SetMembers([]*pb.Instance{{Name: "b", Zone: "z", Address: near.address}, {Name: "c", Zone: "y", Address: far.address}})
	received := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return got["b"] > 0
	}
	for deadline := time.Now().Add(5 * time.Second); !received() && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		reader.SendChanges(&pb.StoreChanges{From: "a", After: 6, Revision: 7})
	}
	time.Sleep(50 * time.Millisecond)
	cancel()
	wg.Wait()
	if got["b"] == 0 || got["c"] != 0 || got["a"] != 0 {
		t.Errorf("changes were received %v times, want b alone", got)
	}
}

// FuzzRead feeds datagrams of any content.
func FuzzRead(f *testing.F) {
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
		i.read(datagram, time.Now())
	})
}

// A thousand servers write their entries at once: the entries are much alike and
// are sent compressed, and what would still fill the link is left to each
// instance to read.
func TestLargeBatchesDoNotFillTheLink(t *testing.T) {
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
		data, err := compress(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	if got := size(18) * 33; got > maxFeedBytes/2 {
		t.Errorf("18 entries to 33 instances are %d bytes, want half of the bound at most", got)
	}
	if got := size(1000) * 33; got < maxFeedBytes {
		t.Errorf("1000 entries to 33 instances are %d bytes: the test of the bound is void", got)
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
	large := &pb.StoreChanges{From: "a", After: 1, Revision: 9, Items: []*pb.StoreItem{{Key: "k", Value: make([]byte, maxFeedBytes*2)}}}
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
		t.Errorf("a batch that is too large arrived as %v, want none of its changes and a gap", changes)
	}
}
