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
	// idleTimeout is the time after which a session without calls is closed.
	idleTimeout = time.Minute
	// timerSlack makes the heartbeat timer fire only after heartbeatIdle has
	// passed.
	timerSlack = 10 * time.Millisecond
)

var (
	errClosed  = errors.New("link pool is closed")
	errBackoff = errors.New("backing off after a failed connection attempt")
)

// Pool implements Caller. It keeps one session to each address in use.
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

// peer is the connection state of one address. dialing serializes connection
// attempts.
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

// Close closes all sessions. Calls in progress fail.
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

// Call implements Caller. A call whose context has no deadline times out after
// 5 s.
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

// remaining returns the time until ctx's deadline, or defaultTimeout if it has
// none.
func remaining(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return defaultTimeout
}

// outgoing returns a copy of req with the call's timeout and trace context. req
// itself is shared between calls and must not be modified.
func outgoing(ctx context.Context, req *pb.Request) *pb.Request {
	carrier := propagation.MapCarrier{}
	if trace.SpanContextFromContext(ctx).IsSampled() {
		propagation.TraceContext{}.Inject(ctx, carrier)
	}
	timeout := max(1, remaining(ctx).Milliseconds())
	return &pb.Request{TraceParent: carrier["traceparent"], TimeoutMs: uint32(timeout), Body: req.GetBody()}
}

// peer returns the state of an address, creating it on first use.
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

// session returns the live session to address, or dials if there is none.
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

// connect dials the peer and installs the new session, unless the peer is backing
// off.
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

// watch sends heartbeats on a session while nothing arrives. If a heartbeat is
// not answered, the session is first retired, so that new calls open another one,
// and closed if still nothing arrives. watch also closes idle sessions.
func (p *Pool) watch(peer *peer, s *session) {
	defer peer.retire(s)
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
		if s.idleTime() > idleTimeout {
			return
		}
		if s.conn.sinceLastRead() >= heartbeatIdle && !p.checkAlive(peer, s) {
			sessionsLost.Inc()
			p.log.WithError(errSessionDead).WithField("address", peer.address).Warn("link session closed because of a silent peer; the next call opens a new one")
			return
		}
		timer.Reset(heartbeatIdle - s.conn.sinceLastRead() + timerSlack)
	}
}

// checkAlive sends a heartbeat and reports whether data arrives from the peer
// within suspectAfter + closeAfter. It retires the session if the heartbeat is
// not answered within suspectAfter.
func (p *Pool) checkAlive(peer *peer, s *session) bool {
	before := s.conn.lastRead.Load()
	if s.heartbeat(p.ctx, suspectAfter) == nil {
		return true
	}
	peer.retire(s)
	select {
	case <-time.After(closeAfter):
	case <-p.ctx.Done():
	case <-s.mux.CloseChan():
	}
	return s.conn.lastRead.Load() != before
}

// live returns the current session, or nil if there is no open one.
func (p *peer) live() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && p.current.mux.IsClosed() {
		p.current = nil
	}
	return p.current
}

// replace sets the current session and returns the previous one.
func (p *peer) replace(s *session) (old *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, p.current = p.current, s
	return old
}

// retire stops the use of s for new calls.
func (p *peer) retire(s *session) {
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

// dialed records the result of a connection attempt: success resets the backoff,
// failure extends it.
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
