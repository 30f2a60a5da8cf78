package serve

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/origin"
)

// unresolvedRetryAfter is when a caller may resume a stream again of which the store could not
// be asked what began it. Other instances may reach the store or know it themselves.
const unresolvedRetryAfter = 300 * time.Millisecond

// poolDraw returns the draw for the choice of a pool. It is the same for a stream and its
// resumption.
func (r *run) poolDraw() uint64 {
	if id := r.req.StreamID(); r.isResumable() && id != "" {
		return xxhash.Sum64String(id)
	}
	return seed()
}

// isResumable reports whether the answer is a stream that may be resumed.
func (r *run) isResumable() bool { return r.req.Route.Stream && r.req.Route.Resumable }

// resolveOrigin finds out what began the stream that the caller resumes, and returns the
// refusal of the request if that is not known.
func (r *run) resolveOrigin() error {
	if !r.req.IsResumption() {
		return nil
	}
	id := r.req.StreamID()
	found, err := r.server.Origins.Resolve(r.ctx, r.pool, id)
	if err == nil && found.Pool != r.pool && !r.req.Route.HasTarget(found.Pool) {
		err = origin.ErrUnknown
	}
	entry := r.server.Log.WithFields(logrus.Fields{
		"event": "stream_resumed", "request": r.req.ID, "resumes": id, "last_event": r.lastEvent, "pool": found.Pool, "version": found.Version,
		"origin_server": found.Server, "ms": time.Since(r.req.Arrived).Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Info("the caller resumes a stream, but what began it is not known")
		return refuseUnresolved(err)
	}
	entry.Info("the caller resumes a stream; servers of the version that began it may go on")
	r.pool, r.origin = found.Pool, &found
	r.server.Origins.Adopt(id, found)
	return nil
}

// refuseUnresolved returns the refusal of a resumption whose origin is not known. If the store
// did not answer, the caller may try again.
func refuseUnresolved(err error) error {
	if errors.Is(err, origin.ErrUnknown) {
		return contract.Refusal(contract.KindUnavailable, 0, "it is not known what began the stream; send the request anew")
	}
	return contract.Refusal(contract.KindUnavailable, unresolvedRetryAfter, "what began the stream cannot be read at present")
}

// mayServe reports whether a server's version may serve the request: that which began the
// stream, or one that may begin streams.
func (r *run) mayServe(s *fleet.Server) bool {
	switch {
	case !r.rolloutAllows(s):
		return false
	case r.origin != nil:
		return r.origin.CanContinue(s)
	case r.isResumable():
		return r.server.Origins.MayBegin(s)
	default:
		return true
	}
}

// beginStream is called before the request is sent to a server, which may begin its stream.
func (r *run) beginStream(s *fleet.Server) {
	if r.isResumable() && r.origin == nil {
		r.server.Origins.Begin(r.req.ID, s)
	}
}

// confirmOrigin is called before events of a server are forwarded. With the first ones, the
// server becomes the origin of the stream. It fails if another instance might take another
// version for the origin.
func (r *run) confirmOrigin(s *fleet.Server) error {
	if r.origin != nil {
		return nil
	}
	if r.isResumable() {
		if err := r.server.Origins.Confirm(r.ctx, r.req.ID, s); err != nil {
			r.execution.record(contract.MayHaveRun)
			return contract.Unavailable(contract.MayHaveRun, "the version that begins the stream could not be stored", err)
		}
	}
	began := origin.Of(s)
	r.origin = &began
	return nil
}

// endStream is called when the request has ended.
func (r *run) endStream() {
	if id := r.req.StreamID(); r.isResumable() && id != "" {
		r.server.Origins.End(id, r.origin != nil)
	}
}
