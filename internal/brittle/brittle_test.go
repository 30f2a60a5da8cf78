package brittle

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
)

var (
	start = time.Unix(1_700_000_000, 0)
	quiet = func() *logrus.Entry {
		log := logrus.New()
		log.SetOutput(io.Discard)
		return logrus.NewEntry(log)
	}()
)

func server(n, slots int) *fleet.Server {
	return &fleet.Server{Server: machine.Server{ID: machine.ID(fmt.Sprint("s", n)), Address: fmt.Sprint("10.0.0.", n, ":80"), Pool: "p"}, Slots: slots}
}

// brittleFleet returns the trackers of instances that know of each other and that the pool is
// brittle.
func brittleFleet(instances int) []*Tracker {
	names := make([]string, instances)
	for n := range names {
		names[n] = fmt.Sprint("i", n)
	}
	list := make([]*Tracker, instances)
	for n, name := range names {
		list[n] = New(name, quiet)
		list[n].SetInstances(names, start)
		list[n].Observe("p", true, start, start)
	}
	return list
}

// The instances together fill each brittle server to its last slot and never beyond, with fewer
// and with more slots than instances.
func TestInstancesFillTheRoomExactly(t *testing.T) {
	for _, tt := range []struct{ instances, servers, slots int }{{6, 18, 16}, {6, 3, 6}, {6, 5, 4}, {300, 160, 12}, {300, 6, 6}, {1, 3, 6}} {
		trackers := brittleFleet(tt.instances)
		for n := range tt.servers {
			s := server(n, tt.slots)
			taken := 0
			for _, tracker := range trackers {
				for tracker.Allows(s, start) && tracker.Take(s, start) {
					taken++
				}
			}
			if taken != tt.slots {
				t.Errorf("%d instances: %d requests at server %d, want its %d slots", tt.instances, taken, n, tt.slots)
			}
		}
	}
}

// Each of 300 instances has room at some servers of a pool with more slots than instances.
func TestEachInstanceHasRoomInALargePool(t *testing.T) {
	for n, tracker := range brittleFleet(300) {
		room := 0
		for s := range 160 {
			for tracker.Take(server(s, 12), start) {
				room++
			}
		}
		if room == 0 {
			t.Errorf("instance %d has no room at any of 160 servers", n)
		}
	}
}

func TestRoomIsFreeAgainAfterARequest(t *testing.T) {
	tracker := brittleFleet(1)[0]
	s := server(1, 1)
	if !tracker.Take(s, start) || tracker.Take(s, start) {
		t.Fatal("a server of one slot does not take exactly one request")
	}
	tracker.Release(s)
	if !tracker.Take(s, start) {
		t.Error("there is no room after the request has ended")
	}
}

// Requests that were sent before the servers were known to be brittle count against the room.
func TestRequestsFromBeforeCount(t *testing.T) {
	tracker := New("i", quiet)
	tracker.SetInstances(nil, start)
	s := server(1, 2)
	for range 5 {
		if !tracker.Take(s, start) {
			t.Fatal("a request to a server that is not brittle has no room")
		}
	}
	tracker.Observe("p", true, start, start)
	if tracker.Allows(s, start) || tracker.Take(s, start) {
		t.Error("there is room although five requests are at a server of two slots")
	}
}

// After it was turned away, an instance leaves the server alone for a time, whatever its share.
func TestServerThatTurnedAwayIsLeftAlone(t *testing.T) {
	tracker := brittleFleet(1)[0]
	s := server(1, 4)
	tracker.TurnedAway(s, start)
	if tracker.Take(s, start.Add(turnAwayPause-time.Millisecond)) {
		t.Error("a request goes to a server that has just turned one away")
	}
	if !tracker.Take(s, start.Add(turnAwayPause)) {
		t.Error("the server is still left alone after the pause")
	}
}

// An answer without the statement ends the belief only if its request was sent later; the belief
// also ends when no answer says so any more.
func TestEndOfBrittleness(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tracker := brittleFleet(1)[0]
	tracker.Observe("p", true, at(1), at(2))
	tracker.Observe("p", false, at(1.5), at(2.5))
	if !tracker.IsBrittle("p") {
		t.Error("an answer to an earlier request ended the belief")
	}
	tracker.Observe("p", false, at(2), at(3))
	if tracker.IsBrittle("p") {
		t.Error("the pool is brittle although a later answer does not say so")
	}
	tracker.Observe("p", true, at(1), at(1.9))
	if tracker.IsBrittle("p") {
		t.Error("an older answer that arrives late brought the belief back")
	}
	tracker.Observe("p", true, at(4), at(5))
	tracker.Retain(func(machine.ID) bool { return true }, at(5).Add(beliefTime))
	if tracker.IsBrittle("p") {
		t.Errorf("the pool is brittle %v after the last answer that said so", beliefTime)
	}
}

// An instance that does not know the others yet sends nothing to brittle servers.
func TestInstanceWithoutOthersHasNoRoom(t *testing.T) {
	tracker := New("i", quiet)
	tracker.Observe("p", true, start, start)
	if tracker.Take(server(1, 6), start) {
		t.Error("an instance that does not know how many there are has room")
	}
}

// A share follows from the instances and the server's slots, also after it was once computed.
func TestShareFollowsInstancesAndSlots(t *testing.T) {
	tracker := brittleFleet(1)[0]
	room := func(s *fleet.Server) int64 {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		return tracker.room(s, start)
	}
	if got := room(server(1, 4)); got != 4 {
		t.Errorf("room for %d requests alone at 4 slots, want 4", got)
	}
	if got := room(server(1, 8)); got != 8 {
		t.Errorf("room for %d requests after the slots grew to 8", got)
	}
	tracker.SetInstances([]string{"i0", "i1"}, start)
	if got := room(server(1, 8)); got != 4 {
		t.Errorf("room for %d requests beside another instance, want 4 of 8", got)
	}
}
