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

// instance is an Exchange with what it heard.
type instance struct {
	*Exchange
	address string

	mu    sync.Mutex
	heard []*pb.InstanceState
}

func (i *instance) apply(state *pb.InstanceState, _ time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.heard = append(i.heard, state)
}

func (i *instance) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.heard)
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
			return &pb.InstanceState{From: &pb.Instance{Name: name, Incarnation: 1, Address: i.address}, Sequence: sequence, HoldsDuties: full}
		},
	})
	return i
}

func TestInstancesHearEachOther(t *testing.T) {
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
	// Only a knows of b from the store; b learns a's address by its messages.
	a.SetMembers([]*pb.Instance{{Name: "b", Address: b.address}})
	deadline := time.Now().Add(5 * time.Second)
	for (a.count() == 0 || b.count() == 0) && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if a.count() == 0 || b.count() == 0 {
		t.Errorf("a heard %d messages, b %d", a.count(), b.count())
	}
	if got := b.Count(time.Now()); got != 2 {
		t.Errorf("b counts %d instances, want 2", got)
	}
	cancel()
	wg.Wait()
}

// Messages that are repeated, overtaken or of a former start change nothing.
func TestOldMessagesAreDropped(t *testing.T) {
	i := newInstance(t, "a")
	now := time.Now()
	send := func(incarnation, sequence uint64) {
		m := &pb.InstanceState{From: &pb.Instance{Name: "b", Incarnation: incarnation, Address: "127.0.0.1:9"}, Sequence: sequence}
		i.take(proto.Clone(m).(*pb.InstanceState), now)
	}
	send(1, 1)
	send(1, 3)
	send(1, 3)
	send(1, 2)
	send(2, 1)
	send(1, 9)
	if got := i.count(); got != 3 {
		t.Errorf("%d messages were taken, want 3", got)
	}
}

func TestAllHeard(t *testing.T) {
	i := newInstance(t, "a")
	now := time.Now()
	i.take(&pb.InstanceState{From: &pb.Instance{Name: "b", Incarnation: 1, Address: "127.0.0.1:9"}, Sequence: 1}, now.Add(-3*time.Second))
	if i.AllAlive(2 * time.Second) {
		t.Error("an instance that was silent for 3 s counts as heard in the last 2 s")
	}
	if !i.AllAlive(5 * time.Second) {
		t.Error("an instance that was heard 3 s ago does not count as heard in the last 5 s")
	}
}
