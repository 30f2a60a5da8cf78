package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/placement"
)

var names = []string{"a", "b", "c", "d", "e"}

func genInput(t *rapid.T) placement.Input {
	in := placement.Input{
		Demand: genDemand(t),
		Limits: placement.Limits{
			MaxModels: rapid.IntRange(1, 3).Draw(t, "models"), MaxLoads: rapid.IntRange(1, 3).Draw(t, "loads"),
			CopyTokens: 10, SwapRatio: 2,
		},
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
		holds := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, len(names), rapid.ID[string]).Draw(t, "holds")
		in.Engines = append(in.Engines, placement.Engine{
			ID: machine.ID(fmt.Sprintf("e%d", i)), Pool: rapid.SampledFrom([]string{"p", "p", "p", "q"}).Draw(t, "pool"),
			Holds: holds, Loaded: rapid.SliceOfDistinct(rapid.SampledFrom(append(holds, "f")), rapid.ID[string]).Draw(t, "loaded"),
			CooledDown: true,
		})
	}
	return in
}

func genDemand(t *rapid.T) map[placement.Model]float64 {
	out := map[placement.Model]float64{}
	for _, pool := range []string{"p", "q"} {
		for _, name := range names {
			out[placement.Model{Pool: pool, Name: name}] = float64(rapid.IntRange(0, 200).Draw(t, "demand"))
		}
	}
	return out
}

// apply makes the engines follow a plan. loads decides which of the new models
// are loaded at once.
func apply(in *placement.Input, plan []placement.Assignment, loads func() bool) {
	for i, a := range plan {
		e := &in.Engines[i]
		e.Ordered = a.Models
		e.Loaded = slices.DeleteFunc(slices.Clone(a.Models), func(m string) bool {
			return !slices.Contains(e.Loaded, m) && !loads()
		})
	}
}

// coverable returns the maximum number of models that the engines can hold at
// once, by maximum bipartite matching of models to places on engines.
func coverable(in placement.Input) int {
	type place struct {
		engine machine.ID
		n      int
	}
	taken := map[place]placement.Model{}
	var assign func(m placement.Model, seen map[place]bool) bool
	assign = func(m placement.Model, seen map[place]bool) bool {
		for _, e := range in.Engines {
			for n := range in.Limits.MaxModels {
				at := place{e.ID, n}
				if e.Pool != m.Pool || !slices.Contains(e.Holds, m.Name) || seen[at] {
					continue
				}
				seen[at] = true
				if other, ok := taken[at]; !ok || assign(other, seen) {
					taken[at] = m
					return true
				}
			}
		}
		return false
	}
	total := 0
	for m := range in.Demand {
		if assign(m, map[place]bool{}) {
			total++
		}
	}
	return total
}

// ready counts the engines that have loaded a model, can hold it and are to keep
// it.
func ready(in placement.Input) map[placement.Model]int {
	out := map[placement.Model]int{}
	for _, e := range in.Engines {
		for _, name := range e.Loaded {
			if slices.Contains(e.Holds, name) && (e.Ordered == nil || slices.Contains(e.Ordered, name)) {
				out[placement.Model{Pool: e.Pool, Name: name}]++
			}
		}
	}
	return out
}

// With constant demand, plans stop changing and cover as many models as possible.
func TestPlansConvergeToFullCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := genInput(t)
		var last []placement.Assignment
		converged := false
		for range 100 {
			plan := placement.Plan(in)
			if converged = cmp.Equal(plan, last); converged {
				break
			}
			last = plan
			apply(&in, plan, func() bool { return true })
		}
		if !converged {
			t.Fatal("the plan still changes after 100 rounds with constant demand")
		}
		if got, want := len(ready(in)), coverable(in); got != want {
			t.Errorf("%d models are loaded, want %d: %+v", got, want, in.Engines)
		}
	})
}

// A plan respects MaxModels and MaxLoads, assigns only models that the engine can
// hold, and never drops the last loaded copy of a model.
func TestPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := genInput(t)
		for range 20 {
			before := ready(in)
			plan := placement.Plan(in)
			loads := 0
			for i, a := range plan {
				e := in.Engines[i]
				if len(a.Models) > in.Limits.MaxModels {
					t.Fatalf("engine %s is assigned %v, want at most %d models", a.ID, a.Models, in.Limits.MaxModels)
				}
				for _, name := range a.Models {
					if !slices.Contains(e.Holds, name) {
						t.Fatalf("engine %s is assigned %s, want only models from %v", a.ID, name, e.Holds)
					}
					if !slices.Contains(e.Loaded, name) {
						loads++
					}
				}
			}
			if loads > in.Limits.MaxLoads {
				t.Fatalf("%d concurrent loads, want at most %d", loads, in.Limits.MaxLoads)
			}
			ordered := in.Engines[0].Ordered != nil
			apply(&in, plan, func() bool { return rapid.Bool().Draw(t, "load ends") })
			for m := range before {
				if ordered && ready(in)[m] == 0 {
					t.Fatalf("the last loaded copy of %v was dropped", m)
				}
			}
			in.Demand = genDemand(t)
		}
	})
}
