package machine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func genState(t *rapid.T, label string) State {
	at := rapid.IntRange(0, 3).Draw(t, label+" at")
	return State{
		ID:          "a",
		Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, label+" incarnation")),
		Lifecycle:   Lifecycle(rapid.IntRange(0, 4).Draw(t, label+" lifecycle")),
		Load:        Load{At: time.Unix(int64(at), 0), Running: at},
	}
}

// Merge is a semilattice join, so that states converge in whatever order they
// are merged.
func TestMergeIsSemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genState(t, "a"), genState(t, "b"), genState(t, "c")
		if diff := cmp.Diff(Merge(a, b), Merge(b, a)); diff != "" {
			t.Fatalf("Merge is not commutative:\n%s", diff)
		}
		if diff := cmp.Diff(Merge(Merge(a, b), c), Merge(a, Merge(b, c))); diff != "" {
			t.Fatalf("Merge is not associative:\n%s", diff)
		}
		if diff := cmp.Diff(Merge(a, a), a); diff != "" {
			t.Fatalf("Merge is not idempotent:\n%s", diff)
		}
	})
}
