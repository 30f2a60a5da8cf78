package serve

import (
	"time"

	"kumquatyard/internal/fleet"
)

const (
	// roomWait is how long a request waits for room at brittle servers, which must not have a
	// queue themselves, and roomInterval the time between two looks.
	roomWait     = 60 * time.Millisecond
	roomInterval = 5 * time.Millisecond
)

// awaitRoom waits a short time until a server of a brittle pool has room for the request.
func (r *run) awaitRoom(p *placement, since time.Time) (candidate, bool) {
	for r.server.Brittle.IsBrittle(r.pool) && time.Since(since) < roomWait && r.ctx.Err() == nil {
		time.Sleep(roomInterval)
		now := time.Now()
		p.isWanted = func(server *fleet.Server) bool { return r.server.accepts(server, now) }
		if best, ok := choose(p); ok {
			return best, true
		}
	}
	return candidate{}, false
}
