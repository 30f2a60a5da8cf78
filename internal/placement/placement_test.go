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

// obey lets the engines do what a plan wishes, or only some of the loads.
func obey(in *placement.Input, wishes []placement.Assignment, loads func() bool) {
	for i, w := range wishes {
		e := &in.Engines[i]
		e.Ordered = w.Models
		e.Loaded = slices.DeleteFunc(slices.Clone(w.Models), func(m string) bool {
			return !slices.Contains(e.Loaded, m) && !loads()
		})
	}
}

// coverable is the greatest number of models that can be held at once, by
// maximum bipartite matching of models to places.
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

// ready are the models that an engine has loaded, can hold and is to keep.
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

func TestPlansConvergeToCoverageAndStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := genInput(t)
		var last []placement.Assignment
		settled := false
		for range 100 {
			wishes := placement.Plan(in)
			if settled = cmp.Equal(wishes, last); settled {
				break
			}
			last = wishes
			obey(&in, wishes, func() bool { return true })
		}
		if !settled {
			t.Fatal("the plan still changes after 100 rounds of the same demand")
		}
		if got, want := len(ready(in)), coverable(in); got != want {
			t.Errorf("%d models are held, %d could be: %+v", got, want, in.Engines)
		}
	})
}

func TestPlanKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := genInput(t)
		for range 20 {
			before := ready(in)
			wishes := placement.Plan(in)
			loads := 0
			for i, w := range wishes {
				e := in.Engines[i]
				if len(w.Models) > in.Limits.MaxModels {
					t.Fatalf("%s is to hold %v, more than %d", w.ID, w.Models, in.Limits.MaxModels)
				}
				for _, name := range w.Models {
					if !slices.Contains(e.Holds, name) {
						t.Fatalf("%s can not hold %s", w.ID, name)
					}
					if !slices.Contains(e.Loaded, name) {
						loads++
					}
				}
			}
			if loads > in.Limits.MaxLoads {
				t.Fatalf("%d loads at once, at most %d allowed", loads, in.Limits.MaxLoads)
			}
			ordered := in.Engines[0].Ordered != nil
			obey(&in, wishes, func() bool { return rapid.Bool().Draw(t, "load ends") })
			for m := range before {
				if ordered && ready(in)[m] == 0 {
					t.Fatalf("the last loaded copy of %v was dropped", m)
				}
			}
			in.Demand = genDemand(t)
		}
	})
}
