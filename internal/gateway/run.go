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
	// stallTimeout is the time without an event after which a stream's
	// connection counts as lost.
	stallTimeout = 3 * time.Second
	// acceptTimeout bounds the time until an engine accepts a request.
	acceptTimeout = 2 * time.Second
	// chunksAhead bounds the out-of-order chunks buffered for one answer.
	chunksAhead = 1024
	// retryAfterNoServer is the Retry-After when no server accepts a request.
	retryAfterNoServer = 2 * time.Second
	// maxReattaches is the number of reattaches to the same engine without a
	// new token after which the run moves to another engine.
	maxReattaches = 2
)

// errReconnect ends a stream on a planned stop; the caller resumes it at
// another gateway.
var errReconnect = errors.New("the gateway is stopping; reconnect with Last-Event-ID")

// run produces the answer to one chat request, from one engine after another if
// necessary.
type run struct {
	g    *Gateway
	req  *chatRequest
	ctx  context.Context
	span trace.Span
	// callerConn is the connection that the answer goes to.
	callerConn     net.Conn
	asm            *answer.Assembler
	attempt        uint32
	src            *source
	server         *machine.Server
	signedPosition string
	exclude        []machine.ID
	retries        retries
	// reattaches counts the reattaches to the same engine since the last token.
	reattaches int
	started    time.Time
	heartbeat  time.Duration
	moves      chan move
	firstByte  time.Duration
	out        []answer.Chunk
	// sourceOffset is the offset of the first token requested from the source;
	// sourceFirstTokenAt is when that token arrived.
	sourceOffset       uint32
	sourceFirstTokenAt time.Time
	// lastEvent is when the source was opened or last sent an event.
	lastEvent time.Time
	// position is read by the evacuation of leaving servers.
	position atomic.Pointer[runPosition]
}

// runPosition is the server that a run is on and the number of tokens generated
// so far.
type runPosition struct {
	server    machine.ID
	generated atomic.Uint32
}

func (g *Gateway) newRun(ctx context.Context, req *chatRequest, next uint32) *run {
	ctx, span := tracer.Start(ctx, "gateway.run", trace.WithAttributes(attribute.String("request.id", req.id)))
	r := &run{
		g: g, req: req, ctx: ctx, span: span,
		asm:       answer.NewAssembler(next, chunksAhead),
		retries:   retries{g: g, workspace: req.workspace.Name, idempotent: req.contract.Idempotent},
		started:   time.Now(),
		heartbeat: g.snapshots.load().cfg.Limits.HeartbeatEvery,
		moves:     make(chan move, 1),
	}
	if r.heartbeat <= 0 {
		r.heartbeat = time.Second
	}
	g.runs.add(r)
	return r
}

// close releases the run's resources. The engine retains the stream for a time,
// so that a caller that lost its connection can resume it at another gateway.
func (r *run) close() {
	r.g.runs.remove(r)
	r.closeSource()
	r.span.End()
}

func (r *run) closeSource() {
	if r.src != nil {
		r.sampleSpeed()
		r.src.close()
		r.src = nil
	}
}

// minSpeedTokens is the minimum number of tokens for a sample of an engine's
// speed.
const minSpeedTokens = 8

// sampleSpeed records the mean time between the source's tokens, from which
// outlier detection finds slow servers.
func (r *run) sampleSpeed() {
	if tokens := r.asm.Next() - r.sourceOffset; tokens >= minSpeedTokens {
		r.g.tracker.succeeded(r.src.server, r.lastEvent.Sub(r.sourceFirstTokenAt)/time.Duration(tokens-1))
	}
}

// next returns the next tokens of the answer, or none if no event arrived
// within the heartbeat interval. On failures it switches engines as often as
// the retry policy allows.
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
		r.dropSource(err)
	}
}

