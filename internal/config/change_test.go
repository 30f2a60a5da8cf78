package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestAppliedChangesFormOneHistory checks that every change is either made
// exactly once on top of what its author saw, or reported with both sides.
func TestAppliedChangesFormOneHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := Head{}
		heads := []Head{head}
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			change := drawChange(t, heads, i)
			next, conflicts := Apply(head, change)
			checkStep(t, head, next, change, conflicts)
			if again, more := Apply(next, change); len(conflicts) == 0 && (len(more) > 0 || !cmp.Equal(again, next)) {
				t.Fatalf("a change applied twice changed the head: %v %v", again, more)
			}
			head = next
			heads = append(heads, head)
		}
		data, err := head.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		back, err := UnmarshalHead(data)
		if err != nil || !cmp.Equal(back, head) {
			t.Fatalf("marshalling is not lossless: %v %s", err, cmp.Diff(back, head))
		}
	})
}

func drawChange(t *rapid.T, heads []Head, i int) Change {
	base := heads[rapid.IntRange(max(0, len(heads)-4), len(heads)-1).Draw(t, "base")]
	change := Change{
		ID: fmt.Sprint(i), Author: "op", At: time.Unix(int64(i), 0), BaseVersion: base.Version,
		BaseHashes: map[string]Hash{}, Puts: map[string][]byte{},
	}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID).Draw(t, "names") {
		if hash, ok := base.Documents[name]; ok {
			change.BaseHashes[name] = hash
		}
		if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
			change.Deletes = append(change.Deletes, name)
			continue
		}
		change.Puts[name] = []byte(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "body"))
	}
	return change
}

func checkStep(t *rapid.T, head, next Head, change Change, conflicts []Conflict) {
	if len(conflicts) > 0 {
		if !cmp.Equal(head, next) {
			t.Fatal("a conflict changed the head")
		}
		for _, c := range conflicts {
			if c.Theirs == c.Base {
				t.Fatalf("conflict over a document nobody changed: %+v", c)
			}
		}
		return
	}
	if next.Version != head.Version+1 {
		t.Fatalf("version %d after %d", next.Version, head.Version)
	}
	touched := map[string]bool{}
	for _, name := range change.Names() {
		touched[name] = true
		var want Hash
		if body, ok := change.Puts[name]; ok {
			want = HashOf(body)
		}
		if next.Documents[name] != want {
			t.Fatalf("%s is not as the change wishes", name)
		}
		if head.Documents[name] != change.BaseHashes[name] && head.Documents[name] != want {
			t.Fatalf("%s overwrote an edit its author had not seen", name)
		}
	}
	for name, hash := range head.Documents {
		if !touched[name] && next.Documents[name] != hash {
			t.Fatalf("%s was lost", name)
		}
	}
}

func TestHeadForgetsOldChanges(t *testing.T) {
	head := Head{}
	for i := range maxChanges + 10 {
		head, _ = Apply(head, Change{ID: fmt.Sprint(i), Puts: map[string][]byte{fmt.Sprint("rules/w", i): {byte(i)}}})
	}
	if len(head.Changes) != maxChanges || head.RecordsChangesSince(9) || !head.RecordsChangesSince(10) {
		t.Errorf("%d changes, remembers(9) %v, remembers(10) %v", len(head.Changes), head.RecordsChangesSince(9), head.RecordsChangesSince(10))
	}
}
