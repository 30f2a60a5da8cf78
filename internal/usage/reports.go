package usage

import (
	"sync"
	"time"
)

// Reports holds what this process knows beside the store, which may be restored from an older
// copy: the latest reports that it stored or read, and the store's eras. It is safe for
// concurrent use.
type Reports struct {
	mu      sync.Mutex
	windows map[Window]Counts
	// eras holds when the store is known to have been in an era, the earliest such time.
	eras map[uint64]time.Time
}

// NewReports returns an empty Reports.
func NewReports() *Reports {
	return &Reports{windows: make(map[Window]Counts), eras: make(map[uint64]time.Time)}
}

// noteEra records that the store was in an era at a time.
func (r *Reports) noteEra(era uint64, at time.Time) {
	if era == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if since, ok := r.eras[era]; !ok || at.Before(since) {
		r.eras[era] = at
	}
}

// eraSince returns since when the store is known to be in an era, and false if it is not known to
// have been in it.
func (r *Reports) eraSince(era uint64) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.eras[era]
	return since, ok
}

// latestEra returns the latest era that is known, and since when the store is in it.
func (r *Reports) latestEra() (latest uint64, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for era, at := range r.eras {
		if era > latest {
			latest, since = era, at
		}
	}
	return latest, since
}

// record keeps the counts of a stored report. The counts of a window never change.
func (r *Reports) record(w Window, counts Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.windows[w]; ok {
		return
	}
	r.windows[w] = counts
	prune(r.windows, w)
}

// get returns the counts of the report of a window, if it is known.
func (r *Reports) get(w Window) (Counts, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts, ok := r.windows[w]
	return counts, ok
}
