// Command kumquat-gateway serves the callers of an entry instance, beside its
// kumquat-agent.
package main

import (
	"context"
	"os"

	"kumquatyard/internal/gateway"
	"kumquatyard/internal/link"
	"kumquatyard/internal/process"
	"kumquatyard/internal/telemetry"
)

const name = "kumquat-gateway"

func main() {
	s := gateway.DefaultSettings()
	os.Exit(process.Main(name, "serves callers: admission, routing, streams", &s, func(ctx context.Context) error {
		return run(ctx, s)
	}))
}

func run(ctx context.Context, s gateway.Settings) error {
	log := telemetry.NewLogger(name, s.ID, s.Telemetry.LogLevel)
	stopTracing, err := telemetry.StartTracing(ctx, name, s.ID, s.Telemetry)
	if err != nil {
		return err
	}
	defer func() { _ = stopTracing(context.WithoutCancel(ctx)) }()
	pool, err := link.NewPool(s.Link, log)
	if err != nil {
		return err
	}
	defer pool.Close()
	return gateway.New(s, pool, log).Run(ctx)
}