// receive waits for the source's next event, a move, the stall timeout, the
// stop of the gateway or the end of the heartbeat interval.
func (r *run) receive() ([]answer.Chunk, error) {
	stall, stop := newTimer(r.stallRemaining())
	defer stop()
	heartbeatDue, stopHeartbeat := newTimer(r.heartbeat)
	defer stopHeartbeat()
	select {
	case e := <-r.src.events:
		r.lastEvent = time.Now()
		return r.handleEvent(e)
	case <-stall:
		return nil, &contract.Error{Kind: contract.KindDeadline, Verdict: contract.MayHaveRun, Message: "the engine went silent"}
	case m := <-r.moves:
		return nil, r.relocate(m)
	case <-r.g.stopping:
		return nil, errReconnect
	case <-heartbeatDue:
		return nil, nil
	}
}

// stallRemaining returns the time until the source counts as lost, measured
// from its last event. Before the first token, an engine that sends nothing may
// still be processing the prompt; reattaching over a new connection distinguishes
// that from a dead connection.
func (r *run) stallRemaining() time.Duration {
	remaining := time.Until(r.lastEvent.Add(stallTimeout))
	if r.asm.Next() == 0 {
		remaining = min(remaining, time.Until(r.req.deadline))
	}
	return max(remaining, 0)
}

// handleEvent adds an event's chunk to the answer and returns the tokens that
// are now in order.
func (r *run) handleEvent(e sourceEvent) ([]answer.Chunk, error) {
	switch {
	case e.err != nil:
		return nil, mayHaveRun("the engine's stream broke", e.err)
	case e.end:
		if r.asm.Done() {
			return nil, nil
		}
		return nil, mayHaveRun(errStreamEnded.Error(), errStreamEnded)
	}
	first := r.asm.Next() == 0
	var ok bool
	r.out, ok = r.asm.Add(r.out[:0], e.chunk)
	if !ok {
		return nil, mayHaveRun("too many chunks out of order", nil)
	}
	if len(r.out) > 0 {
		r.reattaches = 0
		if r.asm.Next() == r.sourceOffset+uint32(len(r.out)) {
			r.sourceFirstTokenAt = time.Now()
		}
		r.position.Load().generated.Store(r.asm.Next())
		if first {
			r.firstToken()
		}
	}
	return r.out, nil
}

// firstToken records the time to the first token and the prefix that the server
// computed for it.
func (r *run) firstToken() {
	r.firstByte = time.Since(r.started)
	r.g.tracker.server(r.server.ID).recordPrefix(r.req.prefix)
	firstTokenSeconds.Update(since(r.started))
}

// dropSource records the failure of the current source and closes it. After
// errMoved it does nothing.
func (r *run) dropSource(err error) {
	if errors.Is(err, errMoved) {
		return
	}
	r.retries.mayHaveRun = true
	r.g.log.WithError(err).WithFields(logrus.Fields{"request": r.req.id, "server": r.server.ID, "token": r.asm.Next()}).Info("lost the engine's stream; trying to continue the answer at this token")
	r.g.journal.record(r.req.id, "lost %s at token %d: %v", r.server.ID, r.asm.Next(), err)
	r.span.AddEvent("lost", trace.WithAttributes(attribute.String("server", string(r.server.ID))))
	r.closeSource()
}

// open opens a source for the rest of the answer, at the same engine if
// possible. It fails if the caller disconnected: the caller may be reading the
// rest through another gateway, and a second send would end that gateway's
// stream at the engine.
func (r *run) open() error {
	if r.callerConn != nil && callerDisconnected(r.callerConn) {
		return errCallerDisconnected
	}
	if r.server != nil && r.reattaches < maxReattaches && r.attempt > 0 {
		r.reattaches++
		if r.reattach(r.server) == nil {
			if r.asm.Next() == 0 {
				r.reattaches = 0
			}
			return nil
		}
		r.g.log.WithFields(logrus.Fields{"request": r.req.id, "server": r.server.ID}).Info("reconnecting to the request's stream at the engine failed; trying another engine")
	}
	if r.server != nil {
		r.g.tracker.failed(r.server.ID)
		r.abandon(r.server)
	}
	return r.openElsewhere()
}

