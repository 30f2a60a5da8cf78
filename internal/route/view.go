// Package route chooses the server for a request from an immutable view of the
// servers. A choice reads no clock and allocates nothing; the only mutable
// state that it sees are the atomic counters of work in flight.
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
	// PrefixCache is what is known of the prefix cache; nil when nothing is.
	PrefixCache CacheView
	// Ejected servers were found faulty and receive nothing.
	Ejected bool
	// InFlight is shared by all views of the server; nil counts as idle.
	InFlight *InFlight
}

// Input is what a View is built from.
type Input struct {
	// Zone is the gateway's own zone.
	Zone    string
	Zones   zone.Map
	Servers []Server
	Routing config.Routing
	Now     time.Time
	// Index finds holders of a prefix; nil leaves it to the hashes.
	Index *Index
}

// Request is a request to be placed.
type Request struct {
	Pool string
	// Model restricts the choice to servers that hold it; empty allows all.
	Model string
	// Prefix is the chain of block hashes of the prompt.
	Prefix       []uint64
	PromptTokens int
	MaxTokens    int
	Priority     contract.Priority
	// Exclude lists servers that were tried already.
	Exclude []machine.ID
	// Seed drives the sampling.
	Seed uint64
	Now  time.Time
}

// Choice is the server chosen for a request.
type Choice struct {
	Server *Server
	Reason Reason
	// ReusableTokens are the prompt tokens believed to be cached there.
	ReusableTokens int
}

// View is an immutable picture of the servers, grouped by pool and model.
type View struct {
	servers []Server
	byID    map[machine.ID]*Server
	groups  map[groupKey]*group
	policy  policy
	bound   float64
	index   *Index
}

type groupKey struct{ pool, model string }

// group holds the servers that may serve a pool and model, by preference.
type group struct{ tiers [tierCount]tier }

// tier is a class of servers that is used only when the ones before it have no
// server to offer. hashes holds the members' hashes for a fast scan.
type tier struct {
	members []member
	hashes  []uint64
	// byHash maps the lower half of a server's hash to its member.
	byHash map[uint32]int
}

// Indexes of the tiers.
const (
	tierNear = iota
	tierFar
	tierNearUnknown
	tierFarUnknown
	tierCount
)

// member is a server with what a choice needs, computed once for each view.
type member struct {
	server *Server
	hash   uint64
	load   loadEstimate
	// delay is the round trip to the server.
	delay time.Duration
	// cold is true when the model has to be loaded first.
	cold bool
}

// defaultLoadBound applies when the configuration sets none.
const defaultLoadBound = 1.5

// NewView builds a View. The slice of servers is copied.
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

// add files m under each model that it can hold and under no model.
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

// tierOf returns the tier of a server, and false when it may receive no work:
// it is not serving, is about to be reclaimed, or was ejected. A server that
// was never observed or that its observer cannot reach is a last resort.
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
