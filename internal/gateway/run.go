package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"kumquatyard/internal/answer"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/route"
)

const (
	// stallTimeout is the silence between tokens after which a stream's
	// connection counts as lost.
	stallTimeout = 3 * time.Second
	// acceptTimeout bounds the time until an engine takes a request.
	acceptTimeout = 2 * time.Second
	// chunksAhead bounds the chunks held for one answer out of order.
	chunksAhead = 1024
	// retryAfterNoServer is when a caller may come back when no server takes its request.
	retryAfterNoServer = 2 * time.Second
	// heldTries is the number of times a lost stream is picked up at the same engine.
	heldTries = 2
)

// errReconnect ends a stream on a planned stop; the caller resumes it at
// another gateway.
var errReconnect = errors.New("the gateway is stopping; reconnect with Last-Event-ID")

// run is one chat request on its way through any number of engines.
type run struct {
	g    *Gateway
	req  *chatRequest
	ctx  context.Context
	span trace.Span
	// caller is the connection that the answer goes to.
	caller  net.Conn
	asm     *answer.Assembler
	attempt uint32
	src     *source
	server  *machine.Server
	signed  string
	exclude []machine.ID
	sending sending
	// held counts pick-ups at the same engine since the last token.
	held      int
	started   time.Time
	heartbeat time.Duration
	moves     chan move
	firstByte time.Duration
	out       []answer.Chunk
	// from is the first token that the source was asked for, and flowing when
	// it arrived.
	from    uint32
	flowing time.Time
	// lastEvent is when the source was opened or last sent an event.
	lastEvent time.Time
	// position is what the evacuation of leaving servers reads of the run.
	position atomic.Pointer[runPosition]
}

// runPosition is where a run is.
type runPosition struct {
	server    machine.ID
	generated atomic.Uint32
}

func (g *Gateway) newRun(ctx context.Context, req *chatRequest, next uint32) *run {
	ctx, span := tracer.Start(ctx, "gateway.run", trace.WithAttributes(attribute.String("request.id", req.id)))
	r := &run{
		g: g, req: req, ctx: ctx, span: span,
		asm:       answer.NewAssembler(next, chunksAhead),
		sending:   sending{g: g, workspace: req.workspace.Name, idempotent: req.contract.Idempotent},
		started:   time.Now(),
		heartbeat: g.keeper.load().cfg.Limits.HeartbeatEvery,
		moves:     make(chan move, 1),
	}
	if r.heartbeat <= 0 {
		r.heartbeat = time.Second
	}
	g.runs.add(r)
	return r
}

// close releases what the run holds. The engine keeps the stream for a while,
// so that a caller that lost its connection may resume it elsewhere.
func (r *run) close() {
	r.g.runs.remove(r)
	r.detach()
	r.span.End()
}

func (r *run) detach() {
	if r.src != nil {
		r.sampleSpeed()
		r.src.close()
		r.src = nil
	}
}

// minSpeedTokens is the number of tokens from which an engine's speed is judged.
const minSpeedTokens = 8

// sampleSpeed records the time between the source's tokens, by which servers
// that became slow are found.
func (r *run) sampleSpeed() {
	if tokens := r.asm.Next() - r.from; tokens >= minSpeedTokens {
		r.g.tracker.succeeded(r.src.server, r.lastEvent.Sub(r.flowing)/time.Duration(tokens-1))
	}
}

// next returns the next tokens of the answer; none after a quiet heartbeat
// interval. It moves to another engine as often as the retry policy allows.
func (r *run) next() ([]answer.Chunk, error) {
	for {
		if r.src == nil {
			if err := r.open(); err != nil {
				return nil, err
			}
		}
		chunks, err := r.receive()
		if err == nil {
			return chunks, nil
		}
		if errors.Is(err, errReconnect) {
			return nil, err
		}
		r.lose(err)
	}
}

