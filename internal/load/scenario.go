// Package load measures kumquatyard from outside: it sends the mixes of its
// deployments at an open-loop rate, checks every byte and every run against
// the stand-ins, and writes a report.
package load

import (
	"fmt"
	"time"

	"kumquatyard/internal/standin"
	"kumquatyard/internal/telemetry"
)

// Settings are the settings of kumquat-load. Both measurements may be asked
// for; overhead comes first.
type Settings struct {
	Scenario  *Scenario          `yaml:"scenario" validate:"required_without=Overhead"`
	Overhead  *Overhead          `yaml:"overhead"`
	Telemetry telemetry.Settings `yaml:"telemetry"`
}

// Scenario is a run of a mix against one or more targets.
type Scenario struct {
	// Seed determines arrivals, prompts and keys.
	Seed uint64 `yaml:"seed"`
	// Duration is how long requests arrive at each target in each round.
	Duration time.Duration `yaml:"duration" validate:"required,min=1"`
	// Rounds repeats all targets in turn, so that a drift of the machine
	// touches them alike.
	Rounds int `yaml:"rounds" validate:"min=0,max=100"`
	// CallerTimeout is how long a caller waits for the end of an answer.
	CallerTimeout time.Duration `yaml:"patience" validate:"min=0"`
	// Resumes bounds how often a caller resumes a broken stream.
	Resumes  int      `yaml:"resumes" validate:"min=0,max=100"`
	Arrivals Arrivals `yaml:"arrivals"`
	// Mix names the classes of a deployment; Classes replaces them.
	Mix        string      `yaml:"mix" validate:"required_without=Classes,omitempty,oneof=lanternfold matrizeria"`
	Classes    []Class     `yaml:"classes" validate:"omitempty,dive"`
	Model      string      `yaml:"model" validate:"required"`
	Workspaces []Workspace `yaml:"workspaces" validate:"required,min=1,dive"`
	Targets    []Target    `yaml:"targets" validate:"required,min=1,dive"`
	Events     []Event     `yaml:"events" validate:"omitempty,dive"`
	// Inventory is a CSV file with the columns id and price_per_hour, by which
	// the cost of the listed servers is added up; empty leaves it out.
	Inventory string `yaml:"inventory"`
	// StartedPrice is the price an hour of each instance that the cloud started.
	StartedPrice float64 `yaml:"started_price" validate:"min=0"`

	Telemetry telemetry.Settings `yaml:"telemetry"`
}

// Arrivals describe an open-loop process that alternates between calm and
// bursts.
type Arrivals struct {
	// Rate is the mean number of requests a second, bursts included.
	Rate float64 `yaml:"rate" validate:"required,gt=0"`
	// BurstFactor is the rate of a burst over the rate of the calm.
	BurstFactor float64 `yaml:"burst_factor" validate:"omitempty,min=1"`
	// BurstShare is the share of time in bursts.
	BurstShare float64 `yaml:"burst_share" validate:"min=0,lt=1"`
	// BurstLength is the mean length of a burst.
	BurstLength time.Duration `yaml:"burst_length" validate:"min=0"`
}

// Workspace is a group of callers.
type Workspace struct {
	Name   string  `yaml:"name" validate:"required"`
	Key    string  `yaml:"key" validate:"required"`
	Weight float64 `yaml:"weight" validate:"gt=0"`
}

// Target is one system under test. All targets get the same requests.
type Target struct {
	Name string `yaml:"name" validate:"required"`
	// Gateways are host:port by IP number; callers are spread over them.
	Gateways []string `yaml:"gateways" validate:"required,min=1,dive,hostname_port"`
	// Control is the control address of the kumquat-standin behind the target.
	Control string `yaml:"control" validate:"omitempty,hostname_port"`
}

// Event changes a stand-in during a run. Of Faults, Reclaim and Restart, those
// that are set are applied in this order.
type Event struct {
	// At is the time after the first arrival.
	At time.Duration `yaml:"at" validate:"min=0"`
	// Standin is its id; "*" is all of them.
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
	defaultPatience    = time.Minute
	defaultBurstFactor = 3
	defaultBurstLength = 2 * time.Second
)

// WithDefaults returns the scenario with defaults for what is not set.
func (s Scenario) WithDefaults() (Scenario, error) {
	if s.Rounds == 0 {
		s.Rounds = 1
	}
	if s.CallerTimeout == 0 {
		s.CallerTimeout = defaultPatience
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
