package serve

import (
	"testing"
	"time"

	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rollup"
)

// serviceChoices returns how many of a number of requests each of three servers with six slots gets.
func serviceChoices(othersShare float64, estimates map[machine.ID]forecast.Estimate) map[machine.ID]int {
	list := servers(3)
	for _, s := range list {
		s.Slots = 6
	}
	chosen := make(map[machine.ID]int)
	for seed := range uint64(1000) {
		p := &placement{
			servers: list, isSuspected: noSuspects, seed: seed, sample: 3, othersShare: othersShare,
			predict: func(id machine.ID, _ int) forecast.Estimate {
				e := estimates[id]
				e.Reports, e.ServiceTime = true, 30*time.Millisecond
				return e
			},
		}
		c, _ := choose(p)
		chosen[c.server.ID]++
	}
	return chosen
}

// A server that reports a queue which it is about to turn away gets nothing while another has room,
// however many instances choose; all get something when all report one.
func TestServersAboutToTurnAwayGetNothing(t *testing.T) {
	full := forecast.Estimate{Queue: 7}
	for _, othersShare := range []float64{0, 0.99} {
		got := serviceChoices(othersShare, map[machine.ID]forecast.Estimate{"s0": full, "s1": {}, "s2": full})
		if got["s1"] != 1000 {
			t.Errorf("others place %.2f: %v, want all at the server with room", othersShare, got)
		}
	}
	got := serviceChoices(0.99, map[machine.ID]forecast.Estimate{"s0": full, "s1": full, "s2": full})
	for _, id := range []machine.ID{"s0", "s1", "s2"} {
		if got[id] < 200 {
			t.Errorf("all report a queue: %v, want a share for each", got)
		}
	}
}

// An instance that places all requests itself knows the servers' work and takes the quickest; one
// of many spreads them by what the servers can do.
func TestServicesAreChosenByWhatIsKnown(t *testing.T) {
	estimates := map[machine.ID]forecast.Estimate{
		"s0": {Slowdown: 1, Work: rollup.Work{Active: 6}}, "s1": {Slowdown: 2.5}, "s2": {Slowdown: 1, Work: rollup.Work{Active: 3}},
	}
	if got := serviceChoices(0, estimates); got["s2"] != 1000 {
		t.Errorf("alone: %v, want all at the server with the shortest expected time", got)
	}
	got := serviceChoices(0.99, estimates)
	if got["s0"] < 200 || got["s1"] < 150 || got["s2"] <= got["s0"] || got["s0"] <= got["s1"] {
		t.Errorf("one of many: %v, want a share for each, the more the shorter the expected time", got)
	}
}
