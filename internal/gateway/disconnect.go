package gateway

import (
	"errors"
	"net"
	"syscall"

	"kumquatyard/internal/contract"
)

// errCallerDisconnected ends a run whose caller closed its connection. The
// caller may have resumed the stream at another gateway, so the run must not
// continue here.
var errCallerDisconnected = &contract.Error{
	Kind: contract.KindUnavailable, Verdict: contract.MayHaveRun,
	Message: "the caller closed its connection",
}

// callerDisconnected reports whether the peer of conn closed the connection.
// The HTTP server does not read while a handler runs, so the check peeks at the
// socket without consuming data. A peer that closes a TLS session first sends
// an alert, which hides the close: such a peer counts as connected.
func callerDisconnected(conn net.Conn) bool {
	raw, ok := rawConn(conn)
	if !ok {
		return false
	}
	left := false
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		endOfStream := err == nil && n == 0
		left = endOfStream || errors.Is(err, syscall.ECONNRESET)
	})
	// Control fails on a connection that was closed at this side.
	return left || err != nil
}

// rawConn unwraps a caller's connection and returns its socket, or false if it
// has none.
func rawConn(conn net.Conn) (syscall.RawConn, bool) {
	for {
		switch c := conn.(type) {
		case *deadlineConn:
			conn = c.Conn
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		case syscall.Conn:
			raw, err := c.SyscallConn()
			return raw, err == nil
		default:
			return nil, false
		}
	}
}
