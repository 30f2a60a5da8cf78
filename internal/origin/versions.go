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
	// retiring holds those of the versions that leave the list next.
	retiring []string
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
// server was seen, so that a list has the versions of all streams. It retires before it leaves:
// an instance that sees its servers again has to change the list before they begin streams. It
// is safe for concurrent use.
type versions struct {
	lists atomic.Pointer[map[string]list]

	mu sync.Mutex
	// seen holds when a version of a pool's servers was last seen, also for versions that
	// are listed and were not seen since this process started.
	seen map[string]map[string]time.Time
	// retiring holds since when a version of a pool is known here to be retiring.
	retiring map[string]map[string]time.Time
	// firstEra is the era of the first list that this process read, and era the current one,
	// since eraSince.
	firstEra uint64
	era      uint64
	eraSince time.Time
}

func newVersions() *versions {
	v := &versions{seen: make(map[string]map[string]time.Time), retiring: make(map[string]map[string]time.Time)}
	v.lists.Store(&map[string]list{})
	return v
}

// get returns a pool's list.
func (v *versions) get(pool string) list { return (*v.lists.Load())[pool] }

// isListed reports whether servers of a version may begin streams.
func (v *versions) isListed(pool, version string) bool {
	known := v.get(pool)
	return slices.Contains(known.versions, version) && !slices.Contains(known.retiring, version)
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
	v.noteList(pool, l, now)
}

// noteList notes the versions of a list: those that do not retire as seen, unless they are known,
// and since when the others retire.
func (v *versions) noteList(pool string, l list, now time.Time) {
	before := v.retiring[pool]
	v.retiring[pool] = make(map[string]time.Time)
	for _, version := range l.versions {
		if !slices.Contains(l.retiring, version) {
			v.see(pool, version, now, false)
			continue
		}
		since, known := before[version]
		if !known {
			since = now
		}
		v.retiring[pool][version] = since
		if now.Sub(v.seen[pool][version]) > recentlySeen {
			delete(v.seen[pool], version)
		}
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
		v.noteList(pool, l, now)
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
		wanted := v.wanted(pool, known, now)
		if len(wanted.versions) == 0 || wanted.holdsSameAs(known) {
			continue
		}
		out = append(out, change{pool: pool, list: wanted, expected: known.revision})
	}
	return out
}

// holdsSameAs reports whether two lists say the same.
func (l list) holdsSameAs(other list) bool {
	return l.era == other.era && slices.Equal(l.versions, other.versions) && slices.Equal(l.retiring, other.retiring)
}

// wanted returns the list of a pool as it should be: versions that were seen lately, and those
// that retire.
func (v *versions) wanted(pool string, known list, now time.Time) list {
	wanted := list{era: known.era}
	if v.isComplete(now) {
		wanted.era = v.era
	}
	maps.DeleteFunc(v.seen[pool], func(_ string, at time.Time) bool { return now.Sub(at) > retention })
	current := make(map[string]bool)
	for version, at := range v.seen[pool] {
		current[version] = now.Sub(at) <= retireAge
	}
	for _, version := range known.versions {
		if !current[version] && !v.hasRetired(pool, version, now) {
			wanted.retiring = append(wanted.retiring, version)
		}
	}
	for version, isCurrent := range current {
		if isCurrent {
			wanted.versions = append(wanted.versions, version)
		}
	}
	wanted.versions = append(wanted.versions, wanted.retiring...)
	slices.Sort(wanted.versions)
	slices.Sort(wanted.retiring)
	return wanted
}

// hasRetired reports whether a version of a list may leave it.
func (v *versions) hasRetired(pool, version string, now time.Time) bool {
	since, ok := v.retiring[pool][version]
	_, isSeen := v.seen[pool][version]
	return ok && !isSeen && now.Sub(since) >= retireTime
}