// openElsewhere sends the request for the rest of the answer to one engine after
// another until one accepts it or no further attempt is allowed. The retry
// budgets apply only before the first token.
func (r *run) openElsewhere() error {
	if !r.retries.mayRepeat() {
		return r.retries.refusal(mayHaveRun("the run is lost and must not be repeated", nil))
	}
	var last error
	for {
		choice, ok := r.choose(r.g.snapshots.load())
		if !ok {
			return r.retries.noServer(r.req.contract.Pool)
		}
		if !r.retries.allow(choice.Server.ID) && r.asm.Next() == 0 {
			return r.retries.refusal(last)
		}
		last = r.send(choice.Server)
		if last != nil && contract.VerdictOf(last) == contract.MayHaveRun && r.reattach(&choice.Server.Server) == nil {
			last = nil // The engine accepted the request; only the connection was lost.
		}
		if last == nil {
			r.g.journal.routed(r.req.id, choice.Server.ID, choice.Reason, choice.ReusableTokens)
			return nil
		}
		r.g.journal.record(r.req.id, "%s failed: %v", choice.Server.ID, last)
		if err := r.backOff(choice.Server.ID, last); err != nil {
			return err
		}
	}
}

func (r *run) choose(snap *snapshot) (route.Choice, bool) {
	return snap.choose(&route.Request{
		Pool: r.req.contract.Pool, Model: r.req.model, Prefix: r.req.prefix,
		PromptTokens: r.req.promptTokens + int(r.asm.Next()), MaxTokens: r.req.maxTokens,
		Priority: r.req.contract.Priority, Exclude: r.exclude, Seed: r.g.routeSeed(), Now: time.Now(),
	})
}

// backOff excludes a server after a failed send and waits before the next
// attempt. It returns the refusal if the request must not be retried.
func (r *run) backOff(server machine.ID, cause error) error {
	r.exclude = append(r.exclude, server)
	r.g.tracker.failed(server)
	delay, err := r.retries.failed(cause, r.attemptDeadline())
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

// attemptDeadline returns the time by which an attempt must deliver: the
// request's deadline before the first token, stallTimeout from now after it.
func (r *run) attemptDeadline() time.Time {
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

// send requests the rest of the answer from an engine.
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
		r.g.probeAfterRefusal(s)
	}
	return err
}

// reattach continues reading the stream that server still holds, so that no
// token is recomputed.
func (r *run) reattach(server *machine.Server) error {
	r.attempt++
	offset := r.asm.Begin(r.attempt)
	req := newReattachRequest(r.req.id, server, offset)
	defer fasthttp.ReleaseRequest(req)
	return r.connect(req, server)
}

// connect sends req and makes its answer the run's source.
func (r *run) connect(req *fasthttp.Request, server *machine.Server) error {
	ctx, cancel := context.WithDeadline(r.ctx, earlier(r.attemptDeadline(), time.Now().Add(acceptTimeout)))
	defer cancel()
	ctx, span := tracer.Start(ctx, "gateway.attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", string(server.ID)), attribute.Int("attempt", int(r.attempt))))
	defer span.End()
	src, err := r.g.openSource(ctx, req, server, r.attempt)
	if err != nil {
		span.RecordError(err)
		return err
	}
	signedPosition, err := r.g.snapshots.load().signer.Sign(answer.Position{
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
	r.src, r.server, r.signedPosition = src, server, signedPosition
	r.lastEvent = time.Now()
	r.sourceOffset = r.asm.Next()
	position := &runPosition{server: server.ID}
	position.generated.Store(r.sourceOffset)
	r.position.Store(position)
	return nil
}

// abandon excludes an engine from further attempts and cancels the stream there.
func (r *run) abandon(server *machine.Server) {
	if !slices.Contains(r.exclude, server.ID) {
		r.exclude = append(r.exclude, server.ID)
	}
	r.server = nil
	r.g.activity.spawn(func() { r.g.cancelStream(server, r.req.id) })
}
