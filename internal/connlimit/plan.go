// Package connlimit bounds what clients that do not behave can take of a process: connections,
// heads, bodies and answers that are waiting to be read. A Plan divides the memory and the
// descriptors of the machine among the doors, which are the addresses that the process listens
// on. A Door admits connections and follows their progress; which of them gives way is decided
// by functions without state.
package connlimit

// Machine is what a process may take; 0 means that it is not known, and not bounded.
type Machine struct {
	MemoryBytes int64
	// Descriptors counts files and sockets.
	Descriptors int
}

// Plan is what each door may take.
type Plan struct {
	// Callers, Peers, Readiness and Metrics are numbers of connections; 0 means no limit.
	Callers, Peers, Readiness, Metrics int
	// Upstream is the number of connections to servers and other instances.
	Upstream int
	// HeadBytes is for large heads and their parsed forms. BodyBytes is for bodies, and
	// SmallBodyBytes more for the first part of each, so that small bodies pass when large ones
	// have taken their share. 0 means no limit.
	HeadBytes, BodyBytes, SmallBodyBytes int64
}

const (
	// restBytes is what the process takes without clients.
	restBytes = 32_000_000
	// connectionBytes is what a connection takes with its buffers and goroutines.
	connectionBytes = 32 << 10
	// fileDescriptors and ownSockets are kept for files, and for listeners, the store, the API
	// for duties and messages.
	fileDescriptors = 200
	ownSockets      = 16
)

// Shares of the memory above restBytes. What is left is for the answers of the store and for
// garbage that is not collected yet.
const (
	callersMemoryShare   = 0.20
	peersMemoryShare     = 0.05
	headsMemoryShare     = 0.10
	bodiesMemoryShare    = 0.25
	smallBodyMemoryShare = 0.10
)

// Shares of the sockets, and the largest numbers for doors that few use.
const (
	callersSocketShare   = 0.38
	upstreamSocketShare  = 0.40
	peersSocketShare     = 0.08
	readinessSocketShare = 0.06
	metricsSocketShare   = 0.04
	maxReadiness         = 32
	maxMetrics           = 16
)

// NewPlan divides a machine.
func NewPlan(m Machine) Plan {
	var p Plan
	if m.Descriptors > 0 {
		sockets := max(m.Descriptors-fileDescriptors-ownSockets, 1)
		p.Callers = part(sockets, callersSocketShare)
		p.Upstream = part(sockets, upstreamSocketShare)
		p.Peers = part(sockets, peersSocketShare)
		p.Readiness = min(part(sockets, readinessSocketShare), maxReadiness)
		p.Metrics = min(part(sockets, metricsSocketShare), maxMetrics)
	}
	if m.MemoryBytes > 0 {
		bytes := float64(max(m.MemoryBytes-restBytes, m.MemoryBytes/4))
		p.Callers = atMost(p.Callers, callersMemoryShare*bytes/connectionBytes)
		p.Peers = atMost(p.Peers, peersMemoryShare*bytes/connectionBytes)
		p.HeadBytes = int64(headsMemoryShare * bytes)
		p.BodyBytes = int64(bodiesMemoryShare * bytes)
		p.SmallBodyBytes = int64(smallBodyMemoryShare * bytes)
	}
	return p
}

func part(n int, share float64) int { return max(int(share*float64(n)), 1) }

// atMost returns a number of connections bounded by another; 0 means that n has no bound.
func atMost(n int, bound float64) int {
	if n == 0 {
		return max(int(bound), 1)
	}
	return max(min(n, int(bound)), 1)
}
