package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// trouble is what a proxy does to the connections through it.
type trouble int

const (
	noTrouble trouble = iota
	// slow delays each piece.
	slow
	// cutReplies swallows what comes back, silent what goes either way.
	cutReplies
	silent
	// resets ends all connections, and new ones at once.
	resets
)

// slowDelay is what a slow proxy adds to each piece.
const slowDelay = 60 * time.Millisecond

// proxy stands between an instance and what it calls. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	trouble trouble
	conns   map[*net.TCPConn]bool
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

// set changes the trouble; connections that are open meet it too.
func (p *proxy) set(t trouble) {
	p.mu.Lock()
	p.trouble = t
	p.mu.Unlock()
	if t == resets {
		p.resetAll()
	}
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) state() trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble
}

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(conn.(*net.TCPConn))
	}
}

// join carries one connection.
func (p *proxy) join(from *net.TCPConn) {
	defer p.drop(from)
	if !p.keep(from) {
		return
	}
	raw, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	to := raw.(*net.TCPConn)
	defer p.drop(to)
	if !p.keep(to) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.carry(to, from, false) })
	both.Go(func() { p.carry(from, to, true) })
	both.Wait()
}

// keep lists a connection unless the proxy resets them.
func (p *proxy) keep(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.trouble == resets {
		_ = c.SetLinger(0)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) drop(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// carry copies one direction. What arrives in a cut is lost for good.
func (p *proxy) carry(to, from *net.TCPConn, replies bool) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.swallows(replies) {
			lost = true
		}
		if n > 0 && !lost {
			if p.state() == slow {
				time.Sleep(slowDelay)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF && !lost {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (p *proxy) swallows(replies bool) bool {
	t := p.state()
	return t == silent || (t == cutReplies && replies)
}
