package follow

import (
	"slices"

	"kumquatyard/internal/store"
)

// maxRecentChanges is the number of changes kept for instances that do not reach
// the store.
const maxRecentChanges = 512

// maxRecentValueBytes bounds the values that are kept: a large one would be replayed with
// each batch, to an instance that may not receive it.
const maxRecentValueBytes = 16 << 10

// recentChanges holds the latest changes: all of them after revision from, of its era.
type recentChanges struct {
	from    store.Revision
	changes []Change
}

func (r *recentChanges) reset(revision store.Revision) { r.from, r.changes = revision, nil }

func (r *recentChanges) add(after store.Revision, changes []Change) {
	if r.from.IsZero() {
		r.from = after
	}
	for _, c := range changes {
		if len(c.Value) > maxRecentValueBytes {
			c.Value, c.ValueOmitted = nil, true
		}
		r.changes = append(r.changes, c)
	}
	if over := len(r.changes) - maxRecentChanges; over > 0 {
		r.from = r.changes[over-1].Revision
		r.changes = slices.Clone(r.changes[over:])
	}
}

// since returns the revision and changes to relay with b: the kept changes after
// revision and b's own, or only b's own if revision is zero, not before b's start, or no longer kept.
func (r *recentChanges) since(revision store.Revision, b Batch) (after store.Revision, changes []Change) {
	if revision.IsZero() || !b.After.After(revision) || r.from.After(revision) {
		return b.After, b.Changes
	}
	for _, c := range r.changes {
		if c.Revision.After(revision) && !c.Revision.After(b.After) {
			changes = append(changes, c)
		}
	}
	return revision, append(changes, b.Changes...)
}
