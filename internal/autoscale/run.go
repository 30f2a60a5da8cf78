package autoscale

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/demand"
	"kumquatyard/internal/duty"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
)

// ErrUnavailable means that no server of the market is available in the zone now.
var ErrUnavailable = errors.New("no server of the ordered market is available in the zone")

// Provisioner fulfills orders. OrderServers fails with ErrUnavailable when there are no
// such servers, and with duty.ErrFenced after an order with a higher fencing token.
type Provisioner interface {
	OrderServers(ctx context.Context, fencingToken uint64, o Order) error
}

// Runner plans and orders servers while the duty is held.
type Runner struct {
	Provisioner Provisioner
	Snapshot    func() *fleet.Snapshot
	Predictor   *forecast.Predictor
	Demand      *demand.Meter
	// MaxStaleness bounds the age of what instances know of each other's requests.
	MaxStaleness func() time.Duration
	// Covers reports whether the demand and the running requests that are known here are those of
	// nearly all instances; nil means always.
	Covers func(now time.Time) bool
	// OnHold reports whether the number of a pool's servers says nothing about its spare capacity, so
	// that no servers are ordered or released; nil means never.
	OnHold func(pool string, now time.Time) bool
	Log    *logrus.Entry

	scalers map[string]*Scaler
}

const (
	planInterval = 250 * time.Millisecond
	// maxPlans bounds the plans for a pool in one interval: a refused order leads to a
	// new plan at once.
	maxPlans = 6
)

// Run plans and sends orders until ctx is done. check fails once another instance may
// hold the duty.
func (r *Runner) Run(ctx context.Context, fencingToken uint64, check func() error) error {
	r.scalers = make(map[string]*Scaler)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		snapshot := r.Snapshot()
		if snapshot == nil {
			continue
		}
		for _, pool := range snapshot.Config.Pools {
			if pool.Scaling == nil || len(snapshot.Servers[pool.Name]) == 0 || r.OnHold != nil && r.OnHold(pool.Name, time.Now()) {
				continue
			}
			if err := r.scale(ctx, pool, fencingToken, check); err != nil {
				return err
			}
		}
	}
}

// scale plans a pool and sends the orders. After a refused order it plans again
// immediately.
func (r *Runner) scale(ctx context.Context, pool *fleet.Pool, fencingToken uint64, check func() error) error {
	scaler := r.scalers[pool.Name]
	if scaler == nil {
		scaler = New(DefaultSettings)
		r.scalers[pool.Name] = scaler
	}
	for range maxPlans {
		refused, err := r.sendPlan(ctx, pool, scaler, fencingToken, check)
		if err != nil || !refused {
			return err
		}
	}
	return nil
}

// sendPlan sends the orders of one plan up to the first refused one.
func (r *Runner) sendPlan(ctx context.Context, pool *fleet.Pool, scaler *Scaler, fencingToken uint64, check func() error) (refused bool, err error) {
	now := time.Now()
	in := Input{Pool: pool, Servers: r.Snapshot().Servers[pool.Name], Load: r.load(pool, now), Now: now}
	for _, o := range scaler.Plan(in) {
		if err := check(); err != nil {
			return false, err
		}
		outcome, err := r.send(ctx, fencingToken, o, &in)
		if err != nil {
			return false, err
		}
		scaler.RecordOutcome(o, outcome, time.Now())
		if outcome == Unavailable {
			return true, nil
		}
	}
	return false, nil
}

// send sends an order and logs its outcome.
func (r *Runner) send(ctx context.Context, fencingToken uint64, o Order, in *Input) (Outcome, error) {
	err := r.Provisioner.OrderServers(ctx, fencingToken, o)
	fields := logrus.Fields{
		"event": "servers_ordered", "pool": o.Pool, "zone": o.Zone, "reclaimable": o.Reclaimable, "servers": o.Servers, "fence": fencingToken,
		"tokens_per_s": int(in.Load.TokensPerSecond), "server_rate": int(in.Load.ServerRate), "running": in.Load.Running, "serving": countServers(in.Servers).total(), "partial": in.Load.Partial,
	}
	entry := r.Log.WithFields(fields)
	switch {
	case err == nil:
		entry.Info("order accepted")
		return Accepted, nil
	case errors.Is(err, ErrUnavailable):
		entry.WithError(err).Info("order refused")
		return Unavailable, nil
	case errors.Is(err, duty.ErrFenced):
		entry.WithError(err).Warn("order rejected: another instance holds the duty")
		return Unknown, err
	default:
		entry.WithError(err).Info("order failed; it may still be fulfilled")
		return Unknown, nil
	}
}

// load returns the load of the pool as known to this instance.
func (r *Runner) load(pool *fleet.Pool, now time.Time) Load {
	l := Load{ServerRate: r.Predictor.Rate(pool.Name), TokensPerSecond: r.Demand.Total(pool.Name, now)}
	l.Known, l.MaxStaleness = r.Demand.Known(pool.Name, now), r.MaxStaleness()
	l.Partial = r.Covers != nil && !r.Covers(now)
	if pool.Engine != nil {
		l.Slots = pool.Engine.Slots
	}
	ids := make([]machine.ID, 0, len(r.Snapshot().Servers[pool.Name]))
	for _, s := range r.Snapshot().Servers[pool.Name] {
		ids = append(ids, s.ID)
	}
	l.Running = r.Predictor.Running(ids, now)
	return l
}
