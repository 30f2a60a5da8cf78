package peers

import (
	"context"
	"sync"
	"testing"
	"time"

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
			if got := i.Reader(c.fit, now); got != c.want {
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
		{Body: &pb.PeerMessage_Changes{Changes: &pb.StoreChanges{From: "b", After: 1, Revision: 2, Items: []*pb.StoreItem{{Key: "k"}}}}},
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
