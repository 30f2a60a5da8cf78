package peers

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

// instance is an Exchange and the states it received.
type instance struct {
	*Exchange
	address string

	mu       sync.Mutex
	received []*pb.InstanceState
}

func (i *instance) apply(state *pb.InstanceState, _ time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.received = append(i.received, state)
}

func (i *instance) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.received)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

func newInstance(t *testing.T, name string) *instance {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	i := &instance{address: freeAddress(t)}
	sequence := uint64(0)
	i.Exchange = New(Options{
		Listen: i.address, Name: name, Apply: i.apply, Log: logrus.NewEntry(log),
		NeedsFull: func(string) bool { return false },
		Collect: func(full bool) *pb.InstanceState {
			sequence++
			return &pb.InstanceState{From: &pb.Instance{Name: name, Zone: i.options.Zone, Incarnation: 1, Address: i.address}, Sequence: sequence, HoldsDuties: full}
		},
	})
	return i
}

func TestInstancesExchangeStates(t *testing.T) {
	a, b := newInstance(t, "a"), newInstance(t, "b")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var wg sync.WaitGroup
	for _, i := range []*instance{a, b} {
		wg.Go(func() {
			if err := i.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	// Only a has b in its list of members; b learns a's address from a's messages.
	a.SetMembers([]*pb.Instance{{Name: "b", Address: b.address}})
	deadline := time.Now().Add(5 * time.Second)
	for (a.count() == 0 || b.count() == 0) && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if a.count() == 0 || b.count() == 0 {
		t.Errorf("a received %d messages and b %d, want at least one each", a.count(), b.count())
	}
	if got := b.InstanceCount(time.Now()); got != 2 {
		t.Errorf("b counts %d instances, want 2", got)
	}
	cancel()
	wg.Wait()
}

// Messages that are repeated, reordered or of a former process are dropped.
func TestStaleMessagesAreDropped(t *testing.T) {
	i := newInstance(t, "a")
	now := time.Now()
	send := func(incarnation, sequence uint64) {
		m := &pb.InstanceState{From: &pb.Instance{Name: "b", Incarnation: incarnation, Address: "127.0.0.1:9"}, Sequence: sequence}
		i.applyState(proto.Clone(m).(*pb.InstanceState), now)
	}
	send(1, 1)
	send(1, 3)
	send(1, 3)
	send(1, 2)
	send(2, 1)
	send(1, 9)
	if got := i.count(); got != 3 {
		t.Errorf("%d messages were applied, want 3", got)
	}
}

func TestAllAlive(t *testing.T) {
	i := newInstance(t, "a")
	now := time.Now()
	i.applyState(&pb.InstanceState{From: &pb.Instance{Name: "b", Incarnation: 1, Address: "127.0.0.1:9"}, Sequence: 1}, now.Add(-3*time.Second))
	if i.AllAlive(2 * time.Second) {
		t.Error("AllAlive(2 s) = true with the last message 3 s ago, want false")
	}
	if !i.AllAlive(5 * time.Second) {
		t.Error("AllAlive(5 s) = false with the last message 3 s ago, want true")
	}
}
