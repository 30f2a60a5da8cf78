package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	tracerName = "kumquatyard/internal/link"
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
	acceptPause    = 50 * time.Millisecond
)

type server struct {
	handler     Handler
	log         *logrus.Entry
	credentials *credentials
	traffic     *Traffic
}

// Serve listens on s.Listen and answers requests with h until ctx is done. It
// then returns nil; it returns an error if it cannot listen.
func Serve(ctx context.Context, s Settings, h Handler, log *logrus.Entry) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("open listener for other processes: %w", err)
	}
	return ServeListener(ctx, listener, s, h, log)
}

// ServeListener is like Serve but uses an open listener, which it closes.
func ServeListener(ctx context.Context, listener net.Listener, s Settings, h Handler, log *logrus.Entry) error {
	defer listener.Close()
	creds, err := newCredentials(s)
	if err != nil {
		return err
	}
	srv := &server{handler: h, log: log, credentials: creds, traffic: s.Traffic}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var sessions conc.WaitGroup
	defer sessions.Wait()
	return srv.accept(ctx, listener, &sessions)
}

func (s *server) accept(ctx context.Context, listener net.Listener, sessions *conc.WaitGroup) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept connections of other processes: %w", err)
		}
		if err != nil {
			s.log.WithError(err).Warn("accepting a link connection failed; retrying")
			time.Sleep(acceptPause)
			continue
		}
		sessions.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *server) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	counted := newCountedConn(conn, s.traffic, acceptedReadTimeout)
	secure := tls.Server(counted, s.credentials.tlsConfig())
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := secure.HandshakeContext(handshake)
	cancel()
	if err != nil {
		s.log.WithError(err).WithField("peer", conn.RemoteAddr()).Debug("TLS handshake of an accepted link connection failed; closing it")
		return
	}
	mux, err := yamux.Server(secure, muxConfig())
	if err != nil {
		s.log.WithError(err).Error("opening a session on an accepted link connection failed; closing it")
		return
	}
	s.serveSession(ctx, mux, peerName(secure))
}

func (s *server) serveSession(ctx context.Context, mux *yamux.Session, from string) {
	ctx, cancel := context.WithCancel(ctx)
	var streams conc.WaitGroup
	defer streams.Wait()
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = mux.Close() })()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			_ = mux.Close()
			return
		}
		streams.Go(func() { s.serveStream(ctx, stream, from) })
	}
}

// serveStream answers the requests on a stream one after the other until the peer
// closes it.
func (s *server) serveStream(ctx context.Context, stream *yamux.Stream, from string) {
	defer stream.Close()
	reader := newFrameReader(stream)
	for s.serveRequest(ctx, stream, reader, from) == nil {
	}
}

func (s *server) serveRequest(ctx context.Context, stream *yamux.Stream, reader *bufio.Reader, from string) error {
	var req pb.Request
	if err := readFrame(reader, &req); err != nil {
		return err
	}
	frame, err := encodeFrame(s.answer(ctx, from, &req))
	if err != nil {
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(streamTimeout))
	_, err = stream.Write(frame)
	return err
}

// answer returns the response to a request. A request without a body is a
// heartbeat, which is acknowledged without calling the handler.
func (s *server) answer(ctx context.Context, from string, req *pb.Request) *pb.Response {
	if req.GetBody() == nil {
		return &pb.Response{Body: &pb.Response_Ack{Ack: &pb.Ack{}}}
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(req))
	defer cancel()
	ctx, span := startServerSpan(ctx, req)
	defer span.End()
	var resp *pb.Response
	var err error
	if recovered := panics.Try(func() { resp, err = s.handler.Handle(ctx, from, req) }); recovered != nil {
		s.log.WithError(recovered.AsError()).Error("handling a link request panicked; answering it with an error")
		err = &contract.Error{Kind: contract.KindUnavailable, Verdict: contract.MayHaveRun, Message: "handler failed"}
	}
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return errorResponse(err)
	}
	if resp == nil {
		return errorResponse(&contract.Error{
			Kind: contract.KindInvalid, Verdict: contract.NotRun, Message: "request not handled here",
		})
	}
	return resp
}

func timeoutOf(req *pb.Request) time.Duration {
	if ms := req.GetTimeoutMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultTimeout
}

func startServerSpan(ctx context.Context, req *pb.Request) (context.Context, trace.Span) {
	if parent := req.GetTraceParent(); parent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
	}
	return otel.Tracer(tracerName).Start(ctx, "link "+bodyName(req), trace.WithSpanKind(trace.SpanKindServer))
}

// bodyName returns the protobuf field name of the request's body, or "empty".
func bodyName(req *pb.Request) string {
	m := req.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("body"))
	if field == nil {
		return "empty"
	}
	return string(field.Name())
}
