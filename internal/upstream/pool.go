// Package upstream speaks HTTP/1.1 to backend servers. Unlike the libraries'
// clients it never repeats a request, knows whether any byte of it can have
// reached the server, checks that an answer belongs to the request, and never
// uses a connection again on which anything unexpected happened.
package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Settings bound connections.
type Settings struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// UnackedTimeout ends a connection whose bytes are not acknowledged.
	UnackedTimeout time.Duration
	// IdleLimit is how long a connection is kept where the server states none.
	IdleLimit time.Duration
	// NonIdempotentIdleLimit is how long a connection may have been idle to carry a
	// request that must not be repeated: the server may be closing it.
	NonIdempotentIdleLimit time.Duration
}

// DefaultSettings suit servers within a few milliseconds.
var DefaultSettings = Settings{
	DialTimeout:            400 * time.Millisecond,
	UnackedTimeout:         3 * time.Second,
	IdleLimit:              4 * time.Second,
	NonIdempotentIdleLimit: time.Second,
}

// keepShare is the part of the server's stated idle limit that is used.
const keepShare = 0.6

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	settings Settings

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
}

// NewPool returns an empty Pool.
func NewPool(s Settings) *Pool {
	return &Pool{settings: s, idle: make(map[string][]*conn), open: make(map[string]int)}
}

// ConnectionCount returns the number of connections to an address.
func (p *Pool) ConnectionCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// ErrConnectionLimit means that all connections that may be opened to a server
// are in use.
var ErrConnectionLimit = errors.New("all connections to the server are in use")

// take returns a connection that may carry a request: the idle one used last,
// or a new one. A request that must not be repeated gets one that the server is
// hardly closing.
func (p *Pool) take(ctx context.Context, call *Call) (*conn, error) {
	for {
		c := p.pop(call.Address, call.NonIdempotent)
		if c == nil {
			break
		}
		if c.acquire() {
			return c, nil
		}
		p.close(call.Address, c)
	}
	for !p.reserve(call.Address, call.MaxConnections) {
		stale := p.pop(call.Address, false)
		if stale == nil {
			return nil, ErrConnectionLimit
		}
		p.close(call.Address, stale)
	}
	return p.dial(ctx, call.Address)
}

func (p *Pool) pop(address string, once bool) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if once && now.Sub(c.used) > p.settings.NonIdempotentIdleLimit {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// reserve counts a connection that is to be opened, unless limit are open.
func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

// dial opens a connection that was reserved.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         p.settings.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control:         p.control,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.count(address, -1)
		return nil, err
	}
	return newConn(raw), nil
}

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall lacks.
const tcpUserTimeout = 18

func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(p.settings.UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func (p *Pool) count(address string, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address] += change
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(address string, c *conn) {
	if c.keepFor <= 0 {
		c.keepFor = p.settings.IdleLimit
	}
	c.used = time.Now()
	c.release()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

func (p *Pool) close(address string, c *conn) {
	c.shut()
	p.count(address, -1)
}

// Sweep closes the connections that were idle for too long.
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
			if now.Sub(c.used) > c.keepFor {
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
