package load

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// settleTime is how long the stand-ins get to finish what callers gave up.
const settleTime = 200 * time.Millisecond

// Runner carries a scenario out.
type Runner struct {
	scenario Scenario
	log      *logrus.Entry
	prices   prices
}

// NewRunner returns a Runner of a scenario that has its defaults.
func NewRunner(s Scenario, log *logrus.Entry) *Runner {
	return &Runner{scenario: s, log: log}
}

// Run sends the scenario's requests to each target in turn and returns what
// was seen of each.
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
			// Each round starts with another target.
			result = results[(i+round)%len(results)]
			r.log.WithFields(logrus.Fields{"round": round, "target": result.Target.Name}).Info("sending")
			if err := r.runRound(ctx, result, round); err != nil {
				return nil, fmt.Errorf("target %s: %w", result.Target.Name, err)
			}
		}
	}
	return results, nil
}

// runRound sends all requests to one target and checks the outcomes.
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

func (r *Runner) readBefore(t *Target) (*control, truth, error) {
	if t.Control == "" {
		return nil, truth{}, nil
	}
	ctl := newControl(t.Control)
	before, err := ctl.read()
	return ctl, before, err
}

// send starts each request at its arrival time, whatever became of the earlier
// ones, and waits for all outcomes.
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

// startEvents applies the scenario's events on time. The returned function
// ends that and returns the first error.
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

// account adds a round's outcomes to the target's result.
func (r *Runner) account(ctl *control, result *TargetResult, before truth, outcomes []*Outcome) error {
	ideal := newIdealCache()
	for _, o := range outcomes {
		result.add(o)
		if o.Request.Chat != nil && o.Result == OK {
			ideal.add(o.Request)
		}
	}
	result.IdealPromptTokens += ideal.tokens
	if ctl == nil {
		result.Violations = append(result.Violations, verify(outcomes, truth{}.Services, truth{}.Engines, false)...)
		return nil
	}
	time.Sleep(settleTime)
	after, err := ctl.read()
	if err != nil {
		return err
	}
	seen := after.since(before)
	result.GroundTruth.accumulate(seen)
	result.Violations = append(result.Violations, verify(outcomes, seen.Services, seen.Engines, true)...)
	return nil
}
