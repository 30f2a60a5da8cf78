package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/membudget"
)

// Settings configures a Door.
type Settings struct {
	// Name names the door in logs and metrics.
	Name string
	// Limit is the number of connections; 0 means no limit.
	Limit int
	// Heads is the memory for large heads; nil means no limit.
	Heads *membudget.Budget
	// Rules returns the rules in force.
	Rules func() Rules
	// MaxHeadBytes returns the largest size of a head; 0 means no limit. Nil means none.
	MaxHeadBytes func() int
	Log          *logrus.Entry
}

// Door admits the connections of one address. It is safe for concurrent use.
type Door struct {
	settings Settings
	reports  reports

	mu    sync.Mutex
	open  map[*Conn]struct{}
	freed chan struct{}
}

// placeWait is how long a new connection waits for the place of one that gives way.
const placeWait = 20 * time.Millisecond

// NewDoor returns a Door without connections.
func NewDoor(s Settings) *Door {
	d := &Door{settings: s, open: make(map[*Conn]struct{}), freed: make(chan struct{}, 1)}
	d.reports.init(s.Name, s.Log)
	registerDoor(d)
	return d
}

// Configure makes a server report the progress of the door's connections.
func (d *Door) Configure(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.idle()
		}
	}
	s.Handler = follow(s.Handler)
}

type connKey struct{}

// follow makes a handler record when a request's head and body are read.
func follow(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			hasBody := r.Body != http.NoBody
			if !c.serving(hasBody) {
				panic(http.ErrAbortHandler)
			}
			if hasBody {
				r.Body = &body{ReadCloser: r.Body, conn: c}
			}
			if c.recycled.Load() {
				w.Header().Set("Connection", "close")
			}
		}
		h.ServeHTTP(w, r)
	})
}

// body records the end of a request's body.
type body struct {
	io.ReadCloser
	conn *Conn
}

// ErrBodyStalled is the error of reading a body that had to give way.
var ErrBodyStalled = errors.New("the body made no progress and gave way")

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.enter(Running) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errGaveWay) {
		return n, ErrBodyStalled
	}
	return n, err
}

// Listen returns a listener whose connections the door admits.
func (d *Door) Listen(l net.Listener) net.Listener { return &listener{Listener: l, door: d} }

type listener struct {
	net.Listener
	door *Door
}

// Accept implements net.Listener. It closes connections for which there is no place.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.door.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit returns the connection with a place, nil if there is none.
func (d *Door) admit(raw net.Conn) *Conn {
	now := time.Now()
	c := &Conn{Conn: raw, door: d, opened: now, charge: d.settings.Heads.Charge()}
	c.begin(Idle, now)
	if d.add(c) {
		return c
	}
	if !d.makeRoom(now, reasonNoPlace, isAny) {
		d.recycle()
		d.reports.count(reasonRefused)
		return nil
	}
	timeout := time.NewTimer(placeWait)
	defer timeout.Stop()
	for !d.add(c) {
		select {
		case <-d.freed:
		case <-timeout.C:
			d.reports.count(reasonRefused)
			return nil
		}
	}
	return c
}

// add gives a connection a place if there is one.
func (d *Door) add(c *Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.settings.Limit > 0 && len(d.open) >= d.settings.Limit {
		return false
	}
	d.open[c] = struct{}{}
	return true
}

// remove takes back the place of a connection.
func (d *Door) remove(c *Conn) {
	d.mu.Lock()
	delete(d.open, c)
	d.mu.Unlock()
	select {
	case d.freed <- struct{}{}:
	default:
	}
}

// count returns the number of connections.
func (d *Door) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// views returns the wanted connections that have not given way yet.
func (d *Door) views(wanted func(view) bool) (views []view) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.open {
		if v := c.view(); !v.evicted && wanted(v) {
			views = append(views, v)
		}
	}
	return views
}

func isAny(view) bool       { return true }
func isBody(v view) bool    { return v.Phase == ReadingBody }
func holdsHead(v view) bool { return v.holdsHead }

// makeRoom closes that of the wanted connections that gives way first, and reports whether there
// is one.
func (d *Door) makeRoom(now time.Time, why reason, wanted func(view) bool) bool {
	return d.makeRoomBy(d.settings.Rules(), now, why, wanted)
}

// makeRoomBy is makeRoom with other rules than the door's.
func (d *Door) makeRoomBy(rules Rules, now time.Time, why reason, wanted func(view) bool) bool {
	views := d.views(wanted)
	states := make([]State, len(views))
	for n, v := range views {
		states[n] = v.State
	}
	n := rules.Victim(states, now)
	if n < 0 || !views[n].conn.evict(states[n]) {
		return false
	}
	d.reports.count(why)
	return true
}

// recycle makes the connection that was opened first close after its next answer, so that those
// that send request after request do not keep all places.
func (d *Door) recycle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var oldest *Conn
	for c := range d.open {
		if !c.recycled.Load() && (oldest == nil || c.opened.Before(oldest.opened)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.recycled.Store(true)
		d.reports.count(reasonRecycled)
	}
}

// sweep closes the connections whose time is over.
func (d *Door) sweep(now time.Time) {
	rules := d.settings.Rules()
	for _, v := range d.views(isAny) {
		if rules.Expired(v.State, now) && v.conn.evict(v.State) {
			d.reports.count(reasonOf(v.Phase))
		}
	}
	d.reports.log(now)
}

const (
	// refusedHead answers a request that is not read to the end of its head, and has not run.
	refusedHead = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	longHead    = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// headTries bounds how many others give way to one head.
	headTries = 16
)

// acceptHead charges what has come of a head, and reports whether there is memory for it. If
// not, it refuses the request.
func (d *Door) acceptHead(c *Conn, h headScanner) bool {
	if limit := d.maxHeadBytes(); limit > 0 && h.bytes > limit {
		d.reports.count(reasonHeadTooLong)
		c.refuse(longHead)
		return false
	}
	for range headTries {
		if c.grow(h.cost()) {
			return true
		}
		if !d.makeRoom(time.Now(), reasonNoHeadMemory, holdsHead) {
			break
		}
		time.Sleep(roomPause)
	}
	d.reports.count(reasonHeadRefused)
	c.refuse(refusedHead)
	return false
}

func (d *Door) maxHeadBytes() int {
	if d.settings.MaxHeadBytes == nil {
		return 0
	}
	return d.settings.MaxHeadBytes()
}

// grow charges the head up to a cost.
func (c *Conn) grow(cost int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdsHead = c.holdsHead || cost > 0
	return c.charge.Cover(cost)
}

// refuse answers a request whose head is not read to its end.
func (c *Conn) refuse(answer string) {
	_ = c.SetWriteDeadline(time.Now().Add(placeWait))
	// An error means that the client does not read it; the connection is closed anyway.
	_, _ = io.WriteString(c.Conn, answer)
}
