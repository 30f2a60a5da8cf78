package rollout

import (
	"cmp"
	"math"
	"slices"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rendezvous"
	"kumquatyard/internal/rollup"
)

// minFocus is the least number of servers that get the exposed requests: with fewer, a server that
// fails by itself could not be told from a bad version.
const minFocus = 2

// observeServers counts the servers of the versions and chooses those that get the exposed requests: so
// few that each gets about as many requests as an old server, since some faults show under load only. All
// instances choose the same ones. It is called with mu held.
func (r *roll) observeServers(servers []*fleet.Server) {
	r.oldServers, r.newServers, r.oldKnown, r.newKnown = 0, 0, 0, 0
	var usable []*fleet.Server
	for _, s := range servers {
		isNew := s.Version == r.order.Version
		if isNew {
			r.newKnown++
		} else {
			r.oldKnown++
		}
		if !s.Usable() || s.LeaseExpired() {
			continue
		}
		if isNew {
			usable = append(usable, s)
			r.newServers++
		} else {
			r.oldServers++
		}
	}
	r.focus = r.focusOf(usable)
}

// focusOf returns the servers that get the exposed requests.
func (r *roll) focusOf(usable []*fleet.Server) map[machine.ID]bool {
	wanted := max(int(math.Ceil(exposedShare*r.bounds.Share*float64(r.oldServers))), minFocus)
	usable = slices.DeleteFunc(usable, func(s *fleet.Server) bool {
		return slices.Contains(r.verdict.Outliers, rollup.Key(string(s.ID)))
	})
	order := uint64(r.order.key())
	slices.SortFunc(usable, func(a, b *fleet.Server) int {
		return cmp.Or(cmp.Compare(rank(b, order), rank(a, order)), cmp.Compare(a.ID, b.ID))
	})
	focus := make(map[machine.ID]bool)
	for _, s := range usable[:min(wanted, maxServerCells, len(usable))] {
		focus[s.ID] = true
	}
	return focus
}

func rank(s *fleet.Server, order uint64) uint64 {
	return rendezvous.Score(uint64(rollup.Key(string(s.ID))), order)
}
