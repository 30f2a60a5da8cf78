package link

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
)

// Timeouts of a session. A connection on which nothing arrives is suspect after
// heartbeatIdle + suspectAfter and is closed closeAfter later, within 3 s in
// total.
const (
	heartbeatIdle = 1250 * time.Millisecond
	suspectAfter  = 750 * time.Millisecond
	closeAfter    = 750 * time.Millisecond
	// acceptedReadTimeout is the time without data from the dialer after which an
	// accepted connection is closed.
	acceptedReadTimeout = 10 * time.Second
	dialTimeout         = 2 * time.Second
	handshakeTimeout    = 2 * time.Second
	writeTimeout        = 2 * time.Second
	streamTimeout       = 5 * time.Second
	acceptBacklog       = 256
	streamWindow        = 256 << 10
)

var (
	sentBytes     = metrics.NewCounter("kumquat_link_sent_bytes_total")
	receivedBytes = metrics.NewCounter("kumquat_link_received_bytes_total")
	sessionsLost  = metrics.NewCounter("kumquat_link_sessions_lost_total")
	sessionsOpen  = metrics.NewCounter("kumquat_link_sessions_opened_total")
)

// Traffic counts the bytes that crossed the sockets of a process's links,
// TLS records and yamux headers included.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// countedConn counts bytes and records when data last arrived from the peer.
type countedConn struct {
	net.Conn
	traffic  *Traffic
	lastRead atomic.Int64
	// readTimeout bounds the time without data from the peer. If it is 0, only
	// heartbeats detect a dead peer.
	readTimeout time.Duration
}

func newCountedConn(conn net.Conn, traffic *Traffic, readTimeout time.Duration) *countedConn {
	if traffic == nil {
		traffic = &Traffic{}
	}
	c := &countedConn{Conn: conn, traffic: traffic, readTimeout: readTimeout}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

func (c *countedConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.readTimeout))
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.traffic.Received.Add(int64(n))
		receivedBytes.Add(n)
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	sentBytes.Add(n)
	return n, err
}

// sinceLastRead returns the time since data last arrived from the peer.
func (c *countedConn) sinceLastRead() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.lastRead.Load())
}

func muxConfig() *yamux.Config {
	return &yamux.Config{
		AcceptBacklog:          acceptBacklog,
		EnableKeepAlive:        false, // The session sends its own heartbeats.
		KeepAliveInterval:      heartbeatIdle,
		ConnectionWriteTimeout: writeTimeout,
		MaxStreamWindowSize:    streamWindow,
		StreamOpenTimeout:      streamTimeout,
		StreamCloseTimeout:     streamTimeout,
		LogOutput:              io.Discard,
	}
}
