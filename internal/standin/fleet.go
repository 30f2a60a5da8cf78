package standin

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// maxListLag is the largest lag with which the instance list can be read.
const maxListLag = 10 * time.Minute

// Instance is an entry of the instance list.
type Instance struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Member is a server that a Fleet can reclaim and close.
type Member interface {
	Reclaim(in time.Duration)
	Close()
}

// Notice is a reclaim notice of the cloud API.
type Notice struct {
	ID       string `json:"id"`
	AtUnixMS int64  `json:"at_unix_ms"`
}

// Fleet is the actual set of instances. The cloud API changes it immediately;
// the instance list shows it with a lag.
type Fleet struct {
	mu        sync.Mutex
	instances map[string]*fleetInstance
	notices   []Notice
	history   valueHistory[[]Instance]
}

type fleetInstance struct {
	Instance
	class       string
	reclaimable bool
	member      Member
}

// NewFleet returns an empty Fleet.
func NewFleet() *Fleet { return &Fleet{instances: make(map[string]*fleetInstance)} }

// Add adds an instance as live. If member is nil, there is no server to reclaim
// or close.
func (f *Fleet) Add(i Instance, class string, reclaimable bool, member Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i.State = "live"
	f.instances[i.ID] = &fleetInstance{Instance: i, class: class, reclaimable: reclaimable, member: member}
	f.recordLocked()
}

// Remove removes an instance and closes its server. It reports whether the
// instance existed.
func (f *Fleet) Remove(id string) bool {
	f.mu.Lock()
	i := f.instances[id]
	delete(f.instances, id)
	f.recordLocked()
	f.mu.Unlock()
	if i == nil {
		return false
	}
	if i.member != nil {
		i.member.Close()
	}
	return true
}

// Reclaim gives notice to the reclaimable instances of a zone, or to the
// instance id if it is set, and removes them after the duration in. It returns
// their IDs.
func (f *Fleet) Reclaim(zone, id string, in time.Duration) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, i := range f.instances {
		if i.ID != id && (id != "" || i.Zone != zone || !i.reclaimable) {
			continue
		}
		ids = append(ids, i.ID)
		i.State = "leaving"
		f.notices = append(f.notices, Notice{ID: i.ID, AtUnixMS: time.Now().Add(in).UnixMilli()})
		if i.member != nil {
			i.member.Reclaim(in)
		}
		time.AfterFunc(in, func() { f.Remove(i.ID) })
	}
	slices.Sort(ids)
	f.recordLocked()
	return ids
}

// Notices returns all reclaim notices so far.
func (f *Fleet) Notices() []Notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Notice{}, f.notices...)
}

// List returns the instances as of lag ago, or none if the history does not
// go back that far.
func (f *Fleet) List(lag time.Duration) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lag == 0 {
		return f.snapshotLocked()
	}
	now := time.Now()
	list, at := f.history.at(now, lag)
	if list == nil || now.Sub(at) < lag {
		return []Instance{}
	}
	return list
}

// count returns the number of instances whose IDs start with prefix.
func (f *Fleet) count(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id := range f.instances {
		if strings.HasPrefix(id, prefix) {
			n++
		}
	}
	return n
}

func (f *Fleet) snapshotLocked() []Instance {
	list := make([]Instance, 0, len(f.instances))
	for _, i := range f.instances {
		list = append(list, i.Instance)
	}
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// recordLocked adds the current instances to the history.
func (f *Fleet) recordLocked() { f.history.add(time.Now(), f.snapshotLocked(), maxListLag) }
