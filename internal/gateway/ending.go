package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/frame"
	"kumquatyard/internal/machine"
)

const (
	// endCheckTimeout bounds the question whether a server has ended.
	endCheckTimeout = 100 * time.Millisecond
	// endConfirmTime is how long a process that is killed may take until it listens no more: its
	// connections may end first.
	endConfirmTime = 60 * time.Millisecond
	// reportDelay is the maximum delay of a server's report on itself.
	reportDelay = 250 * time.Millisecond
)

// framingOf returns how the end of an answer's body is marked.
func framingOf(resp *fasthttp.Response) frame.Framing {
	switch {
	case resp.BodyStream() == nil || resp.Header.ContentLength() >= 0:
		return frame.Length
	case resp.Header.ContentLength() == -1:
		return frame.Chunks
	default:
		return frame.Close
	}
}

// readWhole reads a body as readBody does. It fails if what cause returns at the end of the body
// may have cut it off; cause is called only if nothing else marks the end.
func readWhole(resp *fasthttp.Response, limit int64, cause func() frame.Cause) ([]byte, error) {
	framing := framingOf(resp)
	body, err := readBody(resp, limit)
	if err != nil || framing != frame.Close {
		return body, err
	}
	if err := frame.End(framing, cause()); !errors.Is(err, io.EOF) {
		return nil, err
	}
	return body, nil
}

// endCause returns what may have ended the connection of a server other than the end of its
// answer.
func (g *Gateway) endCause(ctx context.Context, server *machine.Server) frame.Cause {
	if g.snapshots.load().mayBeLost(server.ID, time.Now()) && hasEnded(ctx, server.Address) {
		return frame.Loss
	}
	return frame.NoCause
}

// mayBeLost reports whether a server that does not listen any more was lost. One that leaves stops
// listening first and then lets its answers end, until it is reclaimed.
func (snap *snapshot) mayBeLost(id machine.ID, now time.Time) bool {
	s := snap.state(id)
	return s.Lifecycle != machine.Leaving || !s.ReclaimAt.IsZero() && !now.Before(s.ReclaimAt.Add(-reportDelay))
}

// hasEnded reports whether nothing listens at an address, or the process that does ends. The deadline of ctx, at which an answer
// may have ended, does not apply.
func hasEnded(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCheckTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer conn.Close()
	// A server that sends nothing unasked ends the connection only with itself.
	if err := conn.SetReadDeadline(time.Now().Add(endConfirmTime)); err != nil {
		return true
	}
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
