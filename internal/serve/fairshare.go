package serve

import (
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fairshare"
)

const (
	// spareShare is the fraction of the shortest latency target of a pool's routes that the
	// work ahead of a request may take while the servers count as having spare room.
	spareShare = 0.4
	// spareOccupancy is the fraction of a server's slots up to which it has spare room if
	// nothing waits there.
	spareOccupancy = 0.5
)

// shareRetryAfter returns 0 if the request is inside its share of the pool's room, or the best
// server has spare room, and otherwise the time after which the refused caller may retry.
func (r *run) shareRetryAfter(best *candidate) time.Duration {
	if !r.countsForShares() {
		return 0
	}
	r.share = r.server.Shares.Decide(r.shareRequest(best))
	if !r.share.Refused {
		return 0
	}
	return r.retryAfter(r.share.RetryAfter)
}

// recordShare counts the request's work, once per request.
func (r *run) recordShare(best *candidate, now time.Time) {
	if r.countsForShares() {
		r.server.Shares.Record(r.shareRequest(best), now)
	}
}

// recordShareServed counts the request's work when its answer begins. Later calls have no effect.
func (r *run) recordShareServed(now time.Time) {
	if r.req.Prompt != nil && !r.shareServed {
		r.shareServed = true
		r.server.Shares.RecordServed(r.pool, r.work(&r.lastCandidate), now)
	}
}

// countsForShares reports whether the request has a prompt, whose work is known, and was not
// sent before.
func (r *run) countsForShares() bool { return r.req.Prompt != nil && r.tries == 0 }

// shareRequest describes the request and whether servers have spare room for it.
func (r *run) shareRequest(best *candidate) fairshare.Request {
	return fairshare.Request{
		Pool: r.pool, Workspace: r.req.WorkspaceName(), Route: r.req.Route.Name, Rank: r.req.Priority(),
		Tokens: r.work(best), Pressed: r.isPressed(best),
	}
}

// isPressed reports whether the best server has no spare room: other work delays the request.
// The request's own prompt does not count, so that its size makes no difference.
func (r *run) isPressed(best *candidate) bool {
	work := best.estimate.Work
	if work.Waiting <= 0 && float64(work.Active) < spareOccupancy*float64(max(best.server.Slots, 1)) {
		return false
	}
	target := r.server.Snapshot().Config.ShortestTarget(r.pool)
	if target <= 0 {
		return false
	}
	own := best.estimate.PrefillTime(max(r.req.Prompt.Tokens-best.estimate.Cached, 0))
	return best.estimate.FirstToken-own > time.Duration(spareShare*float64(target))
}

// addShare adds the log fields of the request's share.
func (r *run) addShare(f logrus.Fields) {
	if s := r.share.Share; s.Offered > 0 {
		f["share_percent"] = int(100 * s.Part())
		f["share_offered_tokens_per_s"] = int(s.Offered)
		f["over_share"] = r.share.Refused
	}
}
