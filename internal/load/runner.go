package load

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// settleTime is the wait before the stand-ins' counters are read, in which they
// finish requests that callers have abandoned.
const settleTime = 200 * time.Millisecond

// Runner runs a scenario against its targets.
type Runner struct {
	scenario Scenario
	log      *logrus.Entry
	prices   prices
}

// NewRunner returns a Runner for a scenario returned by WithDefaults.
func NewRunner(s Scenario, log *logrus.Entry) *Runner {
	return &Runner{scenario: s, log: log}
}

// Run sends the scenario's requests to each target in turn and returns one result
// per target.
func (r *Runner) Run(ctx context.Context) ([]*TargetResult, error) {
	var err error
	if r.prices, err = readPrices(r.scenario.Inventory); err != nil {
		return nil, err
	}
	results := make([]*TargetResult, len(r.scenario.Targets))
	for i := range r.scenario.Targets {
		results[i] = newTargetResult(&r.scenario.Targets[i])
	}
	for round := range r.scenario.Rounds {
		for i, result := range results {
			// Each round starts with a different target.
			result = results[(i+round)%len(results)]
			r.log.WithFields(logrus.Fields{"round": round, "target": result.Target.Name}).Info("sending")
			if err := r.runRound(ctx, result, round); err != nil {
				return nil, fmt.Errorf("run a round against target %s: %w", result.Target.Name, err)
			}
		}
	}
	return results, nil
}

// runRound sends all requests to one target and adds the outcomes to result.
func (r *Runner) runRound(ctx context.Context, result *TargetResult, round int) error {
	ctl, before, err := r.readBefore(result.Target)
	if err != nil {
		return err
	}
	run := fmt.Sprintf("%s-%d-%d-%d", result.Target.Name, r.scenario.Seed, round, time.Now().UnixNano())
	start := time.Now()
	stopEvents := r.startEvents(ctx, ctl, start)
	stopMeter := r.startMeter(ctx, ctl)
	outcomes, err := r.send(ctx, newGenerator(&r.scenario, run), newClient(result.Target, &r.scenario), start)
	eventsErr := stopEvents()
	result.Cost += stopMeter()
	if err != nil {
		return err
	}
	if eventsErr != nil {
		return eventsErr
	}
	result.Elapsed += time.Since(start)
	return r.account(ctl, result, before, outcomes)
}

// readBefore returns the control client of a target and the stand-ins' counters
// before the round. The client is nil if the target has no control address.
func (r *Runner) readBefore(t *Target) (*control, groundTruth, error) {
	if t.Control == "" {
		return nil, groundTruth{}, nil
	}
	ctl := newControl(t.Control)
	before, err := ctl.read()
	return ctl, before, err
}

// send sends each request at its arrival time without waiting for earlier ones,
// and returns once all have ended.
func (r *Runner) send(ctx context.Context, g *generator, c *client, start time.Time) ([]*Outcome, error) {
	outcomes := make([]*Outcome, len(g.times))
	var callers conc.WaitGroup
	defer callers.Wait()
	for {
		request, err := g.request()
		if err != nil || request == nil {
			callers.Wait()
			return outcomes, err
		}
		due := start.Add(request.At)
		if err := sleepUntil(ctx, due); err != nil {
			return nil, err
		}
		callers.Go(func() { outcomes[request.Number] = c.send(request, due) })
	}
}

func sleepUntil(ctx context.Context, due time.Time) error {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// startEvents applies the scenario's events at their times. The returned function
// stops this and returns the first error.
func (r *Runner) startEvents(ctx context.Context, ctl *control, start time.Time) func() error {
	ctx, cancel := context.WithCancel(ctx)
	var first error
	var events conc.WaitGroup
	events.Go(func() {
		for _, e := range r.scenario.Events {
			if ctl == nil || sleepUntil(ctx, start.Add(e.At)) != nil {
				return
			}
			r.log.WithFields(logrus.Fields{"at": e.At, "standin": e.Standin}).Info("event")
			if err := ctl.apply(e); err != nil && first == nil {
				first = err
			}
		}
	})
	return func() error {
		cancel()
		events.Wait()
		return first
	}
}

// account adds a round's outcomes, the stand-ins' counters and any violations to
// result.
func (r *Runner) account(ctl *control, result *TargetResult, before groundTruth, outcomes []*Outcome) error {
	ideal := newIdealCache()
	for _, o := range outcomes {
		result.add(o)
		if o.Request.Chat != nil && o.Result == OK {
			ideal.add(o.Request)
		}
	}
	result.IdealPromptTokens += ideal.tokens
	if ctl == nil {
		result.Violations = append(result.Violations, verify(outcomes, groundTruth{}.Services, groundTruth{}.Engines, false)...)
		return nil
	}
	time.Sleep(settleTime)
	after, err := ctl.read()
	if err != nil {
		return err
	}
	delta := after.since(before)
	result.GroundTruth.accumulate(delta)
	result.Violations = append(result.Violations, verify(outcomes, delta.Services, delta.Engines, true)...)
	return nil
}
