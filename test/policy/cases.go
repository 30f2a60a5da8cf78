package policy

import (
	"fmt"
	"time"
)

// Policies are the routing policies to compare.
var Policies = []string{"kumquat", "least_outstanding", "prefix_hash", "round_robin"}

// Case is a named scenario. Its mix and policy are set for each run.
type Case struct {
	Name string
	Scenario
}

// Cases returns the scenarios in which to compare the policies.
func Cases(seed uint64, duration time.Duration) []Case {
	base := Scenario{
		Duration: duration, WarmUp: duration / 3, CoolDown: duration / 6, Seed: seed,
		ReportLag: time.Second, EventLag: time.Second, Load: 0.5,
	}
	busy, overloaded, lateReports, lossyEvents, zoneLoss, slowServer, longShared := base, base, base, base, base, base, base
	busy.Load = 0.8
	overloaded.Load = 2
	lateReports.ReportLag, lateReports.EventLag = 4*time.Second, 4*time.Second
	lossyEvents.EventLossRate, lossyEvents.EventLag = 0.05, 5*time.Second
	zoneLoss.LoseZoneAt, zoneLoss.Notice = duration/2, 20*time.Second
	slowServer.SlowAt, slowServer.SlowFactor = duration/3, 8
	longShared.SharedBlocks = 24
	return []Case{
		{"half load", base},
		{"0.8 load", busy},
		{"twice saturation", overloaded},
		{"reports 4 s late", lateReports},
		{"5 % of events lost, 5 s late", lossyEvents},
		{"zone lost", zoneLoss},
		{"slow server", slowServer},
		{"long shared prompts", longShared},
	}
}

// Loads are the arrival rates of a sweep that finds the peak goodput, as
// multiples of the estimated saturation.
var Loads = []float64{0.6, 0.8, 1, 1.2, 1.5, 2, 3}

// Sweep returns a case for each of Loads.
func Sweep(seed uint64, duration time.Duration) []Case {
	var out []Case
	for _, load := range Loads {
		c := Cases(seed, duration)[0]
		c.Name = fmt.Sprintf("load %.1f", load)
		c.Load = load
		out = append(out, c)
	}
	return out
}
