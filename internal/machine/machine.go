// Package machine describes backend servers: their inventory data, their state
// and the load that they report.
package machine

import "time"

// ID identifies a server or an entry instance. It is unique in the inventory.
type ID string

// Kind distinguishes model engines from plain services.
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
	// Address is host:port with the host as an IP address.
	Address string
	Kind    Kind
	// Pool names the group of interchangeable servers to which contracts refer.
	Pool         string
	Zone         string
	Vendor       string
	Class        string
	Accelerators int
	// PricePerHour is in the inventory's currency.
	PricePerHour float64
	Reclaimable  bool
	// ChecksFencing is true if the server refuses orders with an old fencing token.
	ChecksFencing bool
	// Models lists the models that the server can hold; empty for plain services.
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
	// Leaving servers finish the requests they have and receive no new ones.
	Leaving
	// Gone servers have stopped.
	Gone
)

var lifecycleNames = [...]string{"unknown", "starting", "serving", "leaving", "gone"}

// String returns the name in logs and tables.
func (l Lifecycle) String() string {
	if int(l) < len(lifecycleNames) {
		return lifecycleNames[l]
	}
	return "invalid"
}

// State is the known state of one incarnation of a server.
type State struct {
	ID          ID
	Incarnation uint64
	Lifecycle   Lifecycle
	// ReclaimAt is when a leaving server is stopped; zero if unknown.
	ReclaimAt time.Time
	Load      Load
	// Unreachable is true if the observer's last attempts to reach the server failed.
	Unreachable bool
}

// Merge combines two states of a server. The larger incarnation wins. Within one
// incarnation, the result has the later lifecycle, the newer load and the earlier
// ReclaimAt. Merge is commutative, associative and idempotent as long as load
// reports with the same time are equal.
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
	// At is when the server measured the load.
	At time.Time
	// Running and Queued are the numbers of running and queued requests.
	Running int
	Queued  int
	// QueuedTokens is the unfinished work in tokens.
	QueuedTokens int
	// Slots is the number of requests that the server runs at once.
	Slots int
	// TokensPerSecond is the server's current generation rate.
	TokensPerSecond int
	// Adapters lists the names of the loaded models and adapters.
	Adapters []string
}
