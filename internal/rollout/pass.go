package rollout

import (
	"time"

	"kumquatyard/internal/fleet"
)

// Pass says which servers one request may go to under a roll-out. A nil Pass stands for a pool
// without one. It is used by one request, not concurrently.
type Pass struct {
	roll *roll
	// exposed is set while the request goes to the new version, and reserved while it has a
	// place in the budget and was not sent.
	exposed, reserved bool
}

// Begin returns the pass of a request for a pool, nil if there is no roll-out. draw is uniformly
// distributed over 0 to 1.
func (t *Tracker) Begin(pool string, draw float64, now time.Time) *Pass {
	r := (*t.binding.Load())[pool]
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &Pass{roll: r}
	p.exposed, p.reserved = r.expose(draw, now)
	return p
}

// AllowsContinuation reports whether a stream that a server's version began may go on there, which it
// may not at a stopped version.
func (t *Tracker) AllowsContinuation(s *fleet.Server) bool {
	r := (*t.binding.Load())[s.Pool]
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.Version != r.order.Version || r.phase != Stopped
}

// Allows reports whether a request that continues no stream may go to a server.
func (p *Pass) Allows(s *fleet.Server) bool {
	if p == nil {
		return true
	}
	r := p.roll
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew := s.Version == r.order.Version
	switch {
	case r.phase == Finished:
		return isNew
	case !p.exposed || r.phase == Stopped:
		return !isNew
	case r.phase == Exposing:
		return isNew && r.focus[s.ID]
	default:
		return isNew
	}
}

// FallBack makes the request go to the old version, and reports whether it went to the new one
// before.
func (p *Pass) FallBack() bool {
	if p == nil || !p.exposed {
		return false
	}
	p.roll.mu.Lock()
	defer p.roll.mu.Unlock()
	if p.roll.phase == Finished {
		return false
	}
	p.leave()
	return true
}

// leave ends the request's exposure. It is called with roll.mu held.
func (p *Pass) leave() {
	if p.reserved {
		p.roll.exposed--
	}
	p.exposed, p.reserved = false, false
}

// Take is called right before the request is sent to a server. It counts the request, or returns
// false if it may not be sent there any more. A request that goes to the new version goes to the
// old one if it is sent again.
func (p *Pass) Take(s *fleet.Server, now time.Time) bool {
	if p == nil {
		return true
	}
	r := p.roll
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Version == r.order.Version {
		switch {
		case r.phase == Stopped:
			p.leave()
			return false
		case r.phase == Exposing && p.reserved:
			p.reserved = false
		case r.phase == Exposing:
			if !r.mayExpose(now) {
				return false
			}
			r.exposed++
		}
		p.exposed = false
	}
	r.sent++
	countSent(r.order.Pool, s.Version == r.order.Version)
	return true
}

// Unsent is called if a request that Take counted was not sent to the server. One for the new version
// keeps its place in the budget.
func (p *Pass) Unsent(s *fleet.Server) {
	if p == nil {
		return
	}
	p.roll.mu.Lock()
	defer p.roll.mu.Unlock()
	if s.Version != p.roll.order.Version && p.roll.sent > 0 {
		p.roll.sent--
	}
}

// Record counts a server's answer to the request. latency counts until the answer began.
func (p *Pass) Record(route string, s *fleet.Server, failed bool, latency time.Duration) {
	if p != nil {
		p.roll.record(route, s, failed, latency)
	}
}

// End is called when the request has ended.
func (p *Pass) End() {
	if p == nil || !p.reserved {
		return
	}
	p.roll.mu.Lock()
	defer p.roll.mu.Unlock()
	p.leave()
}
