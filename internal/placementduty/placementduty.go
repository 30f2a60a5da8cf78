// Package placementduty gives a zone's engines their orders. One agent of the
// zone holds the duty "placement/ZONE" and sends level-triggered orders: each
// round repeats what an engine does not report yet, so a lost order needs no
// record. An order carries the holder's fencing number and a deadline that
// lies before the lease's end, and is made before the lease is checked: however
// long the holder is frozen, and wherever, its order is void when it wakes.
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

// candidates is the number of the zone's agents that look at the duty, so that
// the reads of the key-value service do not grow with the zone.
const candidates = 3

// errFenced means that an engine has seen a newer holder.
var errFenced = errors.New("an engine refused the fencing number: another holds the duty")

// Fleet is what the duty needs to know of the zone.
type Fleet interface {
	// Servers returns the zone's configured servers that are not drained.
	Servers() []machine.Server
	// States returns the merged states of servers.
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

// New returns the duty as a component of the agent.
func New(o Options) *duty.Duty {
	name := "placement/" + o.Zone
	return &duty.Duty{
		Name: name, Holder: o.Holder, KV: o.KV, Settings: o.Timing.duty(), Log: o.Log,
		Candidate: func() bool {
			return slices.Contains(member.Rendezvous(name, o.Fleet.Live(), candidates), o.Holder)
		},
		Lead: func(ctx context.Context, lease *duty.Lease) error { return newLeader(o, lease).run(ctx) },
	}
}

// leader gives orders under one lease.
type leader struct {
	Options
	lease  *duty.Lease
	wishes map[machine.ID]*wish
	demand demand
}

// wish is what the leader has decided for one incarnation of an engine.
type wish struct {
	incarnation uint64
	models      []string
	// changed is when models last changed.
	changed time.Time
	// heard is true after the engine took an order of this lease. Until then it
	// may still take those of a former holder.
	heard bool
}

func newLeader(o Options, lease *duty.Lease) *leader {
	return &leader{Options: o, lease: lease, wishes: map[machine.ID]*wish{}}
}

func (l *leader) run(ctx context.Context) error {
	ticker := time.NewTicker(l.Timing.Interval)
	defer ticker.Stop()
	for {
		if err := l.round(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// round plans anew and orders what differs.
func (l *leader) round(ctx context.Context) error {
	engines := slices.DeleteFunc(servingEngines(l.Fleet.Servers(), l.Fleet.States()), l.servesAll)
	l.plan(engines, time.Now())
	orders := pool.New().WithErrors().WithFirstError().WithMaxGoroutines(maxOrders)
	for _, e := range engines {
		w := l.wishes[e.server.ID]
		// No engine is told to hold nothing; its models stay until it has others.
		if len(w.models) == 0 || w.heard && sameSet(w.models, e.state.Load.Adapters) {
			continue
		}
		orders.Go(func() error { return l.order(ctx, e.server, w) })
	}
	return orders.Wait()
}

// servesAll reports whether e loads models by itself: it reports none and was
// not ordered to hold any. It takes every model, as routing assumes of it, and
// an order would make it refuse those until they are loaded.
func (l *leader) servesAll(e engine) bool {
	w := l.wishes[e.server.ID]
	return len(e.state.Load.Adapters) == 0 && (w == nil || w.incarnation != e.state.Incarnation)
}

// plan updates the wishes; those of engines that no longer serve are forgotten.
func (l *leader) plan(engines []engine, now time.Time) {
	l.demand.add(engines)
	in := placement.Input{Demand: l.demand.tokens, Limits: l.Settings.limits()}
	for _, e := range engines {
		in.Engines = append(in.Engines, l.input(e, now))
	}
	known := l.wishes
	l.wishes = make(map[machine.ID]*wish, len(engines))
	for i, planned := range placement.Plan(in) {
		e := engines[i]
		w := known[planned.ID]
		if w == nil || w.incarnation != e.state.Incarnation {
			w = &wish{incarnation: e.state.Incarnation}
		}
		if w.models == nil || !slices.Equal(w.models, planned.Models) {
			w.models, w.changed = planned.Models, now
			l.Log.WithField("server", planned.ID).WithField("models", strings.Join(planned.Models, ",")).
				WithField("fence", l.lease.FencingToken()).Info("engine shall hold models")
		}
		l.wishes[planned.ID] = w
	}
}

func (l *leader) input(e engine, now time.Time) placement.Engine {
	out := placement.Engine{ID: e.server.ID, Pool: e.server.Pool, Holds: e.server.Models, Loaded: e.state.Load.Adapters}
	if w := l.wishes[e.server.ID]; w != nil && w.incarnation == e.state.Incarnation {
		out.Ordered = w.models
		out.CooledDown = now.Sub(w.changed) >= l.Timing.Cooldown
	}
	return out
}

// order sends one order. The deadline is set before the lease is checked, so
// that a pause at any point after the check leaves an order that is void.
func (l *leader) order(ctx context.Context, server machine.Server, w *wish) error {
	if ctx.Err() != nil {
		return nil
	}
	o := Order{
		FencingToken: l.lease.FencingToken(), Models: w.models,
		DeadlineUnixMS: time.Now().Add(l.Timing.Lifetime).UnixMilli(),
	}
	if err := l.lease.Check(); err != nil {
		count("lease_lapsed")
		return err
	}
	status, err := l.Sender.Send(server.Address, o, l.Timing.Timeout)
	result := resultOf(status, err)
	count(result)
	switch result {
	case accepted:
		w.heard = true
	case fenced:
		l.Log.WithField("server", server.ID).WithField("fence", o.FencingToken).Warn("order refused: another holds the duty")
		return errFenced
	default:
		l.Log.WithField("server", server.ID).WithField("result", result).WithField("status", status).
			WithError(err).Debug("order not taken")
	}
	return nil
}

// Results of orders in metrics.
const (
	accepted = "accepted"
	fenced   = "fenced"
	expired  = "expired"
	refused  = "refused"
	noAnswer = "no_answer"
)

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
