package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/machine"
)

// exportTimeout bounds the transfer of one request's KV cache.
const exportTimeout = 5 * time.Second

// errMoved ends a source because the run continues at another engine.
var errMoved = errors.New("moved to another engine")

// relocate moves the run off a leaving server and always returns errMoved. If
// the move fails, the run has no source and continues at the engine that the
// routing view selects.
func (r *run) relocate(m move) error {
	from := r.server
	r.closeSource()
	movesTotal.Inc()
	r.server = nil
	r.exclude = append(r.exclude, from.ID)
	target := r.g.snapshots.load().server(m.to)
	if target == nil {
		r.abandon(from)
		return errMoved
	}
	if m.export && r.export(from, &target.Server) == nil {
		return errMoved
	}
	r.abandon(from)
	if err := r.send(target); err != nil {
		r.g.journal.record(r.req.id, "move to %s failed: %v", m.to, err)
	}
	return errMoved
}

// export transfers the KV cache to another engine and reattaches to the stream
// there, so that no token is recomputed.
func (r *run) export(from, to *machine.Server) error {
	if err := r.g.transfer(r.ctx, r.req.id, from, to); err != nil {
		r.g.journal.record(r.req.id, "export to %s failed: %v", to.ID, err)
		return err
	}
	return r.reattach(to)
}

// transfer exports a stream's KV cache from one engine and imports it into
// another.
func (g *Gateway) transfer(ctx context.Context, id string, from, to *machine.Server) error {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	cache, err := g.post(ctx, serverURL(from, "/v1/streams/"+id+"/export"), nil)
	if err != nil {
		return fmt.Errorf("export the stream's KV cache: %w", err)
	}
	if _, err := g.post(ctx, serverURL(to, "/v1/streams/import"), cache); err != nil {
		return fmt.Errorf("import the stream's KV cache: %w", err)
	}
	return nil
}

// post sends one POST request and returns the body of a successful answer.
func (g *Gateway) post(ctx context.Context, url string, body []byte) ([]byte, error) {
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
	if status := resp.StatusCode(); status >= 300 {
		return nil, fmt.Errorf("the engine answered with status %d, want below 300", status)
	}
	return append([]byte(nil), resp.Body()...), nil
}
