package link

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	pb "kumquatyard/proto/kumquat/v1"
)

const (
	redialFirst = 50 * time.Millisecond
	redialMax   = time.Second
	// unusedAfter closes sessions that no call has used.
	unusedAfter = time.Minute
	// timerSlack lets a timer fire after the silence it waits for.
	timerSlack = 10 * time.Millisecond
)

var (
	errClosed  = errors.New("link pool is closed")
	errBackoff = errors.New("last attempt to connect failed")
)

// Pool keeps one session to each address in use and implements Caller.
type Pool struct {
	credentials *credentials
	log         *logrus.Entry
	traffic     *Traffic
	ctx         context.Context
	cancel      context.CancelFunc
	watchers    conc.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the state of one address. dialing serialises attempts to connect.
type peer struct {
	address string
	dialing chan struct{}

	mu      sync.Mutex
	current *session
	retry   *backoff.ExponentialBackOff
	retryAt time.Time
}

// NewPool returns a Pool that authenticates with s's certificate.
func NewPool(s Settings, log *logrus.Entry) (*Pool, error) {
	creds, err := newCredentials(s)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		credentials: creds, log: log, traffic: s.Traffic,
		ctx: ctx, cancel: cancel, peers: map[string]*peer{},
	}, nil
}

// Close ends all sessions; waiting calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.cancel()
	peers := p.peers
	p.peers = map[string]*peer{}
	p.mu.Unlock()
	for _, peer := range peers {
		if s := peer.replace(nil); s != nil {
			s.close()
		}
	}
	p.watchers.Wait()
}

// Call implements Caller. A context without deadline is bounded to 5 s.
func (p *Pool) Call(ctx context.Context, address string, req *pb.Request) (*pb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, remaining(ctx))
	defer cancel()
	ctx, span := otel.Tracer(tracerName).Start(ctx, "call "+bodyName(req), trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	resp, err := p.call(ctx, address, req)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return resp, err
}

func (p *Pool) call(ctx context.Context, address string, req *pb.Request) (*pb.Response, error) {
	frame, err := encodeFrame(outgoing(ctx, req))
	if err != nil {
		return nil, notRun(err, 0)
	}
	if len(frame) > MaxFrameBytes {
		return nil, notRun(errFrameTooLong, 0)
	}
	s, err := p.session(ctx, address)
	if err != nil {
		return nil, notRun(err, redialMax)
	}
	s.touch()
	resp, sent, err := s.roundTrip(ctx, frame)
	if err != nil && !sent {
		return nil, notRun(err, redialFirst)
	}
	if err != nil {
		return nil, mayHaveRun(ctx, err)
	}
	if err := responseError(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

func remaining(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return defaultTimeout
}

// outgoing returns req with the call's deadline and span; req is shared
// between calls and stays as it is.
func outgoing(ctx context.Context, req *pb.Request) *pb.Request {
	carrier := propagation.MapCarrier{}
	if trace.SpanContextFromContext(ctx).IsSampled() {
		propagation.TraceContext{}.Inject(ctx, carrier)
	}
	timeout := max(1, remaining(ctx).Milliseconds())
	return &pb.Request{TraceParent: carrier["traceparent"], TimeoutMs: uint32(timeout), Body: req.GetBody()}
}

func (p *Pool) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, errClosed
	}
	found, ok := p.peers[address]
	if !ok {
		found = &peer{address: address, dialing: make(chan struct{}, 1), retry: newRetry()}
		p.peers[address] = found
	}
	return found, nil
}

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = redialFirst
	b.MaxInterval = redialMax
	return b
}

// session returns the live session to address, dialing when there is none.
func (p *Pool) session(ctx context.Context, address string) (*session, error) {
	peer, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	if s := peer.live(); s != nil {
		return s, nil
	}
	select {
	case peer.dialing <- struct{}{}:
		defer func() { <-peer.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s := peer.live(); s != nil {
		return s, nil
	}
	return p.connect(ctx, peer)
}

func (p *Pool) connect(ctx context.Context, peer *peer) (*session, error) {
	if peer.backingOff(time.Now()) {
		return nil, errBackoff
	}
	s, err := dial(ctx, peer.address, p.credentials, p.traffic)
	peer.dialed(err, time.Now())
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		s.close()
		return nil, errClosed
	}
	peer.replace(s)
	p.watchers.Go(func() { p.watch(peer, s) })
	return s, nil
}

// watch sends heartbeats while nothing arrives. A session that does not answer
// is first taken out of use, so that new calls open another beside it, and
// closed when it stays silent.
func (p *Pool) watch(peer *peer, s *session) {
	defer peer.drop(s)
	defer s.close()
	timer := time.NewTimer(heartbeatIdle)
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-s.mux.CloseChan():
			return
		case <-timer.C:
		}
		if s.unused() > unusedAfter {
			return
		}
		if s.conn.silence() >= heartbeatIdle && !p.probe(peer, s) {
			sessionsLost.Inc()
			p.log.WithError(errSilent).WithField("address", peer.address).Warn("link session lost")
			return
		}
		timer.Reset(heartbeatIdle - s.conn.silence() + timerSlack)
	}
}

// probe reports whether the peer is heard within the session's time limits.
func (p *Pool) probe(peer *peer, s *session) bool {
	before := s.conn.lastRead.Load()
	if s.heartbeat(p.ctx, suspectAfter) == nil {
		return true
	}
	peer.drop(s)
	select {
	case <-time.After(closeAfter):
	case <-p.ctx.Done():
	case <-s.mux.CloseChan():
	}
	return s.conn.lastRead.Load() != before
}

func (p *peer) live() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && p.current.mux.IsClosed() {
		p.current = nil
	}
	return p.current
}

func (p *peer) replace(s *session) (old *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, p.current = p.current, s
	return old
}

// drop takes s out of use for new calls.
func (p *peer) drop(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == s {
		p.current = nil
	}
}

func (p *peer) backingOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.retryAt)
}

func (p *peer) dialed(err error, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.retry.Reset()
		p.retryAt = time.Time{}
		return
	}
	p.retryAt = now.Add(p.retry.NextBackOff())
}
