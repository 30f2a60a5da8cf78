// Command kumquat-standin runs stand-ins of the systems outside kumquatyard, for
// demonstrations and tests.
package main

import (
	"context"
	"os"

	"kumquatyard/internal/process"
	"kumquatyard/internal/standin"
	"kumquatyard/internal/telemetry"
)

const name = "kumquat-standin"

func main() {
	var s standin.Settings
	os.Exit(process.Main(name, "stand-ins of the systems outside kumquatyard", &s, func(ctx context.Context) error {
		return run(ctx, s)
	}))
}

func run(ctx context.Context, s standin.Settings) error {
	log := telemetry.NewLogger(name, "standin", s.Telemetry.LogLevel)
	var health telemetry.Health
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		if err := telemetry.Serve(ctx, s.Telemetry.Listen, &health, nil); err != nil {
			cancel(err)
		}
	}()
	health.SetReady(true)
	return standin.NewGroup(s, log).Run(ctx)
}
