package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rescue"
	"kumquatyard/internal/retry"
	"kumquatyard/internal/route"
)

// hedger makes a pool's retry.Hedge safe for concurrent use.
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

// sendResult is the outcome of one send to a server.
type sendResult struct {
	server *route.Server
	answer plainAnswer
	err    error
}

// sendHedged sends an idempotent read to a server and, if the answer takes
// longer than the pool's hedge delay, a copy to a second one. It returns the
// first success, or else the last failure.
func (g *Gateway) sendHedged(ctx context.Context, req *plainRequest, first *route.Server, r *retries, exclude []machine.ID) sendResult {
	h := g.hedger(req.info.contract.Pool)
	delay, ok := h.delay()
	if !ok {
		return g.timedSend(ctx, req, first, r.attempts, h)
	}
	results := make(chan sendResult, 2)
	launch := func(server *route.Server) {
		g.activity.spawn(func() { results <- g.rescuedSend(ctx, req, server, r.attempts, h) })
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
	if !ok || !g.budget.Take(r.workspace, second.Server.ID) {
		return <-results
	}
	hedgesTotal.Inc()
	launch(second.Server)
	out := <-results
	if out.err == nil {
		return out
	}
	r.mayHaveRun = r.mayHaveRun || contract.VerdictOf(out.err) != contract.NotRun
	return <-results
}

// rescuedSend is timedSend in a goroutine of its own: its result after a panic is a failure.
func (g *Gateway) rescuedSend(ctx context.Context, req *plainRequest, server *route.Server, attempt int, h *hedger) sendResult {
	out := sendResult{server: server}
	out.err = rescue.Do("send", logrus.Fields{"request": req.id, "server": server.ID}, g.log, func() error {
		out = g.timedSend(ctx, req, server, attempt, h)
		return out.err
	})
	return out
}

// timedSend sends the request once and records the latency of a success in h.
func (g *Gateway) timedSend(ctx context.Context, req *plainRequest, server *route.Server, attempt int, h *hedger) sendResult {
	started := time.Now()
	answer, err := g.trySend(ctx, req, server, attempt)
	if err == nil {
		h.observe(time.Since(started))
	}
	return sendResult{server: server, answer: answer, err: err}
}
