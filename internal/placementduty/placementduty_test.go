package placementduty

import (
	"testing"
	"time"

	"kumquatyard/internal/standin"
)

// A holder is frozen past its lease while another takes the duty; then it wakes.
func TestFrozenHolderWakesAndOrders(t *testing.T) {
	for name, test := range map[string]struct {
		checksFencing bool
		// atSend freezes the holder between the lease check and the send,
		// otherwise before the check.
		atSend bool
		// lifetime is that of the frozen holder's orders.
		lifetime time.Duration
		// status is the engine's answer to the late order, 0 when none is sent.
		status int
	}{
		"engine checks fencing, the deadline does not help": {checksFencing: true, atSend: true, lifetime: time.Hour, status: 409},
		"engine ignores fencing, order past its deadline":   {atSend: true, lifetime: testTiming.Lifetime, status: 410},
		"engine ignores fencing, lease check":               {lifetime: testTiming.Lifetime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := newZone(t, test.checksFencing)
			first, second := z.holder("first", "old"), z.holder("second", "new")
			first.timing.Lifetime, first.timing.ClockMargin = test.lifetime, testTiming.ClockMargin-test.lifetime+testTiming.Lifetime
			// The second sees what it wishes, and orders nonetheless once.
			second.fleet.loaded = []string{"new"}
			z.start(first)
			z.awaitOrder(first)
			first.gate.freeze()
			if test.atSend {
				first.sender.send.freeze()
			} else {
				first.fleet.round.freeze()
			}
			z.start(second)
			z.awaitOrder(second)
			older, newer := z.network.takenFrom("first")[0].FencingToken, z.network.takenFrom("second")[0].FencingToken
			underOldLease := func(s sent) bool { return s.holder == "first" && s.FencingToken == older }
			before := len(z.network.find(underOldLease))
			losses := first.losses()
			first.thaw()
			z.await("the first notices", func() bool { return first.losses() > losses })
			late := z.network.find(underOldLease)[before:]
			for _, s := range late {
				if s.status != test.status {
					t.Errorf("order of fence %d after %d: status %d (%v), want %d", s.FencingToken, newer, s.status, s.err, test.status)
				}
			}
			if sentLate := len(late) > 0; sentLate != (test.status != 0) {
				t.Errorf("a late order was sent: %v", sentLate)
			}
			if got := z.engine.State(); got.FencingToken < newer {
				t.Errorf("the engine obeys fence %d, the newer holder has %d", got.FencingToken, newer)
			}
		})
	}
}

// An order leaves the holder, the holder stops as planned, and the order
// reaches an engine that ignores fencing after its successor's first one.
func TestSuccessorWaitsForOrdersInFlight(t *testing.T) {
	t.Parallel()
	z := newZone(t, false)
	first, second := z.holder("first", "old"), z.holder("second", "new")
	first.timing.Lifetime, second.timing.Lifetime = 2*time.Second, 2*time.Second
	first.timing.ClockMargin = -first.timing.Lifetime
	first.sender.late = true
	first.sender.send.freeze()
	z.start(first)
	z.await("the first ordered", func() bool { return first.logged("engine shall hold models") > 0 })
	z.start(second)
	first.cancel()
	first.done.Wait()
	z.awaitOrder(second)
	first.stop()
	if late := z.network.find(func(s sent) bool { return s.holder == "first" }); len(late) == 0 {
		t.Error("no order was in flight")
	}
	for _, s := range z.network.takenFrom("first") {
		t.Errorf("order of fence %d was taken after its successor's", s.FencingToken)
	}
}

func TestHolderStopsOrderingWithoutTheService(t *testing.T) {
	t.Parallel()
	z := newZone(t, false)
	h := z.holder("first", "old")
	z.start(h)
	z.awaitOrder(h)
	z.kv.ChangeFaults(func(f *standin.Faults) { f.Down = true })
	z.await("the holder stops", func() bool { return h.losses() > 0 })
	count := func() int { return len(z.network.find(func(sent) bool { return true })) }
	before := count()
	time.Sleep(5 * h.timing.Interval)
	if after := count(); after != before {
		t.Errorf("%d orders after the holder stopped", after-before)
	}
	z.kv.ChangeFaults(func(f *standin.Faults) { f.Down = false })
	fence := z.engine.State().FencingToken
	z.await("the duty is taken again", func() bool { return z.engine.State().FencingToken > fence })
}

// An engine that reports no models takes every one; an order would make it
// refuse work until it has loaded one.
func TestEngineThatServesEveryModelIsLeftAlone(t *testing.T) {
	t.Parallel()
	l := newLeader(Options{
		Fleet: &fleet{server: newZone(t, false).server, round: &gate{}}, Settings: DefaultSettings(), Timing: testTiming,
	}, nil)
	l.Fleet.(*fleet).server.Models = []string{"m"}
	if err := l.round(t.Context()); err != nil || len(l.wishes) != 0 {
		t.Errorf("wishes %v, error %v", l.wishes, err)
	}
}
