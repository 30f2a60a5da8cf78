// Command kumquat-load sends a deployment's mix of requests to gateways,
// checks every answer and writes a report. It exits with 3 when a promise was
// seen broken.
package main

import (
	"context"
	"fmt"
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
	var s load.Scenario
	report := "report"
	violated := false
	flaggy.String(&report, "r", "report", "directory of the report")
	code := process.Main(name, "load and measurement of kumquatyard", &s, func(ctx context.Context) error {
		var err error
		violated, err = run(ctx, s, report)
		return err
	})
	if code == process.ExitOK && violated {
		code = exitViolated
	}
	os.Exit(code)
}

func run(ctx context.Context, s load.Scenario, report string) (violated bool, err error) {
	s, err = s.WithDefaults()
	if err != nil {
		return false, err
	}
	log := telemetry.NewLogger(name, "load", s.Telemetry.LogLevel)
	results, err := load.NewRunner(s, log).Run(ctx)
	if err != nil {
		return false, err
	}
	if err := load.WriteReport(report, s, results); err != nil {
		return false, err
	}
	fmt.Println(report + "/report.md")
	return load.Violated(results), nil
}
