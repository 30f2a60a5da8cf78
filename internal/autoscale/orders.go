package autoscale

import (
	"slices"
	"time"
)

// coming is the number of servers that an accepted order will have brought
// about once they have booted; 0 when they were taken back since.
func (s *Scaler) coming(in Input, key lotKey) int {
	l := s.lots[key]
	if l == nil || !l.accepted || !l.refusedAt.Before(l.orderedAt) || in.Now.Sub(l.orderedAt) > in.Pool.Scaling.BootTime+s.settings.ResendAfter {
		return 0
	}
	return l.ordered
}

// overdue reports whether reclaimable servers of an accepted order should be
// there by now and are not.
func (s *Scaler) overdue(in Input, key lotKey, present int) bool {
	l := s.lots[key]
	return l != nil && l.accepted && present < l.ordered &&
		in.Now.Sub(l.orderedAt) > in.Pool.Scaling.BootTime+s.settings.ResendAfter
}

// orders compares the target with what was ordered and what is there.
func (s *Scaler) orders(in Input, have *census, target map[lotKey]int) []Order {
	var orders []Order
	for _, reclaimable := range []bool{true, false} {
		for _, zone := range in.zones() {
			key := lotKey{zone, reclaimable}
			if reclaimable && in.Pool.Scaling.ReclaimablePrice <= 0 {
				continue
			}
			if s.wanted(in, key, have.present[key], target[key]) {
				orders = append(orders, Order{Pool: in.Pool.Name, Zone: zone, Reclaimable: reclaimable, Servers: target[key]})
			}
		}
	}
	// Servers are added before others are given back; a refused order is planned
	// around before any are.
	slices.SortStableFunc(orders, func(a, b Order) int {
		return (b.Servers - have.present[b.lot()]) - (a.Servers - have.present[a.lot()])
	})
	return orders
}

// wanted reports whether an order has to be sent.
func (s *Scaler) wanted(in Input, key lotKey, present, target int) bool {
	l := s.lot(key)
	switch {
	case l.ordered < 0 && present == target:
		return false
	case s.refused(in, key) && target >= present:
		return false
	case l.ordered != target:
		return true
	case !l.accepted:
		return in.Now.Sub(l.orderedAt) >= s.settings.ResendAfter
	case present != target:
		return in.Now.Sub(l.orderedAt) >= in.Pool.Scaling.BootTime+s.settings.ResendAfter
	default:
		return false
	}
}

// RecordOutcome records the outcome of an order.
func (s *Scaler) RecordOutcome(o Order, outcome Outcome, now time.Time) {
	l := s.lot(o.lot())
	l.ordered, l.orderedAt = o.Servers, now
	l.accepted = outcome == Accepted
	switch outcome {
	case Accepted:
		l.refusedAt = time.Time{}
	case Unavailable:
		l.refusedAt = now
	}
}

// Outcome is what became of an order.
type Outcome uint8

const (
	// Accepted orders are carried out.
	Accepted Outcome = iota + 1
	// Unavailable means that there are no such servers now.
	Unavailable
	// Unknown means that the order may or may not be carried out, even late.
	Unknown
)
