package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is a fault that a proxy applies to its connections.
type linkFault int

const (
	noFault linkFault = iota
	// delayed delays each chunk of data by chunkDelay.
	delayed
	// dropReplies discards data from the target.
	dropReplies
	// dropAll discards data in both directions.
	dropAll
	// resetConns resets all open connections, and new ones at once.
	resetConns
)

// chunkDelay is the delay per chunk of data under the fault delayed.
const chunkDelay = 60 * time.Millisecond

// proxy is a TCP proxy between an instance and a service that it calls. It is
// safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	conns map[*net.TCPConn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[*net.TCPConn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

// set sets the fault, which also applies to open connections.
func (p *proxy) set(fault linkFault) {
	p.mu.Lock()
	p.fault = fault
	p.mu.Unlock()
	if fault == resetConns {
		p.resetAll()
	}
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

// forward connects to the target and copies data in both directions until both
// ends are closed.
func (p *proxy) forward(from *net.TCPConn) {
	defer p.closeConn(from)
	if !p.track(from) {
		return
	}
	raw, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	to := raw.(*net.TCPConn)
	defer p.closeConn(to)
	if !p.track(to) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(to, from, false) })
	both.Go(func() { p.copyDirection(from, to, true) })
	both.Wait()
}

// track adds a connection to the open ones. It returns false, and prepares the
// connection for a reset, when the proxy resets connections.
func (p *proxy) track(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == resetConns {
		_ = c.SetLinger(0)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) closeConn(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// copyDirection copies data in one direction. Once it has discarded data, it
// discards the rest of that direction too, because a TCP stream has no gaps.
func (p *proxy) copyDirection(to, from *net.TCPConn, replies bool) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.drops(replies) {
			lost = true
		}
		if n > 0 && !lost {
			if p.currentFault() == delayed {
				time.Sleep(chunkDelay)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		if err == io.EOF && !lost {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			resetConn(to)
			return
		}
	}
}

// resetConn closes a connection with a reset: a regular end would make an answer without
// length and chunks look whole.
func resetConn(c *net.TCPConn) {
	// An error means that the connection has ended.
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *proxy) drops(replies bool) bool {
	fault := p.currentFault()
	return fault == dropAll || (fault == dropReplies && replies)
}