// receive waits for the source's next event.
func (r *run) receive() ([]answer.Chunk, error) {
	stall, stop := newTimer(r.patience())
	defer stop()
	quiet, stopQuiet := newTimer(r.heartbeat)
	defer stopQuiet()
	select {
	case e := <-r.src.events:
		r.lastEvent = time.Now()
		return r.take(e)
	case <-stall:
		return nil, &contract.Error{Kind: contract.KindDeadline, Verdict: contract.MayHaveRun, Message: "the engine went silent"}
	case m := <-r.moves:
		return nil, r.relocate(m)
	case <-r.g.stopping:
		return nil, errReconnect
	case <-quiet:
		return nil, nil
	}
}

// patience is the time until the source counts as lost, from its last event on.
// Before the first token a silent engine may be at work on the prompt; asking
// it over a new connection tells that from a connection that went silent.
func (r *run) patience() time.Duration {
	left := time.Until(r.lastEvent.Add(stallTimeout))
	if r.asm.Next() == 0 {
		left = min(left, time.Until(r.req.deadline))
	}
	return max(left, 0)
}

func (r *run) take(e sourceEvent) ([]answer.Chunk, error) {
	switch {
	case e.err != nil:
		return nil, lost("the engine's stream broke", e.err)
	case e.end:
		if r.asm.Done() {
			return nil, nil
		}
		return nil, lost(errStreamEnded.Error(), errStreamEnded)
	}
	first := r.asm.Next() == 0
	var ok bool
	r.out, ok = r.asm.Add(r.out[:0], e.chunk)
	if !ok {
		return nil, lost("too many chunks out of order", nil)
	}
	if len(r.out) > 0 {
		r.held = 0
		if r.asm.Next() == r.from+uint32(len(r.out)) {
			r.flowing = time.Now()
		}
		r.position.Load().generated.Store(r.asm.Next())
		if first {
			r.firstToken()
		}
	}
	return r.out, nil
}

func (r *run) firstToken() {
	r.firstByte = time.Since(r.started)
	r.g.tracker.server(r.server.ID).computed(r.req.prefix)
	firstTokenSeconds.Update(since(r.started))
}

// lose gives the current source up after a failure.
func (r *run) lose(err error) {
	if errors.Is(err, errMoved) {
		return
	}
	r.sending.mayHaveRun = true
	r.g.log.WithError(err).WithFields(logrus.Fields{"request": r.req.id, "server": r.server.ID, "token": r.asm.Next()}).Info("engine stream lost")
	r.g.journal.note(r.req.id, "lost %s at token %d: %v", r.server.ID, r.asm.Next(), err)
	r.span.AddEvent("lost", trace.WithAttributes(attribute.String("server", string(r.server.ID))))
	r.detach()
}

// open finds an engine for the rest of the answer, as long as the caller is
// there: a caller that left may read the rest through another gateway, whose
// stream at the engine a second send would end.
func (r *run) open() error {
	if r.caller != nil && callerLeft(r.caller) {
		return errCallerLeft
	}
	if r.server != nil && r.held < heldTries && r.attempt > 0 {
		r.held++
		if r.pickUp(r.server) == nil {
			if r.asm.Next() == 0 {
				r.held = 0
			}
			return nil
		}
		r.g.log.WithFields(logrus.Fields{"request": r.req.id, "server": r.server.ID}).Info("engine stream not picked up")
	}
	if r.server != nil {
		r.g.tracker.failed(r.server.ID)
		r.abandon(r.server)
	}
	return r.openElsewhere()
}

// openElsewhere sends the rest of the answer to one engine after another.
func (r *run) openElsewhere() error {
	var last error
	for {
		choice, ok := r.choose(r.g.keeper.load())
		if !ok {
			return r.sending.noServer(r.req.contract.Pool)
		}
		if !r.sending.spend(choice.Server.ID) && r.asm.Next() == 0 {
			return r.sending.refusal(last)
		}
		last = r.send(choice.Server)
		if last != nil && contract.VerdictOf(last) == contract.MayHaveRun && r.pickUp(&choice.Server.Server) == nil {
			last = nil // the engine took the request; only the connection went silent
		}
		if last == nil {
			r.g.journal.routed(r.req.id, choice.Server.ID, choice.Reason, choice.ReusableTokens)
			return nil
		}
		r.g.journal.note(r.req.id, "%s failed: %v", choice.Server.ID, last)
		if err := r.backOff(choice.Server.ID, last); err != nil {
			return err
		}
	}
}

