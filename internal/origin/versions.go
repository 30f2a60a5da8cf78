package origin

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/store"
)

// completeDelay is how long after a restore of the store its list of a pool's versions may
// lack some that other instances are about to add again.
const completeDelay = 3 * time.Second

// list is a pool's list of versions as the store has it.
type list struct {
	versions []string
	// era is the store's era in which the list was known to be complete.
	era      uint64
	revision store.Revision
}

// single returns the only version of a list that is complete in the store's era.
func (l list) single() (version string, ok bool) {
	if len(l.versions) != 1 || l.versions[0] == "" || l.era != l.revision.Era {
		return "", false
	}
	return l.versions[0], true
}

// versions follows the lists of the pools' versions and decides how they have to change. A
// version is listed before it begins its first stream, and until retention after its last
// server was seen, so that a list has the versions of all streams. It is safe for concurrent
// use.
type versions struct {
	lists atomic.Pointer[map[string]list]

	mu sync.Mutex
	// seen holds when a version of a pool's servers was last seen, also for versions that
	// are listed and were not seen since this process started.
	seen map[string]map[string]time.Time
	// firstEra is the era of the first list that this process read, and era the current one,
	// since eraSince.
	firstEra uint64
	era      uint64
	eraSince time.Time
}

func newVersions() *versions {
	v := &versions{seen: make(map[string]map[string]time.Time)}
	v.lists.Store(&map[string]list{})
	return v
}

// get returns a pool's list.
func (v *versions) get(pool string) list { return (*v.lists.Load())[pool] }

// isListed reports whether servers of a version may begin streams.
func (v *versions) isListed(pool, version string) bool {
	return slices.Contains(v.get(pool).versions, version)
}

// set records a pool's list as the store has it; an empty one if the store has none.
func (v *versions) set(pool string, l list, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := *v.lists.Load()
	old, ok := known[pool]
	if ok && !l.revision.After(old.revision) {
		return
	}
	changed := maps.Clone(known)
	changed[pool] = l
	v.lists.Store(&changed)
	if l.revision.Era == old.revision.Era {
		v.forgetRemoved(pool, l.versions, now)
	}
	for _, version := range l.versions {
		v.see(pool, version, now, false)
	}
}

// recentlySeen is the age up to which a version that another instance removed from a list is
// still wanted there: its servers may have come back meanwhile.
const recentlySeen = 2 * time.Second

// forgetRemoved forgets the versions that another instance has removed from a pool's list,
// unless their servers were seen lately.
func (v *versions) forgetRemoved(pool string, listed []string, now time.Time) {
	maps.DeleteFunc(v.seen[pool], func(version string, at time.Time) bool {
		return !slices.Contains(listed, version) && now.Sub(at) > recentlySeen
	})
}

// replaceAll records all lists as the store has them.
func (v *versions) replaceAll(lists map[string]list, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lists.Store(&lists)
	for pool, l := range lists {
		for _, version := range l.versions {
			v.see(pool, version, now, false)
		}
	}
}

// see records that a version was seen; one that is only listed counts as seen when it was
// first read.
func (v *versions) see(pool, version string, now time.Time, isServing bool) {
	if v.seen[pool] == nil {
		v.seen[pool] = make(map[string]time.Time)
	}
	if _, known := v.seen[pool][version]; isServing || !known {
		v.seen[pool][version] = now
	}
}

// observe records the versions of the servers in a snapshot, and the store's era.
func (v *versions) observe(snapshot *fleet.Snapshot, era uint64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.eraSince.IsZero() {
		v.firstEra = era
	}
	if v.eraSince.IsZero() || era != v.era {
		v.era, v.eraSince = era, now
	}
	for _, pool := range snapshot.Config.ResumablePools() {
		for _, s := range snapshot.Servers[pool] {
			v.see(pool, s.Version, now, true)
		}
	}
}

// isComplete reports whether this process knows all versions that may have begun streams,
// also if the store was restored and has lost some of its lists.
func (v *versions) isComplete(now time.Time) bool {
	switch {
	case v.era == 0: // the store does not say whether it was restored
		return true
	case v.era != v.firstEra:
		return now.Sub(v.eraSince) >= completeDelay
	default:
		return now.Sub(v.eraSince) >= retention
	}
}

// change is a list that has to be written.
type change struct {
	pool     string
	list     list
	expected store.Revision
}

// changes returns the lists of the given pools that have to be written.
func (v *versions) changes(pools []string, now time.Time) []change {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []change
	for _, pool := range pools {
		known := v.get(pool)
		wanted := list{versions: v.wanted(pool, now), era: known.era}
		if v.isComplete(now) {
			wanted.era = v.era
		}
		if len(wanted.versions) == 0 || (wanted.era == known.era && slices.Equal(wanted.versions, known.versions)) {
			continue
		}
		out = append(out, change{pool: pool, list: wanted, expected: known.revision})
	}
	return out
}

// wanted returns the versions of a pool, in order, that were seen within retention.
func (v *versions) wanted(pool string, now time.Time) []string {
	maps.DeleteFunc(v.seen[pool], func(_ string, at time.Time) bool { return now.Sub(at) > retention })
	return slices.Sorted(maps.Keys(v.seen[pool]))
}
