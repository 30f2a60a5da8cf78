// Package placementduty orders the engines of a zone to load models, as planned by
// internal/placement. One agent of the zone at a time holds the duty
// "placement/ZONE". Its orders are level-triggered: each round repeats the order to
// every engine that does not report the assigned models yet, so lost orders need no
// record.
//
// An order has the holder's fencing token and a deadline before the end of the
// lease. The deadline is set before the lease is checked, so if the holder is
// paused at any point, its order is void by the time another holder may act.
package placementduty

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/duty"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/member"
	"kumquatyard/internal/placement"
)

// candidates is the number of the zone's agents that compete for the duty. It
// keeps the reads of the key-value service independent of the zone's size.
const candidates = 3

// errFenced means that an engine has seen a newer holder of the duty.
var errFenced = errors.New("an engine refused the fencing token: a newer holder of the duty has a higher one")

// Fleet is the view of the zone that the duty needs.
type Fleet interface {
	// Servers returns the zone's configured servers that are not drained.
	Servers() []machine.Server
	// States returns the merged states of the zone's servers.
	States() []machine.State
	// Live returns the ids of the zone's live agents.
	Live() []string
}

// Options configure the duty.
type Options struct {
	Zone string
	// Holder is the agent's id.
	Holder   string
	Settings Settings
	Timing   Timing
	KV       duty.KV
	Fleet    Fleet
	Sender   Sender
	Log      *logrus.Entry
}

// New returns the placement duty of the zone, which the agent runs.
func New(o Options) *duty.Duty {
	name := "placement/" + o.Zone
	return &duty.Duty{
		Name: name, Holder: o.Holder, KV: o.KV, Settings: o.Timing.duty(), Log: o.Log,
		Candidate: func() bool {
			return slices.Contains(member.Rendezvous(name, o.Fleet.Live(), candidates), o.Holder)
		},
		Perform: func(ctx context.Context, lease *duty.Lease) error { return newRunner(o, lease).run(ctx) },
	}
}

// runner plans and sends orders under one lease.
type runner struct {
	Options
	lease       *duty.Lease
	assignments map[machine.ID]*assignment
	demand      demand
}

// assignment is the set of models assigned to one incarnation of an engine.
type assignment struct {
	incarnation uint64
	models      []string
	// changed is when models last changed.
	changed time.Time
	// acknowledged is set when the engine accepts an order of this lease. Until
	// then it may still accept orders of a former holder.
	acknowledged bool
}

func newRunner(o Options, lease *duty.Lease) *runner {
	return &runner{Options: o, lease: lease, assignments: map[machine.ID]*assignment{}}
}

func (r *runner) run(ctx context.Context) error {
	ticker := time.NewTicker(r.Timing.Interval)
	defer ticker.Stop()
	for {
		if err := r.round(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// round updates the plan and sends an order to each engine that does not report
// its assigned models, or has not acknowledged an order of this lease.
func (r *runner) round(ctx context.Context) error {
	engines := slices.DeleteFunc(servingEngines(r.Fleet.Servers(), r.Fleet.States()), r.servesAll)
	r.plan(engines, time.Now())
	orders := pool.New().WithErrors().WithFirstError().WithMaxGoroutines(maxOrders)
	for _, e := range engines {
		a := r.assignments[e.server.ID]
		// An empty assignment is not ordered: the engine keeps its models until it
		// is assigned others.
		if len(a.models) == 0 || a.acknowledged && sameSet(a.models, e.state.Load.Adapters) {
			continue
		}
		orders.Go(func() error { return r.order(ctx, e.server, a) })
	}
	return orders.Wait()
}

// servesAll reports whether e loads models on demand: it reports no loaded models
// and has no assignment. Routing assumes that such an engine serves every model.
// An order would make it refuse requests for a model until that is loaded.
func (r *runner) servesAll(e engine) bool {
	a := r.assignments[e.server.ID]
	return len(e.state.Load.Adapters) == 0 && (a == nil || a.incarnation != e.state.Incarnation)
}

// plan updates the assignments. It drops those of engines that no longer serve.
func (r *runner) plan(engines []engine, now time.Time) {
	r.demand.add(engines)
	in := placement.Input{Demand: r.demand.tokens, Limits: r.Settings.limits()}
	for _, e := range engines {
		in.Engines = append(in.Engines, r.engineInput(e, now))
	}
	known := r.assignments
	r.assignments = make(map[machine.ID]*assignment, len(engines))
	for i, planned := range placement.Plan(in) {
		e := engines[i]
		a := known[planned.ID]
		if a == nil || a.incarnation != e.state.Incarnation {
			a = &assignment{incarnation: e.state.Incarnation}
		}
		if a.models == nil || !slices.Equal(a.models, planned.Models) {
			a.models, a.changed = planned.Models, now
			r.Log.WithField("server", planned.ID).WithField("models", strings.Join(planned.Models, ",")).
				WithField("fence", r.lease.FencingToken()).Info("models assigned to engine")
		}
		r.assignments[planned.ID] = a
	}
}

func (r *runner) engineInput(e engine, now time.Time) placement.Engine {
	out := placement.Engine{ID: e.server.ID, Pool: e.server.Pool, Holds: e.server.Models, Loaded: e.state.Load.Adapters}
	if a := r.assignments[e.server.ID]; a != nil && a.incarnation == e.state.Incarnation {
		out.Ordered = a.models
		out.CooledDown = now.Sub(a.changed) >= r.Timing.Cooldown
	}
	return out
}

// order sends one order. It sets the deadline before it checks the lease, so that
// the order is void after a pause at any point after the check.
func (r *runner) order(ctx context.Context, server machine.Server, a *assignment) error {
	if ctx.Err() != nil {
		return nil
	}
	o := Order{
		FencingToken: r.lease.FencingToken(), Models: a.models,
		DeadlineUnixMS: time.Now().Add(r.Timing.Lifetime).UnixMilli(),
	}
	if err := r.lease.Check(); err != nil {
		count("lease_lapsed")
		return err
	}
	status, err := r.Sender.Send(server.Address, o, r.Timing.Timeout)
	result := resultOf(status, err)
	count(result)
	switch result {
	case accepted:
		a.acknowledged = true
	case fenced:
		r.Log.WithField("server", server.ID).WithField("fence", o.FencingToken).Warn("engine refused the order to load its models: a newer holder of the duty has a higher fencing token; giving up the duty")
		return errFenced
	default:
		r.Log.WithField("server", server.ID).WithField("result", result).WithField("status", status).
			WithError(err).Debug("engine did not accept the order to load its models; repeating it")
	}
	return nil
}

// Results of orders, as in the label of the metric.
const (
	accepted = "accepted"
	fenced   = "fenced"
	expired  = "expired"
	refused  = "refused"
	noAnswer = "no_answer"
)

// resultOf returns the result of an order that was answered with status or failed
// with err.
func resultOf(status int, err error) string {
	switch {
	case err != nil:
		return noAnswer
	case status == 200:
		return accepted
	case status == 409:
		return fenced
	case status == 410:
		return expired
	default:
		return refused
	}
}

func count(result string) {
	metrics.GetOrCreateCounter(`kumquat_placement_orders_total{result="` + result + `"}`).Inc()
}