func (r *run) choose(p *picture) (route.Choice, bool) {
	return p.choose(&route.Request{
		Pool: r.req.contract.Pool, Model: r.req.model, Prefix: r.req.prefix,
		PromptTokens: r.req.promptTokens + int(r.asm.Next()), MaxTokens: r.req.maxTokens,
		Priority: r.req.contract.Priority, Exclude: r.exclude, Seed: r.g.routeSeed(), Now: time.Now(),
	})
}

// backOff waits before another engine is tried after a failed send, or
// returns the refusal that ends the request.
func (r *run) backOff(server machine.ID, cause error) error {
	r.exclude = append(r.exclude, server)
	r.g.tracker.failed(server)
	delay, err := r.sending.failed(cause, r.bound())
	if err != nil {
		return err
	}
	timer, stop := newTimer(delay)
	defer stop()
	select {
	case <-timer:
		return nil
	case <-r.g.stopping:
		return errReconnect
	}
}

// bound is when the answer, or its continuation, is given up.
func (r *run) bound() time.Time {
	if r.asm.Next() == 0 {
		return r.req.deadline
	}
	return time.Now().Add(stallTimeout)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// send starts the rest of the answer at an engine.
func (r *run) send(s *route.Server) error {
	if err := r.g.confirm(r.ctx, s); err != nil {
		return err
	}
	r.attempt++
	attemptsTotal.Inc()
	offset := r.asm.Begin(r.attempt)
	req := newEngineRequest(r.req, &s.Server, r.attempt, offset)
	defer fasthttp.ReleaseRequest(req)
	err := r.connect(req, &s.Server)
	if err == nil && offset > 0 {
		continuedTokensTotal.Add(int(offset))
	}
	if err != nil && contract.VerdictOf(err) == contract.NotRun {
		r.g.noteRefusal(s)
	}
	return err
}

// pickUp reads on from the stream that server still holds; nothing is computed again.
func (r *run) pickUp(server *machine.Server) error {
	r.attempt++
	offset := r.asm.Begin(r.attempt)
	req := newHeldRequest(r.req.id, server, offset)
	defer fasthttp.ReleaseRequest(req)
	return r.connect(req, server)
}

func (r *run) connect(req *fasthttp.Request, server *machine.Server) error {
	ctx, cancel := context.WithDeadline(r.ctx, earlier(r.bound(), time.Now().Add(acceptTimeout)))
	defer cancel()
	ctx, span := tracer.Start(ctx, "gateway.attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", string(server.ID)), attribute.Int("attempt", int(r.attempt))))
	defer span.End()
	src, err := r.g.openSource(ctx, req, server, r.attempt)
	if err != nil {
		span.RecordError(err)
		return err
	}
	signed, err := r.g.keeper.load().signer.Sign(answer.Position{
		RequestID: r.req.id, Workspace: r.req.workspace.Name, Pool: r.req.contract.Pool, Server: server.ID, Attempt: r.attempt,
	}, time.Now())
	if err != nil {
		src.close()
		return err
	}
	inFlight := r.g.tracker.server(server.ID).inFlight
	tokens := r.req.promptTokens + r.req.maxTokens
	inFlight.Add(tokens)
	src.release = func() { inFlight.Done(tokens) }
	r.src, r.server, r.signed = src, server, signed
	r.lastEvent = time.Now()
	r.from = r.asm.Next()
	position := &runPosition{server: server.ID}
	position.generated.Store(r.from)
	r.position.Store(position)
	return nil
}

// abandon excludes an engine whose stream was lost and cancels it there.
func (r *run) abandon(server *machine.Server) {
	if !slices.Contains(r.exclude, server.ID) {
		r.exclude = append(r.exclude, server.ID)
	}
	r.server = nil
	r.g.activity.spawn(func() { r.g.cancelStream(server, r.req.id) })
}
