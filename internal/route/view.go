// Package route chooses the server for a request of a gateway from an immutable view
// of the servers. A choice reads no clock and does not allocate; the only mutable
// state it reads are the atomic counters of work in flight.
package route

import (
	"slices"
	"time"

	"kumquatyard/internal/config"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/zone"
)

// Server is a backend server as a gateway sees it.
type Server struct {
	machine.Server
	State machine.State
	// PrefixCache is the known content of the prefix cache; nil if unknown.
	PrefixCache CacheView
	// Ejected is true for a faulty server, which receives no requests.
	Ejected bool
	// InFlight is shared by all views of the server; nil means no requests.
	InFlight *InFlight
}

// Input is the data from which a View is built.
type Input struct {
	// Zone is the gateway's own zone.
	Zone    string
	Zones   zone.Map
	Servers []Server
	Routing config.Routing
	Now     time.Time
	// Index maps blocks to the servers that cache them. If it is nil, only
	// rendezvous hashing proposes servers for a prefix.
	Index *Index
}

// Request is a request for which a server is to be chosen.
type Request struct {
	Pool string
	// Model restricts the choice to servers that hold it; empty allows all.
	Model string
	// Prefix is the chain of block hashes of the prompt.
	Prefix       []uint64
	PromptTokens int
	MaxTokens    int
	Priority     contract.Priority
	// Exclude lists the servers already tried.
	Exclude []machine.ID
	// Seed drives random sampling and, under round robin, selects the server.
	Seed uint64
	Now  time.Time
}

// Choice is the server chosen for a request.
type Choice struct {
	Server *Server
	Reason Reason
	// ReusableTokens is the estimated number of prompt tokens cached on Server.
	ReusableTokens int
}

// View is an immutable snapshot of the servers, grouped by pool and model.
type View struct {
	servers []Server
	byID    map[machine.ID]*Server
	groups  map[groupKey]*group
	policy  policy
	bound   float64
	index   *Index
}

type groupKey struct{ pool, model string }

// group holds the servers that may serve a pool and model, in tiers by
// preference.
type group struct{ tiers [tierCount]tier }

// tier is a set of servers that is used only when the tiers before it yield no
// server.
type tier struct {
	members []member
	// hashes holds the members' hashes in order, for a fast scan.
	hashes []uint64
	// byHash maps the lower half of a server's hash to its member.
	byHash map[uint32]int
}

// Indexes of the tiers in a group.
const (
	tierNear = iota
	tierFar
	tierNearUnknown
	tierFarUnknown
	tierCount
)

// member is a server with the values that a choice needs, computed once for
// each view.
type member struct {
	server *Server
	hash   uint64
	load   loadEstimate
	// delay is the round trip to the server.
	delay time.Duration
	// cold is true if the model has to be loaded first.
	cold bool
}

// defaultLoadBound is the load bound if the configuration does not set one.
const defaultLoadBound = 1.5

// NewView returns a View of in. It copies in.Servers.
func NewView(in Input) *View {
	v := &View{
		servers: slices.Clone(in.Servers),
		byID:    make(map[machine.ID]*Server, len(in.Servers)),
		groups:  make(map[groupKey]*group),
		policy:  policyOf(in.Routing.Policy),
		bound:   in.Routing.LoadBound,
		index:   in.Index,
	}
	if v.bound == 0 {
		v.bound = defaultLoadBound
	}
	for i := range v.servers {
		s := &v.servers[i]
		v.byID[s.ID] = s
		index, ok := tierOf(s, in)
		if !ok {
			continue
		}
		v.add(index, newMember(s, in))
	}
	for _, g := range v.groups {
		for i := range g.tiers {
			g.tiers[i].extrapolate()
		}
	}
	return v
}

// Server returns the server with the given id, or nil.
func (v *View) Server(id machine.ID) *Server { return v.byID[id] }

func newMember(s *Server, in Input) member {
	return member{
		server: s,
		hash:   serverHash(s.ID),
		load:   newLoadEstimate(s, in.Now),
		delay:  2 * in.Zones.Delay(in.Zone, s.Zone),
	}
}

// add adds m to the groups of its pool: one for each model that it can hold, and
// the one without a model.
func (v *View) add(index int, m member) {
	v.addTo(groupKey{pool: m.server.Pool}, index, m)
	loaded := m.server.State.Load.Adapters
	for _, model := range m.server.Models {
		m.cold = len(loaded) > 0 && !slices.Contains(loaded, model)
		v.addTo(groupKey{pool: m.server.Pool, model: model}, index, m)
	}
}

func (v *View) addTo(key groupKey, index int, m member) {
	g := v.groups[key]
	if g == nil {
		g = &group{}
		v.groups[key] = g
	}
	t := &g.tiers[index]
	if t.byHash == nil {
		t.byHash = make(map[uint32]int)
	}
	t.byHash[uint32(m.hash)] = len(t.members)
	t.members = append(t.members, m)
	t.hashes = append(t.hashes, m.hash)
}

// tierOf returns the tier of a server, or false if it must not receive work: it
// is starting or stopping, is about to be reclaimed, or is ejected. Servers
// that were never observed or that their observer cannot reach come last.
func tierOf(s *Server, in Input) (int, bool) {
	if s.Ejected || !s.State.ReclaimAt.IsZero() {
		return 0, false
	}
	far := in.Zones.Delay(in.Zone, s.Zone) > zone.SameRegionDelay
	switch {
	case s.State.Lifecycle == machine.Unknown || (s.State.Lifecycle == machine.Serving && s.State.Unreachable):
		if far {
			return tierFarUnknown, true
		}
		return tierNearUnknown, true
	case s.State.Lifecycle == machine.Serving:
		if far {
			return tierFar, true
		}
		return tierNear, true
	default:
		return 0, false
	}
}
