package gateway

import (
	"context"
	"sync"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/retry"
	"kumquatyard/internal/route"
)

// hedger is the goroutine-safe shell of a pool's retry.Hedge.
type hedger struct {
	mu    sync.Mutex
	hedge *retry.Hedge
}

func (g *Gateway) hedger(pool string) *hedger {
	if found, ok := g.hedgers.Load(pool); ok {
		return found.(*hedger)
	}
	found, _ := g.hedgers.LoadOrStore(pool, &hedger{hedge: retry.NewHedge()})
	return found.(*hedger)
}

func (h *hedger) observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedge.Observe(latency)
}

func (h *hedger) delay() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedge.Delay(true)
}

// sent is the outcome of one send.
type sent struct {
	server *route.Server
	answer plainAnswer
	err    error
}

// sendHedged sends an idempotent read to a server and, when the answer takes
// longer than most, a copy to another one. The first answer counts.
func (g *Gateway) sendHedged(ctx context.Context, req *plainRequest, first *route.Server, s *sending, exclude []machine.ID) sent {
	h := g.hedger(req.who.contract.Pool)
	delay, ok := h.delay()
	if !ok {
		return g.timedSend(ctx, req, first, s.attempts, h)
	}
	results := make(chan sent, 2)
	launch := func(server *route.Server) {
		g.activity.spawn(func() { results <- g.timedSend(ctx, req, server, s.attempts, h) })
	}
	launch(first)
	timer, stop := newTimer(delay)
	defer stop()
	select {
	case out := <-results:
		return out
	case <-timer:
	}
	second, ok := g.choosePlain(req, append(exclude, first.ID))
	if !ok || !g.budget.Take(s.workspace, second.Server.ID) {
		return <-results
	}
	hedgesTotal.Inc()
	launch(second.Server)
	out := <-results
	if out.err == nil {
		return out
	}
	s.mayHaveRun = s.mayHaveRun || contract.VerdictOf(out.err) != contract.NotRun
	return <-results
}

func (g *Gateway) timedSend(ctx context.Context, req *plainRequest, server *route.Server, attempt int, h *hedger) sent {
	began := time.Now()
	answer, err := g.trySend(ctx, req, server, attempt)
	if err == nil {
		h.observe(time.Since(began))
	}
	return sent{server: server, answer: answer, err: err}
}
