package autoscale

import (
	"slices"
	"time"
)

// expectedServers returns the number of servers of an accepted order that may still be
// booting; 0 when the group's servers were reclaimed since the order.
func (s *Scaler) expectedServers(in Input, key groupKey) int {
	g := s.groups[key]
	if g == nil || !g.accepted || !g.refusedAt.Before(g.orderedAt) || in.Now.Sub(g.orderedAt) > in.Pool.Scaling.BootTime+s.settings.ResendAfter {
		return 0
	}
	return g.ordered
}

// overdue reports whether servers of an accepted order are still missing after the
// boot time and ResendAfter.
func (s *Scaler) overdue(in Input, key groupKey, present int) bool {
	g := s.groups[key]
	return g != nil && g.accepted && present < g.ordered &&
		in.Now.Sub(g.orderedAt) > in.Pool.Scaling.BootTime+s.settings.ResendAfter
}

// orders returns the orders that are due to reach the target.
func (s *Scaler) orders(in Input, counts *serverCounts, target map[groupKey]int) []Order {
	var orders []Order
	for _, reclaimable := range []bool{true, false} {
		for _, zone := range in.zones() {
			key := groupKey{zone, reclaimable}
			if reclaimable && in.Pool.Scaling.ReclaimablePrice <= 0 {
				continue
			}
			if s.orderDue(in, key, counts.present[key], target[key]) {
				orders = append(orders, Order{Pool: in.Pool.Name, Zone: zone, Reclaimable: reclaimable, Servers: target[key]})
			}
		}
	}
	// Servers are added before others are released. A refused order therefore leads
	// to a new plan before any server is released.
	slices.SortStableFunc(orders, func(a, b Order) int {
		return (b.Servers - counts.present[b.group()]) - (a.Servers - counts.present[a.group()])
	})
	return orders
}

// orderDue reports whether an order has to be sent to bring a group from present to
// target servers.
func (s *Scaler) orderDue(in Input, key groupKey, present, target int) bool {
	g := s.group(key)
	switch {
	case g.ordered < 0 && present == target:
		return false
	case s.recentlyRefused(in, key) && target >= present:
		return false
	case g.ordered != target:
		return true
	case !g.accepted:
		return in.Now.Sub(g.orderedAt) >= s.settings.ResendAfter
	case present != target:
		return in.Now.Sub(g.orderedAt) >= in.Pool.Scaling.BootTime+s.settings.ResendAfter
	default:
		return false
	}
}

// RecordOutcome records the outcome of a sent order.
func (s *Scaler) RecordOutcome(o Order, outcome Outcome, now time.Time) {
	g := s.group(o.group())
	g.ordered, g.orderedAt = o.Servers, now
	g.accepted = outcome == Accepted
	switch outcome {
	case Accepted:
		g.refusedAt = time.Time{}
	case Unavailable:
		g.refusedAt = now
	}
}

// Outcome is the outcome of an order.
type Outcome uint8

const (
	// Accepted means that the order will be fulfilled.
	Accepted Outcome = iota + 1
	// Unavailable means that no such servers are available now.
	Unavailable
	// Unknown means that the order may be fulfilled, possibly late, or not at all.
	Unknown
)
