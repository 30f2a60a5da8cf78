package capacity

import (
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Backoff before another start of a kind whose start was refused.
const (
	initialRefusalDelay = 15 * time.Second
	maxRefusalDelay     = 10 * time.Minute
	refusalDelayFactor  = 2
)

// Refusals records the kinds of which the cloud refused to start a server. The zero
// value has none. It is not safe for concurrent use.
type Refusals struct {
	byKind map[Kind]*refusal
}

type refusal struct {
	delays *backoff.ExponentialBackOff
	until  time.Time
}

// RecordRefusal records that a start of kind was refused at now. No further servers
// of the kind are offered for a delay that doubles with each refusal.
func (r *Refusals) RecordRefusal(kind Kind, now time.Time) {
	if r.byKind == nil {
		r.byKind = make(map[Kind]*refusal)
	}
	entry, ok := r.byKind[kind]
	if !ok {
		delays := backoff.NewExponentialBackOff()
		delays.InitialInterval, delays.MaxInterval = initialRefusalDelay, maxRefusalDelay
		delays.Multiplier, delays.RandomizationFactor = refusalDelayFactor, 0
		entry = &refusal{delays: delays}
		r.byKind[kind] = entry
	}
	entry.until = now.Add(entry.delays.NextBackOff())
}

// RecordStart records that a start of kind was accepted, which resets its backoff.
func (r *Refusals) RecordStart(kind Kind) { delete(r.byKind, kind) }

// Offers returns the offers that are available at now. A kind in backoff is limited to
// its running servers.
func (r *Refusals) Offers(offers []Offer, running map[Kind]int, now time.Time) []Offer {
	out := make([]Offer, 0, len(offers))
	for _, o := range offers {
		if entry, ok := r.byKind[o.Kind]; ok && now.Before(entry.until) {
			o.Max = min(o.Max, running[o.Kind])
		}
		out = append(out, o)
	}
	return out
}

// Change is a number of servers to start, or to release when negative.
type Change struct {
	Kind
	Servers int
}

// Changes returns the changes that lead from the running servers to the plan, sorted by
// kind. Servers of kinds that the plan lacks are released.
func Changes(plan Plan, running map[Kind]int) []Change {
	delta := make(map[Kind]int, len(running))
	for kind, n := range running {
		delta[kind] = -n
	}
	for _, c := range plan.Counts {
		delta[c.Kind] += c.Servers
	}
	var changes []Change
	for kind, n := range delta {
		if n != 0 {
			changes = append(changes, Change{Kind: kind, Servers: n})
		}
	}
	sortChanges(changes)
	return changes
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return a.compare(b.Kind) })
}
