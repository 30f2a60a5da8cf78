// Package upstream is an HTTP/1.1 client for backend servers. Unlike the clients of
// net/http and other libraries, it never repeats a request, reports whether any byte of
// it can have reached the server, checks that an answer belongs to the request, and
// does not reuse a connection on which anything unexpected happened.
package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings holds the timeouts of connections.
type Settings struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// UnackedTimeout is the time after which a connection with unacknowledged data is
	// closed (TCP_USER_TIMEOUT).
	UnackedTimeout time.Duration
	// IdleLimit is how long an idle connection is kept if the server sends no
	// Keep-Alive timeout.
	IdleLimit time.Duration
	// NonIdempotentIdleLimit is how long a connection may have been idle to be used
	// for a request that must not be repeated: the server may be closing one that was
	// idle for longer.
	NonIdempotentIdleLimit time.Duration
	// MaxOpen is the number of connections to all servers together; 0 means no limit.
	MaxOpen int
}

// DefaultSettings is for servers at a round-trip time of a few milliseconds.
var DefaultSettings = Settings{
	DialTimeout:            400 * time.Millisecond,
	UnackedTimeout:         3 * time.Second,
	IdleLimit:              4 * time.Second,
	NonIdempotentIdleLimit: time.Second,
}

// keepAliveShare is the part of the server's Keep-Alive timeout for which a connection
// is kept.
const keepAliveShare = 0.6

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	settings Settings

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
	// total is the sum of open.
	total int
}

// NewPool returns an empty Pool.
func NewPool(s Settings) *Pool {
	return &Pool{settings: s, idle: make(map[string][]*conn), open: make(map[string]int)}
}

// ConnectionCount returns the number of open connections to an address, idle or in
// use.
func (p *Pool) ConnectionCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// ErrConnectionLimit means that Call.MaxConnections connections to the server are in
// use.
var ErrConnectionLimit = errors.New("all connections to the server are in use")

// get returns a connection for a call: the idle one that was used last, or a new one.
// For a request that must not be repeated, it returns only a connection that the
// server is unlikely to be closing.
func (p *Pool) get(ctx context.Context, call *Call) (*conn, error) {
	for {
		c := p.popIdle(call.Address, call.NonIdempotent)
		if c == nil {
			break
		}
		if c.acquire() {
			return c, nil
		}
		p.close(call.Address, c)
	}
	for !p.reserve(call.Address, call.MaxConnections) {
		if !p.closeOneIdle(call.Address) {
			return nil, ErrConnectionLimit
		}
	}
	return p.dial(ctx, call.Address)
}

func (p *Pool) popIdle(address string, nonIdempotent bool) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if nonIdempotent && now.Sub(c.lastUsed) > p.settings.NonIdempotentIdleLimit {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// closeOneIdle closes an idle connection, of this address if there is one, else of another if
// all connections together are at their limit. It returns false if there is none.
func (p *Pool) closeOneIdle(address string) bool {
	if stale := p.popIdle(address, false); stale != nil {
		p.close(address, stale)
		return true
	}
	other, stale := p.popLongestIdle()
	if stale == nil {
		return false
	}
	p.close(other, stale)
	return true
}

// popLongestIdle returns the connection that has been idle for the longest, if all connections
// together are at their limit; nil if there is none.
func (p *Pool) popLongestIdle() (address string, longest *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isFull() {
		return "", nil
	}
	for a, list := range p.idle {
		if len(list) > 0 && (longest == nil || list[0].lastUsed.Before(longest.lastUsed)) {
			address, longest = a, list[0]
		}
	}
	if longest != nil {
		p.idle[address] = p.idle[address][1:]
	}
	return address, longest
}

// isFull reports whether all connections together are at their limit. It is called with mu held.
func (p *Pool) isFull() bool { return p.settings.MaxOpen > 0 && p.total >= p.settings.MaxOpen }

// reserve counts a connection that is about to be opened. It returns false if limit
// connections to the address are open, or all that the pool may open; a limit of 0 means no limit.
func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open[address] >= limit || p.isFull() {
		return false
	}
	p.open[address]++
	p.total++
	return true
}

// dial opens a connection that was counted by reserve.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         p.settings.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control:         p.setUserTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.addOpen(address, -1)
		return nil, err
	}
	return newConn(raw), nil
}

// Listens reports whether connections to an address are accepted. A new one is kept for the
// next call. An error means that this is not known: the server is silent, or limit
// connections to it are open.
func (p *Pool) Listens(ctx context.Context, address string, limit int) (bool, error) {
	if !p.reserve(address, limit) {
		return false, ErrConnectionLimit
	}
	c, err := p.dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	p.putUnused(address, c)
	return true, nil
}

// HoldsOpen reports whether an idle connection to an address is open, so that the process at its
// other end has not ended, as far as is known here.
func (p *Pool) HoldsOpen(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], (*conn).isOpen)
}

func (p *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.settings.UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

func (p *Pool) addOpen(address string, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address] += change
	p.total += change
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// put makes a connection available for the next request after an exchange that read
// exactly the whole answer.
func (p *Pool) put(address string, c *conn) {
	c.lastUsed = time.Now()
	c.release()
	c.exchangeDone <- struct{}{}
	p.addIdle(address, c)
}

// putUnused makes a connection available for the next request on which nothing was sent
// since it was acquired or opened.
func (p *Pool) putUnused(address string, c *conn) {
	if len(c.ready) > 0 {
		p.close(address, c) // it ended, or has bytes that belong to no request
		return
	}
	if c.lastUsed.IsZero() {
		c.lastUsed = time.Now()
	}
	c.release()
	p.addIdle(address, c)
}

func (p *Pool) addIdle(address string, c *conn) {
	if c.maxIdle <= 0 {
		c.maxIdle = p.settings.IdleLimit
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

func (p *Pool) close(address string, c *conn) {
	c.shut()
	p.addOpen(address, -1)
}

// closeIdle closes the idle connections to an address, which is silent on one of them.
func (p *Pool) closeIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		p.close(address, c)
	}
}

// Sweep closes the connections that have been idle for longer than their limit.
func (p *Pool) Sweep(now time.Time) {
	type expired struct {
		address string
		conn    *conn
	}
	var closing []expired
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.lastUsed) > c.maxIdle {
				closing = append(closing, expired{address, c})
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, e := range closing {
		p.close(e.address, e.conn)
	}
}
