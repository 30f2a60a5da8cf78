package placementduty

import (
	"cmp"
	"slices"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/placement"
)

// demandWeight is the weight of the newest round in the smoothed demand. After
// seven rounds, the smoothed demand reflects half of a change.
const demandWeight = 0.1

// engine is a configured engine with its state.
type engine struct {
	server machine.Server
	state  machine.State
}

// servingEngines returns the engines to which orders may be sent, sorted by id:
// reachable, serving and not about to be reclaimed.
func servingEngines(servers []machine.Server, states []machine.State) []engine {
	known := make(map[machine.ID]machine.State, len(states))
	for _, s := range states {
		known[s.ID] = s
	}
	var out []engine
	for _, server := range servers {
		s := known[server.ID]
		serving := s.Lifecycle == machine.Serving && !s.Unreachable && s.ReclaimAt.IsZero()
		if serving && server.Kind == machine.Engine && len(server.Models) > 0 {
			out = append(out, engine{server: server, state: s})
		}
	}
	slices.SortFunc(out, func(a, b engine) int { return cmp.Compare(a.server.ID, b.server.ID) })
	return out
}

// demand is the smoothed unfinished work of each model, in tokens. An engine
// reports only its total work, which is split evenly among its loaded models.
type demand struct{ tokens map[placement.Model]float64 }

// add updates the smoothed demand with a new round of reports.
func (d *demand) add(engines []engine) {
	now := map[placement.Model]float64{}
	for _, e := range engines {
		for _, name := range e.server.Models {
			m := placement.Model{Pool: e.server.Pool, Name: name}
			share := 0.0
			if slices.Contains(e.state.Load.Adapters, name) {
				share = float64(e.state.Load.QueuedTokens) / float64(len(e.state.Load.Adapters))
			}
			now[m] += share
		}
	}
	for m := range now {
		if last, known := d.tokens[m]; known {
			now[m] = demandWeight*now[m] + (1-demandWeight)*last
		}
	}
	d.tokens = now
}

// sameSet reports whether two lists without duplicates have the same elements.
func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(name string) bool { return !slices.Contains(b, name) })
}
