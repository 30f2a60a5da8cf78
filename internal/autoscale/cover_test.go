package autoscale

import (
	"testing"
	"time"
)

// swapCloud has the reclaimable servers of one zone and, in another one at its limit, on-demand
// servers that replaced reclaimable ones.
func swapCloud(limit int) *cloud {
	c := &cloud{now: start.Add(time.Minute)}
	for range limit {
		c.servers = append(c.servers, &simServer{zone: "a", reclaimable: true, readyAt: start}, &simServer{zone: "c", readyAt: start})
	}
	return c
}

// Two zones' reclaimable servers were reclaimed before, and become available again: the zone with
// on-demand servers is at its limit, so these make room for the ordered ones. The third zone is
// reclaimed while those boot, and nothing is available any more. The running servers must cover the
// load at each moment, as they did before the swap.
func TestSwapWithinAZonesLimitKeepsTheCover(t *testing.T) {
	const limit, need = 20, 15
	for _, reclaimAfter := range []time.Duration{step, time.Second, 4 * time.Second, 9 * time.Second, 20 * time.Second} {
		c := swapCloud(limit)
		p := pool()
		p.Scaling.Max = limit
		scaler := New(DefaultSettings)
		for at := time.Duration(0); at < 30*time.Second; at += step {
			c.now = start.Add(time.Minute + at)
			if at == reclaimAfter {
				c.reclaim("a", 13*time.Second)
			}
			reported, capacity := c.list()
			if capacity < need {
				t.Fatalf("zone a reclaimed after %v: %d running servers %v later, want at least the %d that the load needs", reclaimAfter, capacity, at-reclaimAfter, need)
			}
			c.fulfill(scaler, Input{Pool: p, Servers: reported, Now: c.now, Load: Load{
				TokensPerSecond: need * 0.99 * DefaultSettings.Utilization * rate, ServerRate: rate, Slots: 64, Known: true,
			}})
		}
	}
}

// The swap goes on where another zone has room: in the end, the on-demand servers are released.
func TestOnDemandServersAreReleasedOnceTheCoverIsThere(t *testing.T) {
	const limit, need = 20, 15
	c := swapCloud(limit)
	p := pool()
	p.Scaling.Max = limit
	scaler := New(DefaultSettings)
	for at := time.Duration(0); at < 40*time.Second; at += step {
		c.now = start.Add(time.Minute + at)
		reported, _ := c.list()
		c.fulfill(scaler, Input{Pool: p, Servers: reported, Now: c.now, Load: Load{
			TokensPerSecond: need * 0.99 * DefaultSettings.Utilization * rate, ServerRate: rate, Slots: 64, Known: true,
		}})
	}
	reported, _ := c.list()
	counts := countServers(reported)
	for _, zone := range []string{"a", "b", "c"} {
		if n := counts.present[groupKey{zone, false}]; n > 0 {
			t.Errorf("%d on-demand servers of zone %s left, want none", n, zone)
		}
	}
}

// Pattern: the instance that was cut off with the duties takes them again before it hears of the
// others' requests: it knows a fifth of the load. It must not release servers by that.
func TestPartialLoadReleasesNoServers(t *testing.T) {
	c := swapCloud(20)
	p := pool()
	p.Scaling.Max = 20
	scaler := New(DefaultSettings)
	reported, _ := c.list()
	in := Input{Pool: p, Servers: reported, Now: c.now, Load: Load{
		TokensPerSecond: 3 * rate, ServerRate: rate, Slots: 64, Known: true, Partial: true,
	}}
	counts := countServers(reported)
	for _, o := range scaler.Plan(in) {
		if o.Servers < counts.present[o.group()] {
			t.Errorf("order %+v releases servers by a part of the load, want all %d kept", o, counts.present[o.group()])
		}
	}
}
