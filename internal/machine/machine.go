// Package machine describes backend servers and entry instances: what an
// inventory says about them, the state they move through and the load they
// report.
package machine

import "time"

// ID names a server or an entry instance, unique in the inventory.
type ID string

// Kind tells model engines from plain services.
type Kind uint8

const (
	// Engine is a model engine.
	Engine Kind = iota + 1
	// Service is a plain service.
	Service
)

// Server is a backend server as the inventory describes it.
type Server struct {
	ID ID
	// Address is host:port by IP number.
	Address string
	Kind    Kind
	// Pool names the group of interchangeable servers, as in contracts.
	Pool         string
	Zone         string
	Vendor       string
	Class        string
	Accelerators int
	// PricePerHour is in the inventory's currency.
	PricePerHour float64
	Reclaimable  bool
	// ChecksFencing is true when the server refuses orders with an old fencing number.
	ChecksFencing bool
	// Models lists the models the server can hold; empty for plain services.
	Models []string
}

// Lifecycle is the state of one incarnation of a server. It only moves to
// larger values.
type Lifecycle uint8

const (
	// Unknown servers have not been observed yet.
	Unknown Lifecycle = iota
	// Starting servers do not accept work yet.
	Starting
	// Serving servers accept work.
	Serving
	// Leaving servers finish what they have and receive nothing new.
	Leaving
	// Gone servers have stopped.
	Gone
)

var lifecycleNames = [...]string{"unknown", "starting", "serving", "leaving", "gone"}

// String returns the state's name in logs and tables.
func (l Lifecycle) String() string {
	if int(l) < len(lifecycleNames) {
		return lifecycleNames[l]
	}
	return "invalid"
}

// State is what is known about one incarnation of a server.
type State struct {
	ID          ID
	Incarnation uint64
	Lifecycle   Lifecycle
	// ReclaimAt is when a leaving server is stopped; zero when unknown.
	ReclaimAt time.Time
	Load      Load
	// Unreachable is true when the observer's last attempts failed.
	Unreachable bool
}

// Merge returns the later of two states of a server: the larger incarnation
// wins; within one incarnation the lifecycle only moves forward and the newer
// load is kept. Merge is commutative, associative and idempotent as long as
// load reports of one instant are equal.
func Merge(a, b State) State {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	if b.Load.At.After(a.Load.At) {
		a, b = b, a
	}
	a.Lifecycle = max(a.Lifecycle, b.Lifecycle)
	if a.ReclaimAt.IsZero() || (!b.ReclaimAt.IsZero() && b.ReclaimAt.Before(a.ReclaimAt)) {
		a.ReclaimAt = b.ReclaimAt
	}
	return a
}

// Load is a server's own report of its work.
type Load struct {
	// At is when the server measured it.
	At time.Time
	// Running and Queued count requests.
	Running int
	Queued  int
	// QueuedTokens is the number of tokens of work not yet done.
	QueuedTokens int
	// Slots is the number of requests that run at once.
	Slots int
	// TokensPerSecond is the server's current generation rate.
	TokensPerSecond int
	// Adapters lists the model and adapter names that are loaded.
	Adapters []string
}
