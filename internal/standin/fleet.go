package standin

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// maxListLag bounds the lag that the instance list can be shown with.
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

// Member is a server that a Fleet can reclaim and stop.
type Member interface {
	Reclaim(in time.Duration)
	Close()
}

// Notice is a reclaim notice of the cloud API.
type Notice struct {
	ID       string `json:"id"`
	AtUnixMS int64  `json:"at_unix_ms"`
}

// Fleet is the true set of instances, which the cloud API changes at once and
// the instance list shows with a lag.
type Fleet struct {
	mu        sync.Mutex
	instances map[string]*fleetInstance
	notices   []Notice
	history   lagged[[]Instance]
}

type fleetInstance struct {
	Instance
	class       string
	reclaimable bool
	member      Member
}

// NewFleet returns an empty Fleet.
func NewFleet() *Fleet { return &Fleet{instances: make(map[string]*fleetInstance)} }

// Add makes an instance live. A nil member cannot be reclaimed or stopped.
func (f *Fleet) Add(i Instance, class string, reclaimable bool, member Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i.State = "live"
	f.instances[i.ID] = &fleetInstance{Instance: i, class: class, reclaimable: reclaimable, member: member}
	f.changedLocked()
}

// Remove stops an instance and reports whether there was one.
func (f *Fleet) Remove(id string) bool {
	f.mu.Lock()
	i := f.instances[id]
	delete(f.instances, id)
	f.changedLocked()
	f.mu.Unlock()
	if i == nil {
		return false
	}
	if i.member != nil {
		i.member.Close()
	}
	return true
}

// Reclaim takes the reclaimable instances of a zone back after in, or one
// instance when id is set. It returns the ids.
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
	f.changedLocked()
	return ids
}

// Notices returns all reclaim notices given so far.
func (f *Fleet) Notices() []Notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Notice{}, f.notices...)
}

// List returns the instances as they were lag ago.
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

// count returns the number of instances whose ids start with prefix.
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

func (f *Fleet) changedLocked() { f.history.add(time.Now(), f.snapshotLocked(), maxListLag) }
