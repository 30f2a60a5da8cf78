package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	pb "kumquatyard/proto/kumquat/v1"
)

// maxIdleStreams bounds the idle streams that a session keeps for later calls.
const maxIdleStreams = 4

var (
	errSessionDead  = errors.New("peer does not answer heartbeats")
	errFrameTooLong = fmt.Errorf("message over %d bytes", MaxFrameBytes)
)

// session is a dialed connection. It reuses streams for later calls, which saves
// the frames that open and close a stream.
type session struct {
	conn    *countedConn
	mux     *yamux.Session
	lastUse atomic.Int64

	mu   sync.Mutex
	idle []*clientStream
}

type clientStream struct {
	*yamux.Stream
	reader *bufio.Reader
}

// dial opens a session to address.
func dial(ctx context.Context, address string, creds *credentials, traffic *Traffic) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := newCountedConn(raw, traffic, 0)
	secure := tls.Client(conn, creds.tlsConfig())
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	mux, err := yamux.Client(secure, muxConfig())
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	sessionsOpen.Inc()
	s := &session{conn: conn, mux: mux}
	s.touch()
	return s, nil
}

func (s *session) touch() { s.lastUse.Store(time.Now().UnixNano()) }

func (s *session) idleTime() time.Duration {
	return time.Duration(time.Now().UnixNano() - s.lastUse.Load())
}

// close closes the session; calls in progress on it fail. It closes the socket
// first, because closing the yamux session waits for pending writes.
func (s *session) close() {
	_ = s.conn.Close()
	_ = s.mux.Close()
}

func (s *session) takeStream() (*clientStream, error) {
	s.mu.Lock()
	if n := len(s.idle); n > 0 {
		stream := s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		return stream, nil
	}
	s.mu.Unlock()
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return &clientStream{Stream: stream, reader: newFrameReader(stream)}, nil
}

func (s *session) putStream(stream *clientStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) >= maxIdleStreams {
		_ = stream.Close()
		return
	}
	s.idle = append(s.idle, stream)
}

// roundTrip sends a frame and reads its response. sent is true if any byte may
// have been sent.
func (s *session) roundTrip(ctx context.Context, frame []byte) (resp *pb.Response, sent bool, err error) {
	stream, err := s.takeStream()
	if err != nil {
		return nil, false, err
	}
	resp, sent, err = stream.exchange(ctx, frame)
	if err != nil {
		_ = stream.Close()
		return nil, sent, err
	}
	s.putStream(stream)
	return resp, true, nil
}

// exchange sends a frame and reads its response until ctx is done. The second
// result is true if any byte may have been sent.
func (c *clientStream) exchange(ctx context.Context, frame []byte) (*pb.Response, bool, error) {
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	_ = c.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.send(frame)
	if !stop() && err == nil {
		err = ctx.Err() // The stream's deadline has changed: do not reuse the stream.
	}
	return resp, true, err
}

func (c *clientStream) send(frame []byte) (*pb.Response, error) {
	if _, err := c.Write(frame); err != nil {
		return nil, err
	}
	var resp pb.Response
	if err := readFrame(c.reader, &resp); err != nil {
		return nil, err
	}
	return &resp, nil
}

// heartbeat sends an empty request, which the peer's link layer acknowledges.
func (s *session) heartbeat(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	frame, err := encodeFrame(&pb.Request{})
	if err != nil {
		return err
	}
	_, _, err = s.roundTrip(ctx, frame)
	return err
}
