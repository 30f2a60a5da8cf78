package upstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"kumquatyard/internal/frame"
)

// uploadEndTimeout bounds the wait for the outcome of a write on a connection that has ended. Such
// a write returns at once, as it does when the call's context is done, which shuts the connection:
// only its goroutine may not have been run yet.
const uploadEndTimeout = time.Second

// upload is the writing of a request, which may go on while the answer is read. A connection that
// breaks tells so once: if the upload takes the error, a reader gets a regular end.
type upload struct {
	done chan struct{}
	// err is valid once done is closed.
	err error
}

func newUpload() *upload { return &upload{done: make(chan struct{})} }

// end records the outcome; it is called once.
func (u *upload) end(err error) {
	u.err = err
	close(u.done)
}

// isDone reports whether nothing is left to be written.
func (u *upload) isDone() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// succeeds reports whether all was written, for which it waits for at most timeout.
func (u *upload) succeeds(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err == nil
	case <-timer.C:
		return false
	}
}

// endCause returns what may have ended the connection other than the server, after a regular end
// was read. While an upload goes on, a connection that only the server has closed shows that the
// end is the server's.
func (x *exchange) endCause() frame.Cause {
	if !x.upload.isDone() && closedByPeer(x.conn.Conn) || x.upload.succeeds(uploadEndTimeout) {
		return frame.NoCause
	}
	return frame.Unsent
}

// closedByPeer reports whether the other end of a TCP connection has closed its side, and the
// connection was neither reset nor given up since.
func closedByPeer(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && closed
}
