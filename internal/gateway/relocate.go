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

// errMoved ends a source because the run goes on at another engine.
var errMoved = errors.New("moved to another engine")

// relocate moves the run off a server that is leaving. A move that fails
// leaves the run without a source; it then goes on where the router says.
func (r *run) relocate(m move) error {
	from := r.server
	r.detach()
	movesTotal.Inc()
	r.server = nil
	r.exclude = append(r.exclude, from.ID)
	target := r.g.keeper.load().server(m.to)
	if target == nil {
		r.abandon(from)
		return errMoved
	}
	if m.export && r.export(from, &target.Server) == nil {
		return errMoved
	}
	r.abandon(from)
	if err := r.send(target); err != nil {
		r.g.journal.note(r.req.id, "move to %s failed: %v", m.to, err)
	}
	return errMoved
}

// export carries the KV cache over and reads on at the receiver; nothing is
// computed again.
func (r *run) export(from, to *machine.Server) error {
	if err := r.g.transfer(r.ctx, r.req.id, from, to); err != nil {
		r.g.journal.note(r.req.id, "export to %s failed: %v", to.ID, err)
		return err
	}
	return r.pickUp(to)
}

// transfer exports a stream's KV cache from one engine and imports it at another.
func (g *Gateway) transfer(ctx context.Context, id string, from, to *machine.Server) error {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	cache, err := g.post(ctx, serverURL(from, "/v1/streams/"+id+"/export"), nil)
	if err != nil {
		return fmt.Errorf("export: %w", err)
	}
	if _, err := g.post(ctx, serverURL(to, "/v1/streams/import"), cache); err != nil {
		return fmt.Errorf("import: %w", err)
	}
	return nil
}

// post sends body once and returns the body of a successful answer.
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
		return nil, fmt.Errorf("status %d", status)
	}
	return append([]byte(nil), resp.Body()...), nil
}
