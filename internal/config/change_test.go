package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestApplyKeepsOneHistory checks that every change is either applied exactly once,
// to documents that its author has seen, or reported as a conflict.
func TestApplyKeepsOneHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := Head{}
		heads := []Head{head}
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			change := drawChange(t, heads, i)
			next, conflicts := Apply(head, change)
			checkStep(t, head, next, change, conflicts)
			if again, more := Apply(next, change); len(conflicts) == 0 && (len(more) > 0 || !cmp.Equal(again, next)) {
				t.Fatalf("applying the same change again: head %v, conflicts %v, want the head unmodified", again, more)
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
			t.Fatalf("UnmarshalHead of a marshalled head: error %v, diff %s", err, cmp.Diff(back, head))
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
			t.Fatal("a conflicting change modified the head")
		}
		for _, c := range conflicts {
			if c.Theirs == c.Base {
				t.Fatalf("conflict on a document that is unmodified since its base: %+v", c)
			}
		}
		return
	}
	if next.Version != head.Version+1 {
		t.Fatalf("version after %d is %d, want %d", head.Version, next.Version, head.Version+1)
	}
	touched := map[string]bool{}
	for _, name := range change.Names() {
		touched[name] = true
		var want Hash
		if body, ok := change.Puts[name]; ok {
			want = HashOf(body)
		}
		if next.Documents[name] != want {
			t.Fatalf("document %s has hash %q, want %q from the change", name, next.Documents[name], want)
		}
		if head.Documents[name] != change.BaseHashes[name] && head.Documents[name] != want {
			t.Fatalf("the change to %s overwrote an edit that its author had not seen", name)
		}
	}
	for name, hash := range head.Documents {
		if !touched[name] && next.Documents[name] != hash {
			t.Fatalf("document %s has hash %q, want unchanged %q", name, next.Documents[name], hash)
		}
	}
}

func TestHeadDropsOldChangeRecords(t *testing.T) {
	head := Head{}
	for i := range maxChangeRecords + 10 {
		head, _ = Apply(head, Change{ID: fmt.Sprint(i), Puts: map[string][]byte{fmt.Sprint("rules/w", i): {byte(i)}}})
	}
	if len(head.Changes) != maxChangeRecords || head.RecordsChangesSince(9) || !head.RecordsChangesSince(10) {
		t.Errorf("head has %d change records, RecordsChangesSince(9) = %v, RecordsChangesSince(10) = %v", len(head.Changes), head.RecordsChangesSince(9), head.RecordsChangesSince(10))
	}
}
