package follow

import "slices"

// keptChanges bounds the changes that are kept for instances that do not reach
// the store.
const keptChanges = 512

// recentChanges are the last changes, all after the revision from.
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
	if over := len(r.changes) - keptChanges; over > 0 {
		r.from = r.changes[over-1].Revision
		r.changes = slices.Clone(r.changes[over:])
	}
}

// since returns the changes after a revision for a batch, or the batch's own when
// that is later or not kept any more.
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
