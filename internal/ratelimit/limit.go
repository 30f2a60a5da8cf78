package ratelimit

// Kind says what an answer states about the rate of requests that its server takes.
type Kind int

const (
	// Unlimited means that the answer names no limit.
	Unlimited Kind = iota
	// Limited means that the answer names a limit.
	Limited
	// Unreadable means that the answer names a limit that cannot be read, so that nothing
	// is known from it.
	Unreadable
)

// Limit is the rate of requests that a server takes from all instances together, as one of
// its answers states it.
type Limit struct {
	Kind Kind
	// PerSecond is the rate in requests per second; 0 means that the server takes none. It
	// is set only if Kind is Limited.
	PerSecond float64
}

// isStricterThan reports whether l allows fewer requests than o.
func (l Limit) isStricterThan(o Limit) bool {
	return l.Kind == Limited && (o.Kind != Limited || l.PerSecond < o.PerSecond)
}
