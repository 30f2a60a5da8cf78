// Package placement decides which models each serving engine of a zone should hold.
// It does no I/O; internal/placementduty sends the orders. A plan covers as many
// models as the engines have capacity for and gives models with more demand more
// copies. Plans change slowly: a copy is dropped only while another engine has a
// loaded copy, the number of concurrent loads is limited, and demand moves a copy
// only past a hysteresis.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"kumquatyard/internal/machine"
)

// Model identifies a model in a pool.
type Model struct {
	Pool string
	Name string
}

func (m Model) compare(other Model) int {
	return cmp.Or(strings.Compare(m.Pool, other.Pool), strings.Compare(m.Name, other.Name))
}

// Engine is a serving engine as the planner sees it.
type Engine struct {
	ID   machine.ID
	Pool string
	// Holds lists the models that the engine can hold.
	Holds []string
	// Loaded lists the models that the engine reports as loaded.
	Loaded []string
	// Ordered is the engine's assignment in the last plan, nil if this incarnation
	// has none.
	Ordered []string
	// CooledDown allows changes to the engine that follow demand. Without it, only
	// coverage changes the engine.
	CooledDown bool
}

// Limits are the limits on a plan.
type Limits struct {
	// MaxModels limits the models of one engine.
	MaxModels int
	// MaxLoads limits the concurrent loads in the zone, because the weight store is
	// rate-limited.
	MaxLoads int
	// CopyTokens is the demand per copy of a model, in tokens, from which another
	// copy is loaded.
	CopyTokens float64
	// SwapRatio is the hysteresis: a copy of one model replaces a copy of another
	// if the first model's demand per copy is more than SwapRatio times the second
	// model's demand per remaining copy.
	SwapRatio float64
}

// DefaultLimits are the limits for the engines and the weight store of the
// deployments.
var DefaultLimits = Limits{MaxModels: 4, MaxLoads: 2, CopyTokens: 20_000, SwapRatio: 2}

// Input is the input of Plan.
type Input struct {
	Engines []Engine
	// Demand is the unfinished work for each model, in tokens.
	Demand map[Model]float64
	Limits Limits
}

// Assignment is the set of models that an engine should hold, sorted.
type Assignment struct {
	ID     machine.ID
	Models []string
}

// Plan returns the assignment of each engine, ordered by id. The result does not
// depend on the order of the lists in in.
func Plan(in Input) []Assignment {
	p := newPlanner(in)
	if p.cover() {
		for range p.loadBudget {
			if !p.followDemand() {
				break
			}
		}
	}
	return p.assignments()
}

// plannedEngine is an engine with its assignment so far.
type plannedEngine struct {
	Engine
	assigned map[string]bool
}

func (pe *plannedEngine) model(name string) Model { return Model{Pool: pe.Pool, Name: name} }

func (pe *plannedEngine) accepts(m Model) bool {
	return pe.Pool == m.Pool && slices.Contains(pe.Holds, m.Name) && !pe.assigned[m.Name]
}

func (pe *plannedEngine) loaded(name string) bool { return slices.Contains(pe.Loaded, name) }

type planner struct {
	Input
	engines []*plannedEngine
	models  []Model
	// copies counts the engines to which the model is assigned; ready counts those
	// that have also loaded it.
	copies, ready map[Model]int
	// loadBudget is the number of further loads that may start.
	loadBudget int
}

