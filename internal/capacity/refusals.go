package capacity

import (
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Delays before a lot whose start was refused is tried again.
const (
	firstRefusalDelay   = 15 * time.Second
	longestRefusalDelay = 10 * time.Minute
	refusalDelayFactor  = 2
)

// Refusals remembers the lots in which the cloud refused a start. The zero
// Refusals remembers none. It is not safe for concurrent use.
type Refusals struct {
	lots map[Kind]*refusal
}

type refusal struct {
	delays *backoff.ExponentialBackOff
	until  time.Time
}

// RecordRefusal notes that a start in lot was refused at now. The lot is left out
// for a delay that doubles with each refusal.
func (r *Refusals) RecordRefusal(lot Kind, now time.Time) {
	if r.lots == nil {
		r.lots = make(map[Kind]*refusal)
	}
	entry, ok := r.lots[lot]
	if !ok {
		delays := backoff.NewExponentialBackOff()
		delays.InitialInterval, delays.MaxInterval = firstRefusalDelay, longestRefusalDelay
		delays.Multiplier, delays.RandomizationFactor = refusalDelayFactor, 0
		entry = &refusal{delays: delays}
		r.lots[lot] = entry
	}
	entry.until = now.Add(entry.delays.NextBackOff())
}

// RecordStart notes that a start in lot was accepted.
func (r *Refusals) RecordStart(lot Kind) { delete(r.lots, lot) }

// Offers returns the offers that can be counted on at now: a lot that is left
// out keeps the instances that run in it.
func (r *Refusals) Offers(offers []Offer, running map[Kind]int, now time.Time) []Offer {
	out := make([]Offer, 0, len(offers))
	for _, o := range offers {
		if entry, ok := r.lots[o.Kind]; ok && now.Before(entry.until) {
			o.Max = min(o.Max, running[o.Kind])
		}
		out = append(out, o)
	}
	return out
}

// Change is a number of instances to start, or to give back when negative.
type Change struct {
	Kind
	Instances int
}

// Changes returns what leads from the running instances to the plan, sorted
// by lot. Instances of lots that the plan leaves out are given back.
func Changes(plan Plan, running map[Kind]int) []Change {
	left := make(map[Kind]int, len(running))
	for lot, n := range running {
		left[lot] = -n
	}
	for _, c := range plan.Counts {
		left[c.Kind] += c.Instances
	}
	var changes []Change
	for lot, n := range left {
		if n != 0 {
			changes = append(changes, Change{Kind: lot, Instances: n})
		}
	}
	sortChanges(changes)
	return changes
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return a.compare(b.Kind) })
}
