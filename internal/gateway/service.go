package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"kumquatyard/internal/admit"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/frame"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/route"
	pb "kumquatyard/proto/kumquat/v1"
)

// plainRequest is a request for a plain service.
type plainRequest struct {
	id     string
	info   callInfo
	method string
	uri    string
	key    string
	header map[string]string
	body   []byte
}

// maxPlainAnswerBytes bounds a plain server's answer, which is kept until it is whole.
const maxPlainAnswerBytes = 32 << 20

// plainAnswer is a server's answer to a plainRequest.
type plainAnswer struct {
	status      int
	contentType string
	body        []byte
}

// forwardedHeaders are the request headers that are forwarded to servers.
var forwardedHeaders = []string{fiber.HeaderContentType, fiber.HeaderAccept, fiber.HeaderAcceptLanguage, headerIdempotencyKey}

// servePlain answers a request for a plain service.
func (g *Gateway) servePlain(c fiber.Ctx) error {
	info, err := g.identify(c, false)
	if err != nil {
		return err
	}
	countRequest(info.contract, info.workspace.Name)
	if info.contract.Target != contract.Service {
		return contract.Refusal(contract.KindNotFound, 0, "models are served at "+chatPath)
	}
	req := newPlainRequest(c, info)
	c.Set(headerRequestID, req.id)
	if info.contract.KeyRequired && req.key == "" {
		return contract.Refusal(contract.KindInvalid, 0, "this path needs an Idempotency-Key header")
	}
	defer g.activity.begin()()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.Context()), info.deadline)
	defer cancel()
	release, err := g.admit(ctx, info, len(req.body))
	if err != nil {
		return err
	}
	started := time.Now()
	var ans plainAnswer
	if info.contract.Idempotent {
		ans, err = g.sendPlain(ctx, req)
	} else {
		ans, err = g.sendOnce(ctx, c, req)
	}
	latency := time.Since(started)
	release(admit.Outcome{Latency: latency, FirstByte: latency, Failed: err != nil})
	if err != nil {
		return err
	}
	c.Set(headerVerdict, contract.Ran.String())
	c.Set(fiber.HeaderContentType, ans.contentType)
	return c.Status(ans.status).Send(ans.body)
}

func newPlainRequest(c fiber.Ctx, info callInfo) *plainRequest {
	req := &plainRequest{
		id:     uuid.NewString(),
		info:   info,
		method: c.Method(),
		uri:    c.OriginalURL(),
		key:    c.Get(headerIdempotencyKey),
		header: make(map[string]string, len(forwardedHeaders)),
		body:   copyBody(c),
	}
	for _, name := range forwardedHeaders {
		if value := c.Get(name); value != "" {
			req.header[name] = value
		}
	}
	return req
}

// sendPlain sends a request to one server after another as the retry policy
// allows. A non-idempotent request is retried only while the verdict is NotRun.
func (g *Gateway) sendPlain(ctx context.Context, req *plainRequest) (plainAnswer, error) {
	retries := retries{g: g, workspace: req.info.workspace.Name, idempotent: req.info.contract.Idempotent}
	var exclude []machine.ID
	var last error
	for {
		choice, ok := g.choosePlain(req, exclude)
		if !ok {
			return plainAnswer{}, retries.noServer(req.info.contract.Pool)
		}
		if !retries.allow(choice.Server.ID) {
			return plainAnswer{}, retries.refusal(last)
		}
		out := g.sendTo(ctx, req, choice.Server, &retries, exclude)
		if out.err == nil {
			g.journal.routed(req.id, out.server.ID, choice.Reason, 0)
			return out.answer, nil
		}
		g.journal.record(req.id, "%s failed: %v", out.server.ID, out.err)
		last = out.err
		exclude = append(exclude, choice.Server.ID)
		delay, err := retries.failed(last, req.info.deadline)
		if err != nil {
			return plainAnswer{}, err
		}
		time.Sleep(delay)
	}
}

// sendTo sends the request to a server. Only idempotent GET requests are hedged.
func (g *Gateway) sendTo(ctx context.Context, req *plainRequest, server *route.Server, r *retries, exclude []machine.ID) sendResult {
	if r.idempotent && req.method == fiber.MethodGet {
		return g.sendHedged(ctx, req, server, r, exclude)
	}
	answer, err := g.trySend(ctx, req, server, r.attempts)
	return sendResult{server: server, answer: answer, err: err}
}

func (g *Gateway) choosePlain(req *plainRequest, exclude []machine.ID) (route.Choice, bool) {
	return g.snapshots.load().choose(&route.Request{
		Pool: req.info.contract.Pool, Priority: req.info.contract.Priority, Exclude: exclude, Seed: g.routeSeed(), Now: time.Now(),
	})
}

// attemptContext returns the context of one attempt. For an idempotent request
// it reserves half of the remaining time for another attempt, since the
// connection may be dead.
func (r *plainRequest) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !r.info.contract.Idempotent {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(r.info.deadline)/2)
}

// trySend sends the request to s once and records the outcome in s's statistics.
func (g *Gateway) trySend(ctx context.Context, req *plainRequest, s *route.Server, attempt int) (plainAnswer, error) {
	if err := g.confirm(ctx, s); err != nil {
		return plainAnswer{}, err
	}
	attemptsTotal.Inc()
	ctx, cancel := req.attemptContext(ctx)
	defer cancel()
	ctx, span := tracer.Start(ctx, "gateway.attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", string(s.ID)), attribute.Int("attempt", attempt)))
	defer span.End()
	stats := g.tracker.server(s.ID)
	stats.inFlight.Add(len(req.body))
	defer stats.inFlight.Done(len(req.body))
	started := time.Now()
	ans, err := g.exchange(ctx, req, s, attempt)
	if err != nil {
		g.tracker.failed(s.ID)
		span.RecordError(err)
		if contract.VerdictOf(err) == contract.NotRun {
			g.probeAfterRefusal(s)
		}
		return ans, err
	}
	g.tracker.succeeded(s.ID, time.Since(started))
	return ans, nil
}

// exchange sends the request to s and reads the whole answer.
func (g *Gateway) exchange(ctx context.Context, in *plainRequest, s *route.Server, attempt int) (plainAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(in.method)
	req.SetRequestURI(serverURL(&s.Server, in.uri))
	for name, value := range in.header {
		req.Header.Set(name, value)
	}
	req.Header.Set(headerRequestID, in.id)
	req.Header.Set(headerAttempt, strconv.Itoa(attempt))
	req.SetBodyRaw(in.body)
	if err := g.upstream.do(ctx, req, resp, in.info.contract.Idempotent && attempt == 1); err != nil {
		return plainAnswer{}, err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if err := refusedByServer(resp); err != nil {
		return plainAnswer{}, err
	}
	body, err := readWhole(resp, maxPlainAnswerBytes, func() frame.Cause { return g.endCause(ctx, &s.Server) })
	if err != nil {
		return plainAnswer{}, mayHaveRun("the server's answer broke off or is too long", err)
	}
	return plainAnswer{
		status:      resp.StatusCode(),
		contentType: string(resp.Header.ContentType()),
		body:        body,
	}, nil
}

func answerToProto(a plainAnswer) *pb.StoredAnswer {
	return &pb.StoredAnswer{Status: uint32(a.status), ContentType: a.contentType, Body: a.body}
}
