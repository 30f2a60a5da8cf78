package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/frame"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/route"
)

// exportTimeout bounds the transfer of one request's KV cache.
const exportTimeout = 5 * time.Second

// errMoved ends a source because the run continues at another engine.
var errMoved = errors.New("moved to another engine")

// relocate moves the run off a leaving server and returns errMoved. If the move
// fails, the run has no source and continues at the engine that the routing view
// selects. A run that must not be repeated stays unless its KV cache can be moved;
// relocate then returns nil.
func (r *run) relocate(m move) error {
	r.retries.mayHaveRun = true
	if !m.export && !r.retries.mayRepeat() {
		return nil
	}
	from := r.server
	r.closeSource()
	movesTotal.Inc()
	r.server = nil
	r.exclude = append(r.exclude, from.ID)
	snap := r.g.snapshots.load()
	if m.export && r.export(from, r.importTargets(snap, m.to)) == nil {
		return errMoved
	}
	r.abandon(from)
	target := snap.server(m.to)
	if target == nil || !r.retries.mayRepeat() {
		return errMoved
	}
	if err := r.send(target); err != nil {
		r.g.journal.record(r.req.id, "move to %s failed: %v", m.to, err)
		r.logMoveFailed(from, m.to, "send", err)
	}
	return errMoved
}

// maxImportTargets is the number of engines to which an exported KV cache is
// offered.
const maxImportTargets = 3

// importTargets returns the planned engine and, in case it refuses, the serving
// engines with the most free slots: the planned one may be leaving as well, which is
// not known here yet.
func (r *run) importTargets(snap *snapshot, planned machine.ID) []*route.Server {
	var targets []*route.Server
	if s := snap.server(planned); s != nil {
		targets = append(targets, s)
	}
	others := slices.DeleteFunc(receiversOf(snap), func(s *route.Server) bool {
		return s.ID == planned || slices.Contains(r.exclude, s.ID)
	})
	slices.SortStableFunc(others, func(a, b *route.Server) int { return freeSlots(b) - freeSlots(a) })
	targets = append(targets, others...)
	return targets[:min(len(targets), maxImportTargets)]
}

// export transfers the KV cache to the first of the targets that takes it and
// reattaches to the stream there, so that no token is recomputed. The engine that
// exports a stream forgets it, so the cache is kept here until it is imported.
func (r *run) export(from *machine.Server, targets []*route.Server) error {
	ctx, cancel := context.WithTimeout(r.ctx, exportTimeout)
	defer cancel()
	// The engine may be gone at any time, so that only a frame shows that the cache is whole.
	cache, err := r.g.post(ctx, serverURL(from, "/v1/streams/"+r.req.id+"/export"), nil, frame.Loss)
	if err != nil {
		r.logMoveFailed(from, "", "export", err)
		return fmt.Errorf("export the stream's KV cache: %w", err)
	}
	err = errNoImportTarget
	for _, target := range targets {
		if err = r.continueImported(ctx, &target.Server, cache); err == nil {
			return nil
		}
		r.g.journal.record(r.req.id, "import at %s failed: %v", target.ID, err)
		r.logMoveFailed(from, target.ID, "import", err)
	}
	return err
}

var errNoImportTarget = errors.New("no engine can import the stream's KV cache")

// continueImported imports an exported KV cache at an engine and reattaches to the stream there. An
// import without an answer may have succeeded, which the stream tells. If it does not, the stream is
// canceled before anything else is sent to the engine, so that no later run there is.
func (r *run) continueImported(ctx context.Context, target *machine.Server, cache []byte) error {
	_, err := r.g.post(ctx, serverURL(target, "/v1/streams/import"), cache, frame.NoCause)
	if err != nil && contract.VerdictOf(err) == contract.NotRun {
		return fmt.Errorf("import the stream's KV cache: %w", err)
	}
	if reattachErr := r.reattach(target); reattachErr != nil {
		r.g.cancelStream(target, r.req.id)
		return fmt.Errorf("continue the imported stream: %w", errors.Join(err, reattachErr))
	}
	return nil
}

// logMoveFailed logs why a step of a move off a leaving server failed. The run
// then continues by the next, more expensive step.
func (r *run) logMoveFailed(from *machine.Server, to machine.ID, step string, err error) {
	r.g.log.WithError(err).WithFields(logrus.Fields{
		"event": "move_failed", "request": r.req.id, "server": from.ID, "to": to, "step": step,
	}).Info("the run could not be moved off the leaving server in this way")
}

// maxCacheBytes bounds the KV cache of one stream.
const maxCacheBytes = 1 << 30

// post sends one POST request and returns the body of a successful answer. cause is what may end
// the connection other than the end of the answer.
func (g *Gateway) post(ctx context.Context, url string, body []byte, cause frame.Cause) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.SetBodyRaw(body)
	if err := g.upstream.do(ctx, req, resp, false); err != nil {
		return nil, err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if err := refusedByServer(resp); err != nil {
		return nil, err
	}
	if status := resp.StatusCode(); status >= 300 {
		return nil, fmt.Errorf("the engine answered with status %d, want below 300", status)
	}
	return readWhole(resp, maxCacheBytes, func() frame.Cause { return cause })
}
