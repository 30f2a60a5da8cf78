package configstore

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"

	"kumquatyard/internal/config"
)

// operation is one call in the history: a change, or a read if change is nil.
type operation struct{ change *config.Change }

// observation is the result of a call.
type observation struct {
	outcome Outcome // 0 when the change was not applied
	version uint64
	docs    string
}

// registerState is the state of the sequential specification: a log of accepted
// changes and the documents that result from them.
type registerState struct {
	log  string
	n    uint64
	docs map[string]config.Hash
}

// position returns the version at which a change was accepted, 0 if it was not.
func (s registerState) position(id string) uint64 {
	before, _, found := strings.Cut(s.log, " "+id+";")
	if !found {
		return 0
	}
	return uint64(strings.Count(before, ";")) + 1
}

// admits reports whether c has no conflict.
func (s registerState) admits(c *config.Change) bool {
	return !slices.ContainsFunc(c.Names(), func(name string) bool {
		mine := config.Hash("")
		if body, ok := c.Puts[name]; ok {
			mine = config.HashOf(body)
		}
		return s.docs[name] != c.BaseHashes[name] && s.docs[name] != mine
	})
}

func (s registerState) with(c *config.Change) registerState {
	next := registerState{log: s.log + " " + c.ID + ";", n: s.n + 1, docs: maps.Clone(s.docs)}
	for name, body := range c.Puts {
		next.docs[name] = config.HashOf(body)
	}
	return next
}

func describe(docs map[string]config.Hash) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		fmt.Fprintf(&b, "%s=%s ", name, docs[name])
	}
	return b.String()
}

// step returns the states that op may lead to, given its result.
func (s registerState) step(op operation, out observation) []any {
	if op.change == nil {
		if out.version == s.n && out.docs == describe(s.docs) {
			return []any{s}
		}
		return nil
	}
	position := s.position(op.change.ID)
	switch {
	case out.outcome == Accepted && position > 0:
		return only(s, out.version == position)
	case out.outcome == Accepted:
		return only(s.with(op.change), s.admits(op.change) && out.version == s.n+1)
	case out.outcome == Conflicted:
		return only(s, position == 0 && !s.admits(op.change))
	case out.outcome == Unknown && position == 0 && s.admits(op.change):
		return []any{s, s.with(op.change)}
	default:
		return []any{s}
	}
}

// only returns s if ok, and no state otherwise.
func only(s registerState, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{registerState{docs: map[string]config.Hash{}}} },
		Step:  func(state, in, out any) []any { return state.(registerState).step(in.(operation), out.(observation)) },
		Equal: func(a, b any) bool { return a.(registerState).log == b.(registerState).log },
	}
	return model.ToModel()
}
