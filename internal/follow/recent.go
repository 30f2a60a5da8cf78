package follow

import "slices"

// maxRecentChanges is the number of changes kept for instances that do not reach
// the store.
const maxRecentChanges = 512

// recentChanges holds the latest changes: all of them after revision from.
type recentChanges struct {
	from    uint64
	changes []Change
}

func (r *recentChanges) reset(revision uint64) { r.from, r.changes = revision, nil }

func (r *recentChanges) add(after uint64, changes []Change) {
	if r.from == 0 {
		r.from = after
	}
	r.changes = append(r.changes, changes...)
	if over := len(r.changes) - maxRecentChanges; over > 0 {
		r.from = r.changes[over-1].Revision
		r.changes = slices.Clone(r.changes[over:])
	}
}

// since returns the revision and changes to relay with b: the kept changes after
// revision, or b's own if revision is 0, not before b's start, or no longer kept.
func (r *recentChanges) since(revision uint64, b Batch) (after uint64, changes []Change) {
	if revision == 0 || revision >= b.After || revision < r.from {
		return b.After, b.Changes
	}
	for _, c := range r.changes {
		if c.Revision > revision {
			changes = append(changes, c)
		}
	}
	return revision, changes
}
