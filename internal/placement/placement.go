// Package placement decides which models each serving engine of a zone should
// hold. It is pure. Its plan covers as many models as the engines' room allows,
// gives models with more demand more copies, and changes slowly: a model is
// dropped only while another engine has a loaded copy, a bounded number of
// loads runs at once, and demand moves a copy only past a hysteresis.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"kumquatyard/internal/machine"
)

// Model names a model of one pool.
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
	// Holds lists the models that it can hold.
	Holds []string
	// Loaded lists the models that it reports.
	Loaded []string
	// Ordered is its wish of the last plan, nil when its incarnation has none.
	Ordered []string
	// CooledDown engines may be changed to follow demand, others for coverage only.
	CooledDown bool
}

// Limits bound a plan.
type Limits struct {
	// MaxModels bounds the models of one engine.
	MaxModels int
	// MaxLoads bounds the loads of the zone that are in progress at once,
	// because the weight store is rate-limited.
	MaxLoads int
	// CopyTokens is the demand in tokens on each copy of a model from which
	// another copy is loaded.
	CopyTokens float64
	// SwapRatio is how many times the demand on each copy of a model must be that
	// on the remaining copies of another one before it takes a copy's place.
	SwapRatio float64
}

// DefaultLimits suit the deployments' engines and weight store.
var DefaultLimits = Limits{MaxModels: 4, MaxLoads: 2, CopyTokens: 20_000, SwapRatio: 2}

// Input is what a plan is made from.
type Input struct {
	Engines []Engine
	// Demand is the work not yet done for each model, in tokens.
	Demand map[Model]float64
	Limits Limits
}

// Assignment is the set of models that an engine should hold, sorted.
type Assignment struct {
	ID     machine.ID
	Models []string
}

// Plan returns the wish of each engine, ordered by id. It depends on nothing
// but in, whatever the order of its lists.
func Plan(in Input) []Assignment {
	p := newPlanner(in)
	if p.cover() {
		for range p.budget {
			if !p.followDemand() {
				break
			}
		}
	}
	return p.wishes()
}

// room is an engine during planning.
type room struct {
	Engine
	held map[string]bool
}

func (r *room) model(name string) Model { return Model{Pool: r.Pool, Name: name} }

func (r *room) accepts(m Model) bool {
	return r.Pool == m.Pool && slices.Contains(r.Holds, m.Name) && !r.held[m.Name]
}

func (r *room) loaded(name string) bool { return slices.Contains(r.Loaded, name) }

type planner struct {
	Input
	rooms  []*room
	models []Model
	// copies counts the engines whose wish has the model; ready those that
	// have also loaded it.
	copies, ready map[Model]int
	// budget is how many more loads may begin.
	budget int
}

func newPlanner(in Input) *planner {
	p := &planner{Input: in, copies: map[Model]int{}, ready: map[Model]int{}, budget: in.Limits.MaxLoads}
	known := map[Model]bool{}
	for _, e := range in.Engines {
		r := &room{Engine: e, held: map[string]bool{}}
		p.rooms = append(p.rooms, r)
		for _, name := range e.Holds {
			known[r.model(name)] = true
		}
	}
	slices.SortFunc(p.rooms, func(a, b *room) int { return strings.Compare(string(a.ID), string(b.ID)) })
	p.models = slices.SortedFunc(maps.Keys(known), p.byDemand)
	for _, r := range p.rooms {
		p.keep(r)
	}
	return p
}

// byDemand puts the models with the greatest demand first.
func (p *planner) byDemand(a, b Model) int {
	return cmp.Or(cmp.Compare(p.Demand[b], p.Demand[a]), a.compare(b))
}

// keep carries over what r holds or loads already. Loaded models come first
// and loads in progress count against the budget.
func (p *planner) keep(r *room) {
	current := r.Ordered
	if current == nil {
		current = r.Loaded
	}
	for _, loaded := range []bool{true, false} {
		for _, m := range p.models {
			if r.accepts(m) && slices.Contains(current, m.Name) && r.loaded(m.Name) == loaded && p.hasRoom(r) {
				p.add(r, m)
			}
		}
	}
}

func (p *planner) hasRoom(r *room) bool { return len(r.held) < p.Limits.MaxModels }

