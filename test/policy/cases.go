package policy

import (
	"fmt"
	"time"
)

// Policies are the policies that are compared.
var Policies = []string{"kumquat", "least_outstanding", "prefix_hash", "round_robin"}

// Case is a named scenario without mix and policy.
type Case struct {
	Name string
	Scenario
}

// Cases returns the scenarios in which the policies are compared.
func Cases(seed uint64, duration time.Duration) []Case {
	base := Scenario{
		Duration: duration, WarmUp: duration / 3, CoolDown: duration / 6, Seed: seed,
		ReportLag: time.Second, EventLag: time.Second, Load: 0.5,
	}
	busy, double, lagging, gaps, lost, slow, shared := base, base, base, base, base, base, base
	busy.Load = 0.8
	double.Load = 2
	lagging.ReportLag, lagging.EventLag = 4*time.Second, 4*time.Second
	gaps.EventLossRate, gaps.EventLag = 0.05, 5*time.Second
	lost.LoseZoneAt, lost.Notice = duration/2, 20*time.Second
	slow.SlowAt, slow.SlowFactor = duration/3, 8
	shared.SharedBlocks = 24
	return []Case{
		{"half load", base},
		{"0.8 load", busy},
		{"twice saturation", double},
		{"reports 4 s late", lagging},
		{"5 % of events lost, 5 s late", gaps},
		{"zone lost", lost},
		{"slow server", slow},
		{"long shared prompts", shared},
	}
}

// Loads are the rates of arrivals of a sweep for the peak of goodput.
var Loads = []float64{0.6, 0.8, 1, 1.2, 1.5, 2, 3}

// Sweep returns a case for each load.
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