func newPlanner(in Input) *planner {
	p := &planner{Input: in, copies: map[Model]int{}, ready: map[Model]int{}, loadBudget: in.Limits.MaxLoads}
	known := map[Model]bool{}
	for _, e := range in.Engines {
		pe := &plannedEngine{Engine: e, assigned: map[string]bool{}}
		p.engines = append(p.engines, pe)
		for _, name := range e.Holds {
			known[pe.model(name)] = true
		}
	}
	slices.SortFunc(p.engines, func(a, b *plannedEngine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	p.models = slices.SortedFunc(maps.Keys(known), p.byDemand)
	for _, pe := range p.engines {
		p.keepCurrent(pe)
	}
	return p
}

// byDemand compares models by demand, greatest first.
func (p *planner) byDemand(a, b Model) int {
	return cmp.Or(cmp.Compare(p.Demand[b], p.Demand[a]), a.compare(b))
}

// keepCurrent assigns to pe the models of its last assignment, or without one the
// models it has loaded. Loaded models come first; loads in progress use the load
// budget.
func (p *planner) keepCurrent(pe *plannedEngine) {
	current := pe.Ordered
	if current == nil {
		current = pe.Loaded
	}
	for _, loaded := range []bool{true, false} {
		for _, m := range p.models {
			if pe.accepts(m) && slices.Contains(current, m.Name) && pe.loaded(m.Name) == loaded && p.hasRoom(pe) {
				p.add(pe, m)
			}
		}
	}
}

func (p *planner) hasRoom(pe *plannedEngine) bool { return len(pe.assigned) < p.Limits.MaxModels }

// add assigns m to pe. It does not if m has to be loaded and the load budget is
// used up.
func (p *planner) add(pe *plannedEngine, m Model) {
	switch {
	case pe.loaded(m.Name):
		p.ready[m]++
	case p.loadBudget == 0:
		return
	default:
		p.loadBudget--
	}
	pe.assigned[m.Name] = true
	p.copies[m]++
}

func (p *planner) drop(pe *plannedEngine, m Model) {
	delete(pe.assigned, m.Name)
	p.copies[m]--
	p.ready[m]--
}

// droppable reports whether pe's copy of a model can be dropped, because another
// engine has loaded one too. Loads in progress are not interrupted.
func (p *planner) droppable(pe *plannedEngine, name string) bool {
	return pe.assigned[name] && pe.loaded(name) && p.ready[pe.model(name)] > 1
}

// leastDemanded returns the droppable model of pe with the least demand per
// remaining copy, and that demand as rest.
func (p *planner) leastDemanded(pe *plannedEngine) (least Model, rest float64, found bool) {
	for _, m := range p.models {
		if m.Pool != pe.Pool || !p.droppable(pe, m.Name) {
			continue
		}
		if d := p.Demand[m] / float64(p.copies[m]-1); !found || d < rest {
			least, rest, found = m, d, true
		}
	}
	return least, rest, found
}

// demandPerCopy returns the demand per copy of m.
func (p *planner) demandPerCopy(m Model) float64 { return p.Demand[m] / float64(max(p.copies[m], 1)) }

// cover starts loads of models that no engine holds. It reports whether all models
// that can be covered are covered.
func (p *planner) cover() bool {
	done := true
	for _, m := range p.models {
		if p.copies[m] > 0 {
			continue
		}
		if p.makeRoom(m, map[machine.ID]bool{}) {
			done = done && p.copies[m] > 0
		}
	}
	return done
}

// makeRoom finds an engine for m along an augmenting path, as Kuhn's algorithm
// for bipartite matching does, and performs only the last step of the path. The
// earlier steps follow in later plans, because a model stays on its engine until
// its moved copy is loaded. makeRoom reports false if there is no path.
func (p *planner) makeRoom(m Model, visited map[machine.ID]bool) bool {
	for _, pe := range p.engines {
		if pe.accepts(m) && p.hasRoom(pe) {
			p.add(pe, m)
			return true
		}
	}
	for _, pe := range p.engines {
		if !pe.accepts(m) || visited[pe.ID] {
			continue
		}
		if least, _, found := p.leastDemanded(pe); found {
			p.replace(pe, least, m)
			return true
		}
	}
	for _, pe := range p.engines {
		if !pe.accepts(m) || visited[pe.ID] {
			continue
		}
		visited[pe.ID] = true
		for _, name := range slices.Sorted(maps.Keys(pe.assigned)) {
			moved := pe.model(name)
			if p.copies[moved] > 1 || p.makeRoom(moved, visited) {
				return true
			}
		}
	}
	return false
}

// replace drops old from pe and assigns m instead, if the load budget allows it.
func (p *planner) replace(pe *plannedEngine, old, m Model) {
	if p.loadBudget > 0 {
		p.drop(pe, old)
		p.add(pe, m)
	}
}

// followDemand starts at most one load: of the model with the highest demand per
// copy for which an engine is found. It reports whether it started one.
func (p *planner) followDemand() bool {
	wanted := slices.Clone(p.models)
	slices.SortStableFunc(wanted, func(a, b Model) int { return cmp.Compare(p.demandPerCopy(b), p.demandPerCopy(a)) })
	for _, m := range wanted {
		if p.demandPerCopy(m) < p.Limits.CopyTokens {
			return false
		}
		if p.copies[m] > 0 && (p.addCopy(m) || p.swapIn(m)) {
			return true
		}
	}
	return false
}

// addCopy assigns m to the engine with the fewest models among those that have
// cooled down and have room. It reports whether there is one.
func (p *planner) addCopy(m Model) bool {
	var best *plannedEngine
	for _, pe := range p.engines {
		if pe.CooledDown && pe.accepts(m) && p.hasRoom(pe) && (best == nil || len(pe.assigned) < len(best.assigned)) {
			best = pe
		}
	}
	if best != nil {
		p.add(best, m)
	}
	return best != nil
}

// swapIn replaces the droppable copy with the least demand per remaining copy by
// a copy of m, if the ratio of their demands exceeds SwapRatio. It reports whether
// it did.
func (p *planner) swapIn(m Model) bool {
	var best *plannedEngine
	var old Model
	limit := p.demandPerCopy(m) / p.Limits.SwapRatio
	for _, pe := range p.engines {
		if !pe.CooledDown || !pe.accepts(m) {
			continue
		}
		if least, rest, found := p.leastDemanded(pe); found && rest < limit {
			best, old, limit = pe, least, rest
		}
	}
	if best != nil {
		p.replace(best, old, m)
	}
	return best != nil
}

func (p *planner) assignments() []Assignment {
	out := make([]Assignment, 0, len(p.engines))
	for _, pe := range p.engines {
		out = append(out, Assignment{ID: pe.ID, Models: slices.AppendSeq([]string{}, maps.Keys(pe.assigned))})
		slices.Sort(out[len(out)-1].Models)
	}
	return out
}
