package placementduty

import (
	"testing"
	"time"

	"kumquatyard/internal/standin"
)

// A holder is frozen until its lease has expired and another holder has the duty.
// After it resumes, the engine must not accept its orders, or it must send none.
func TestOrdersOfFrozenHolderAreVoid(t *testing.T) {
	for name, test := range map[string]struct {
		checksFencing bool
		// atSend freezes the holder between the lease check and the sending of an
		// order; otherwise it is frozen before the check.
		atSend bool
		// lifetime is the lifetime of the frozen holder's orders.
		lifetime time.Duration
		// status is the expected answer to the late order, 0 if none is to be sent.
		status int
	}{
		"engine checks fencing tokens, order before its deadline":     {checksFencing: true, atSend: true, lifetime: time.Hour, status: 409},
		"engine ignores fencing tokens, order past its deadline":      {atSend: true, lifetime: testTiming.Lifetime, status: 410},
		"engine ignores fencing tokens, lease check before the order": {lifetime: testTiming.Lifetime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := newZone(t, test.checksFencing)
			first, second := z.holder("first", "old"), z.holder("second", "new")
			first.timing.Lifetime, first.timing.ClockMargin = test.lifetime, testTiming.ClockMargin-test.lifetime+testTiming.Lifetime
			// The engine already reports the second holder's model. The holder sends
			// one order nevertheless, so that the engine has its fencing token.
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
			older, newer := z.network.acceptedFrom("first")[0].FencingToken, z.network.acceptedFrom("second")[0].FencingToken
			underOldLease := func(s sent) bool { return s.holder == "first" && s.FencingToken == older }
			before := len(z.network.find(underOldLease))
			losses := first.losses()
			first.thaw()
			z.await("the first holder logs the loss of the duty", func() bool { return first.losses() > losses })
			late := z.network.find(underOldLease)[before:]
			for _, s := range late {
				if s.status != test.status {
					t.Errorf("order with fencing token %d after %d: status %d (error %v), want status %d", s.FencingToken, newer, s.status, s.err, test.status)
				}
			}
			if sentLate := len(late) > 0; sentLate != (test.status != 0) {
				t.Errorf("late order sent: %v, want %v", sentLate, test.status != 0)
			}
			if got := z.engine.State(); got.FencingToken < newer {
				t.Errorf("the engine accepted fencing token %d, the newer holder has %d", got.FencingToken, newer)
			}
		})
	}
}

// A holder stops as planned while one of its orders is in flight to an engine that
// does not check fencing tokens. Its successor must wait until the order is void
// before it sends its own first order.
func TestSuccessorWaitsForOrdersInFlight(t *testing.T) {
	t.Parallel()
	z := newZone(t, false)
	first, second := z.holder("first", "old"), z.holder("second", "new")
	first.timing.Lifetime, second.timing.Lifetime = 2*time.Second, 2*time.Second
	first.timing.ClockMargin = -first.timing.Lifetime
	first.sender.late = true
	first.sender.send.freeze()
	z.start(first)
	z.await("the first holder sends an order", func() bool { return first.sender.sends.Load() > 0 })
	z.start(second)
	first.cancel()
	first.done.Wait()
	z.awaitOrder(second)
	first.stop()
	if late := z.network.find(func(s sent) bool { return s.holder == "first" }); len(late) == 0 {
		t.Error("the first holder had no order in flight")
	}
	for _, s := range z.network.acceptedFrom("first") {
		t.Errorf("order with fencing token %d was accepted after the successor's order", s.FencingToken)
	}
}

// Without the key-value service, the holder cannot renew its lease and stops
// sending orders. When the service is back, the duty is taken again.
func TestHolderStopsOrdersWithoutKVService(t *testing.T) {
	t.Parallel()
	z := newZone(t, false)
	h := z.holder("first", "old")
	z.start(h)
	z.awaitOrder(h)
	z.kv.ChangeFaults(func(f *standin.Faults) { f.Down = true })
	z.await("the holder logs the loss of the duty", func() bool { return h.losses() > 0 })
	count := func() int { return len(z.network.find(func(sent) bool { return true })) }
	before := count()
	time.Sleep(5 * h.timing.Interval)
	if after := count(); after != before {
		t.Errorf("%d orders sent after the holder lost the duty, want 0", after-before)
	}
	z.kv.ChangeFaults(func(f *standin.Faults) { f.Down = false })
	token := z.engine.State().FencingToken
	z.await("an order with a higher fencing token reaches the engine", func() bool { return z.engine.State().FencingToken > token })
}

// An engine that reports no loaded models serves every model. An order would make
// it refuse requests until the ordered model is loaded, so it gets none.
func TestEngineServingAllModelsGetsNoOrders(t *testing.T) {
	t.Parallel()
	r := newRunner(Options{
		Fleet: &fleet{server: newZone(t, false).server, round: &gate{}}, Settings: DefaultSettings(), Timing: testTiming,
	}, nil)
	r.Fleet.(*fleet).server.Models = []string{"m"}
	if err := r.round(t.Context()); err != nil || len(r.assignments) != 0 {
		t.Errorf("round: assignments %v, error %v; want none", r.assignments, err)
	}
}
