package connlimit

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"kumquatyard/internal/membudget"
)

const (
	// writePieceBytes is the part of an answer that a client must read to make progress.
	writePieceBytes = 16 << 10
	// headProgressBytes and bodyProgressBytes are the least progress of a head and of a body.
	headProgressBytes = 256
	bodyProgressBytes = 1 << 10
)

// errGaveWay ends the reading of a connection that gave way, or whose head was refused.
var errGaveWay = errors.New("the connection gave way")

// Conn is a connection that a Door admitted. It follows what the client does.
type Conn struct {
	net.Conn
	door   *Door
	opened time.Time
	// recycled is set if the connection is to be closed after its next answer.
	recycled atomic.Bool

	mu    sync.Mutex
	state State
	// moved is the number of bytes since the last progress.
	moved  int
	head   headScanner
	charge membudget.Charge
	// evicted is set once the connection has to give way. No request of it is served from then on.
	evicted bool
	// holdsHead is set while its head takes memory of the door's.
	holdsHead bool
}

// begin starts a phase. It is called with mu held.
func (c *Conn) begin(p Phase, now time.Time) {
	c.state, c.moved = State{Phase: p, Since: now, Progress: now}, 0
}

// enter starts a phase, and reports whether the connection goes on: it does not once it gave way.
func (c *Conn) enter(p Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	c.begin(p, time.Now())
	return true
}

// view is a connection as it was at a moment.
type view struct {
	conn *Conn
	State
	evicted, holdsHead bool
}

func (c *Conn) view() view {
	c.mu.Lock()
	defer c.mu.Unlock()
	return view{conn: c, State: c.state, evicted: c.evicted, holdsHead: c.holdsHead}
}

// Read implements net.Conn. It refuses a head for which there is no memory.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		return 0, errGaveWay
	}
	return n, err
}

// received records bytes of the client, and reports whether they are to be used.
func (c *Conn) received(p []byte) bool {
	c.mu.Lock()
	head, isHead, evicted := c.record(p), c.state.Phase == ReadingHead, c.evicted
	c.mu.Unlock()
	if evicted || !isHead {
		return !evicted
	}
	return c.door.acceptHead(c, head)
}

// record counts bytes of the client. It is called with mu held.
func (c *Conn) record(p []byte) headScanner {
	switch c.state.Phase {
	case Idle:
		c.begin(ReadingHead, time.Now())
		c.head = headScanner{}
	case ReadingBody:
		c.progress(len(p), bodyProgressBytes)
	default:
	}
	if c.state.Phase == ReadingHead {
		c.progress(len(p), headProgressBytes)
		c.head.scan(p)
	}
	return c.head
}

// progress records bytes that moved, of which least are progress. It is called with mu held.
func (c *Conn) progress(n, least int) {
	c.moved += n
	if c.moved >= least {
		c.state.Progress, c.moved = time.Now(), 0
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (written int, err error) {
	c.mu.Lock()
	before := c.state
	c.begin(WritingAnswer, time.Now())
	c.mu.Unlock()
	for len(p) > 0 && err == nil {
		var n int
		n, err = c.Conn.Write(p[:min(len(p), writePieceBytes)])
		written, p = written+n, p[n:]
		if len(p) > 0 {
			c.mu.Lock()
			c.state.Progress = time.Now()
			c.mu.Unlock()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = before
	return written, err
}

// serving records that the head is read and its request is served, and reports whether the
// connection goes on.
func (c *Conn) serving(hasBody bool) bool {
	if hasBody {
		return c.enter(ReadingBody)
	}
	return c.enter(Running)
}

// idle records that the request is answered.
func (c *Conn) idle() {
	c.enter(Idle)
	c.releaseHead()
}

func (c *Conn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charge.Release()
	c.holdsHead = false
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.releaseHead()
	c.door.remove(c)
	return err
}

// CloseWrite implements the half-close that net/http uses before it closes a connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with bytes that are not sent, as that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// evict ends what the connection does, unless it has gone on since it was in a state: a body
// with an error at its reader, which can still refuse the request; anything else with the
// connection. It reports whether it did.
func (c *Conn) evict(seen State) bool {
	c.mu.Lock()
	if c.evicted || c.state != seen {
		c.mu.Unlock()
		return false
	}
	c.evicted = true
	if seen.Phase == ReadingBody {
		// An error means that the connection has ended.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		c.mu.Unlock()
		return true
	}
	c.mu.Unlock()
	if seen.Phase == WritingAnswer {
		// An answer that is cut must not look whole.
		_ = c.SetLinger(0)
	}
	_ = c.Close()
	return true
}
