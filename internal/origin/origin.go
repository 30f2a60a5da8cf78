// Package origin keeps a stream to the version of the servers' software that began it.
// Servers of several versions may serve in one pool, and what two versions write does not
// fit together. An instance knows the streams that it began itself. Of others it learns the
// origin from the store: a list of the versions in each pool, and, while there are several,
// a record of each stream. What is not known is not guessed.
package origin

import (
	"errors"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
)

// ErrUnknown means that it is not known what began a stream.
var ErrUnknown = errors.New("it is not known which version of the servers began the stream")

// Origin is what began a stream.
type Origin struct {
	Pool string
	// Version is the version of the servers' software; empty if the server reports none.
	Version string
	// Server and StartedAtMs are the incarnation that began the stream; empty if only its
	// version is known.
	Server      machine.ID
	StartedAtMs int64
}

// Of returns the origin of a stream that a server begins.
func Of(s *fleet.Server) Origin {
	return Origin{Pool: s.Pool, Version: s.Version, Server: s.ID, StartedAtMs: s.StartedAtMs}
}

// CanContinue reports whether a server may go on with the stream: one of the same version or,
// if that is not known, the same incarnation only.
func (o Origin) CanContinue(s *fleet.Server) bool {
	if s.Pool != o.Pool {
		return false
	}
	if o.Version == "" || s.Version == "" {
		return s.ID == o.Server && s.StartedAtMs == o.StartedAtMs
	}
	return s.Version == o.Version
}

// alike reports whether the same servers may continue streams of both origins.
func (o Origin) alike(other Origin) bool {
	if o.Version == "" {
		return o == other
	}
	return o.Pool == other.Pool && o.Version == other.Version
}
