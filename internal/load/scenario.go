// Package load is an open-loop load generator for kumquatyard. It sends a
// deployment's mix of requests to gateways, checks each answer byte by byte and
// the number of runs against the stand-ins' counters, and writes a report.
package load

import (
	"fmt"
	"time"

	"kumquatyard/internal/standin"
	"kumquatyard/internal/telemetry"
)

// Settings are the settings of kumquat-load. If both measurements are
// configured, the overhead is measured first.
type Settings struct {
	Scenario  *Scenario          `yaml:"scenario" validate:"required_without=Overhead"`
	Overhead  *Overhead          `yaml:"overhead"`
	Telemetry telemetry.Settings `yaml:"telemetry"`
}

// Scenario describes a run of a mix against one or more targets.
type Scenario struct {
	// Seed determines arrivals, prompts and keys.
	Seed uint64 `yaml:"seed"`
	// Duration is the length of the arrival process per target and round.
	Duration time.Duration `yaml:"duration" validate:"required,min=1"`
	// Rounds is the number of passes over all targets. Alternating the targets
	// makes drift of the machine affect them equally.
	Rounds int `yaml:"rounds" validate:"min=0,max=100"`
	// CallerTimeout is the time from arrival in which an answer must be complete.
	CallerTimeout time.Duration `yaml:"patience" validate:"min=0"`
	// Resumes limits how often a caller resumes a broken stream.
	Resumes  int      `yaml:"resumes" validate:"min=0,max=100"`
	Arrivals Arrivals `yaml:"arrivals"`
	// Mix names a deployment whose classes are used, unless Classes is set.
	Mix        string      `yaml:"mix" validate:"required_without=Classes,omitempty,oneof=lanternfold matrizeria"`
	Classes    []Class     `yaml:"classes" validate:"omitempty,dive"`
	Model      string      `yaml:"model" validate:"required"`
	Workspaces []Workspace `yaml:"workspaces" validate:"required,min=1,dive"`
	Targets    []Target    `yaml:"targets" validate:"required,min=1,dive"`
	Events     []Event     `yaml:"events" validate:"omitempty,dive"`
	// Inventory is a CSV file with the columns id and price_per_hour, from which
	// the cost of the servers is computed; if empty, no cost is computed.
	Inventory string `yaml:"inventory"`
	// StartedPrice is the price per hour of an instance that is not in Inventory
	// because the cloud started it.
	StartedPrice float64 `yaml:"started_price" validate:"min=0"`

	Telemetry telemetry.Settings `yaml:"telemetry"`
}

// Arrivals describes an open-loop arrival process that alternates between calm
// and burst phases.
type Arrivals struct {
	// Rate is the mean number of requests per second, bursts included.
	Rate float64 `yaml:"rate" validate:"required,gt=0"`
	// BurstFactor is the rate in a burst divided by the rate in a calm phase.
	BurstFactor float64 `yaml:"burst_factor" validate:"omitempty,min=1"`
	// BurstShare is the fraction of time spent in bursts.
	BurstShare float64 `yaml:"burst_share" validate:"min=0,lt=1"`
	// BurstLength is the mean length of a burst.
	BurstLength time.Duration `yaml:"burst_length" validate:"min=0"`
}

// Workspace is a group of callers with its API key and relative share of the
// arrivals.
type Workspace struct {
	Name   string  `yaml:"name" validate:"required"`
	Key    string  `yaml:"key" validate:"required"`
	Weight float64 `yaml:"weight" validate:"gt=0"`
}

// Target is a system under test. All targets get the same requests.
type Target struct {
	Name string `yaml:"name" validate:"required"`
	// Gateways are the gateways' IP addresses and ports. Requests are distributed
	// over them.
	Gateways []string `yaml:"gateways" validate:"required,min=1,dive,hostname_port"`
	// Control is the control address of the kumquat-standin behind the target.
	Control string `yaml:"control" validate:"omitempty,hostname_port"`
}

// Event changes a stand-in during a run. Faults, Reclaim and Restart are applied
// in this order, each if set.
type Event struct {
	// At is the time after the start of each round.
	At time.Duration `yaml:"at" validate:"min=0"`
	// Standin is the id of the stand-in; "*" means all.
	Standin string          `yaml:"standin" validate:"required"`
	Faults  *standin.Faults `yaml:"faults"`
	Reclaim *Reclaim        `yaml:"reclaim"`
	Restart bool            `yaml:"restart"`
}

// Reclaim is the body of POST /_reclaim.
type Reclaim struct {
	Zone string `yaml:"zone" json:"zone,omitempty"`
	ID   string `yaml:"id" json:"id,omitempty"`
	InMS int64  `yaml:"in_ms" json:"in_ms" validate:"min=0"`
}

const (
	defaultCallerTimeout = time.Minute
	defaultBurstFactor   = 3
	defaultBurstLength   = 2 * time.Second
)

// WithDefaults returns the scenario with defaults for unset fields. It returns an
// error if the mix is unknown.
func (s Scenario) WithDefaults() (Scenario, error) {
	if s.Rounds == 0 {
		s.Rounds = 1
	}
	if s.CallerTimeout == 0 {
		s.CallerTimeout = defaultCallerTimeout
	}
	if s.Arrivals.BurstFactor == 0 {
		s.Arrivals.BurstFactor = defaultBurstFactor
	}
	if s.Arrivals.BurstLength == 0 {
		s.Arrivals.BurstLength = defaultBurstLength
	}
	if len(s.Classes) == 0 {
		s.Classes = mixes[s.Mix]
	}
	if len(s.Classes) == 0 {
		return s, fmt.Errorf("unknown mix %q", s.Mix)
	}
	return s, nil
}
