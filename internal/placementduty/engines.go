package placementduty

import (
	"cmp"
	"slices"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/placement"
)

// demandWeight is the weight of the newest round in the smoothed demand; half
// of a change shows after seven rounds.
const demandWeight = 0.1

// engine is a configured engine with its state.
type engine struct {
	server machine.Server
	state  machine.State
}

// servingEngines returns the engines that may be given orders, by id.
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

// demand is the smoothed work of each model. Engines report their work as one
// figure; it is shared evenly among the models that they have loaded.
type demand struct{ tokens map[placement.Model]float64 }

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

// sameSet reports whether two lists without repeats have the same names.
func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(name string) bool { return !slices.Contains(b, name) })
}