// add puts m into r's wish; a load is left out while the budget is used up.
func (p *planner) add(r *room, m Model) {
	switch {
	case r.loaded(m.Name):
		p.ready[m]++
	case p.budget == 0:
		return
	default:
		p.budget--
	}
	r.held[m.Name] = true
	p.copies[m]++
}

func (p *planner) drop(r *room, m Model) {
	delete(r.held, m.Name)
	p.copies[m]--
	p.ready[m]--
}

// spare reports whether r's copy of a model can be dropped: another engine has
// loaded one too. Loads in progress are not broken off.
func (p *planner) spare(r *room, name string) bool {
	return r.held[name] && r.loaded(name) && p.ready[r.model(name)] > 1
}

// leastWanted returns the spare copy of r whose remaining copies would have
// the least demand each.
func (p *planner) leastWanted(r *room) (least Model, rest float64, found bool) {
	for _, m := range p.models {
		if m.Pool != r.Pool || !p.spare(r, m.Name) {
			continue
		}
		if d := p.Demand[m] / float64(p.copies[m]-1); !found || d < rest {
			least, rest, found = m, d, true
		}
	}
	return least, rest, found
}

// pressure is the demand on each copy of m.
func (p *planner) pressure(m Model) float64 { return p.Demand[m] / float64(max(p.copies[m], 1)) }

// cover begins loads of models that no engine holds. It reports whether
// nothing is left that could be covered.
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
// for bipartite matching does, and takes the path's last step. The steps
// before it follow in later plans, when the moved copies are loaded: a
// model stays where it is until then. False means that no path exists.
func (p *planner) makeRoom(m Model, visited map[machine.ID]bool) bool {
	for _, r := range p.rooms {
		if r.accepts(m) && p.hasRoom(r) {
			p.add(r, m)
			return true
		}
	}
	for _, r := range p.rooms {
		if !r.accepts(m) || visited[r.ID] {
			continue
		}
		if least, _, found := p.leastWanted(r); found {
			p.replace(r, least, m)
			return true
		}
	}
	for _, r := range p.rooms {
		if !r.accepts(m) || visited[r.ID] {
			continue
		}
		visited[r.ID] = true
		for _, name := range slices.Sorted(maps.Keys(r.held)) {
			moved := r.model(name)
			if p.copies[moved] > 1 || p.makeRoom(moved, visited) {
				return true
			}
		}
	}
	return false
}

// replace drops old from r and begins to load m there, when the budget allows.
func (p *planner) replace(r *room, old, m Model) {
	if p.budget > 0 {
		p.drop(r, old)
		p.add(r, m)
	}
}

// followDemand begins one more load of the model with the most demand on each
// copy that has a reason and an engine for it.
func (p *planner) followDemand() bool {
	wanted := slices.Clone(p.models)
	slices.SortStableFunc(wanted, func(a, b Model) int { return cmp.Compare(p.pressure(b), p.pressure(a)) })
	for _, m := range wanted {
		if p.pressure(m) < p.Limits.CopyTokens {
			return false
		}
		if p.copies[m] > 0 && (p.copyToFree(m) || p.swapIn(m)) {
			return true
		}
	}
	return false
}

// copyToFree loads m on the settled engine with room that has the fewest models.
func (p *planner) copyToFree(m Model) bool {
	var best *room
	for _, r := range p.rooms {
		if r.CooledDown && r.accepts(m) && p.hasRoom(r) && (best == nil || len(r.held) < len(best.held)) {
			best = r
		}
	}
	if best != nil {
		p.add(best, m)
	}
	return best != nil
}

// swapIn loads m in place of the spare copy that is wanted least.
func (p *planner) swapIn(m Model) bool {
	var best *room
	var old Model
	limit := p.pressure(m) / p.Limits.SwapRatio
	for _, r := range p.rooms {
		if !r.CooledDown || !r.accepts(m) {
			continue
		}
		if least, rest, found := p.leastWanted(r); found && rest < limit {
			best, old, limit = r, least, rest
		}
	}
	if best != nil {
		p.replace(best, old, m)
	}
	return best != nil
}

func (p *planner) wishes() []Assignment {
	out := make([]Assignment, 0, len(p.rooms))
	for _, r := range p.rooms {
		out = append(out, Assignment{ID: r.ID, Models: slices.AppendSeq([]string{}, maps.Keys(r.held))})
		slices.Sort(out[len(out)-1].Models)
	}
	return out
}
