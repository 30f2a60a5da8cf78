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

// ErrUnavailable means that there are no servers of the market in the zone now.
var ErrUnavailable = errors.New("no server of this market can be had in the zone now")

// Provisioner takes orders. It fails with ErrUnavailable, or duty.ErrFenced
// after a holder with a higher fencing number.
type Provisioner interface {
	OrderServers(ctx context.Context, fence uint64, o Order) error
}

// Runner plans and orders servers while the duty is held.
type Runner struct {
	Provisioner Provisioner
	Snapshot    func() *fleet.Snapshot
	Predictor   *forecast.Predictor
	Demand      *demand.Meter
	// MaxStaleness returns how old what instances know of each other may be.
	MaxStaleness func() time.Duration
	Log          *logrus.Entry

	scalers map[string]*Scaler
}

const (
	planInterval = 250 * time.Millisecond
	// maxRounds bounds the plans made at once after refusals.
	maxRounds = 6
)

// Run orders until ctx is done. check fails once the duty may be another's.
func (r *Runner) Run(ctx context.Context, fence uint64, check func() error) error {
	r.scalers = make(map[string]*Scaler)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		picture := r.Snapshot()
		if picture == nil {
			continue
		}
		for _, pool := range picture.Config.Pools {
			if pool.Scaling == nil || len(picture.Servers[pool.Name]) == 0 {
				continue
			}
			if err := r.scale(ctx, pool, fence, check); err != nil {
				return err
			}
		}
	}
}

// scale plans a pool and sends the orders; a refused order is planned around at once.
func (r *Runner) scale(ctx context.Context, pool *fleet.Pool, fence uint64, check func() error) error {
	scaler := r.scalers[pool.Name]
	if scaler == nil {
		scaler = New(DefaultSettings)
		r.scalers[pool.Name] = scaler
	}
	for range maxRounds {
		refused, err := r.sendPlan(ctx, pool, scaler, fence, check)
		if err != nil || !refused {
			return err
		}
	}
	return nil
}

// sendPlan sends the orders of one plan up to the first that is refused.
func (r *Runner) sendPlan(ctx context.Context, pool *fleet.Pool, scaler *Scaler, fence uint64, check func() error) (refused bool, err error) {
	now := time.Now()
	in := Input{Pool: pool, Servers: r.Snapshot().Servers[pool.Name], Load: r.load(pool, now), Now: now}
	for _, o := range scaler.Plan(in) {
		if err := check(); err != nil {
			return false, err
		}
		outcome, err := r.send(ctx, fence, o, &in)
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

func (r *Runner) send(ctx context.Context, fence uint64, o Order, in *Input) (Outcome, error) {
	err := r.Provisioner.OrderServers(ctx, fence, o)
	fields := logrus.Fields{
		"event": "servers_ordered", "pool": o.Pool, "zone": o.Zone, "reclaimable": o.Reclaimable, "servers": o.Servers, "fence": fence,
		"tokens_per_s": int(in.Load.TokensPerSecond), "server_rate": int(in.Load.ServerRate), "running": in.Load.Running, "serving": count(in.Servers).total(),
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
		entry.WithError(err).Warn("another instance holds the duty")
		return Unknown, err
	default:
		entry.WithError(err).Info("order may not have arrived")
		return Unknown, nil
	}
}

// load is what the pool is asked for, as far as this instance knows.
func (r *Runner) load(pool *fleet.Pool, now time.Time) Load {
	l := Load{ServerRate: r.Predictor.Rate(pool.Name), TokensPerSecond: r.Demand.Total(pool.Name, now)}
	l.Known, l.MaxStaleness = r.Demand.Known(pool.Name, now), r.MaxStaleness()
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
