package autoscale

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/demand"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
)

// orderCount counts orders.
type orderCount struct{ atomic.Int64 }

func (c *orderCount) OrderServers(context.Context, uint64, Order) error {
	c.Add(1)
	return nil
}

// While a pool's servers of two versions run, none are ordered or released; afterwards those that are
// too many are released.
func TestNoOrdersWhileOnHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fleet.Pool{Name: "p", Scaling: &fleet.Scaling{Min: 1, Max: 100, ReclaimablePrice: 0.4, ZonePrices: map[string]float64{"a": 1}}}
		var servers []*fleet.Server
		for n := range 20 {
			servers = append(servers, &fleet.Server{Server: machine.Server{ID: machine.ID(fmt.Sprint(n)), Pool: "p", Zone: "a", Reclaimable: true}, Lifecycle: machine.Serving})
		}
		snapshot := &fleet.Snapshot{Config: fleet.NewConfig(1, nil, []*fleet.Pool{pool}, nil, fleet.Limits{}), Servers: map[string][]*fleet.Server{"p": servers}}
		log := logrus.New()
		log.SetOutput(io.Discard)
		var count orderCount
		var onHold atomic.Bool
		onHold.Store(true)
		r := &Runner{
			Provisioner: &count, Snapshot: func() *fleet.Snapshot { return snapshot }, Predictor: forecast.NewPredictor(), Demand: demand.New(),
			MaxStaleness: func() time.Duration { return 0 }, OnHold: func(string, time.Time) bool { return onHold.Load() }, Log: logrus.NewEntry(log),
		}
		ctx, cancel := context.WithTimeout(t.Context(), 80*time.Second)
		defer cancel()
		time.AfterFunc(30*time.Second, func() {
			if n := count.Load(); n > 0 {
				t.Errorf("%d orders while the pool was on hold, want none", n)
			}
			onHold.Store(false)
		})
		if err := r.Run(ctx, 1, func() error { return nil }); err != nil {
			t.Fatal(err)
		}
		if count.Load() == 0 {
			t.Error("no order after the hold, want idle servers to be released")
		}
	})
}
