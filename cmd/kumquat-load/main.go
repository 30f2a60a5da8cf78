// Command kumquat-load sends a deployment's mix of requests to gateways, verifies
// every answer and writes a report. Its exit code is 3 if a guarantee was
// violated.
package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"kumquatyard/internal/load"
	"kumquatyard/internal/process"
	"kumquatyard/internal/telemetry"
)

const (
	name         = "kumquat-load"
	exitViolated = 3
)

func main() {
	var s load.Settings
	report := "report"
	violated := false
	flaggy.String(&report, "r", "report", "directory of the report")
	code := process.Main(name, "load generation and measurement for kumquatyard", &s, func(ctx context.Context) error {
		var err error
		violated, err = run(ctx, s, report)
		return err
	})
	if code == process.ExitOK && violated {
		code = exitViolated
	}
	os.Exit(code)
}

// run makes the configured measurements, writes their reports, and reports
// whether a guarantee was violated.
func run(ctx context.Context, s load.Settings, report string) (violated bool, err error) {
	log := telemetry.NewLogger(name, "load", s.Telemetry.LogLevel)
	if s.Overhead != nil {
		result, err := load.MeasureOverhead(ctx, *s.Overhead, log)
		if err != nil {
			return false, err
		}
		if err := load.WriteOverhead(report, *s.Overhead, result); err != nil {
			return false, err
		}
	}
	if s.Scenario == nil {
		return false, nil
	}
	scenario, err := s.Scenario.WithDefaults()
	if err != nil {
		return false, err
	}
	results, err := load.NewRunner(scenario, log).Run(ctx)
	if err != nil {
		return false, err
	}
	return load.Violated(results), load.WriteReport(report, scenario, results)
}
